#include "catkinkeel/edge/evidence_outbox.hpp"

#include <algorithm>

namespace catkinkeel::edge
{

void evidence_outbox::add(const steering::target_report& report)
{
    const auto same = std::ranges::find_if(
        waiting_, [&](const steering::target_report& each)
        { return each.target == report.target && each.kind == report.kind; });
    if (same != waiting_.end())
    {
        *same = report;
        return;
    }
    if (waiting_.size() >= max_waiting_reports)
    {
        waiting_.pop_front();
        ++dropped_;
    }
    waiting_.push_back(report);
}

void evidence_outbox::expire(instant now)
{
    dropped_ += std::erase_if(
        waiting_, [&](const steering::target_report& each)
        { return now - each.observed_at > steering::max_evidence_age; });
}

std::vector<steering::target_report>
evidence_outbox::first(std::size_t count) const
{
    const auto last = waiting_.begin() + static_cast<std::ptrdiff_t>(
                                             std::min(count, waiting_.size()));
    return {waiting_.begin(), last};
}

void evidence_outbox::remove_first(std::size_t count)
{
    waiting_.erase(waiting_.begin(),
                   waiting_.begin() + static_cast<std::ptrdiff_t>(
                                          std::min(count, waiting_.size())));
}

} // namespace catkinkeel::edge
