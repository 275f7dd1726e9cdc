#pragma once

// Whether a new flow may start while its best target is busy. It answers the
// load that comes back at once after an outage, and bursts of callers: without
// it, targets refuse most of what they are sent.

#include "catkinkeel/steering/selection.hpp"

#include <compare>
#include <cstdint>

namespace catkinkeel::steering
{

/// Flows in flight at the best target, divided by its slots, up to which a flow
/// starts. A request in use takes 22 to 29 ms, so 4 flows a slot are about 100
/// ms of work, less than the strictest response-time goal of 150 ms.
struct admission_limits
{
    /// For a first opening packet. Its caller still can be answered in time.
    double first = 4;
    /// For the first copy, 200 ms later. It yields to callers that can still be
    /// answered in time, since another copy follows.
    double repeated = 2;
    /// For the last copy, 600 ms later. No other one follows.
    double last = 4.5;

    friend auto operator<=>(const admission_limits&,
                            const admission_limits&) = default;
};

/// Number of the last copy that a caller sends of an opening packet.
inline constexpr std::uint32_t last_copy = 2;

enum class admission : std::uint8_t
{
    start,
    /// Drop the packet; the caller sends a copy.
    wait,
    /// No copy follows, so the caller is told at once.
    refuse
};

/// The verdict on an opening packet with number `copy` whose best candidate is
/// `best`.
[[nodiscard]] admission admit(const admission_limits& limits,
                              std::uint32_t copy, const candidate& best);

} // namespace catkinkeel::steering
