#include "catkinkeel/edge/freshness.hpp"

#include <algorithm>

namespace catkinkeel::edge
{

namespace
{

duration part_of(duration whole, double part)
{
    return std::chrono::duration_cast<duration>(whole * part);
}

} // namespace

duration confirm_after(const freshness_settings& settings,
                       const reader_rank& rank)
{
    if (rank.among_all == 0)
    {
        return part_of(settings.bound, settings.first_confirms);
    }
    const double steps = std::min(rank.in_data_centre, settings.most_steps);
    return part_of(settings.bound,
                   settings.others_confirm + settings.step_by_rank * steps);
}

void freshness::note(const confirmation& known, instant now)
{
    if (!last_ || known.at > last_->at)
    {
        last_ = known;
        noted_ = now;
    }
}

read_choice freshness::choose(std::uint64_t revision, const reader_rank& rank,
                              instant now) const
{
    if (!last_)
    {
        return {.confirm = true};
    }
    const bool behind = last_->revision > revision;
    if (behind && now - noted_ >= settings_.replica_delay)
    {
        return {.confirm = true};
    }
    const duration left = last_->at + confirm_after(settings_, rank) - now;
    if (left <= duration::zero())
    {
        return {.confirm = true};
    }
    const duration longest =
        behind ? settings_.replica_delay
               : part_of(settings_.bound, settings_.follow_wait);
    return {.wait = std::min(left, longest)};
}

} // namespace catkinkeel::edge
