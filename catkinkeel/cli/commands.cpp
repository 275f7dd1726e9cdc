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

constexpr std::array commands{
    command_definition{
        "check", "FILE...",
        "Check published objects as a whole before publication.",
        "FILE is a document, or a directory whose *.toml files are read. "
        "A set is one\nwhole-set document, or one index and its chunks. Works "
        "without a daemon. Exit\ncode 1 if the set would be refused; warnings "
        "do not affect the exit code.\n"
        "docs/objects.md lists the rules and warnings.",
        run_check},
    command_definition{
        "diff", "OLD NEW", "List the changes from one set to another.",
        "OLD and NEW are documents or directories as for check. Works "
        "without a daemon.\nRows of kind effect describe the effect of the "
        "changes on flows. Exit code 1 if\nthere are changes or a set is "
        "invalid.",
        run_diff},
    command_definition{
        "status", "", "Show the state of daemons and the set in effect.",
        "Exit code 1 if a daemon refused a newer set than the one in "
        "effect, or if the\nqueried daemons have different versions in effect.",
        run_status},
    command_definition{
        "audit", "",
        "Show the audit trail of daemons: changes with cause and publisher.",
        "The audit trail is kept in memory and is empty when a daemon starts.",
        run_audit},
    command_definition{
        "explain", "CALLER PUBLIC PROTOCOL",
        "Explain how daemons would handle a packet of a flow.",
        "CALLER and PUBLIC are address:port, PROTOCOL is tcp or udp.\n"
        "Example: catkinkeel explain 198.51.100.7:40000 "
        "203.0.113.1:443 tcp",
        run_explain},
    command_definition{
        "settings", "check FILE | --markdown",
        "Check a daemon's settings file, or list all settings.",
        "Exit code 1 if the file has problems. Lists all of them.",
        run_settings},
    command_definition{"events", "", "List all events that a daemon can log.",
                       "", run_events},
    command_definition{"metrics", "", "List all metrics that a daemon exports.",
                       "", run_metrics},
    command_definition{
        "wish", "drain|undrain|out|in NAME",
        "Print the edit that changes the state of a target or a data centre.",
        "drain and undrain take the id or the address:port of a "
        "target, out and in the\nname of a data centre. Only "
        "prints the edit: catkinkeel never writes shared\nstate.",
        run_wish},
    command_definition{"help", "", "Show this overview.", "", run_help},
};

struct exit_code_row
{
    exit_code code;
    std::string_view text;
};

constexpr std::array exit_codes{
    exit_code_row{exit_code::ok, "success, nothing to act on"},
    exit_code_row{exit_code::findings,
                  "success, with findings: problems, changes, a refused set"},
    exit_code_row{exit_code::usage, "invalid arguments"},
    exit_code_row{
        exit_code::unreachable,
        "a daemon can't be reached, or its response is missing or truncated"},
    exit_code_row{exit_code::unreadable, "a file can't be read"},
    exit_code_row{exit_code::invalid_response,
                  "a daemon refused the request, or its response is too long "
                  "or can't be decoded"},
};

/// Section on the other program for operators. The test of configuration_check
/// compares the output in it with that of the sample.
constexpr std::string_view check_program_section = R"(
## catkinkeel-check

`catkinkeel-check FILE [--in-force FILE]` checks a configuration of the edge daemons
(`op/config`, JSON) before it is published. It works without a daemon and a network.
`--in-force` (`-i`) names the configuration in force and adds what would change.
[configuration_check.md](design/configuration_check.md) lists the checks.

Each finding is one line: an error, a warning or a difference. The last line has their
numbers. Its exit codes are:

| code | meaning |
| --- | --- |
| 0 | no errors and no warnings; there may be differences |
| 1 | errors or warnings |
| 2 | a file can't be read or is longer than 1 MiB, or the arguments are invalid |

The output for the samples, with exit code 1:

```
$ cd samples/configuration
$ catkinkeel-check with_findings.json --in-force in_force.json
error: route booking: never matches: route upload further down has the same address 198.18.0.2:8443
error: route upload: service orderdesc is not defined
warning: route booking: service orderdesk-new has weight 0 and gets no new flows
warning: service platefiles: no route uses it
warning: route status: aim_ms 4000 is above timeout_ms 2500
warning: route booking: kind "post" is none of safe, download, unsafe, upload; requests count as not idempotent
warning: route booking: has a priority but no aim_ms
warning: route upload: timeout_ms 90000 is above limits.idle_timeout_ms 60000, so a flow may count as idle while its caller waits
warning: service orderdesk: warmup_per_s limits targets that warm up, but warmup_s is 0, absent or unusable
error: version 7 is not higher than 7, the version in force; daemons ignore the document
difference: route manifest: is removed
difference: route booking: the list of services changes from orderdesk weight 1 to orderdesk weight 90, orderdesk-new weight 0
difference: route booking: kind changes from unsafe to post
difference: route booking: aim_ms changes from 500 to not known
difference: route status: aim_ms changes from 400 to 4000
difference: route upload: is added at 198.18.0.2:8443 with orderdesc weight 1
difference: route booking: route upload takes over its address 198.18.0.2:8443
difference: route manifest: new flows to 198.18.0.3:80 are refused, and its open flows end at the latest after the longest life of a flow
difference: service orderdesk: warmup_s changes from 4 to not known
difference: service orderdesk-new: is added
difference: service platefiles: loses its last route and gets no new flows
3 errors, 7 warnings, 11 differences
```

A configuration without findings gives exit code 0:

```
$ catkinkeel-check in_force.json
0 errors, 0 warnings, 0 differences
```
)";

} // namespace

std::span<const command_definition> command_definitions()
{
    return commands;
}

std::string overview()
{
    text_table table{.header = {"command", "purpose"}, .rows = {}};
    for (const command_definition& command : commands)
    {
        table.rows.push_back(
            {std::string(command.name), std::string(command.summary)});
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
    const auto* const command =
        std::ranges::find(commands, name, &command_definition::name);
    if (command == commands.end())
    {
        return error_result(exit_code::usage,
                            "unknown command " + name + "\n" + overview());
    }
    return command->run(*command, {arguments.begin() + 1, arguments.end()},
                        services);
}

std::string cli_markdown()
{
    class unreachable_client : public daemon_client
    {
        [[nodiscard]] outcome<std::string>
        get(const endpoint&, const std::string&) const override
        {
            return failure{failure_kind::unavailable, "no daemon is available"};
        }
    };
    const unreachable_client client;
    const toml_published_set_tools set_tools;

    std::string page =
        "# Command-line tool\n\n"
        "Generated by `catkinkeel help --markdown`; do not edit.\n\n"
        "`catkinkeel COMMAND [OPTIONS] [ARGUMENTS]`. Commands that query "
        "daemons use\n"
        "their operators' HTTP endpoint (`endpoints.operators` in their "
        "settings). Output\n"
        "is human-readable text, or JSON with `--json`.\n\n"
        "## Exit codes\n\n";
    text_table codes{.header = {"code", "meaning"}, .rows = {}};
    for (const exit_code_row& row : exit_codes)
    {
        codes.rows.push_back({std::to_string(static_cast<int>(row.code)),
                              std::string(row.text)});
    }
    page += to_markdown(codes);
    page += "\nIf several daemons are queried, the documents of those that "
            "respond are printed,\nand the highest code is returned.\n";
    for (const command_definition& command : commands)
    {
        page += "\n## " + std::string(command.name) + "\n\n```\n" +
                command.run(command, {"--help"}, {client, set_tools}).out +
                "```\n";
    }
    page +=
        "\n## Requests to a daemon\n\n"
        "All are GET. Those under `/v1` return JSON with the members `kind` "
        "and `format`\n(1). Members may be added in later releases; readers "
        "must ignore "
        "unknown\nmembers.\n\n"
        "| request | answer |\n| --- | --- |\n"
        "| `/v1/status` | state of the daemon and the set in effect |\n"
        "| `/v1/audit?after=N&limit=N` | the newest changes above a "
        "sequence number |\n"
        "| `/v1/explain?caller=A:P&public=A:P&protocol=tcp` | how the daemon "
        "would handle a packet |\n"
        "| `/metrics` | metrics in the Prometheus text format |\n";
    page += check_program_section;
    return page;
}

} // namespace catkinkeel
