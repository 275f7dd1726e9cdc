#include "catkinkeel/steering/failing_targets.hpp"

#include <algorithm>
#include <utility>

namespace catkinkeel::steering
{

namespace
{

/// Time without new flows; it doubles while the target goes on failing. These
/// are the periods of a target that does not answer (`observer_settings`).
constexpr duration initial_avoid_period = 2s;
constexpr duration max_avoid_period = 8s;
/// A target that fails again within this time after its suspicion ended is
/// avoided for longer than before.
constexpr duration relapse_period = 10s;
/// A trial without an answer is given up after this time. It exceeds the
/// longest exchange of a busy target.
constexpr duration trial_timeout = 3s;
/// For this time after the avoid period, an idle target is preferred to one on
/// trial. Without an end of it, a trial would never come at low load.
constexpr duration trial_delay = 1s;
/// A suspicion ends without a trial if no flow came in this time.
constexpr duration suspicion_lifetime = 10s;

/// Observations that make a suspicion: own deficient answers and peers that
/// report the target.
constexpr std::uint32_t min_observations = 2;
/// If other targets send deficient answers in more than these shares, one
/// observation more is required for each: a share of 0.01 from all targets
/// would otherwise hold twice as many targets suspected.
constexpr double raised_share = 0.0025;
constexpr double high_share = 0.01;

/// The share of a target's own answers that must be deficient: three times that
/// of the trusted targets, within these bounds. A target that fails half of its
/// requests is well above the lower bound.
constexpr double share_factor = 3;
constexpr double min_target_share = 0.25;
constexpr double max_target_share = 0.9;

/// Usual answers in a row that show that a target does not fail. One that fails
/// half of its requests gives four in a row once in 16 times.
constexpr std::uint32_t clearing_answers = 4;

/// Suspicions of more than one target in this many are ignored.
constexpr double ignored_part = 3;

} // namespace

std::string_view to_string(suspicion_cause cause)
{
    constexpr std::array<std::string_view, 5> names{
        "evidence", "trial_answered", "usual_answers", "expired",
        "target_left"};
    return names.at(static_cast<std::size_t>(cause));
}

void failing_targets::recent_outcomes::add(const outcome& next)
{
    last.at(count % last.size()) = next;
    ++count;
}

void failing_targets::retain_targets_of(const steering_view& view)
{
    for (auto each = targets_.begin(); each != targets_.end();)
    {
        if (view.find_target(each->first) != nullptr)
        {
            ++each;
            continue;
        }
        end_suspicion(each->second, suspicion_cause::target_left);
        each = targets_.erase(each);
    }
}

void failing_targets::end_expired(const steering_view& view, instant now,
                                  const evidence_pool& pool)
{
    if (suspected_count_ == 0 || now - expired_at_ < expiry_interval)
    {
        return;
    }
    expired_at_ = now;
    for (auto& [id, state] : targets_)
    {
        if (!state.suspected || !is_expired(*state.suspected, now))
        {
            continue;
        }
        const view_target* target = view.find_target(id);
        if (target == nullptr || !sufficient_evidence(*target, now, pool))
        {
            end_suspicion(state, suspicion_cause::expired);
        }
    }
}

failing_targets::target_state& failing_targets::entry(const view_target& target,
                                                      instant now)
{
    auto found = targets_.find(target.id);
    if (found == targets_.end())
    {
        if (targets_.size() >= max_failing_targets)
        {
            const auto oldest = std::ranges::min_element(
                targets_, {},
                [](const auto& each) { return each.second.failed_at; });
            end_suspicion(oldest->second, suspicion_cause::expired);
            targets_.erase(oldest);
        }
        found = targets_.emplace(target.id, target_state{}).first;
        found->second = {.name = target.name, .failed_at = now};
    }
    else if (has_recovered(found->second, now))
    {
        found->second = {.name = target.name, .failed_at = now};
    }
    return found->second;
}

bool failing_targets::has_recovered(const target_state& state, instant now)
{
    return !state.suspected && now - state.failed_at > relapse_period;
}

bool failing_targets::is_expired(const suspicion& current, instant now)
{
    return now - current.avoid_until > suspicion_lifetime;
}

void failing_targets::record_answer(const view_target& target,
                                    answer_verdict verdict, instant sent_at,
                                    instant now, evidence_pool& pool)
{
    const auto known = targets_.find(target.id);
    if (known != targets_.end() && known->second.suspected &&
        known->second.suspected->trial_sent_at <= sent_at)
    {
        known->second.suspected->trial_sent_at.reset();
    }
    if (verdict == answer_verdict::unjudged)
    {
        return;
    }
    const bool deficient = verdict == answer_verdict::deficient;
    if (!is_avoided(target))
    {
        services_[target.service].answers.record(deficient, now);
    }
    if (deficient)
    {
        record_deficient(target, sent_at, now, pool);
    }
    else if (known != targets_.end() ||
             pool.evidence_of(target, evidence_kind::failing_answers, now)
                     .reporters > 0)
    {
        record_usual(target, sent_at, now, pool);
    }
}

void failing_targets::record_deficient(const view_target& target,
                                       instant sent_at, instant now,
                                       evidence_pool& pool)
{
    target_state& state = entry(target, now);
    state.outcomes.add({now, true});
    state.usual_in_row = 0;
    state.failed_at = now;
    const own_evidence own = recent_answers(state, now);
    if (is_share_high(own, target.service))
    {
        pool.record_own(target, evidence_kind::failing_answers, own.deficient,
                        now);
    }
    if (state.suspected)
    {
        if (sent_at >= state.suspected->avoid_until)
        {
            begin_avoid_period(state, now);
        }
    }
    else if (const auto evidence = sufficient_evidence(target, now, pool))
    {
        begin_suspicion(target, state, *evidence, now);
    }
}

void failing_targets::record_usual(const view_target& target, instant sent_at,
                                   instant now, evidence_pool& pool)
{
    target_state& state = entry(target, now);
    state.outcomes.add({now, false});
    ++state.usual_in_row;
    const bool answers_trial =
        state.suspected && sent_at >= state.suspected->avoid_until;
    if (!answers_trial && state.usual_in_row < clearing_answers)
    {
        return;
    }
    pool.clear_own(target, evidence_kind::failing_answers, now);
    if (state.suspected)
    {
        state.failed_at = now;
        end_suspicion(state, answers_trial ? suspicion_cause::trial_answered
                                           : suspicion_cause::usual_answers);
    }
}

void failing_targets::opening_sent(target_id target, instant now)
{
    const auto found = targets_.find(target);
    if (found != targets_.end() && found->second.suspected &&
        now >= found->second.suspected->avoid_until)
    {
        found->second.suspected->trial_sent_at = now;
    }
}

void failing_targets::adjust_trust(std::span<candidate> candidates,
                                   const new_flow& flow, instant now,
                                   const evidence_pool& pool)
{
    assessed_.clear();
    double total = 0;
    double suspected = 0;
    for (const candidate& each : candidates)
    {
        total += each.represents;
        const view_target& target = flow.view.parts().targets[each.index];
        target_trust trust = assess(target, now, pool);
        const auto state = targets_.find(target.id);
        if (state != targets_.end() && state->second.suspected)
        {
            suspected += each.represents;
            // A request that must not be repeated is no trial.
            trust = flow.idempotent ? trust : target_trust::avoided;
        }
        assessed_.push_back(trust);
    }
    const bool ignored = suspected * ignored_part > total;
    if (ignored || services_.contains(flow.service))
    {
        services_[flow.service].ignores_suspicions = ignored;
    }
    for (std::size_t i = 0; i < candidates.size() && !ignored; ++i)
    {
        candidates[i].trust = std::max(candidates[i].trust, assessed_[i]);
    }
}

target_trust failing_targets::assess(const view_target& target, instant now,
                                     const evidence_pool& pool)
{
    const auto found = targets_.find(target.id);
    const bool suspected = found != targets_.end() && found->second.suspected;
    if (suspected && now < found->second.suspected->avoid_until)
    {
        return target_trust::avoided;
    }
    if (const auto evidence = sufficient_evidence(target, now, pool))
    {
        target_state& state = entry(target, now);
        if (!suspected)
        {
            begin_suspicion(target, state, *evidence, now);
        }
        else if (state.suspected->trial_due)
        {
            // Trials of other daemons failed.
            begin_avoid_period(state, now);
        }
        return target_trust::avoided;
    }
    if (!suspected)
    {
        if (found != targets_.end() && has_recovered(found->second, now))
        {
            targets_.erase(found);
        }
        return target_trust::trusted;
    }
    suspicion& current = *found->second.suspected;
    current.trial_due = true;
    if (is_expired(current, now))
    {
        end_suspicion(found->second, suspicion_cause::expired);
        return target_trust::trusted;
    }
    if (current.trial_sent_at && now - *current.trial_sent_at < trial_timeout)
    {
        return target_trust::avoided;
    }
    return now - current.avoid_until < trial_delay ? target_trust::on_trial
                                                   : target_trust::trusted;
}

bool failing_targets::is_avoided(const view_target& target) const
{
    const auto state = targets_.find(target.id);
    if (state == targets_.end() || !state->second.suspected)
    {
        return false;
    }
    const auto service = services_.find(target.service);
    return service == services_.end() || !service->second.ignores_suspicions;
}

std::optional<evidence_summary>
failing_targets::sufficient_evidence(const view_target& target, instant now,
                                     const evidence_pool& pool) const
{
    const evidence_summary evidence =
        pool.evidence_of(target, evidence_kind::failing_answers, now);
    const std::uint32_t observations = evidence.own_count + evidence.reporters;
    if (observations < min_observations)
    {
        return std::nullopt;
    }
    const auto state = targets_.find(target.id);
    const own_evidence own = state == targets_.end()
                                 ? own_evidence{}
                                 : recent_answers(state->second, now);
    const double share = usual_share(target.service, own);
    const std::uint32_t required = min_observations +
                                   (share > raised_share ? 1 : 0) +
                                   (share > high_share ? 1 : 0);
    if (observations < required || !is_share_high(own, target.service))
    {
        return std::nullopt;
    }
    return evidence;
}

failing_targets::own_evidence
failing_targets::recent_answers(const target_state& state, instant now)
{
    own_evidence own;
    const std::size_t known =
        std::min(state.outcomes.count, state.outcomes.last.size());
    for (const outcome& each : std::span(state.outcomes.last).first(known))
    {
        if (now - each.at <= max_evidence_age)
        {
            ++own.answers;
            own.deficient += each.deficient ? 1 : 0;
        }
    }
    return own;
}

bool failing_targets::is_share_high(const own_evidence& own,
                                    service_id service) const
{
    const double required = std::clamp(share_factor * usual_share(service, own),
                                       min_target_share, max_target_share);
    return own.deficient >= required * own.answers;
}

double failing_targets::usual_share(service_id service,
                                    const own_evidence& own) const
{
    const auto found = services_.find(service);
    return found == services_.end()
               ? 0
               : found->second.answers.share(own.deficient);
}

void failing_targets::begin_suspicion(const view_target& target,
                                      target_state& state,
                                      const evidence_summary& evidence,
                                      instant now)
{
    state.suspected = suspicion{.evidence = evidence, .since = now};
    ++suspected_count_;
    services_[target.service].answers.remove(
        recent_answers(state, now).deficient);
    begin_avoid_period(state, now);
    add_change(state, suspicion_cause::evidence);
}

void failing_targets::begin_avoid_period(target_state& state, instant now)
{
    state.suspected->avoid_until =
        now +
        backoff_delay(initial_avoid_period, state.periods, max_avoid_period);
    state.suspected->trial_due = false;
    state.suspected->trial_sent_at.reset();
    ++state.periods;
    state.failed_at = now;
}

void failing_targets::end_suspicion(target_state& state, suspicion_cause cause)
{
    if (state.suspected)
    {
        add_change(state, cause);
        state.suspected.reset();
        --suspected_count_;
    }
}

void failing_targets::add_change(const target_state& state,
                                 suspicion_cause cause)
{
    if (changes_.size() < max_suspicion_changes)
    {
        changes_.push_back({state.name, cause, state.suspected->evidence,
                            state.suspected->since});
    }
}

std::vector<suspicion_change> failing_targets::take_changes()
{
    return std::exchange(changes_, {});
}

} // namespace catkinkeel::steering
