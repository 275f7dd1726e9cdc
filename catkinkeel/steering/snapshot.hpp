#pragma once

// Converts a view back into a metadata update, for daemons that cannot reach
// the metadata store.

#include "catkinkeel/base/time.hpp"
#include "catkinkeel/steering/objects.hpp"
#include "catkinkeel/steering/view.hpp"

namespace catkinkeel::steering
{

/// Returns the content of `view` as a complete update. Withdrawn targets and
/// removed references are left out. `now` must come from the same clock as the
/// instants in the view.
[[nodiscard]] metadata_update to_metadata_update(const steering_view& view,
                                                 instant now);

} // namespace catkinkeel::steering
