// Commands that print the tables of events, metrics and commands.

#include "catkinkeel/base/text_table.hpp"
#include "catkinkeel/cli/internal/command.hpp"
#include "catkinkeel/event/catalogue.hpp"
#include "catkinkeel/operators/metrics.hpp"

#include <nlohmann/json.hpp>

namespace catkinkeel::cli_internal
{

namespace
{

constexpr const char* markdown_description =
    "Print the documentation page in Markdown.";

/// Functions that format one catalogue as Markdown, JSON or plain text.
struct catalogue_printer
{
    std::string (*markdown)();
    std::string (*json)();
    std::string (*text)();
};

command_result run_catalogue(const command_definition& definition,
                             const arguments& args,
                             const catalogue_printer& printer)
{
    command_line_parser parser(definition);
    TCLAP::SwitchArg markdown("m", "markdown", markdown_description,
                              parser.options());
    if (auto result = parser.parse(args))
    {
        return *result;
    }
    if (markdown.getValue() && parser.json())
    {
        return parser.usage_error("--markdown and --json exclude each other");
    }
    const auto render = markdown.getValue() ? printer.markdown
                        : parser.json()     ? printer.json
                                            : printer.text;
    return {exit_code::ok, render(), ""};
}

std::string events_plain_text()
{
    text_table table{.header = {"number", "name", "severity", "text"},
                     .rows = {}};
    for (const event_definition& row : event_catalogue())
    {
        table.rows.push_back({std::to_string(static_cast<unsigned>(row.number)),
                              std::string(row.name),
                              std::string(to_string(row.level)),
                              std::string(row.text)});
    }
    return to_plain_text(table);
}

std::string metrics_json()
{
    const text_table table = metrics_table();
    auto rows = nlohmann::ordered_json::array();
    for (const auto& cells : table.rows)
    {
        auto& row = rows.emplace_back(nlohmann::ordered_json::object());
        for (std::size_t i = 0; i < cells.size(); ++i)
        {
            row[table.header[i]] = cells[i];
        }
    }
    return format_json(rows);
}

std::string metrics_plain_text()
{
    text_table table{.header = {"name", "type", "label", "meaning"},
                     .rows = {}};
    for (const metric_definition& row : metric_definitions())
    {
        table.rows.push_back(
            {std::string(row.name),
             row.kind == metric_kind::counter ? "counter" : "gauge",
             std::string(row.label), std::string(row.help)});
    }
    return to_plain_text(table);
}

std::string overview_json()
{
    auto list = nlohmann::ordered_json::array();
    for (const command_definition& row : command_definitions())
    {
        list.push_back({{"command", row.name},
                        {"arguments", row.synopsis},
                        {"purpose", row.summary}});
    }
    return format_json(list);
}

} // namespace

command_result run_events(const command_definition& definition,
                          const arguments& args,
                          const cli_services& /*services*/)
{
    return run_catalogue(definition, args,
                         {events_markdown, events_json, events_plain_text});
}

command_result run_metrics(const command_definition& definition,
                           const arguments& args,
                           const cli_services& /*services*/)
{
    return run_catalogue(definition, args,
                         {metrics_markdown, metrics_json, metrics_plain_text});
}

command_result run_help(const command_definition& definition,
                        const arguments& args, const cli_services& /*services*/)
{
    return run_catalogue(definition, args,
                         {cli_markdown, overview_json, overview});
}

} // namespace catkinkeel::cli_internal
