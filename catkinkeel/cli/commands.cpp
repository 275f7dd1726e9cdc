#include "catkinkeel/base/text_table.hpp"
#include "catkinkeel/cli/internal/command.hpp"
#include "catkinkeel/operators/documents.hpp"

#include <algorithm>
#include <array>

namespace catkinkeel
{

using namespace cli_internal;

namespace cli_internal
{

namespace
{

constexpr std::array rows{
    command_row{"check", "FILE...",
                "Check published objects as a whole before publication.",
                "FILE is a document or a directory; of a directory all *.toml "
                "files are read. A\nset is one whole-set document, or one "
                "index and its chunks. Works without a\ndaemon. Exit code 1 "
                "if the set would be refused; warnings do not change it.\n"
                "docs/objects.md lists the rules and warnings.",
                run_check},
    command_row{"diff", "OLD NEW", "List the changes from one set to another.",
                "OLD and NEW are documents or directories as for check. Works "
                "without a daemon.\nEffects say what the changes do to flows. "
                "Exit code 1 if there are changes or a\nset is not legal.",
                run_diff},
    command_row{"status", "", "Show what daemons see and have in effect.",
                "Exit code 1 if a daemon refused a newer set than the one in "
                "effect, or if the\ndaemons asked differ in the version in "
                "effect.",
                run_status},
    command_row{"audit", "",
                "Show the changes that daemons have seen, with cause and "
                "publisher.",
                "The audit trail is held in memory and starts empty when a "
                "daemon starts.",
                run_audit},
    command_row{"explain", "CALLER PUBLIC PROTOCOL",
                "Explain what daemons would do with a packet of a flow.",
                "CALLER and PUBLIC are address:port, PROTOCOL is tcp or udp.\n"
                "Example: catkinkeel explain 198.51.100.7:40000 "
                "203.0.113.1:443 tcp",
                run_explain},
    command_row{"settings", "check FILE | --markdown",
                "Check a daemon's settings file, or list all settings.",
                "Exit code 1 if the file has problems; all are listed.",
                run_settings},
    command_row{"events", "", "List all events that a daemon can log.", "",
                run_events},
    command_row{"metrics", "", "List all metrics that a daemon exports.", "",
                run_metrics},
    command_row{"wish", "drain|undrain|out|in NAME",
                "Print the edit to publish for a drain or a data centre out "
                "of service.",
                "drain and undrain take the id or the address:port of a "
                "target, out and in the\nname of a data centre. Nothing is "
                "changed: catkinkeel never writes shared state.",
                run_wish},
    command_row{"help", "", "Show this overview.", "", run_help},
};

struct exit_code_row
{
    exit_code code;
    std::string_view text;
};

constexpr std::array exit_codes{
    exit_code_row{exit_code::ok, "done, nothing to act on"},
    exit_code_row{exit_code::findings,
                  "done, with findings: problems, changes, a refused set"},
    exit_code_row{exit_code::usage, "wrong arguments"},
    exit_code_row{exit_code::unreachable,
                  "a daemon can't be reached or does not answer"},
    exit_code_row{exit_code::unreadable, "a file can't be read"},
    exit_code_row{exit_code::invalid_response,
                  "a daemon refused the request, or its answer is not "
                  "understood"},
};

} // namespace

std::span<const command_row> command_rows()
{
    return rows;
}

std::string overview()
{
    text_table table{.header = {"command", "purpose"}, .rows = {}};
    for (const command_row& row : rows)
    {
        table.rows.push_back({std::string(row.name), std::string(row.summary)});
    }
    return "Usage: catkinkeel COMMAND [OPTIONS] [ARGUMENTS]\n\n" +
           to_plain_text(table) +
           "\nEvery command has --help, --json and --version.\n";
}

} // namespace cli_internal

command_result run_cli(const std::vector<std::string>& arguments,
                       const cli_services& services)
{
    if (arguments.empty())
    {
        return {exit_code::usage, "", overview()};
    }
    const std::string& name = arguments.front();
    if (name == "--version")
    {
        return {exit_code::ok, "catkinkeel " + std::string(release()) + "\n",
                ""};
    }
    if (name == "--help" || name == "-h")
    {
        return {exit_code::ok, overview(), ""};
    }
    const auto* const row = std::ranges::find(rows, name, &command_row::name);
    if (row == rows.end())
    {
        return failed(exit_code::usage,
                      "unknown command " + name + "\n" + overview());
    }
    return row->run(*row, {arguments.begin() + 1, arguments.end()}, services);
}

std::string cli_markdown()
{
    class no_daemons : public daemon_client
    {
        [[nodiscard]] outcome<std::string>
        get(const endpoint&, const std::string&) const override
        {
            return failure{failure_kind::unavailable, "not asked"};
        }
    };
    const no_daemons daemons;
    const published_contract_tools contract;

    std::string page =
        "# Command-line tool\n\n"
        "Generated by `catkinkeel help --markdown`; do not edit.\n\n"
        "`catkinkeel COMMAND [OPTIONS] [ARGUMENTS]`. Commands that ask daemons "
        "use\ntheir operators' HTTP (`endpoints.operators` in their settings). "
        "Output is a\ntable for people, or JSON with `--json`.\n\n"
        "## Exit codes\n\n";
    text_table codes{.header = {"code", "meaning"}, .rows = {}};
    for (const exit_code_row& row : exit_codes)
    {
        codes.rows.push_back({std::to_string(static_cast<int>(row.code)),
                              std::string(row.text)});
    }
    page += to_markdown(codes);
    page += "\nIf several daemons are asked, the answers of those that answer "
            "are printed, and\nthe highest code is returned.\n";
    for (const command_row& row : rows)
    {
        page += "\n## " + std::string(row.name) + "\n\n```\n" +
                row.run(row, {"--help"}, {daemons, contract}).out + "```\n";
    }
    page += "\n## Requests to a daemon\n\n"
            "All are GET. Those under `/v1` answer JSON with the members "
            "`kind` and `format`\n(1). Members may be added in later releases; "
            "readers ignore members that they do\nnot know.\n\n"
            "| request | answer |\n| --- | --- |\n"
            "| `/v1/status` | what the daemon sees and has in effect |\n"
            "| `/v1/audit?after=N&limit=N` | the newest changes above a "
            "sequence number |\n"
            "| `/v1/explain?caller=A:P&public=A:P&protocol=tcp` | what it "
            "would do with a packet |\n"
            "| `/metrics` | metrics in the Prometheus text format |\n";
    return page;
}

} // namespace catkinkeel
