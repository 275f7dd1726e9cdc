#include "catkinkeel/edge/freshness.hpp"

#include <algorithm>

namespace catkinkeel::edge
{

namespace
{

duration fraction_of(duration whole, double fraction)
{
    return std::chrono::duration_cast<duration>(whole * fraction);
}

} // namespace

duration max_confirmation_age(const freshness_settings& settings,
                              const reader_rank& rank)
{
    if (rank.among_all == 0)
    {
        return fraction_of(settings.effect_bound,
                           settings.first_confirm_fraction);
    }
    const double steps = std::min(rank.in_data_centre, settings.max_rank_steps);
    return fraction_of(settings.effect_bound,
                       settings.others_confirm_fraction +
                           settings.rank_step_fraction * steps);
}

void freshness_tracker::record(const confirmation& received, instant now)
{
    if (!last_ || received.at > last_->at)
    {
        last_ = received;
        recorded_at_ = now;
    }
}

read_plan freshness_tracker::plan_read(std::uint64_t revision,
                                       const reader_rank& rank,
                                       instant now) const
{
    if (!last_)
    {
        return {.confirm = true};
    }
    const bool behind = last_->revision > revision;
    if (behind && now - recorded_at_ >= settings_.replica_delay)
    {
        return {.confirm = true};
    }
    const duration remaining =
        last_->at + max_confirmation_age(settings_, rank) - now;
    if (remaining <= duration::zero())
    {
        return {.confirm = true};
    }
    const duration max_wait =
        behind ? settings_.replica_delay
               : fraction_of(settings_.effect_bound,
                             settings_.replica_wait_fraction);
    return {.wait = std::min(remaining, max_wait)};
}

} // namespace catkinkeel::edge
