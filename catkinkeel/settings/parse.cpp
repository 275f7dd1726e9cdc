#include "catkinkeel/settings/internal/keys.hpp"

#include <toml.hpp>

#include <algorithm>
#include <exception>
#include <map>
#include <optional>
#include <sstream>
#include <type_traits>

namespace catkinkeel
{

using namespace settings_internal;

namespace
{

// toml11 recurses once for each nesting level and each component of a dotted
// key. Without these limits a text could exhaust the stack.
constexpr std::size_t max_nesting_depth = 16;
constexpr std::size_t max_line_bytes = 4096;
constexpr std::size_t max_dots_per_line = 64;

using problem_list = std::vector<settings_problem>;

std::uint32_t line_of(const toml::value& value)
{
    return value.location().line();
}

/// Levenshtein distance.
std::size_t edit_distance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    for (std::size_t j = 0; j <= b.size(); ++j)
    {
        row[j] = j;
    }
    for (std::size_t i = 1; i <= a.size(); ++i)
    {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j)
        {
            const std::size_t with_substitution =
                diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, with_substitution});
        }
    }
    return row[b.size()];
}

/// Suggests the known key with the smallest edit distance, which must be at
/// most 2 or a third of the key's length.
std::string unknown_key_message(std::string_view key,
                                const std::vector<std::string_view>& known)
{
    // The edit distance takes quadratic time, so longer keys get no suggestion.
    constexpr std::size_t max_key_length = 64;
    std::string_view nearest;
    std::size_t nearest_distance = std::max<std::size_t>(2, key.size() / 3) + 1;
    for (const std::string_view candidate : known)
    {
        if (key.size() > max_key_length)
        {
            break;
        }
        const std::size_t distance = edit_distance(key, candidate);
        if (distance < nearest_distance)
        {
            nearest_distance = distance;
            nearest = candidate;
        }
    }
    return nearest.empty()
               ? "unknown key"
               : "unknown key; did you mean " + std::string(nearest) + "?";
}

std::string_view type_with_article(const toml::value& value)
{
    switch (value.type())
    {
    case toml::value_t::boolean:
        return "a boolean";
    case toml::value_t::integer:
        return "an integer";
    case toml::value_t::floating:
        return "a floating-point number";
    case toml::value_t::string:
        return "a string";
    case toml::value_t::array:
        return "an array";
    case toml::value_t::table:
        return "a table";
    default:
        return "a date or time";
    }
}

failure wrong_type(std::string_view wanted, const toml::value& value)
{
    return {failure_kind::invalid_input,
            "must be " + std::string(wanted) + ", not " +
                std::string(type_with_article(value))};
}

failure out_of_range(std::string_view quantity, const value_range& range)
{
    return {failure_kind::invalid_input,
            std::string(quantity) + " must be from " +
                format_number(range.minimum) + " to " +
                format_number(range.maximum)};
}

outcome<std::int64_t> read_integer(const toml::value& value,
                                   const value_range& range)
{
    if (!value.is_integer())
    {
        return wrong_type("an integer", value);
    }
    const std::int64_t number = value.as_integer();
    if (number < static_cast<std::int64_t>(range.minimum) ||
        number > static_cast<std::int64_t>(range.maximum))
    {
        return out_of_range("value", range);
    }
    return number;
}

template <class Value>
outcome<Value> read_value(const toml::value& value, const value_range& range)
{
    if constexpr (std::is_same_v<Value, double>)
    {
        if (!value.is_floating() && !value.is_integer())
        {
            return wrong_type("a number", value);
        }
        const double number = value.is_integer()
                                  ? static_cast<double>(value.as_integer())
                                  : value.as_floating();
        // Written so that a NaN is out of range.
        if (!(number >= range.minimum && number <= range.maximum))
        {
            return out_of_range("value", range);
        }
        return number;
    }
    else if constexpr (std::is_same_v<Value, std::string>)
    {
        if (!value.is_string())
        {
            return wrong_type("a string", value);
        }
        const std::string& text = value.as_string().str;
        if (static_cast<double>(text.size()) < range.minimum ||
            static_cast<double>(text.size()) > range.maximum)
        {
            return out_of_range("length in bytes", range);
        }
        return text;
    }
    else if constexpr (std::is_same_v<Value, endpoint>)
    {
        if (!value.is_string())
        {
            return wrong_type("a string \"address:port\"", value);
        }
        return parse_endpoint(value.as_string().str);
    }
    else if constexpr (std::is_enum_v<Value>)
    {
        const auto names = names_of(Value{});
        const auto found = value.is_string()
                               ? std::ranges::find(names, value.as_string().str)
                               : names.end();
        if (found == names.end())
        {
            std::string all;
            for (const std::string_view name : names)
            {
                all += (all.empty() ? "\"" : ", \"") + std::string(name) + "\"";
            }
            return failure{failure_kind::invalid_input,
                           "must be one of " + all};
        }
        return static_cast<Value>(found - names.begin());
    }
    else
    {
        const outcome<std::int64_t> number = read_integer(value, range);
        if (!number)
        {
            return number.error();
        }
        if constexpr (std::is_class_v<Value> &&
                      !std::is_same_v<Value, std::chrono::seconds>)
        {
            return Value{static_cast<decltype(Value::value)>(number.value())};
        }
        else
        {
            return Value(static_cast<std::uint32_t>(number.value()));
        }
    }
}

template <class Owner>
void read_key(Owner& owner, const key_definition<Owner>& row,
              const std::string& key, const toml::value& value,
              problem_list& found)
{
    std::visit(
        [&]<class Value>(Value Owner::*member)
        {
            outcome<Value> setting = read_value<Value>(value, row.range);
            if (setting)
            {
                owner.*member = std::move(setting).value();
            }
            else
            {
                found.push_back({line_of(value), key, setting.error().message});
            }
        },
        row.member);
}

template <class Owner>
std::vector<std::string_view>
key_names(std::span<const key_definition<Owner>> rows)
{
    std::vector<std::string_view> all;
    for (const key_definition<Owner>& row : rows)
    {
        all.push_back(row.name);
    }
    return all;
}

// Reads all `values`, which are keyed by their names in `rows`, into `owner`.
// Problems show the key with `prefix` before it; missing keys are reported at
// `owner_line`.
template <class Owner>
void read_keys(Owner& owner, std::span<const key_definition<Owner>> rows,
               const std::map<std::string, const toml::value*>& values,
               const std::string& prefix, std::uint32_t owner_line,
               problem_list& found)
{
    for (const auto& [key, value] : values)
    {
        const auto row = std::ranges::find(rows, std::string_view(key),
                                           &key_definition<Owner>::name);
        if (row == rows.end())
        {
            found.push_back({line_of(*value), prefix + key,
                             unknown_key_message(key, key_names(rows))});
            continue;
        }
        read_key(owner, *row, prefix + key, *value, found);
    }
    for (const key_definition<Owner>& row : rows)
    {
        if (row.requirement == key_requirement::required &&
            !values.contains(std::string(row.name)))
        {
            found.push_back({owner_line, prefix + std::string(row.name),
                             "required key is missing"});
        }
    }
}

void read_peers(daemon_settings& settings, const toml::value& value,
                problem_list& found)
{
    if (!value.is_array())
    {
        const failure reason = wrong_type("a list of tables [[peers]]", value);
        found.push_back({line_of(value), "peers", reason.message});
        return;
    }
    if (value.as_array().size() > max_peer_entries)
    {
        found.push_back(
            {line_of(value), "peers",
             "has more than " + std::to_string(max_peer_entries) + " entries"});
        return;
    }
    for (const toml::value& entry : value.as_array())
    {
        if (!entry.is_table())
        {
            found.push_back({line_of(entry), "peers",
                             wrong_type("a table", entry).message});
            continue;
        }
        std::map<std::string, const toml::value*> values;
        for (const auto& [key, member] : entry.as_table())
        {
            values.emplace(key, &member);
        }
        peer_settings peer;
        read_keys(peer, peer_keys(), values, "peers.", line_of(entry), found);
        settings.peers.push_back(peer);
    }
}

bool is_section(std::string_view name)
{
    return std::ranges::any_of(
        daemon_keys(), [name](const key_definition<daemon_settings>& row)
        { return row.name.substr(0, row.name.find('.')) == name; });
}

std::string unknown_section_message(std::string_view name)
{
    std::vector<std::string_view> sections{"peers"};
    for (const key_definition<daemon_settings>& row : daemon_keys())
    {
        sections.push_back(row.name.substr(0, row.name.find('.')));
    }
    return unknown_key_message(name, sections);
}

settings_result read_document(const toml::value& root)
{
    daemon_settings settings;
    problem_list found;
    std::map<std::string, const toml::value*> values;
    // Lines of the sections and of the keys, for violations of rules.
    std::map<std::string, std::uint32_t> lines;
    for (const auto& [section, value] : root.as_table())
    {
        lines.emplace(section, line_of(value));
        if (section == "peers")
        {
            read_peers(settings, value, found);
        }
        else if (!is_section(section))
        {
            found.push_back(
                {line_of(value), section, unknown_section_message(section)});
        }
        else if (!value.is_table())
        {
            found.push_back({line_of(value), section,
                             wrong_type("a table", value).message});
        }
        else
        {
            for (const auto& [key, member] : value.as_table())
            {
                std::string name = section;
                name.append(".").append(key);
                values.emplace(name, &member);
                lines.emplace(std::move(name), line_of(member));
            }
        }
    }
    read_keys(settings, daemon_keys(), values, "", 0, found);
    // The rules compare the values of several keys, so they are checked only if
    // every value is valid.
    if (found.empty())
    {
        for (const rule_violation& violation : check_cross_key_rules(settings))
        {
            const auto line = lines.find(violation.key);
            found.push_back({line == lines.end() ? 0 : line->second,
                             violation.key, violation.message});
        }
    }
    if (found.empty())
    {
        return settings;
    }
    std::ranges::sort(found);
    return found;
}

// Returns the first line of toml11's message without its "[error] toml::"
// prefix.
std::string syntax_message(std::string_view what)
{
    std::string_view first = what.substr(0, what.find('\n'));
    if (const std::size_t at = first.find("toml::");
        at != std::string_view::npos)
    {
        const std::size_t colon = first.find(": ", at);
        first.remove_prefix(colon == std::string_view::npos ? at : colon + 2);
    }
    return std::string(first);
}

std::optional<settings_problem> check_limits(std::string_view text)
{
    if (text.size() > max_settings_size.value)
    {
        return settings_problem{0, "",
                                "text is longer than " +
                                    std::to_string(max_settings_size.value) +
                                    " bytes"};
    }
    std::uint32_t line = 1;
    std::size_t length = 0;
    std::size_t dots = 0;
    std::size_t depth = 0;
    for (const char c : text)
    {
        length = c == '\n' ? 0 : length + 1;
        dots = c == '\n' ? 0 : dots + (c == '.' ? 1 : 0);
        line += c == '\n' ? 1 : 0;
        if (c == '[' || c == '{')
        {
            ++depth;
        }
        else if ((c == ']' || c == '}') && depth > 0)
        {
            --depth;
        }
        if (length > max_line_bytes || depth > max_nesting_depth ||
            dots > max_dots_per_line)
        {
            return settings_problem{
                line, "", "line is too long or brackets are nested too deep"};
        }
    }
    return std::nullopt;
}

} // namespace

std::string to_string(const settings_problem& problem)
{
    std::string text;
    if (problem.line > 0)
    {
        text += "line " + std::to_string(problem.line) + ": ";
    }
    if (!problem.key.empty())
    {
        text += problem.key + ": ";
    }
    return text + problem.message;
}

settings_result parse_settings(std::string_view text)
{
    if (const auto problem = check_limits(text))
    {
        return problem_list{*problem};
    }
    try
    {
        std::istringstream stream{std::string(text)};
        return read_document(toml::parse(stream, "settings"));
    }
    catch (const toml::syntax_error& error)
    {
        return problem_list{
            {error.location().line(), "", syntax_message(error.what())}};
    }
    catch (const std::exception& error)
    {
        return problem_list{{0, "", syntax_message(error.what())}};
    }
}

} // namespace catkinkeel
