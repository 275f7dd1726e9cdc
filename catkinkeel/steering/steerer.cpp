#include "catkinkeel/steering/steerer.hpp"

#include "catkinkeel/base/hash.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace catkinkeel::steering
{

namespace
{

/// A new flow compares at most this many samples of a large service's targets.
constexpr std::size_t max_samples = 2;

forward to_target(const view_target& target)
{
    return {target.id, target.address, target.identity, target.token};
}

/// Mean exchange time of the candidates for which it is known.
std::optional<duration>
mean_exchange_time(const std::vector<target_load>& loads)
{
    duration sum{};
    std::int64_t count = 0;
    for (const target_load& load : loads)
    {
        if (load.exchange_time)
        {
            sum += *load.exchange_time;
            ++count;
        }
    }
    return count == 0 ? std::nullopt : std::optional(sum / count);
}

/// `total` for each one of `part`, of which there is at least one.
double ratio(std::size_t total, std::size_t part)
{
    return static_cast<double>(total) / static_cast<double>(part);
}

double slowness(const target_load& load, const std::optional<duration>& mean)
{
    if (!load.exchange_time || !mean || mean->count() <= 0)
    {
        return 1;
    }
    return static_cast<double>(load.exchange_time->count()) /
           static_cast<double>(mean->count());
}

/// Slots of the service's eligible targets; an estimate if not all of them are
/// candidates.
std::uint64_t slots_of(std::span<const candidate> candidates)
{
    double slots = 0;
    for (const candidate& each : candidates)
    {
        slots += each.slots * each.represents;
    }
    return static_cast<std::uint64_t>(std::llround(slots));
}

/// The decision on an opening packet that is not admitted.
steering_decision decision_on(admission verdict)
{
    switch (verdict)
    {
    case admission::refuse:
        return refuse{refusal_reason::overloaded};
    case admission::hold_back:
        return refuse{refusal_reason::held_back};
    case admission::out_of_time:
        return refuse{refusal_reason::out_of_time};
    default:
        return discard{discard_reason::overloaded};
    }
}

} // namespace

std::string_view to_string(refusal_reason reason)
{
    constexpr std::array<std::string_view, refusal_reason_count> names{
        "no_reference",  "reference_removed", "no_target",  "overloaded",
        "target_silent", "held_back",         "out_of_time"};
    return names.at(static_cast<std::size_t>(reason));
}

std::string_view to_string(discard_reason reason)
{
    constexpr std::array<std::string_view, discard_reason_count> names{
        "no_view", "unknown_reference", "unknown_token", "overloaded",
        "deferred"};
    return names.at(static_cast<std::size_t>(reason));
}

steerer::steerer(steerer_settings settings,
                 std::shared_ptr<const selection_policy> policy,
                 random_source random)
    : settings_(std::move(settings)),
      policy_(std::move(policy)),
      random_(random),
      observer_(settings_.observer),
      cost_admission_(settings_.cost, settings_.admission),
      flows_(settings_.tracker)
{
}

void steerer::replace_view(std::shared_ptr<const steering_view> view)
{
    if (view_ && view->parts().version < view_->parts().version)
    {
        return;
    }
    view_ = std::move(view);
    observer_.retain_targets_of(*view_);
    if (settings_.admits_by_cost)
    {
        cost_admission_.replace_view(*view_);
    }
    failing_.retain_targets_of(*view_);
    own_data_centre_.reset();
    const std::vector<std::string>& data_centre_names =
        view_->parts().data_centres;
    const auto found =
        std::ranges::find(data_centre_names, settings_.data_centre);
    if (found != data_centre_names.end())
    {
        own_data_centre_ = data_centre_id{
            static_cast<std::uint16_t>(found - data_centre_names.begin())};
    }
}

bool steerer::is_view_fresh(instant now) const
{
    return now - view_->parts().confirmed_at <= settings_.max_view_age;
}

steering_result steerer::decide(const flow_packet& packet, instant now)
{
    if (!view_)
    {
        return {.decision = discard{discard_reason::no_view}};
    }
    const view_reference* reference =
        view_->find_reference(packet.key.service_side);
    if (reference == nullptr)
    {
        if (packet.opens && is_view_fresh(now))
        {
            return {.decision = refuse{refusal_reason::no_reference}};
        }
        return {.decision = discard{discard_reason::unknown_reference}};
    }
    if (!packet.opens)
    {
        return steer_by_token(packet, *reference, now);
    }
    if (reference->weighted_services.empty())
    {
        return {.decision = refuse{refusal_reason::reference_removed}};
    }
    return steer_opening(packet, *reference, now);
}

steering_result steerer::steer_opening(const flow_packet& packet,
                                       const view_reference& reference,
                                       instant now)
{
    tracked_flow* tracked = flows_.find(packet.key);
    const bool same_target =
        tracked != nullptr && (tracked->stage == flow_stage::established ||
                               packet.retransmission == 0 ||
                               now - tracked->last_opening_sent <
                                   observer_.settings().handshake_timeout);
    if (same_target)
    {
        // A duplicate. Another target would take it for a second flow.
        if (const view_target* target = view_->find_target(tracked->target))
        {
            // The caller may use its port again for a new flow, whose data may
            // have the same numbers.
            tracked->request = without_copies(tracked->request);
            return {.decision = to_target(*target)};
        }
    }
    return select_target(packet, reference, now);
}

steering_result steerer::select_target(const flow_packet& packet,
                                       const view_reference& reference,
                                       instant now)
{
    const service_id service = choose_service(packet, reference);
    const tracked_flow* tracked = flows_.find(packet.key);
    const std::span<const candidate> candidates =
        candidates_for(service, tracked, now);
    if (settings_.judges_answers)
    {
        failing_.adjust_trust(candidates_,
                              {*view_, service, reference.terms.idempotent},
                              now, evidence_);
    }
    const auto position = policy_->choose(candidates, random_);
    if (!position)
    {
        return {.decision = refuse{refusal_reason::no_target}};
    }
    const candidate& selected = candidates[*position];
    // An older record is of a former flow of the caller's port.
    const bool forwarded_just_now =
        tracked != nullptr &&
        now - tracked->last_opening_sent < attempt_timeout;
    const bool late = settings_.limits_late_openings &&
                      is_deferrable(packet.retransmission, reference.terms);
    if (late && !forwarded_just_now &&
        !late_.may_start(service, slots_of(candidates), now))
    {
        // Dropped and not refused: a caller that is refused comes back at once,
        // as an original.
        return {.decision = discard{discard_reason::deferred}};
    }
    const admission verdict = cost_admission_.decide(
        {.service = service,
         .reference = reference.address,
         .retransmission = packet.retransmission,
         .forwarded_before = packet.retransmission > 0 && tracked != nullptr},
        selected, random_, now);
    if (verdict != admission::start)
    {
        return {.decision = decision_on(verdict)};
    }
    const view_target& target = view_->parts().targets[selected.index];
    record_opening(packet, target, now);
    if (late)
    {
        record_late(packet.key, {service, now + reference.terms.timeout});
    }
    failing_.opening_sent(target.id, now);
    const auto avoided = std::ranges::count(candidates, target_trust::avoided,
                                            &candidate::trust);
    return {.decision = to_target(target),
            .selection =
                selection_details{static_cast<std::uint32_t>(candidates.size()),
                                  static_cast<std::uint32_t>(avoided),
                                  selected.in_flight, selected.trust}};
}

service_id steerer::choose_service(const flow_packet& packet,
                                   const view_reference& reference) const
{
    std::uint64_t sum = 0;
    for (const weighted_service_id& weighted : reference.weighted_services)
    {
        sum += weighted.weight;
    }
    if (sum == 0)
    {
        return reference.weighted_services.front().service;
    }
    // The flow's hash sends every retransmission of an opening packet to the
    // same service, whichever daemon receives it.
    std::uint64_t position = hash_flow(packet.key) % sum;
    for (const weighted_service_id& weighted : reference.weighted_services)
    {
        if (position < weighted.weight)
        {
            return weighted.service;
        }
        position -= weighted.weight;
    }
    return reference.weighted_services.back().service;
}

void steerer::record_late(const flow_key& key, const late_request& request)
{
    tracked_flow* flow = flows_.find(key);
    if (flow != nullptr && !flow->late)
    {
        flow->late = request;
        count_late(*flow);
    }
}

void steerer::count_late(tracked_flow& flow)
{
    if (!flow.late)
    {
        return;
    }
    const bool in_flight = flow.activity == flow_activity::at_work;
    if (in_flight && !flow.late_in_flight)
    {
        late_.request_started(*flow.late);
    }
    else if (!in_flight && flow.late_in_flight)
    {
        late_.request_ended(*flow.late);
    }
    flow.late_in_flight = in_flight;
    if (flow.activity == flow_activity::idle)
    {
        flow.late.reset();
    }
}

std::span<const candidate> steerer::candidates_for(service_id service,
                                                   const tracked_flow* tracked,
                                                   instant now)
{
    const auto eligible = view_->eligible_targets(service);
    candidates_.clear();
    loads_.clear();
    if (eligible.size() > max_candidates)
    {
        sample_candidates(service, tracked, now);
    }
    else
    {
        for (const std::uint32_t index : eligible)
        {
            add_candidate(index, tracked, now);
        }
    }
    const auto mean = mean_exchange_time(loads_);
    for (std::size_t i = 0; i < candidates_.size(); ++i)
    {
        candidates_[i].slowness = slowness(loads_[i], mean);
    }
    return candidates_;
}

void steerer::sample_candidates(service_id service, const tracked_flow* tracked,
                                instant now)
{
    const auto eligible = view_->eligible_targets(service);
    const position_range nearby =
        own_data_centre_ ? view_->eligible_range(service, *own_data_centre_)
                         : position_range{};
    const group_sizes sizes{nearby.count, eligible.size() - nearby.count};
    sampler_.begin(sizes);
    for (std::size_t i = 0; i < max_samples && !has_good_candidate(); ++i)
    {
        for (const std::uint32_t position : sampler_.draw(random_))
        {
            // The nearby targets have the first positions; the others follow
            // them, and wrap around.
            add_candidate(eligible[(nearby.first + position) % eligible.size()],
                          tracked, now);
        }
    }
    const group_sizes drawn = sampler_.drawn();
    for (candidate& each : candidates_)
    {
        each.represents = each.nearby ? ratio(sizes.nearby, drawn.nearby)
                                      : ratio(sizes.others, drawn.others);
    }
}

void steerer::add_candidate(std::uint32_t index, const tracked_flow* tracked,
                            instant now)
{
    const view_target& target = view_->parts().targets[index];
    const target_load load = observer_.load_of(target.id);
    const bool cold = now < target.cold_until;
    target_trust trust = observer_.trust_of(target, now);
    const bool already_tried =
        tracked != nullptr &&
        (tracked->target == target.id ||
         std::ranges::find(tracked->tried_targets, target.id) !=
             tracked->tried_targets.end());
    if (already_tried || is_silent(target, now))
    {
        trust = target_trust::avoided;
    }
    const double limit =
        view_->parts().services[target.service.value].max_cold_flows_per_second;
    candidates_.push_back({.index = index,
                           .trust = trust,
                           .slots = std::max(target.slots, 1U),
                           .in_flight = load.in_flight,
                           .idle_flows = load.idle_flows,
                           .nearby = own_data_centre_ == target.data_centre,
                           .cold = cold,
                           .cold_limited = cold && limit > 0});
    loads_.push_back(load);
}

bool steerer::has_good_candidate() const
{
    return std::ranges::any_of(
        candidates_,
        [&](const candidate& each)
        {
            return each.trust == target_trust::trusted && !each.cold &&
                   !failing_.is_avoided(view_->parts().targets[each.index]);
        });
}

void steerer::record_opening(const flow_packet& packet,
                             const view_target& target, instant now)
{
    tracked_flow* flow = flows_.find(packet.key);
    if (flow != nullptr)
    {
        set_activity(*flow, flow_activity::none);
        flow->tried_targets.push_back(flow->target);
        flow->target = target.id;
        flow->last_opening_sent = now;
    }
    else
    {
        flow = flows_.add(
            packet.key,
            {.target = target.id, .opened_at = now, .last_opening_sent = now});
    }
    if (flow != nullptr)
    {
        set_activity(*flow, flow_activity::at_work);
        observer_.opening_sent(target, now);
        unsent_openings_.push_back({packet.key, target.id, now});
    }
}

steering_result steerer::steer_by_token(const flow_packet& packet,
                                        const view_reference& reference,
                                        instant now)
{
    const view_target* target = view_->find_target(reference, packet.token);
    if (target == nullptr)
    {
        return {.decision = discard{discard_reason::unknown_token}};
    }
    steering_result result{.decision = to_target(*target)};
    tracked_flow* flow = flows_.find(packet.key);
    const request_step step = step_of(flow, packet.segment, now);
    if (settings_.releases_flows)
    {
        result.silence =
            silence_.record_packet({.key = packet.key,
                                    .view = *view_,
                                    .reference = reference,
                                    .target = *target,
                                    .flow = flow,
                                    .step = step,
                                    .ends = packet.finishes || packet.aborts},
                                   *this, evidence_, now);
    }
    if (result.silence)
    {
        result.decision = refuse{refusal_reason::target_silent};
        set_activity(*flow, flow_activity::none);
        flows_.erase(packet.key);
        return result;
    }
    record_packet(packet, *target, flow, step, now, result);
    const bool rejected = settings_.judges_answers && result.answered_bytes &&
                          judge_answer(reference, *target, now, result) ==
                              answer_verdict::deficient;
    if (rejected)
    {
        cost_admission_.record_rejection(target->service, now);
    }
    else if (result.exchange_duration)
    {
        cost_admission_.record_exchange(target->service, reference.address,
                                        *result.exchange_duration, now);
    }
    return result;
}

bool steerer::is_silent(const view_target& target, instant now) const
{
    return settings_.releases_flows &&
           silence_.is_silent(target, evidence_, now);
}

std::span<const candidate> steerer::candidates_of(service_id service,
                                                  instant now)
{
    const auto candidates = candidates_for(service, nullptr, now);
    if (settings_.judges_answers)
    {
        // As for a request that is not idempotent, so that a suspected target
        // whose trial is due is avoided, too.
        failing_.adjust_trust(candidates_, {*view_, service, false}, now,
                              evidence_);
    }
    return candidates;
}

void steerer::record_packet(const flow_packet& packet,
                            const view_target& target, tracked_flow* flow,
                            const request_step& step, instant now,
                            steering_result& result)
{
    const bool ends = packet.finishes || packet.aborts;
    if (flow == nullptr && packet.segment.data_bytes > 0 && !ends)
    {
        // Another daemon opened the flow, or it was idle for long.
        flow = flows_.add(packet.key, {.target = target.id,
                                       .stage = flow_stage::established,
                                       .opened_at = now,
                                       .request = step.next});
        if (flow != nullptr)
        {
            set_activity(*flow, flow_activity::at_work);
        }
        return;
    }
    if (flow == nullptr)
    {
        return;
    }
    if (flow->stage == flow_stage::opening)
    {
        record_established(*flow, target, now, result);
    }
    else if (step.answered_after)
    {
        record_answer(*flow, *step.answered_after, result);
        result.answered_bytes = step.answered_bytes;
    }
    flow->request = step.next;
    if (ends)
    {
        record_flow_end(*flow, packet, now, result);
        return;
    }
    set_activity(*flow, flow->request.in_progress ? flow_activity::at_work
                                                  : flow_activity::idle);
}

void steerer::record_established(tracked_flow& flow, const view_target& target,
                                 instant now, steering_result& result)
{
    if (flow.target != target.id)
    {
        // The target of an earlier opening packet answered after all.
        set_activity(flow, flow_activity::none);
        flow.target = target.id;
    }
    flow.stage = flow_stage::established;
    result.handshake_duration = now - flow.last_opening_sent;
    observer_.answered(target, now);
}

void steerer::record_answer(const tracked_flow& flow, duration elapsed,
                            steering_result& result)
{
    result.exchange_duration = elapsed;
    observer_.exchange_finished(flow.target, elapsed);
}

answer_verdict steerer::judge_answer(const view_reference& reference,
                                     const view_target& target, instant now,
                                     const steering_result& result)
{
    const answer_source source{reference.address, target.service};
    const answer_verdict verdict =
        answers_.judge(source, *result.answered_bytes);
    answers_.record(source, *result.answered_bytes, verdict,
                    failing_.is_avoided(target), now);
    failing_.record_answer(target, verdict, now - *result.exchange_duration,
                           now, evidence_);
    return verdict;
}

void steerer::record_flow_end(tracked_flow& flow, const flow_packet& packet,
                              instant now, steering_result& result)
{
    if (flow.request.in_progress && packet.finishes)
    {
        record_answer(flow, now - flow.request.sent_at, result);
    }
    set_activity(flow, flow_activity::none);
    flows_.erase(packet.key);
}

void steerer::record_sent(instant now)
{
    for (pending_opening& opening : unsent_openings_)
    {
        opening.sent_at = now;
        flows_.expect_answer(opening);
    }
    unsent_openings_.clear();
}

std::vector<unanswered_opening>
steerer::process_timeouts(instant processed_until)
{
    std::vector<unanswered_opening> timed_out;
    const instant sent_before =
        processed_until - observer_.settings().handshake_timeout;
    for (const pending_opening& opening :
         flows_.take_openings_until(sent_before))
    {
        observer_.opening_resolved(opening.target);
        tracked_flow* flow = flows_.find(opening.key);
        if (flow == nullptr || flow->stage != flow_stage::opening ||
            flow->target != opening.target)
        {
            continue;
        }
        // The flow wasn't established, so it is assumed to cause no load at the
        // target.
        set_activity(*flow, flow_activity::none);
        const view_target* target = view_->find_target(opening.target);
        if (target != nullptr && observer_.answer_timed_out(
                                     *target, opening.sent_at, processed_until))
        {
            timed_out.push_back({opening.key, opening.target,
                                 observer_.load_of(opening.target).failures});
            if (settings_.releases_flows)
            {
                silence_.record_unanswered_opening(*target, opening.sent_at,
                                                   evidence_, processed_until);
            }
        }
    }
    for (tracked_flow& expired : flows_.take_expired(processed_until))
    {
        set_activity(expired, flow_activity::none);
    }
    silence_.discard_old(processed_until);
    return timed_out;
}

void steerer::set_activity(tracked_flow& flow, flow_activity activity)
{
    observer_.activity_changed(flow.target, flow.activity, activity);
    flow.activity = activity;
    count_late(flow);
}

} // namespace catkinkeel::steering
