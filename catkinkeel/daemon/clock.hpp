#pragma once

// The only place where the daemon reads clocks.

#include "catkinkeel/base/time.hpp"
#include "catkinkeel/event/record.hpp"

namespace catkinkeel
{

/// Present moment of the process's monotonic time line.
instant steady_now();

/// Present UTC time.
wall_time wall_now();

/// Nanoseconds of UTC time, for numbers that grow over restarts.
std::uint64_t wall_nanoseconds();

} // namespace catkinkeel
