#pragma once

// Clock access of the daemons; no other code of theirs reads a clock.

#include "catkinkeel/base/time.hpp"
#include "catkinkeel/event/record.hpp"

namespace catkinkeel
{

/// Current time of the monotonic clock.
instant steady_now();

/// As `steady_now`, but includes time during which the machine was suspended.
/// Values of the two functions must not be compared with each other.
instant boot_now();

/// Current UTC time in milliseconds.
wall_time wall_now();

/// Nanoseconds since the UTC epoch, for numbers that increase across restarts.
std::uint64_t wall_nanoseconds();

} // namespace catkinkeel
