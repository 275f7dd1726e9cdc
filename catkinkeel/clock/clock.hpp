#pragma once

// The clocks that the daemons read. Decision code gets the time as a parameter
// instead, so that tests can simulate it.

#include "catkinkeel/base/time.hpp"
#include "catkinkeel/event/record.hpp"

namespace catkinkeel
{

/// Current time of the monotonic clock (CLOCK_MONOTONIC).
instant steady_now();

/// Like `steady_now`, but includes time during which the machine was suspended
/// (CLOCK_BOOTTIME). Values of the two functions must not be compared with each
/// other.
instant boot_now();

/// Current UTC time, rounded down to whole milliseconds.
wall_time wall_now();

/// Nanoseconds since 1970-01-01 00:00 UTC. Used as seeds and for numbers that a
/// restarted process must choose higher than before; they do so unless the
/// system time is set back.
std::uint64_t wall_nanoseconds();

} // namespace catkinkeel
