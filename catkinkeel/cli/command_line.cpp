#include "catkinkeel/cli/internal/command.hpp"
#include "catkinkeel/operators/documents.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace catkinkeel::cli_internal
{

namespace
{

std::string usage_line(const command_row& row)
{
    return "Usage: catkinkeel " + std::string(row.name) + " [OPTIONS]" +
           (row.synopsis.empty() ? "" : " ") + std::string(row.synopsis) + "\n";
}

} // namespace

void usage_output::usage(TCLAP::CmdLineInterface& line)
{
    text_ = usage_line(row_) + "\n" + std::string(row_.summary) + "\n";
    if (!row_.details.empty())
    {
        text_ += "\n" + std::string(row_.details) + "\n";
    }
    text_ += "\nOptions:\n";
    for (const TCLAP::Arg* option : line.getArgList())
    {
        // "--" is refused, see command_line::unknown_option.
        if (option->getName() != TCLAP::Arg::ignoreNameString())
        {
            text_ += "  " + option->longID() + "\n      " +
                     option->getDescription() + "\n";
        }
    }
}

void usage_output::version(TCLAP::CmdLineInterface& /*line*/)
{
    text_ = "catkinkeel " + std::string(release()) + "\n";
}

void usage_output::failure(TCLAP::CmdLineInterface& /*line*/,
                           TCLAP::ArgException& error)
{
    text_ = error.error();
}

command_line::command_line(const command_row& row)
    : row_(row),
      output_(row),
      line_(std::string(row.summary), ' ', std::string(release())),
      json_("j", "json", "Print JSON for programs.", line_)
{
    line_.setExceptionHandling(false);
    line_.setOutput(&output_);
}

// TCLAP takes an option that it does not know for a positional argument, and
// "--" changes its process-wide state.
std::string command_line::unknown_option(const arguments& given)
{
    for (const std::string& argument : given)
    {
        if (argument.size() < 2 || argument[0] != '-')
        {
            continue;
        }
        const bool known = std::ranges::any_of(
            line_.getArgList(),
            [&argument](const TCLAP::Arg* option)
            {
                const bool positional = option->longID().starts_with('<');
                return !positional &&
                       option->getName() != TCLAP::Arg::ignoreNameString() &&
                       (argument == "--" + option->getName() ||
                        (!option->getFlag().empty() &&
                         argument == "-" + option->getFlag()));
            });
        if (!known)
        {
            return argument;
        }
    }
    return "";
}

std::optional<command_result> command_line::parse(const arguments& given)
{
    if (const std::string option = unknown_option(given); !option.empty())
    {
        return usage_error("unknown option " + option);
    }
    if (std::ranges::find(given, "") != given.end())
    {
        return usage_error("an argument is empty");
    }
    arguments all{"catkinkeel"};
    all.insert(all.end(), given.begin(), given.end());
    try
    {
        line_.parse(all);
        return std::nullopt;
    }
    catch (const TCLAP::ArgException& error)
    {
        return usage_error(error.error() +
                           (error.argId() == " " ? "" : " " + error.argId()));
    }
    catch (const TCLAP::ExitException&)
    {
        return command_result{exit_code::ok, output_.text(), ""};
    }
}

command_result command_line::usage_error(const std::string& message) const
{
    return failed(exit_code::usage, message + "\n" + usage_line(row_) +
                                        "Try catkinkeel " +
                                        std::string(row_.name) + " --help");
}

command_result failed(exit_code code, const std::string& message)
{
    return {code, "", "catkinkeel: " + message + "\n"};
}

command_result failed(const failure& reason)
{
    return failed(reason.kind == failure_kind::unavailable ||
                          reason.kind == failure_kind::timeout
                      ? exit_code::unreachable
                      : exit_code::invalid_response,
                  reason.message);
}

std::string print(const nlohmann::ordered_json& value)
{
    return value.dump(2, ' ', false,
                      nlohmann::ordered_json::error_handler_t::replace) +
           "\n";
}

} // namespace catkinkeel::cli_internal
