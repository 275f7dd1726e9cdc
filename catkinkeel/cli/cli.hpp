#pragma once

// The operators' command-line tool `catkinkeel`: arguments in, output and exit
// code out. docs/cli.md describes it for operators.

#include "catkinkeel/cli/contract_tools.hpp"
#include "catkinkeel/cli/daemon_client.hpp"

#include <compare>
#include <string>
#include <vector>

namespace catkinkeel
{

/// Exit codes; scripts depend on them.
enum class exit_code : int
{
    ok = 0,
    /// The command worked and found something to act on.
    findings = 1,
    usage = 2,
    /// A daemon can't be reached or does not answer.
    unreachable = 3,
    /// A file can't be read.
    unreadable = 4,
    /// A daemon answered something that is not understood, or refused.
    invalid_response = 5
};

/// What a command prints and returns.
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

/// What the commands reach outside the process.
struct cli_services
{
    const daemon_client& daemons;
    const contract_tools& contract;
};

/// Runs the command that `arguments` name, without the program's name. Never
/// throws.
command_result run_cli(const std::vector<std::string>& arguments,
                       const cli_services& services);

/// The page docs/cli.md.
std::string cli_markdown();

} // namespace catkinkeel
