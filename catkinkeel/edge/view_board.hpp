#pragma once

// The newest steering view, shared with threads that only read it.

#include "catkinkeel/base/published_value.hpp"
#include "catkinkeel/steering/view.hpp"

namespace catkinkeel::edge
{

/// Safe to use from any thread. Holds an empty view until the first one is put.
using view_board = published_value<steering::steering_view>;

} // namespace catkinkeel::edge
