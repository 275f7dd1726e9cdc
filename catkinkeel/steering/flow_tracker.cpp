#include "catkinkeel/steering/flow_tracker.hpp"

namespace catkinkeel::steering
{

bool is_established(const tracked_flow* flow)
{
    return flow != nullptr && flow->stage == flow_stage::established;
}

request_step step_of(const tracked_flow* flow, const flow_segment& segment,
                     instant now)
{
    return is_established(flow)
               ? advance(flow->request, segment, now)
               : request_step{.next = begin_flow(segment, now),
                              .is_copy = segment.data_bytes > 0};
}

tracked_flow* flow_tracker::find(const flow_key& key)
{
    const auto found = flows_.find(key);
    return found == flows_.end() ? nullptr : &found->second;
}

tracked_flow* flow_tracker::add(const flow_key& key, const tracked_flow& flow)
{
    // `flows_by_age_` keeps the entry of an ended flow until the flow's
    // lifetime is over, so memory is bounded by its size and not by that of
    // `flows_`.
    if (flows_by_age_.size() >= settings_.max_flows)
    {
        return nullptr;
    }
    const auto [at, added] = flows_.emplace(key, flow);
    if (added)
    {
        flows_by_age_.push_back({key, flow.opened_at});
    }
    return added ? &at->second : nullptr;
}

void flow_tracker::erase(const flow_key& key)
{
    flows_.erase(key);
}

void flow_tracker::expect_answer(const pending_opening& opening)
{
    if (pending_openings_.size() < settings_.max_flows)
    {
        pending_openings_.push_back(opening);
    }
}

std::vector<pending_opening> flow_tracker::take_openings_until(instant limit)
{
    std::vector<pending_opening> taken;
    while (!pending_openings_.empty() &&
           pending_openings_.front().sent_at <= limit)
    {
        taken.push_back(pending_openings_.front());
        pending_openings_.pop_front();
    }
    return taken;
}

std::vector<tracked_flow> flow_tracker::take_expired(instant now)
{
    std::vector<tracked_flow> taken;
    while (!flows_by_age_.empty() &&
           flows_by_age_.front().opened_at + settings_.max_flow_age <= now)
    {
        const aging_flow oldest = flows_by_age_.front();
        flows_by_age_.pop_front();
        const auto found = flows_.find(oldest.key);
        if (found != flows_.end() &&
            found->second.opened_at == oldest.opened_at)
        {
            taken.push_back(std::move(found->second));
            flows_.erase(found);
        }
    }
    return taken;
}

} // namespace catkinkeel::steering
