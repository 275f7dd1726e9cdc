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

bool supersedes(const confirmation& received,
                const std::optional<confirmation>& known)
{
    return !known ||
           (received.at > known->at && received.revision >= known->revision);
}

void freshness_tracker::record(const confirmation& received)
{
    if (supersedes(received, last_))
    {
        last_ = received;
    }
}

void freshness_tracker::record_own(const confirmation& own)
{
    if (!last_ || own.at > last_->at)
    {
        last_ = own;
    }
}

void freshness_tracker::note_applied(std::uint64_t revision)
{
    if (last_ && !is_behind(revision))
    {
        applied_as_of_ = last_->at;
    }
}

read_plan freshness_tracker::plan_read(std::uint64_t revision,
                                       const reader_rank& rank,
                                       instant now) const
{
    const duration remaining = next_confirmation(rank) - now;
    if (!last_ || remaining <= duration::zero())
    {
        return {.confirm = true};
    }
    const duration max_wait =
        is_behind(revision) ? settings_.replica_delay
                            : fraction_of(settings_.effect_bound,
                                          settings_.replica_wait_fraction);
    return {.wait = std::min(remaining, max_wait)};
}

bool freshness_tracker::replica_too_old(std::uint64_t revision,
                                        const reader_rank& rank,
                                        instant next_read) const
{
    return is_behind(revision) &&
           next_read > applied_as_of_ + max_confirmation_age(settings_, rank);
}

instant freshness_tracker::next_confirmation(const reader_rank& rank) const
{
    return last_ ? last_->at + max_confirmation_age(settings_, rank)
                 : instant{};
}

} // namespace catkinkeel::edge
