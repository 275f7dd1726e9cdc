#include "catkinkeel/cli/internal/command.hpp"
#include "catkinkeel/operators/documents.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace catkinkeel::cli_internal
{

namespace
{

std::string usage_line(const command_definition& definition)
{
    return "Usage: catkinkeel " + std::string(definition.name) + " [OPTIONS]" +
           (definition.synopsis.empty() ? "" : " ") +
           std::string(definition.synopsis) + "\n";
}

} // namespace

void usage_output::usage(TCLAP::CmdLineInterface& parser)
{
    text_ = usage_line(definition_) + "\n" + std::string(definition_.summary) +
            "\n";
    if (!definition_.details.empty())
    {
        text_ += "\n" + std::string(definition_.details) + "\n";
    }
    text_ += "\nOptions:\n";
    for (const TCLAP::Arg* option : parser.getArgList())
    {
        // "--" is rejected by command_line_parser::unknown_option.
        if (option->getName() != TCLAP::Arg::ignoreNameString())
        {
            text_ += "  " + option->longID() + "\n      " +
                     option->getDescription() + "\n";
        }
    }
}

void usage_output::version(TCLAP::CmdLineInterface& /*parser*/)
{
    text_ = "catkinkeel " + std::string(release()) + "\n";
}

void usage_output::failure(TCLAP::CmdLineInterface& /*parser*/,
                           TCLAP::ArgException& error)
{
    text_ = error.error();
}

command_line_parser::command_line_parser(const command_definition& definition)
    : definition_(definition),
      output_(definition),
      parser_(std::string(definition.summary), ' ', std::string(release())),
      json_("j", "json", "Print JSON instead of text.", parser_)
{
    parser_.setExceptionHandling(false);
    parser_.setOutput(&output_);
}

// TCLAP would accept an unknown option as a positional argument, and "--" would
// change its process-wide state, so both are rejected before it parses.
std::string command_line_parser::unknown_option(const arguments& args)
{
    for (const std::string& argument : args)
    {
        if (argument.size() < 2 || argument[0] != '-')
        {
            continue;
        }
        const bool is_known = std::ranges::any_of(
            parser_.getArgList(),
            [&argument](const TCLAP::Arg* option)
            {
                const bool positional = option->longID().starts_with('<');
                return !positional &&
                       option->getName() != TCLAP::Arg::ignoreNameString() &&
                       (argument == "--" + option->getName() ||
                        (!option->getFlag().empty() &&
                         argument == "-" + option->getFlag()));
            });
        if (!is_known)
        {
            return argument;
        }
    }
    return "";
}

std::optional<command_result> command_line_parser::parse(const arguments& args)
{
    if (const std::string option = unknown_option(args); !option.empty())
    {
        return usage_error("unknown option " + option);
    }
    if (std::ranges::find(args, "") != args.end())
    {
        return usage_error("an argument is empty");
    }
    arguments all{"catkinkeel"};
    all.insert(all.end(), args.begin(), args.end());
    try
    {
        parser_.parse(all);
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

command_result
command_line_parser::usage_error(const std::string& message) const
{
    return error_result(exit_code::usage,
                        message + "\n" + usage_line(definition_) +
                            "Try catkinkeel " + std::string(definition_.name) +
                            " --help");
}

command_result error_result(exit_code code, const std::string& message)
{
    return {code, "", "catkinkeel: " + message + "\n"};
}

command_result error_result(const failure& reason)
{
    return error_result(reason.kind == failure_kind::unavailable ||
                                reason.kind == failure_kind::timeout
                            ? exit_code::unreachable
                            : exit_code::invalid_response,
                        reason.message);
}

std::string format_json(const nlohmann::ordered_json& value)
{
    return value.dump(2, ' ', false,
                      nlohmann::ordered_json::error_handler_t::replace) +
           "\n";
}

} // namespace catkinkeel::cli_internal
