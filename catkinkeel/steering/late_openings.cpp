#include "catkinkeel/steering/late_openings.hpp"

#include "catkinkeel/steering/admission.hpp"

#include <algorithm>
#include <cmath>

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

bool late_openings::may_start(service_id service, std::uint64_t slots,
                              instant now) const
{
    const double share =
        daemons_ ? max_late_share * static_cast<double>(slots) / *daemons_ : 1;
    return static_cast<double>(in_flight(service, now)) <
           std::max(std::floor(share), 1.0);
}

void late_openings::request_started(const late_request& request)
{
    deadlines_[request.service].push_back(request.deadline);
}

void late_openings::request_ended(const late_request& request)
{
    const auto service = deadlines_.find(request.service);
    if (service == deadlines_.end())
    {
        return;
    }
    std::vector<instant>& deadlines = service->second;
    const auto ended = std::ranges::find(deadlines, request.deadline);
    if (ended != deadlines.end())
    {
        deadlines.erase(ended);
    }
    if (deadlines.empty())
    {
        deadlines_.erase(service);
    }
}

std::size_t late_openings::in_flight(service_id service, instant now) const
{
    const auto found = deadlines_.find(service);
    return found == deadlines_.end()
               ? 0
               : std::ranges::count_if(found->second, [now](instant deadline)
                                       { return deadline > now; });
}

} // namespace catkinkeel::steering
