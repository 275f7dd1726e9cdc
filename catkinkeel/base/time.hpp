#pragma once

// Time as a value. Decision code never reads a clock: the caller passes the
// present instant in.

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace catkinkeel
{

using duration = std::chrono::nanoseconds;

/// Tag of the monotonic time line of one process. It has no `now()`; the
/// daemon's clock thread and the tests' virtual clock make instants.
struct monotonic_clock;

/// A moment on the monotonic time line of one process.
using instant = std::chrono::time_point<monotonic_clock, duration>;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;
using std::chrono_literals::operator""h;

/// For metrics and log lines.
inline double in_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

inline std::int64_t in_milliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

/// `first`, doubled `times` times, up to `most`.
constexpr duration doubled_delay(duration first, std::uint32_t times,
                                 duration most)
{
    // Keeps the shift in range; delays in use are at their most before.
    constexpr std::uint32_t most_doublings = 16;
    return std::min(first * (1U << std::min(times, most_doublings)), most);
}

} // namespace catkinkeel
