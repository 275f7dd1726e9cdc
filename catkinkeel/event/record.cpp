#include "catkinkeel/event/record.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace catkinkeel
{

namespace
{

using ordered_json = nlohmann::ordered_json;

const event_field* find_field(const event_record& record, std::string_view name)
{
    const auto found =
        std::ranges::find(record.fields, name, &event_field::name);
    return found == record.fields.end() ? nullptr : &*found;
}

// Replaces invalid UTF-8, since field values may contain data from peers.
std::string dump(const ordered_json& value)
{
    return value.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

// Returns a value of a key=value line: as it is if it is not empty and consists
// of printable ASCII characters other than blank, quotation mark, equals sign
// and backslash; otherwise as a quoted JSON string. Thus no value can end its
// field or line.
std::string quoted_if_needed(const std::string& value)
{
    const bool plain = !value.empty() &&
                       std::ranges::all_of(value,
                                           [](char c) {
                                               return c > ' ' && c < '\x7f' &&
                                                      c != '"' && c != '=' &&
                                                      c != '\\';
                                           });
    return plain ? value : dump(value);
}

// Events without a catalogue entry are a programming error. They are logged as
// errors, so that they stay visible.
std::string_view name_of(const event_record& record)
{
    const event_definition* definition = find_event(record.number);
    return definition != nullptr ? definition->name : "unknown";
}

std::string_view severity_of(const event_record& record)
{
    const event_definition* definition = find_event(record.number);
    return to_string(definition != nullptr ? definition->level
                                           : severity::error);
}

std::string key_value_line(const event_record& record, std::uint64_t suppressed)
{
    std::string line = "time=" + to_string(record.at) + " event=" +
                       std::to_string(static_cast<unsigned>(record.number)) +
                       " name=" + std::string(name_of(record)) +
                       " severity=" + std::string(severity_of(record));
    for (const auto& [name, value] : record.fields)
    {
        line += " " + name + "=" + quoted_if_needed(value);
    }
    if (suppressed > 0)
    {
        line += " suppressed=" + std::to_string(suppressed);
    }
    return line + " text=" + dump(render_text(record));
}

std::string json_line(const event_record& record, std::uint64_t suppressed)
{
    ordered_json line{{"time", to_string(record.at)},
                      {"event", static_cast<unsigned>(record.number)},
                      {"name", name_of(record)},
                      {"severity", severity_of(record)},
                      {"fields", ordered_json::object()}};
    for (const auto& [name, value] : record.fields)
    {
        line["fields"][name] = value;
    }
    if (suppressed > 0)
    {
        line["suppressed"] = suppressed;
    }
    line["text"] = render_text(record);
    return dump(line);
}

} // namespace

std::string to_string(wall_time time)
{
    using namespace std::chrono;
    const auto day = floor<days>(time);
    const year_month_day date{day};
    const hh_mm_ss clock{time - day};
    std::array<char, 48> text{};
    const int length = std::snprintf(
        text.data(), text.size(), "%04d-%02u-%02uT%02d:%02d:%02d.%03dZ",
        int{date.year()}, unsigned{date.month()}, unsigned{date.day()},
        static_cast<int>(clock.hours().count()),
        static_cast<int>(clock.minutes().count()),
        static_cast<int>(clock.seconds().count()),
        static_cast<int>(clock.subseconds().count()));
    return {text.data(), static_cast<std::size_t>(std::max(length, 0))};
}

outcome<wall_time> parse_wall_time(std::string_view text)
{
    using namespace std::chrono;
    constexpr std::string_view pattern = "dddd-dd-ddTdd:dd:dd.dddZ";
    const failure invalid_time{
        failure_kind::invalid_input,
        "must be a valid UTC time from 1970 on, like 2026-12-04T10:59:51.007Z"};
    const bool matches_pattern =
        text.size() == pattern.size() &&
        std::ranges::equal(text, pattern,
                           [](char c, char expected) {
                               return expected == 'd' ? c >= '0' && c <= '9'
                                                      : c == expected;
                           });
    if (!matches_pattern)
    {
        return invalid_time;
    }
    const auto number = [text](std::size_t offset, std::size_t digit_count)
    {
        int value = 0;
        std::from_chars(text.data() + offset,
                        text.data() + offset + digit_count, value);
        return value;
    };
    const year_month_day date{year{number(0, 4)},
                              month{static_cast<unsigned>(number(5, 2))},
                              day{static_cast<unsigned>(number(8, 2))}};
    if (!date.ok() || number(0, 4) < 1970 || number(11, 2) > 23 ||
        number(14, 2) > 59 || number(17, 2) > 59)
    {
        return invalid_time;
    }
    return wall_time{sys_days{date} + hours{number(11, 2)} +
                     minutes{number(14, 2)} + seconds{number(17, 2)} +
                     milliseconds{number(20, 3)}};
}

std::vector<std::string> missing_fields(const event_record& record)
{
    std::vector<std::string> missing;
    if (const event_definition* definition = find_event(record.number))
    {
        missing = field_names(*definition);
        std::erase_if(missing, [&record](const std::string& name)
                      { return find_field(record, name) != nullptr; });
    }
    return missing;
}

std::string render_text(const event_record& record)
{
    const event_definition* definition = find_event(record.number);
    if (definition == nullptr)
    {
        return "event without a catalogue entry";
    }
    std::string text;
    std::string_view rest = definition->text;
    for (std::size_t open = rest.find('{'); open != std::string_view::npos;
         open = rest.find('{'))
    {
        const std::size_t close = rest.find('}', open);
        const event_field* found =
            find_field(record, rest.substr(open + 1, close - open - 1));
        text += rest.substr(0, open);
        text += found != nullptr ? found->value : "?";
        rest.remove_prefix(close + 1);
    }
    return text += rest;
}

std::string render_line(const event_record& record, log_format format,
                        std::uint64_t suppressed)
{
    return format == log_format::json ? json_line(record, suppressed)
                                      : key_value_line(record, suppressed);
}

} // namespace catkinkeel
