#pragma once

// Types for monotonic time. Decision code never reads a clock: the caller
// passes the current instant in.

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace catkinkeel
{

using duration = std::chrono::nanoseconds;

/// Clock type of the monotonic time of one process. It has no `now()`: instants
/// come from the daemon's clock thread or from the virtual clock of a test.
struct monotonic_clock;

/// Point in the monotonic time of one process.
using instant = std::chrono::time_point<monotonic_clock, duration>;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;
using std::chrono_literals::operator""h;

/// Converts to seconds, for metrics and log lines.
inline double in_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

inline std::int64_t in_milliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

/// `initial_delay`, doubled `doublings` times, but at most `max_delay`.
constexpr duration backoff_delay(duration initial_delay,
                                 std::uint32_t doublings, duration max_delay)
{
    // Keeps the shift in range. All delays in use reach `max_delay` with fewer
    // doublings.
    constexpr std::uint32_t max_doublings = 16;
    return std::min(initial_delay * (1U << std::min(doublings, max_doublings)),
                    max_delay);
}

} // namespace catkinkeel
