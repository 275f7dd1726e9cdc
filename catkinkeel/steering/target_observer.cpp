#include "catkinkeel/steering/target_observer.hpp"

#include <algorithm>
#include <array>

namespace catkinkeel::steering
{

namespace
{

/// Each new exchange time enters the moving average with a weight of 1/8.
constexpr int smoothing_divisor = 8;

/// The part of a target's load that includes flows of this activity; null for
/// flows that are not counted.
std::uint32_t target_load::*count_of(flow_activity activity)
{
    constexpr std::array<std::uint32_t target_load::*, 3> counts{
        nullptr, &target_load::idle_flows, &target_load::in_flight};
    return counts.at(static_cast<std::size_t>(activity));
}

void decrement(std::uint32_t& count)
{
    count -= count > 0 ? 1 : 0;
}

} // namespace

std::string_view to_string(target_trust trust)
{
    constexpr std::array<std::string_view, 3> names{"trusted", "on_trial",
                                                    "avoided"};
    return names.at(static_cast<std::size_t>(trust));
}

void target_observer::retain_targets_of(const steering_view& view)
{
    std::erase_if(loads_, [&](const auto& each)
                  { return view.find_target(each.first) == nullptr; });
}

void target_observer::activity_changed(target_id target, flow_activity from,
                                       flow_activity to)
{
    if (from == to)
    {
        return;
    }
    // A target without state has left the view, or is new to this daemon.
    const auto found = loads_.find(target);
    if (found == loads_.end() && to == flow_activity::none)
    {
        return;
    }
    target_load& load = found == loads_.end() ? loads_[target] : found->second;
    if (const auto former = count_of(from))
    {
        decrement(load.*former);
    }
    if (const auto next = count_of(to))
    {
        ++(load.*next);
    }
}

void target_observer::opening_sent(const view_target& target, instant now)
{
    ++loads_[target.id].pending_openings;
    const auto centre_state = data_centres_.find(target.data_centre);
    if (centre_state != data_centres_.end() &&
        is_unreachable(centre_state->second))
    {
        // Limits an unreachable data centre to one attempt at a time until one
        // of its targets answers.
        instant& until = centre_state->second.avoid_until;
        until = std::max(until, now + settings_.handshake_timeout);
    }
}

void target_observer::opening_resolved(target_id target)
{
    const auto found = loads_.find(target);
    if (found != loads_.end())
    {
        decrement(found->second.pending_openings);
    }
}

void target_observer::answered(const view_target& target, instant now)
{
    target_load& load = loads_[target.id];
    load.answered_at = now;
    load.failures = 0;
    load.avoid_until = {};
    data_centres_[target.data_centre] = {};
}

bool target_observer::answer_timed_out(const view_target& target, instant sent,
                                       instant now)
{
    target_load& load = loads_[target.id];
    if (load.answered_at && *load.answered_at >= sent)
    {
        return false;
    }
    load.avoid_until =
        now + backoff_delay(settings_.initial_avoid_period, load.failures,
                            settings_.max_avoid_period);
    ++load.failures;

    data_centre_state& centre_state = data_centres_[target.data_centre];
    if (centre_state.last_silent_target != target.id ||
        is_unreachable(centre_state))
    {
        ++centre_state.consecutive_silent_targets;
        centre_state.last_silent_target = target.id;
    }
    if (is_unreachable(centre_state) && now >= centre_state.avoid_until)
    {
        centre_state.avoid_until =
            now + backoff_delay(settings_.initial_data_centre_retry_delay,
                                centre_state.retry_count,
                                settings_.max_data_centre_retry_delay);
        ++centre_state.retry_count;
    }
    return true;
}

void target_observer::exchange_finished(target_id target, duration elapsed)
{
    const auto found = loads_.find(target);
    if (found == loads_.end())
    {
        return;
    }
    std::optional<duration>& smoothed = found->second.exchange_time;
    smoothed = smoothed ? *smoothed + (elapsed - *smoothed) / smoothing_divisor
                        : elapsed;
}

target_load target_observer::load_of(target_id target) const
{
    const auto found = loads_.find(target);
    return found == loads_.end() ? target_load{} : found->second;
}

bool target_observer::is_unreachable(const data_centre_state& state) const
{
    return state.consecutive_silent_targets >=
           settings_.data_centre_unreachable_threshold;
}

target_trust target_observer::trust_of(const view_target& target,
                                       instant now) const
{
    const auto centre_state = data_centres_.find(target.data_centre);
    if (centre_state != data_centres_.end() &&
        is_unreachable(centre_state->second) &&
        now < centre_state->second.avoid_until)
    {
        return target_trust::avoided;
    }
    const target_load load = load_of(target.id);
    if (load.failures == 0)
    {
        return target_trust::trusted;
    }
    if (now < load.avoid_until)
    {
        return target_trust::avoided;
    }
    return load.pending_openings > 0 ? target_trust::avoided
                                     : target_trust::on_trial;
}

} // namespace catkinkeel::steering
