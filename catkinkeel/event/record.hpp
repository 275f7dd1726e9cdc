#pragma once

// One occurrence of a numbered event and its rendering as a log line.

#include "catkinkeel/base/outcome.hpp"
#include "catkinkeel/event/catalogue.hpp"

#include <chrono>
#include <compare>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace catkinkeel
{

/// Wall-clock time (UTC). Callers pass it in, for example from `wall_now` in
/// catkinkeel/clock/clock.hpp.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// Formats as "2026-12-04T10:59:51.007Z"; valid for the years 1970 to 9999.
std::string to_string(wall_time time);

/// Parses the format of `to_string`. Fails with `invalid_input`.
outcome<wall_time> parse_wall_time(std::string_view text);

/// A named value of an event.
struct event_field
{
    std::string name;
    std::string value;

    friend auto operator<=>(const event_field&, const event_field&) = default;
};

inline event_field field(std::string name, std::string value)
{
    return {std::move(name), std::move(value)};
}

template <std::integral Value>
event_field field(std::string name, Value value)
{
    return {std::move(name), std::to_string(value)};
}

/// One occurrence of an event.
struct event_record
{
    event_number number = event_number::daemon_started;
    /// When the event occurred.
    wall_time at;
    std::vector<event_field> fields;

    friend auto operator<=>(const event_record&, const event_record&) = default;
};

/// Returns the names of the placeholders in the catalogue's text for which the
/// record has no field. For tests of code that emits events.
std::vector<std::string> missing_fields(const event_record& record);

/// Returns the catalogue's text with the field values inserted. A missing field
/// is printed as "?".
std::string render_text(const event_record& record);

/// Encoding of a log line.
enum class log_format : std::uint8_t
{
    key_value,
    json
};

/// Renders a log line without the line break. `suppressed` is the number of
/// events of this number that were not logged since the last logged one; 0 is
/// omitted. Values are escaped, so that text from the network cannot start a
/// new line or field (log injection).
std::string render_line(const event_record& record, log_format format,
                        std::uint64_t suppressed = 0);

} // namespace catkinkeel
