#include "catkinkeel/steering/admission.hpp"

namespace catkinkeel::steering
{

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
