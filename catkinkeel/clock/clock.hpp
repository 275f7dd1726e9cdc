#pragma once

// The only place where the daemons read clocks.

#include "catkinkeel/base/time.hpp"
#include "catkinkeel/event/record.hpp"

namespace catkinkeel
{

/// Present moment of the process's monotonic time line.
instant steady_now();

/// As `steady_now`, but it also counts time for which the machine was
/// suspended. Not comparable with `steady_now`.
instant boot_now();

/// Present UTC time.
wall_time wall_now();

/// Nanoseconds of UTC time, for numbers that grow over restarts.
std::uint64_t wall_nanoseconds();

} // namespace catkinkeel
