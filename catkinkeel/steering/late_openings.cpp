#include "catkinkeel/steering/late_openings.hpp"

#include "catkinkeel/steering/admission.hpp"

#include <algorithm>

namespace catkinkeel::steering
{

bool is_deferrable(std::uint32_t retransmission, const request_terms& terms)
{
    const duration next_attempt_ends =
        attempt_timeout + time_passed(last_retransmission);
    return terms.latency_goal > duration::zero() &&
           time_passed(retransmission) >= terms.latency_goal &&
           terms.timeout >= next_attempt_ends + terms.latency_goal;
}

void late_openings::set_daemon_count(std::uint32_t daemons)
{
    daemons_ = std::max(daemons, 1U);
}

bool late_openings::may_start(service_id service, std::uint64_t slots) const
{
    const double share =
        daemons_ ? max_late_share * static_cast<double>(slots) / *daemons_ : 1;
    return in_flight(service) < std::max(share, 1.0);
}

void late_openings::request_started(service_id service)
{
    ++in_flight_[service];
}

void late_openings::request_ended(service_id service)
{
    const auto found = in_flight_.find(service);
    if (found != in_flight_.end() && --found->second == 0)
    {
        in_flight_.erase(found);
    }
}

std::uint32_t late_openings::in_flight(service_id service) const
{
    const auto found = in_flight_.find(service);
    return found == in_flight_.end() ? 0 : found->second;
}

} // namespace catkinkeel::steering
