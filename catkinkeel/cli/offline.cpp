// Commands that need no daemon: check, diff, settings, wish.

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

/// Largest published document: values of the configuration service are up to
/// 1 MB.
constexpr byte_count document_size_limit{std::uint64_t{1024} * 1024};

/// All documents of a set: `paths` with each directory replaced by its *.toml
/// files in the order of their names.
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
        const std::size_t first = files.size();
        for (fs::directory_iterator at(path, error), end; !error && at != end;
             at.increment(error))
        {
            if (at->path().extension() == ".toml")
            {
                files.push_back(at->path().string());
            }
        }
        if (error || files.size() == first)
        {
            return failure{failure_kind::unavailable,
                           path + " has no readable *.toml file"};
        }
        std::ranges::sort(files.begin() + static_cast<std::ptrdiff_t>(first),
                          files.end());
    }
    documents all;
    for (const std::string& file : files)
    {
        outcome<std::string> text = read_text_file(file, document_size_limit);
        if (!text)
        {
            return text.error();
        }
        all.push_back({file, std::move(text).value()});
    }
    return all;
}

/// One kind of wish: which object gets which state.
struct wish_row
{
    std::string_view action;
    std::string_view object;
    /// The value of the field `state`.
    std::string_view value;
    /// Empty if `name` can name such an object, else what is wrong.
    std::string (*refuse)(const std::string& name);
};

std::optional<std::uint32_t> parse_id(const std::string& name)
{
    std::uint32_t id = 0;
    const char* const end = name.data() + name.size();
    const auto [stop, error] = std::from_chars(name.data(), end, id);
    return error == std::errc{} && stop == end && id != 0 ? std::optional(id)
                                                          : std::nullopt;
}

std::string refuse_target(const std::string& name)
{
    return parse_id(name) || parse_endpoint(name)
               ? ""
               : name + " is neither the id nor the address:port of a target";
}

std::string refuse_data_centre(const std::string& name)
{
    const bool legal =
        !name.empty() && name.size() <= 64 &&
        name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-_.") ==
            std::string::npos;
    return legal ? ""
                 : "the name of a data centre is 1 to 64 of a-z, 0-9, '-', '_' "
                   "and '.'";
}

/// The key and value by which a published document tells the object.
std::string identity(const wish_row& wish, const std::string& name)
{
    if (wish.object != "target")
    {
        return "name = \"" + name + "\"";
    }
    return parse_id(name) ? "id = " + name : "address = \"" + name + "\"";
}

const std::array wishes{
    wish_row{"drain", "target", name_of(target_wish::drain), refuse_target},
    wish_row{"undrain", "target", name_of(target_wish::serve), refuse_target},
    wish_row{"out", "data_centre", name_of(data_centre_wish::out_of_service),
             refuse_data_centre},
    wish_row{"in", "data_centre", name_of(data_centre_wish::in_service),
             refuse_data_centre},
};

command_result check_settings(const std::string& file, bool as_json)
{
    const outcome<std::string> text = read_text_file(file, max_settings_size);
    if (!text)
    {
        return failed(exit_code::unreadable, text.error().message);
    }
    const settings_result result = parse_settings(text.value());
    const auto* const problems =
        std::get_if<std::vector<settings_problem>>(&result);
    command_result printed;
    printed.code = problems != nullptr ? exit_code::findings : exit_code::ok;
    json list = json::array();
    if (problems != nullptr)
    {
        for (const settings_problem& problem : *problems)
        {
            printed.out += file + ": " + to_string(problem) + "\n";
            list.push_back({{"line", problem.line},
                            {"key", problem.key},
                            {"message", problem.message}});
        }
    }
    else
    {
        printed.out = file + ": no problems\n";
    }
    if (as_json)
    {
        printed.out = print({{"file", file}, {"problems", std::move(list)}});
    }
    return printed;
}

} // namespace

command_result run_check(const command_row& self, const arguments& given,
                         const cli_services& services)
{
    command_line line(self);
    TCLAP::UnlabeledMultiArg<std::string> files(
        "FILE", "Documents or directories of one set.", true, "FILE",
        line.options());
    if (auto result = line.parse(given))
    {
        return *result;
    }
    const outcome<documents> read = read_documents(files.getValue());
    if (!read)
    {
        return failed(exit_code::unreadable, read.error().message);
    }
    const auto findings = services.contract.check(read.value());
    command_result printed;
    json list = json::array();
    for (const set_finding& finding : findings)
    {
        if (!finding.warning)
        {
            printed.code = exit_code::findings;
        }
        printed.out += to_string(finding) + "\n";
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
        printed.out = "no findings in " + std::to_string(read.value().size()) +
                      " documents\n";
    }
    if (line.json())
    {
        printed.out = print({{"documents", read.value().size()},
                             {"findings", std::move(list)}});
    }
    return printed;
}

command_result run_diff(const command_row& self, const arguments& given,
                        const cli_services& services)
{
    command_line line(self);
    TCLAP::UnlabeledValueArg<std::string> before("OLD", "The set before.", true,
                                                 "", "OLD", line.options());
    TCLAP::UnlabeledValueArg<std::string> after("NEW", "The set after.", true,
                                                "", "NEW", line.options());
    if (auto result = line.parse(given))
    {
        return *result;
    }
    const outcome<documents> old_set = read_documents({before.getValue()});
    const outcome<documents> new_set = read_documents({after.getValue()});
    if (!old_set || !new_set)
    {
        return failed(exit_code::unreadable,
                      (old_set ? new_set : old_set).error().message);
    }
    const auto changes =
        services.contract.diff(old_set.value(), new_set.value());
    if (!changes)
    {
        return failed(exit_code::findings, changes.error().message);
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
    const bool same = changes.value().empty();
    return {same ? exit_code::ok : exit_code::findings,
            line.json() ? print({{"changes", std::move(list)}})
            : same      ? "no changes\n"
                        : to_plain_text(table),
            ""};
}

command_result run_settings(const command_row& self, const arguments& given,
                            const cli_services& /*services*/)
{
    command_line line(self);
    TCLAP::SwitchArg markdown("m", "markdown",
                              "Print the page of the documentation.",
                              line.options());
    TCLAP::UnlabeledMultiArg<std::string> words(
        "words", "The word check and a settings file.", false, "check FILE",
        line.options());
    if (auto result = line.parse(given))
    {
        return *result;
    }
    const std::vector<std::string>& asked = words.getValue();
    if (markdown.getValue() && asked.empty())
    {
        return line.json()
                   ? line.usage_error(
                         "--markdown and --json exclude each other")
                   : command_result{exit_code::ok, settings_markdown(), ""};
    }
    if (!markdown.getValue() && asked.size() == 2 && asked[0] == "check")
    {
        return check_settings(asked[1], line.json());
    }
    return line.usage_error("give either check FILE or --markdown");
}

command_result run_wish(const command_row& self, const arguments& given,
                        const cli_services& /*services*/)
{
    command_line line(self);
    TCLAP::UnlabeledValueArg<std::string> action(
        "action", "drain, undrain, out or in", true, "", "ACTION",
        line.options());
    TCLAP::UnlabeledValueArg<std::string> name(
        "name", "The target or the data centre.", true, "", "NAME",
        line.options());
    if (auto result = line.parse(given))
    {
        return *result;
    }
    const auto* const wish =
        std::ranges::find(wishes, action.getValue(), &wish_row::action);
    if (wish == wishes.end())
    {
        return line.usage_error("unknown action " + action.getValue());
    }
    if (const std::string reason = wish->refuse(name.getValue());
        !reason.empty())
    {
        return line.usage_error(reason);
    }
    if (line.json())
    {
        return {exit_code::ok,
                print({{"object", wish->object},
                       {"name", name.getValue()},
                       {"field", "state"},
                       {"value", wish->value}}),
                ""};
    }
    return {exit_code::ok,
            "In the published objects, in the [[" + std::string(wish->object) +
                "]] with " + identity(*wish, name.getValue()) +
                ", set\n\n    state = \"" + std::string(wish->value) +
                "\"\n\nraise the version, run catkinkeel check, and publish "
                "the set.\n",
            ""};
}

} // namespace catkinkeel::cli_internal
