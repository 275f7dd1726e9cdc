#include "catkinkeel/steering/admission.hpp"

#include <algorithm>
#include <array>

namespace catkinkeel::steering
{

namespace
{

/// Time from an opening packet to its retransmissions, by number.
constexpr std::array times_passed{0ms, 200ms, 600ms};

} // namespace

duration time_passed(std::uint32_t retransmission)
{
    return times_passed.at(
        std::min<std::size_t>(retransmission, times_passed.size() - 1));
}

admission admit(const admission_limits& limits, std::uint32_t retransmission,
                const candidate& best)
{
    const double load = static_cast<double>(best.in_flight) / best.slots;
    if (retransmission >= last_retransmission)
    {
        return load < limits.max_load_last_retransmission ? admission::start
                                                          : admission::refuse;
    }
    const double limit = retransmission == 0 ? limits.max_load_original
                                             : limits.max_load_retransmission;
    return load < limit ? admission::start : admission::drop;
}

} // namespace catkinkeel::steering
