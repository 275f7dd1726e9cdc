#pragma once

// The table of subcommands and what they share.

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

/// One subcommand.
struct command_row
{
    std::string_view name;
    /// Arguments as they stand in usage lines.
    std::string_view synopsis;
    /// One sentence for lists of commands.
    std::string_view summary;
    /// What a reader needs besides the options; may be empty.
    std::string_view details;
    command_result (*run)(const command_row& self, const arguments& given,
                          const cli_services& services);
};

std::span<const command_row> command_rows();

/// Prints usage into a string where TCLAP would print to standard output.
class usage_output : public TCLAP::CmdLineOutput
{
public:
    explicit usage_output(const command_row& row) : row_(row) {}

    void usage(TCLAP::CmdLineInterface& line) override;
    void version(TCLAP::CmdLineInterface& line) override;
    void failure(TCLAP::CmdLineInterface& line,
                 TCLAP::ArgException& error) override;

    [[nodiscard]] const std::string& text() const
    {
        return text_;
    }

private:
    const command_row& row_;
    std::string text_;
};

/// TCLAP's parser with --json, --help and --version, without exits.
class command_line
{
public:
    explicit command_line(const command_row& row);

    /// To declare arguments with.
    TCLAP::CmdLine& options()
    {
        return line_;
    }

    /// The result to return at once: help, version or a usage error. Empty if
    /// the command is to run.
    std::optional<command_result> parse(const arguments& given);

    [[nodiscard]] bool json() const
    {
        return json_.getValue();
    }

    [[nodiscard]] command_result usage_error(const std::string& message) const;

private:
    [[nodiscard]] std::string unknown_option(const arguments& given);

    const command_row& row_;
    usage_output output_;
    TCLAP::CmdLine line_;
    TCLAP::SwitchArg json_;
};

command_result failed(exit_code code, const std::string& message);
/// Chooses the exit code for a failed request or file.
command_result failed(const failure& reason);

/// Indented JSON and a line break. Strings that are not UTF-8 are repaired.
std::string print(const nlohmann::ordered_json& value);

command_result run_check(const command_row& self, const arguments& given,
                         const cli_services& services);
command_result run_diff(const command_row& self, const arguments& given,
                        const cli_services& services);
command_result run_wish(const command_row& self, const arguments& given,
                        const cli_services& services);
command_result run_settings(const command_row& self, const arguments& given,
                            const cli_services& services);
command_result run_status(const command_row& self, const arguments& given,
                          const cli_services& services);
command_result run_audit(const command_row& self, const arguments& given,
                         const cli_services& services);
command_result run_explain(const command_row& self, const arguments& given,
                           const cli_services& services);
command_result run_events(const command_row& self, const arguments& given,
                          const cli_services& services);
command_result run_metrics(const command_row& self, const arguments& given,
                           const cli_services& services);
command_result run_help(const command_row& self, const arguments& given,
                        const cli_services& services);

/// Overview of all commands.
std::string overview();

} // namespace catkinkeel::cli_internal
