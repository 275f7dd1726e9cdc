#include "catkinkeel/edge/evidence_exchange.hpp"

#include <utility>

namespace catkinkeel::edge
{

namespace
{

/// Limits the delay of packets by a flood of reports. A report takes 20 us if
/// it has to displace another one in a full pool, else below 1 us.
constexpr std::size_t max_reports_per_batch = 64;

} // namespace

evidence_exchange::evidence_exchange(std::shared_ptr<evidence_rings> rings,
                                     std::shared_ptr<udp_socket> notice_socket,
                                     std::shared_ptr<edge_metrics> metrics)
    : rings_(std::move(rings)),
      notice_socket_(std::move(notice_socket)),
      metrics_(std::move(metrics))
{
}

void evidence_exchange::record_received(steering::evidence_pool& evidence,
                                        instant now)
{
    for (std::size_t i = 0; i < max_reports_per_batch; ++i)
    {
        const auto report = rings_->received.try_pop();
        if (!report)
        {
            return;
        }
        evidence.record_peer(*report, now);
        metrics_->evidence_reports_recorded.Increment();
    }
}

void evidence_exchange::pass_own(steering::evidence_pool& evidence, instant now)
{
    const std::vector<steering::target_report> reports =
        evidence.take_outgoing();
    if (reports.empty())
    {
        return;
    }
    for (const steering::target_report& each : reports)
    {
        rings_->own.push_newest(each);
    }
    if (now >= next_wake_)
    {
        next_wake_ = now + report_period;
        notice_socket_->wake();
    }
}

} // namespace catkinkeel::edge
