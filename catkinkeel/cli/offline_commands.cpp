// Commands that run without a daemon: check, diff, settings and wish.

#include "catkinkeel/base/text_table.hpp"
#include "catkinkeel/cli/internal/command.hpp"
#include "catkinkeel/operators/enum_names.hpp"
#include "catkinkeel/settings/settings.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <optional>

namespace catkinkeel::cli_internal
{

namespace
{

using json = nlohmann::ordered_json;
using documents = std::vector<object_document>;

/// Maximum size of a published document: 1 MiB, the largest document that the
/// configuration service accepts.
constexpr byte_count max_document_size{std::uint64_t{1024} * 1024};

/// Reads the files in `paths`. A directory stands for its *.toml files, sorted
/// by name.
outcome<documents> read_documents(const std::vector<std::string>& paths)
{
    namespace fs = std::filesystem;
    std::vector<std::string> files;
    for (const std::string& path : paths)
    {
        std::error_code error;
        if (!fs::is_directory(path, error))
        {
            files.push_back(path);
            continue;
        }
        const std::size_t first_file = files.size();
        for (fs::directory_iterator entry(path, error), end;
             !error && entry != end; entry.increment(error))
        {
            if (entry->path().extension() == ".toml")
            {
                files.push_back(entry->path().string());
            }
        }
        if (error || files.size() == first_file)
        {
            return failure{failure_kind::unavailable,
                           path + " has no readable *.toml file"};
        }
        std::ranges::sort(files.begin() +
                              static_cast<std::ptrdiff_t>(first_file),
                          files.end());
    }
    documents all;
    for (const std::string& file : files)
    {
        outcome<std::string> text = read_text_file(file, max_document_size);
        if (!text)
        {
            return text.error();
        }
        all.push_back({file, std::move(text).value()});
    }
    return all;
}

/// An action of the command wish, and the edit of a published document that it
/// prints. The command itself changes nothing.
struct wish_action
{
    std::string_view action;
    /// Table of the object in the published format.
    std::string_view object;
    /// The value of the field `state` in the printed edit.
    std::string_view state;
    /// Returns an empty string if `name` can identify such an object, else an
    /// error message.
    std::string (*validate_name)(const std::string& name);
};

/// Parses a decimal identifier. Returns nothing for 0 and for other text.
std::optional<std::uint32_t> parse_id(const std::string& name)
{
    std::uint32_t id = 0;
    const char* const end = name.data() + name.size();
    const auto [parse_end, error] = std::from_chars(name.data(), end, id);
    return error == std::errc{} && parse_end == end && id != 0
               ? std::optional(id)
               : std::nullopt;
}

std::string validate_target_name(const std::string& name)
{
    return parse_id(name) || parse_endpoint(name)
               ? ""
               : name + " is neither the id nor the address:port of a target";
}

std::string validate_data_centre_name(const std::string& name)
{
    const bool is_valid =
        !name.empty() && name.size() <= 64 &&
        name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-_.") ==
            std::string::npos;
    return is_valid
               ? ""
               : "the name of a data centre is 1 to 64 of a-z, 0-9, '-', '_' "
                 "and '.'";
}

/// Returns the line that identifies the object in a published document, for
/// example `id = 7`.
std::string object_key(const wish_action& wish, const std::string& name)
{
    if (wish.object != "target")
    {
        return "name = \"" + name + "\"";
    }
    return parse_id(name) ? "id = " + name : "address = \"" + name + "\"";
}

const std::array wish_actions{
    wish_action{"drain", "target", name_of(target_wish::drain),
                validate_target_name},
    wish_action{"undrain", "target", name_of(target_wish::serve),
                validate_target_name},
    wish_action{"out", "data_centre", name_of(data_centre_wish::out_of_service),
                validate_data_centre_name},
    wish_action{"in", "data_centre", name_of(data_centre_wish::in_service),
                validate_data_centre_name},
};

command_result check_settings(const std::string& file, bool as_json)
{
    const outcome<std::string> text = read_text_file(file, max_settings_size);
    if (!text)
    {
        return error_result(exit_code::unreadable, text.error().message);
    }
    const settings_result result = parse_settings(text.value());
    const auto* const problems =
        std::get_if<std::vector<settings_problem>>(&result);
    command_result output;
    output.code = problems != nullptr ? exit_code::findings : exit_code::ok;
    json list = json::array();
    if (problems != nullptr)
    {
        for (const settings_problem& problem : *problems)
        {
            output.out += file + ": " + to_string(problem) + "\n";
            list.push_back({{"line", problem.line},
                            {"key", problem.key},
                            {"message", problem.message}});
        }
    }
    else
    {
        output.out = file + ": no problems\n";
    }
    if (as_json)
    {
        output.out =
            format_json({{"file", file}, {"problems", std::move(list)}});
    }
    return output;
}

} // namespace

command_result run_check(const command_definition& definition,
                         const arguments& args, const cli_services& services)
{
    command_line_parser parser(definition);
    TCLAP::UnlabeledMultiArg<std::string> files(
        "FILE", "Documents or directories of one set.", true, "FILE",
        parser.options());
    if (auto result = parser.parse(args))
    {
        return *result;
    }
    const outcome<documents> loaded = read_documents(files.getValue());
    if (!loaded)
    {
        return error_result(exit_code::unreadable, loaded.error().message);
    }
    const auto findings = services.set_tools.check(loaded.value());
    command_result output;
    json list = json::array();
    for (const set_finding& finding : findings)
    {
        if (!finding.warning)
        {
            output.code = exit_code::findings;
        }
        output.out += to_string(finding) + "\n";
        list.push_back({{"document", finding.document},
                        {"line", finding.line},
                        {"object", finding.object},
                        {"field", finding.field},
                        {"rule", finding.rule},
                        {"warning", finding.warning},
                        {"message", finding.message}});
    }
    if (findings.empty())
    {
        output.out = "no findings in " + std::to_string(loaded.value().size()) +
                     " documents\n";
    }
    if (parser.json())
    {
        output.out = format_json({{"documents", loaded.value().size()},
                                  {"findings", std::move(list)}});
    }
    return output;
}

command_result run_diff(const command_definition& definition,
                        const arguments& args, const cli_services& services)
{
    command_line_parser parser(definition);
    TCLAP::UnlabeledValueArg<std::string> before(
        "OLD", "The earlier set.", true, "", "OLD", parser.options());
    TCLAP::UnlabeledValueArg<std::string> after("NEW", "The later set.", true,
                                                "", "NEW", parser.options());
    if (auto result = parser.parse(args))
    {
        return *result;
    }
    const outcome<documents> old_set = read_documents({before.getValue()});
    const outcome<documents> new_set = read_documents({after.getValue()});
    if (!old_set || !new_set)
    {
        return error_result(exit_code::unreadable,
                            (old_set ? new_set : old_set).error().message);
    }
    const auto changes =
        services.set_tools.diff(old_set.value(), new_set.value());
    if (!changes)
    {
        return error_result(exit_code::findings, changes.error().message);
    }
    text_table table{.header = {"change", "object", "detail"}, .rows = {}};
    json list = json::array();
    for (const set_change& change : changes.value())
    {
        table.rows.push_back({change.kind, change.object, change.detail});
        list.push_back({{"change", change.kind},
                        {"object", change.object},
                        {"detail", change.detail}});
    }
    const bool unchanged = changes.value().empty();
    return {unchanged ? exit_code::ok : exit_code::findings,
            parser.json() ? format_json({{"changes", std::move(list)}})
            : unchanged   ? "no changes\n"
                          : to_plain_text(table),
            ""};
}

command_result run_settings(const command_definition& definition,
                            const arguments& args,
                            const cli_services& /*services*/)
{
    command_line_parser parser(definition);
    TCLAP::SwitchArg markdown("m", "markdown",
                              "Print the documentation page in Markdown.",
                              parser.options());
    TCLAP::UnlabeledMultiArg<std::string> words(
        "words", "check, followed by a settings file.", false, "check FILE",
        parser.options());
    if (auto result = parser.parse(args))
    {
        return *result;
    }
    const std::vector<std::string>& operands = words.getValue();
    if (markdown.getValue() && operands.empty())
    {
        return parser.json()
                   ? parser.usage_error(
                         "--markdown and --json exclude each other")
                   : command_result{exit_code::ok, settings_markdown(), ""};
    }
    if (!markdown.getValue() && operands.size() == 2 && operands[0] == "check")
    {
        return check_settings(operands[1], parser.json());
    }
    return parser.usage_error("give either check FILE or --markdown");
}

command_result run_wish(const command_definition& definition,
                        const arguments& args, const cli_services& /*services*/)
{
    command_line_parser parser(definition);
    TCLAP::UnlabeledValueArg<std::string> action(
        "action", "drain, undrain, out or in", true, "", "ACTION",
        parser.options());
    TCLAP::UnlabeledValueArg<std::string> name(
        "name", "The target or the data centre.", true, "", "NAME",
        parser.options());
    if (auto result = parser.parse(args))
    {
        return *result;
    }
    const auto* const wish = std::ranges::find(wish_actions, action.getValue(),
                                               &wish_action::action);
    if (wish == wish_actions.end())
    {
        return parser.usage_error("unknown action " + action.getValue());
    }
    if (const std::string reason = wish->validate_name(name.getValue());
        !reason.empty())
    {
        return parser.usage_error(reason);
    }
    if (parser.json())
    {
        return {exit_code::ok,
                format_json({{"object", wish->object},
                             {"name", name.getValue()},
                             {"field", "state"},
                             {"value", wish->state}}),
                ""};
    }
    return {exit_code::ok,
            "In the published objects, in the [[" + std::string(wish->object) +
                "]] with " + object_key(*wish, name.getValue()) +
                ", set\n\n    state = \"" + std::string(wish->state) +
                "\"\n\nincrease the version, run catkinkeel check, and publish "
                "the set.\n",
            ""};
}

} // namespace catkinkeel::cli_internal
