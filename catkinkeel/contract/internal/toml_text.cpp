#include "catkinkeel/contract/internal/toml_text.hpp"

#include <algorithm>
#include <array>
#include <sstream>

namespace catkinkeel::internal
{

namespace
{

// toml11 parses nested values and dotted keys by unlimited recursion, so a
// malicious document of one megabyte of brackets or dots would exhaust the
// stack. These limits are checked before the text is passed to toml11.
constexpr std::size_t max_line_bytes = 1024;
/// Maximum number of opening brackets and braces in a document, not counting
/// those of table headers.
constexpr std::size_t max_bracket_count = 64;

/// Whether `line` is a table header, `[name]` or `[[name]]`. The brackets of
/// headers do not count as nesting.
bool is_header(std::string_view line)
{
    const std::size_t comment = line.find('#');
    line = line.substr(0, comment);
    const std::size_t last = line.find_last_not_of(" \t\r");
    line = line.substr(0, last == std::string_view::npos ? 0 : last + 1);
    const auto is_enclosed_in = [&](std::size_t brackets)
    {
        return line.size() > 2 * brackets &&
               line.substr(0, brackets) == std::string(brackets, '[') &&
               line.substr(line.size() - brackets) ==
                   std::string(brackets, ']') &&
               line.substr(brackets, line.size() - 2 * brackets)
                       .find_first_of("[]{}") == std::string_view::npos;
    };
    return is_enclosed_in(2) || is_enclosed_in(1);
}

/// Returns the first violation of a limit with its line (0 for the size).
std::optional<std::pair<std::uint32_t, value_error>>
check_limits(std::string_view text, std::size_t max_size)
{
    if (text.size() > max_size)
    {
        return std::pair{0U, value_error{"size", "has more than " +
                                                     std::to_string(max_size) +
                                                     " bytes"}};
    }
    std::uint32_t number = 0;
    std::size_t brackets = 0;
    while (!text.empty())
    {
        ++number;
        const std::size_t end = text.find('\n');
        std::string_view line = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size()
                                                         : end + 1);
        if (line.size() > max_line_bytes)
        {
            return std::pair{number, value_error{"line_length",
                                                 "has a line over 1024 bytes"}};
        }
        if (line.find("\"\"\"") != std::string_view::npos ||
            line.find("'''") != std::string_view::npos)
        {
            return std::pair{number,
                             value_error{"multi_line_string",
                                         "has a multi-line string, which the "
                                         "published format does not use"}};
        }
        const std::size_t first = line.find_first_not_of(" \t");
        if (first == std::string_view::npos || line[first] == '#')
        {
            continue;
        }
        if (is_header(line.substr(first)))
        {
            continue;
        }
        brackets += static_cast<std::size_t>(std::ranges::count_if(
            line, [](char each) { return each == '[' || each == '{'; }));
        if (brackets > max_bracket_count)
        {
            return std::pair{
                number, value_error{"nesting", "has too many arrays or inline "
                                               "tables"}};
        }
    }
    return std::nullopt;
}

std::string first_line(std::string_view text)
{
    return std::string(text.substr(0, text.find('\n')));
}

/// Reads a string that is one of the `names` of an enumeration.
template <class Value, std::size_t Size>
read_result
read_enum(const toml::value& value,
          const std::array<std::pair<std::string_view, Value>, Size>& names,
          Value& result)
{
    std::string text;
    if (read_result type_error = read_value(value, text))
    {
        return type_error;
    }
    std::string expected;
    for (const auto& [name, enumerator] : names)
    {
        if (name == text)
        {
            result = enumerator;
            return std::nullopt;
        }
        expected +=
            (expected.empty() ? "'" : " or '") + std::string(name) + "'";
    }
    return value_error{"value", "must be " + expected + ", not '" + text + "'"};
}

/// Reads a string and converts it with `parse`.
template <class T>
read_result read_parsed(const toml::value& value,
                        outcome<T> (*parse)(std::string_view), T& result)
{
    std::string text;
    if (read_result type_error = read_value(value, text))
    {
        return type_error;
    }
    const outcome<T> parsed_value = parse(text);
    if (!parsed_value)
    {
        return value_error{"value", parsed_value.error().message};
    }
    result = parsed_value.value();
    return std::nullopt;
}

} // namespace

std::variant<toml::value, document_error>
parse_toml(std::string_view text, const std::string& document,
           std::size_t max_size)
{
    if (auto limit = check_limits(text, max_size))
    {
        return document_error{document,           limit->first,         "", "",
                              limit->second.rule, limit->second.message};
    }
    try
    {
        std::istringstream stream{std::string(text)};
        return toml::parse(stream, document);
    }
    catch (const toml::exception& error)
    {
        return document_error{
            document, static_cast<std::uint32_t>(error.location().line()),
            "",       "",
            "syntax", first_line(error.what())};
    }
    catch (const std::exception& error)
    {
        return document_error{document, 0,        "",
                              "",       "syntax", first_line(error.what())};
    }
}

std::uint32_t line_of(const toml::value& value)
{
    return static_cast<std::uint32_t>(value.location().line());
}

read_result read_integer(const toml::value& value, std::uint64_t max_value,
                         std::uint64_t& result)
{
    if (!value.is_integer())
    {
        return value_error{"type", "must be an integer"};
    }
    const std::int64_t number = value.as_integer();
    if (number < 0 || static_cast<std::uint64_t>(number) > max_value)
    {
        return value_error{"range", "must be from 0 to " +
                                        std::to_string(max_value) + ", not " +
                                        std::to_string(number)};
    }
    result = static_cast<std::uint64_t>(number);
    return std::nullopt;
}

read_result read_value(const toml::value& value, std::string& result)
{
    if (!value.is_string())
    {
        return value_error{"type", "must be a string"};
    }
    result = value.as_string().str;
    return std::nullopt;
}

read_result read_value(const toml::value& value, endpoint& result)
{
    return read_parsed(value, &parse_endpoint, result);
}

read_result read_value(const toml::value& value, protocol& result)
{
    return read_parsed(value, &parse_protocol, result);
}

read_result read_value(const toml::value& value, target_wish& result)
{
    static constexpr std::array<std::pair<std::string_view, target_wish>, 2>
        names{{{"serve", target_wish::serve}, {"drain", target_wish::drain}}};
    return read_enum(value, names, result);
}

read_result read_value(const toml::value& value, data_centre_wish& result)
{
    static constexpr std::array<std::pair<std::string_view, data_centre_wish>,
                                2>
        names{{{"in_service", data_centre_wish::in_service},
               {"out_of_service", data_centre_wish::out_of_service}}};
    return read_enum(value, names, result);
}

void document_errors::add(std::uint32_t line, std::string object,
                          std::string field, value_error violation)
{
    if (!full())
    {
        errors_.push_back({document_, line, std::move(object), std::move(field),
                           std::move(violation.rule),
                           std::move(violation.message)});
    }
}

std::string object_label(std::string_view kind, const toml::value& table,
                         std::size_t position)
{
    if (kind.empty())
    {
        return "";
    }
    if (table.is_table())
    {
        const auto& fields = table.as_table();
        const auto id = fields.find("id");
        if (id != fields.end() && id->second.is_integer())
        {
            return std::string(kind) + " " +
                   std::to_string(id->second.as_integer());
        }
    }
    return std::string(kind) + " #" + std::to_string(position + 1);
}

} // namespace catkinkeel::internal
