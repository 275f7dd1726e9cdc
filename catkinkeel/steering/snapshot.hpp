#pragma once

// A view as the metadata update that would lead to it, for daemons that cannot
// reach the metadata store.

#include "catkinkeel/base/time.hpp"
#include "catkinkeel/steering/objects.hpp"
#include "catkinkeel/steering/view.hpp"

namespace catkinkeel::steering
{

/// Everything that `view` knows as a complete update. Withdrawn targets and
/// references that were removed are left out. `now` is on the time line of the
/// view's instants.
[[nodiscard]] metadata_update to_update(const steering_view& view, instant now);

} // namespace catkinkeel::steering
