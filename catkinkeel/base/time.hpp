#pragma once

// Monotonic time: types, conversions and retry delays. In the daemons, only the
// functions of catkinkeel/clock/clock.hpp read a clock; other code gets the
// current instant as an argument, so that tests can run it with a virtual
// clock.

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace catkinkeel
{

using duration = std::chrono::nanoseconds;

/// Tag of the instants of one process. It is never defined and has no `now()`:
/// instants come from `steady_now` and `boot_now`, or from the virtual clock of
/// a test.
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

/// Converts to whole milliseconds; a fraction is cut off.
constexpr std::int64_t in_milliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

/// Returns the delay before a retry: `initial_delay` doubled `doublings` times,
/// but at most `max_delay`.
constexpr duration backoff_delay(duration initial_delay,
                                 std::uint32_t doublings, duration max_delay)
{
    // With at most 16 doublings, neither the shift nor the product can overflow
    // (for an initial delay below 39 h). All delays in use reach `max_delay`
    // with fewer doublings.
    constexpr std::uint32_t max_doublings = 16;
    return std::min(initial_delay * (1U << std::min(doublings, max_doublings)),
                    max_delay);
}

} // namespace catkinkeel
