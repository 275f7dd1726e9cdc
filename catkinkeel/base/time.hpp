#pragma once

// Time as a value. Decision code never reads a clock: the caller passes the
// present instant in.

#include <chrono>

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

} // namespace catkinkeel
