#pragma once

// Runs the operators' command-line tool `catkinkeel`: takes its arguments and
// returns its output and exit code. docs/cli.md describes it for operators.

#include "catkinkeel/cli/daemon_client.hpp"
#include "catkinkeel/cli/published_set_tools.hpp"

#include <compare>
#include <string>
#include <vector>

namespace catkinkeel
{

/// Exit codes of the tool. Scripts depend on the values.
enum class exit_code : int
{
    ok = 0,
    /// The command succeeded and found something to act on.
    findings = 1,
    /// The arguments are invalid.
    usage = 2,
    /// A daemon can't be reached, or its response is missing or truncated.
    unreachable = 3,
    /// A file can't be read.
    unreadable = 4,
    /// A daemon refused the request, or its response is too long or can't be
    /// decoded.
    invalid_response = 5
};

/// The output and exit code of a command.
struct command_result
{
    exit_code code = exit_code::ok;
    /// For standard output.
    std::string out;
    /// For standard error.
    std::string error;

    friend auto operator<=>(const command_result&,
                            const command_result&) = default;
};

/// Interfaces that the commands depend on; tests replace them by fakes.
struct cli_services
{
    const daemon_client& client;
    const published_set_tools& set_tools;
};

/// Runs the command that `arguments` select. They don't include the program
/// name. Never throws.
command_result run_cli(const std::vector<std::string>& arguments,
                       const cli_services& services);

/// Returns the content of the generated page docs/cli.md.
std::string cli_markdown();

} // namespace catkinkeel
