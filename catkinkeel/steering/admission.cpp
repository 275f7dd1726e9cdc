#include "catkinkeel/steering/admission.hpp"

namespace catkinkeel::steering
{

admission admit(const admission_limits& limits, std::uint32_t copy,
                const candidate& best)
{
    const double load = static_cast<double>(best.in_flight) / best.slots;
    if (copy >= last_copy)
    {
        return load < limits.last ? admission::start : admission::refuse;
    }
    const double limit = copy == 0 ? limits.first : limits.repeated;
    return load < limit ? admission::start : admission::wait;
}

} // namespace catkinkeel::steering
