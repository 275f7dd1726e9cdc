#pragma once

#include "catkinkeel/ring/bounded_ring.hpp"

#include <cstdint>

namespace catkinkeel::edge
{

/// From the peers thread to the packet thread: the number of daemons that share
/// the load, this one included. Only the newest entry is needed.
using daemon_count_ring = bounded_ring<std::uint32_t>;

} // namespace catkinkeel::edge
