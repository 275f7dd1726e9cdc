#pragma once

// The load report of a backend server, the body of `GET /load`:
//   {"instance": 17, "state": "ready", "connections": 40, "busy_slots": 1}

#include "catkinkeel/base/outcome.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace catkinkeel
{

/// State that a backend server reports.
enum class report_state : std::uint8_t
{
    ready,
    cold,
    draining
};

/// Content of one report. It may be out of date or wrong.
struct load_report
{
    /// Identifies one start of the backend server: the number as sent, or, for
    /// a string, its hash with the top bit set.
    std::uint64_t instance = 0;
    report_state state = report_state::cold;
    std::uint32_t connections = 0;
    std::uint32_t busy_slots = 0;

    friend auto operator<=>(const load_report&, const load_report&) = default;
};

/// Maximum accepted body size; a report has about 80 bytes.
inline constexpr std::size_t max_load_report_bytes = 4096;

/// Parses a response body. Each of the four members must be present exactly
/// once, with these types: `instance` a number below 2^63 or a string of 1 to
/// 128 bytes, `state` one of the three names, the counts integers below 2^32.
/// Other members are ignored. Fails with `limit_exceeded` if the body is too
/// long, otherwise with `invalid_input`. Never throws.
outcome<load_report> parse_load_report(std::string_view json);

} // namespace catkinkeel
