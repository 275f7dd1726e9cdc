#include "catkinkeel/steering/target_observer.hpp"

#include <algorithm>
#include <array>

namespace catkinkeel::steering
{

namespace
{

/// Part of a new exchange time in the smoothed one.
constexpr int smoothing = 8;

void lower(std::uint32_t& count)
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

void target_observer::keep_only(const steering_view& view)
{
    std::erase_if(loads_, [&](const auto& each)
                  { return view.find_target(each.first) == nullptr; });
}

void target_observer::flow_started(target_id target)
{
    ++loads_[target].in_flight;
}

void target_observer::opening_sent(const view_target& target, instant now)
{
    ++loads_[target.id].unanswered;
    const auto place = data_centres_.find(target.data_centre);
    if (place != data_centres_.end() && is_lost(place->second))
    {
        // One attempt at a time until a target there answers.
        instant& until = place->second.avoid_until;
        until = std::max(until, now + settings_.answer_limit);
    }
}

void target_observer::flow_ended(target_id target)
{
    const auto found = loads_.find(target);
    if (found != loads_.end())
    {
        lower(found->second.in_flight);
    }
}

void target_observer::opening_settled(target_id target)
{
    const auto found = loads_.find(target);
    if (found != loads_.end())
    {
        lower(found->second.unanswered);
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

bool target_observer::unanswered(const view_target& target, instant sent,
                                 instant now)
{
    target_load& load = loads_[target.id];
    if (load.answered_at && *load.answered_at >= sent)
    {
        return false;
    }
    load.avoid_until = now + doubled_delay(settings_.avoid_first, load.failures,
                                           settings_.avoid_at_most);
    ++load.failures;

    data_centre_state& place = data_centres_[target.data_centre];
    if (place.last_silent != target.id || is_lost(place))
    {
        ++place.silent_in_a_row;
        place.last_silent = target.id;
    }
    if (is_lost(place) && now >= place.avoid_until)
    {
        place.avoid_until =
            now + doubled_delay(settings_.reach_first, place.rounds,
                                settings_.reach_at_most);
        ++place.rounds;
    }
    return true;
}

void target_observer::exchange_finished(target_id target, duration took)
{
    const auto found = loads_.find(target);
    if (found == loads_.end())
    {
        return;
    }
    std::optional<duration>& smoothed = found->second.exchange_time;
    smoothed = smoothed ? *smoothed + (took - *smoothed) / smoothing : took;
}

target_load target_observer::load_of(target_id target) const
{
    const auto found = loads_.find(target);
    return found == loads_.end() ? target_load{} : found->second;
}

bool target_observer::is_lost(const data_centre_state& state) const
{
    return state.silent_in_a_row >=
           settings_.silent_targets_of_lost_data_centre;
}

target_trust target_observer::trust_in(const view_target& target,
                                       instant now) const
{
    const auto place = data_centres_.find(target.data_centre);
    if (place != data_centres_.end() && is_lost(place->second) &&
        now < place->second.avoid_until)
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
    return load.unanswered > 0 ? target_trust::avoided : target_trust::on_trial;
}

} // namespace catkinkeel::steering
