#pragma once

// Admission control: decides whether a new flow may start while its best target
// is busy. It limits bursts of callers and the load that returns all at once
// after an outage, which would make targets refuse most of their requests.

#include "catkinkeel/base/time.hpp"
#include "catkinkeel/steering/selection.hpp"

#include <compare>
#include <cstdint>

namespace catkinkeel::steering
{

/// Maximum number of requests at work per slot of the best target at which a
/// new flow starts. Requests in use take 22 to 39 ms, so 4 requests per slot
/// are about 100 to 150 ms of work; the strictest response-time goal is 150 ms.
struct admission_limits
{
    /// For the original opening packet, whose caller can still be answered in
    /// time.
    double max_load_original = 4;
    /// For the first retransmission, 200 ms later. It is lower, in favour of
    /// callers that can still be answered in time; another retransmission
    /// follows.
    double max_load_retransmission = 2;
    /// For the last retransmission, 600 ms later.
    double max_load_last_retransmission = 4.5;

    friend auto operator<=>(const admission_limits&,
                            const admission_limits&) = default;
};

/// Number of the last retransmission of an opening packet, counted from 1.
inline constexpr std::uint32_t last_retransmission = 2;

/// Time from the original opening packet to its retransmission.
[[nodiscard]] duration time_passed(std::uint32_t retransmission);

/// Time after which a caller gives up an opening that was not answered and
/// opens another flow.
inline constexpr duration attempt_timeout = 1400ms;

/// What to do with an opening packet.
enum class admission : std::uint8_t
{
    start,
    /// Drop the packet; the caller will retransmit it.
    drop,
    /// No retransmission follows, so refuse the flow at once.
    refuse,
    /// Openings of more value need the capacity, so refuse the flow at once.
    hold_back,
    /// It can't be answered before its timeout, so refuse the flow at once.
    out_of_time
};

/// Decides on an opening packet whose best candidate is `best`.
/// `retransmission` is the number of the retransmission, 0 for the original
/// packet.
[[nodiscard]] admission admit(const admission_limits& limits,
                              std::uint32_t retransmission,
                              const candidate& best);

} // namespace catkinkeel::steering
