#pragma once

// The number of flows that one VM may hold on a backend server now.

#include "catkinkeel/base/time.hpp"
#include "catkinkeel/contract/objects.hpp"

#include <compare>
#include <cstdint>

namespace catkinkeel
{

/// Reason for the value of a limit, shown in status, `explain` and metrics.
enum class admission_limit_reason : std::uint8_t
{
    warm,
    ramping,
    /// Cold, and this VM is not the steward and holds no grant.
    cold_not_steward,
    draining,
    unreachable,
    saturated
};

/// Number of flows that this VM may hold on a target. No new flow is placed on
/// the target at or above the limit; established flows are not affected.
struct admission_limit
{
    std::uint32_t limit = 0;
    admission_limit_reason reason = admission_limit_reason::cold_not_steward;

    friend auto operator<=>(const admission_limit&,
                            const admission_limit&) = default;
};

/// Provides the admission limits of targets to flow placement.
class admission_limit_source
{
public:
    virtual ~admission_limit_source() = default;

    /// `share` is this VM's share of the target's traffic, in [0, 1]; the
    /// shares of all VMs sum to at most 1. `held_flows` is the number of flows
    /// that this VM holds on the target.
    [[nodiscard]] virtual admission_limit
    admission_limit_of(const target& for_target, double share,
                       std::uint32_t held_flows, instant now) const = 0;
};

} // namespace catkinkeel
