#pragma once

// What a backend server can bear now, as seen by one VM.

#include "catkinkeel/base/time.hpp"
#include "catkinkeel/contract/objects.hpp"

#include <compare>
#include <cstdint>

namespace catkinkeel
{

/// Why a limit is what it is, for status, `explain` and metrics.
enum class bearing_reason : std::uint8_t
{
    warm,
    ramping,
    /// Cold, and this VM is neither the steward nor holds a grant.
    cold_not_steward,
    draining,
    unreachable,
    saturated
};

/// Number of flows that this VM may hold on a target; no flow is placed on it
/// at or above the limit. Established flows are not affected.
struct bearing
{
    std::uint32_t limit = 0;
    bearing_reason reason = bearing_reason::cold_not_steward;

    friend auto operator<=>(const bearing&, const bearing&) = default;
};

/// Tells the placement what each target can bear.
class bearing_source
{
public:
    virtual ~bearing_source() = default;

    /// `share` is this VM's part of the target's traffic, in [0, 1]; the shares
    /// of all VMs sum to at most 1. `held` is the number of flows that this VM
    /// holds on the target.
    [[nodiscard]] virtual bearing bearing_of(const target& which, double share,
                                             std::uint32_t held,
                                             instant now) const = 0;
};

} // namespace catkinkeel
