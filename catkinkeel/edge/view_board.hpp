#pragma once

// The newest view, for threads that only look at it.

#include "catkinkeel/base/shared_value.hpp"
#include "catkinkeel/steering/view.hpp"

namespace catkinkeel::edge
{

/// Safe to use from any thread. Holds an empty view before the first one.
using view_board = shared_value<steering::steering_view>;

} // namespace catkinkeel::edge
