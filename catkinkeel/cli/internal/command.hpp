#pragma once

// The table of subcommands and the functions and classes that they share.

#include "catkinkeel/cli/cli.hpp"

#include <tclap/CmdLine.h>

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace catkinkeel::cli_internal
{

using arguments = std::vector<std::string>;

/// Definition of one subcommand.
struct command_definition
{
    std::string_view name;
    /// The positional arguments as the usage line shows them; may be empty.
    std::string_view synopsis;
    /// One sentence for the overview and the help text.
    std::string_view summary;
    /// Further paragraph of the help text; may be empty.
    std::string_view details;
    command_result (*run)(const command_definition& definition,
                          const arguments& args, const cli_services& services);
};

std::span<const command_definition> command_definitions();

/// Stores the text that TCLAP would print to standard output.
class usage_output : public TCLAP::CmdLineOutput
{
public:
    explicit usage_output(const command_definition& definition)
        : definition_(definition)
    {
    }

    void usage(TCLAP::CmdLineInterface& parser) override;
    void version(TCLAP::CmdLineInterface& parser) override;
    void failure(TCLAP::CmdLineInterface& parser,
                 TCLAP::ArgException& error) override;

    [[nodiscard]] const std::string& text() const
    {
        return text_;
    }

private:
    const command_definition& definition_;
    std::string text_;
};

/// Parses the arguments of one command with TCLAP, including --json, --help and
/// --version. Unlike TCLAP it never exits the process.
class command_line_parser
{
public:
    explicit command_line_parser(const command_definition& definition);

    /// The TCLAP parser to which a command adds its arguments.
    TCLAP::CmdLine& options()
    {
        return parser_;
    }

    /// Returns the help text, the version or a usage error, which the command
    /// then returns as its result, or nothing if the arguments are valid.
    std::optional<command_result> parse(const arguments& args);

    [[nodiscard]] bool json() const
    {
        return json_.getValue();
    }

    [[nodiscard]] command_result usage_error(const std::string& message) const;

private:
    /// Returns the first option that is not declared, or an empty string.
    [[nodiscard]] std::string unknown_option(const arguments& args);

    const command_definition& definition_;
    usage_output output_;
    TCLAP::CmdLine parser_;
    TCLAP::SwitchArg json_;
};

/// Returns a result with `message` on standard error.
command_result error_result(exit_code code, const std::string& message);
/// The same for a failed request; the kind of failure selects `unreachable` or
/// `invalid_response`.
command_result error_result(const failure& reason);

/// Returns indented JSON and a line break. Invalid UTF-8 in strings is replaced
/// by U+FFFD.
std::string format_json(const nlohmann::ordered_json& value);

command_result run_check(const command_definition& definition,
                         const arguments& args, const cli_services& services);
command_result run_diff(const command_definition& definition,
                        const arguments& args, const cli_services& services);
command_result run_wish(const command_definition& definition,
                        const arguments& args, const cli_services& services);
command_result run_settings(const command_definition& definition,
                            const arguments& args,
                            const cli_services& services);
command_result run_status(const command_definition& definition,
                          const arguments& args, const cli_services& services);
command_result run_audit(const command_definition& definition,
                         const arguments& args, const cli_services& services);
command_result run_explain(const command_definition& definition,
                           const arguments& args, const cli_services& services);
command_result run_events(const command_definition& definition,
                          const arguments& args, const cli_services& services);
command_result run_metrics(const command_definition& definition,
                           const arguments& args, const cli_services& services);
command_result run_help(const command_definition& definition,
                        const arguments& args, const cli_services& services);

/// Returns the list of all commands.
std::string overview();

} // namespace catkinkeel::cli_internal
