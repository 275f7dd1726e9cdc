#pragma once

// Decides what happens to each packet of a caller. The steerer is independent
// of sockets, clocks, threads and encodings: it takes parsed packets and
// returns decisions as values.
//
// Example:
//   steerer packets(settings, policy, random_source(seed));
//   packets.adopt(view);
//   const steering_result result = packets.decide(packet, now);
//   if (const auto* to = std::get_if<forward>(&result.decision)) { send(*to); }
//   packets.record_sent(later);
//   packets.process_timeouts(now);  // after deciding all received packets

#include "catkinkeel/base/flow_key.hpp"
#include "catkinkeel/base/random.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/steering/admission.hpp"
#include "catkinkeel/steering/answer_statistics.hpp"
#include "catkinkeel/steering/candidate_sampling.hpp"
#include "catkinkeel/steering/cost_admission.hpp"
#include "catkinkeel/steering/failing_targets.hpp"
#include "catkinkeel/steering/flow_tracker.hpp"
#include "catkinkeel/steering/late_openings.hpp"
#include "catkinkeel/steering/selection.hpp"
#include "catkinkeel/steering/silence_detector.hpp"
#include "catkinkeel/steering/target_evidence.hpp"
#include "catkinkeel/steering/target_observer.hpp"
#include "catkinkeel/steering/token.hpp"
#include "catkinkeel/steering/view.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace catkinkeel::steering
{

/// The properties of a caller's packet on which steering depends.
struct flow_packet
{
    flow_key key;
    /// Whether the packet opens the flow. `retransmission` is the number of the
    /// retransmission, 0 for the original packet.
    bool opens = false;
    std::uint32_t retransmission = 0;
    /// The caller has no more data to send.
    bool finishes = false;
    /// The caller aborts the flow.
    bool aborts = false;
    flow_token token;
    /// Not meaningful if `opens`.
    flow_segment segment;

    friend auto operator<=>(const flow_packet&, const flow_packet&) = default;
};

/// Send the packet to a target.
struct forward
{
    target_id target;
    endpoint address;
    /// `target_announcement::identity`.
    std::uint64_t identity = 0;
    /// Token to write into the packet.
    flow_token token;

    friend auto operator<=>(const forward&, const forward&) = default;
};

/// Why a flow is refused.
enum class refusal_reason : std::uint8_t
{
    /// No reference has the public address, according to an up-to-date view.
    no_reference,
    /// The configuration in effect doesn't contain the reference any more.
    reference_removed,
    /// The service has no target that accepts new flows.
    no_target,
    /// Every target has more work than it can finish within the deadline of a
    /// request, and the caller won't retransmit this opening packet.
    overloaded,
    /// The target of the open flow does not acknowledge data.
    target_silent,
    /// The service has too little capacity, and requests of other references
    /// have more value for the work that they need.
    held_back,
    /// The request can't be answered before its timeout.
    out_of_time
};
inline constexpr std::size_t refusal_reason_count = 7;

/// Reject the flow with an immediate reply to the caller. Only for packets
/// whose request can't have been executed yet, or, with `target_silent`, may be
/// executed twice.
struct refuse
{
    refusal_reason reason = refusal_reason::no_reference;

    friend auto operator<=>(const refuse&, const refuse&) = default;
};

/// Why a packet is dropped.
enum class discard_reason : std::uint8_t
{
    /// No configuration has been received yet. The caller retransmits its
    /// packet.
    no_view,
    /// The view may be too old to contain the reference.
    unknown_reference,
    /// The token identifies no target that the reference permits.
    unknown_token,
    /// Every target has more work than it can finish within the deadline of a
    /// request. The caller retransmits its opening packet later.
    overloaded,
    /// The opening packet can't be answered in time any more, and as many such
    /// requests are in flight as may be. The caller retransmits it later.
    deferred
};
inline constexpr std::size_t discard_reason_count = 5;

/// Drop the packet. The caller retransmits it, by when a newer view may be
/// available.
struct discard
{
    discard_reason reason = discard_reason::no_view;

    friend auto operator<=>(const discard&, const discard&) = default;
};

using steering_decision = std::variant<forward, refuse, discard>;

std::string_view to_string(refusal_reason reason);
std::string_view to_string(discard_reason reason);

/// Facts on which the selection of a target was based, for the event log.
struct selection_details
{
    std::uint32_t candidates = 0;
    std::uint32_t avoided = 0;
    /// Requests at work at the chosen target, of this daemon's flows.
    std::uint32_t in_flight = 0;
    target_trust trust = target_trust::trusted;

    friend auto operator<=>(const selection_details&,
                            const selection_details&) = default;
};

/// The decision on a packet and what the packet shows about its flow.
struct steering_result
{
    steering_decision decision;
    /// Set for an opening packet for which a target was chosen.
    std::optional<selection_details> selection;
    /// Time from the last opening packet to this packet, if it is the first
    /// after the target's answer.
    std::optional<duration> handshake_duration;
    /// Time from the last data of a request to this packet, if it is the first
    /// to acknowledge a part of the answer.
    std::optional<duration> exchange_duration;
    /// Set if the flow is reset because of its target's silence.
    std::optional<silence_details> silence;
    /// Bytes of the answer that this packet acknowledges, if it is the first to
    /// acknowledge a part of it.
    std::optional<std::uint32_t> answered_bytes;

    friend auto operator<=>(const steering_result&,
                            const steering_result&) = default;
};

/// A target did not answer an opening packet in time.
struct unanswered_opening
{
    flow_key key;
    target_id target;
    /// `target_load::failures` of the target.
    std::uint32_t failures = 0;

    friend auto operator<=>(const unanswered_opening&,
                            const unanswered_opening&) = default;
};

struct steerer_settings
{
    /// Name of the daemon's own data centre.
    std::string data_centre;
    /// Maximum age of a view's last confirmation; an older view may lack
    /// references.
    duration max_view_age = 3s;
    observer_settings observer;
    admission_limits admission;
    cost_admission_settings cost;
    tracker_settings tracker;
    /// Give fewer new flows to targets whose answers look like errors.
    bool judges_answers = false;
    /// Admit openings by `cost_admission`; otherwise by `admission` alone.
    bool admits_by_cost = false;
    /// Reset flows of dead targets whose requests callers may repeat.
    bool releases_flows = false;
    /// Limit openings that can't be answered within their latency goal any
    /// more.
    bool limits_late_openings = false;

    friend auto operator<=>(const steerer_settings&,
                            const steerer_settings&) = default;
};

/// Steers packets by the current view. Not thread-safe.
class steerer : private candidate_source
{
public:
    steerer(steerer_settings settings,
            std::shared_ptr<const selection_policy> policy,
            random_source random);

    /// Replaces the current view. A view with an older version of the
    /// configuration is ignored.
    void replace_view(std::shared_ptr<const steering_view> view);

    /// The current view; null before the first one.
    [[nodiscard]] const std::shared_ptr<const steering_view>& view() const
    {
        return view_;
    }

    /// Decides what to do with a packet that was received at `now`.
    steering_result decide(const flow_packet& packet, instant now);

    /// Records `now` as the time at which the packets decided so far were sent.
    /// A busy daemon may send a batch much later than it received it.
    void record_sent(instant now);

    /// Records opening packets whose `handshake_timeout` has passed as
    /// unanswered, returns those that count as failures of their targets, and
    /// stops tracking expired flows. All packets received before
    /// `processed_until` must have been decided: a caller's packet that is
    /// still unread may show that a target has answered.
    std::vector<unanswered_opening> process_timeouts(instant processed_until);

    [[nodiscard]] const target_observer& observer() const
    {
        return observer_;
    }
    /// What this daemon and its peers have observed about targets.
    [[nodiscard]] evidence_pool& evidence()
    {
        return evidence_;
    }
    /// Admission of the services that references of different priority use.
    [[nodiscard]] cost_admission& admission_by_cost()
    {
        return cost_admission_;
    }
    /// The targets whose answers look like errors; none unless
    /// `judges_answers`.
    [[nodiscard]] failing_targets& failing()
    {
        return failing_;
    }
    [[nodiscard]] const failing_targets& failing() const
    {
        return failing_;
    }
    /// Sets the number of daemons that share the load, this one included.
    void set_daemon_count(std::uint32_t daemons)
    {
        late_.set_daemon_count(daemons);
    }
    [[nodiscard]] std::size_t tracked_flows() const
    {
        return flows_.size();
    }

private:
    steering_result steer_opening(const flow_packet& packet,
                                  const view_reference& reference, instant now);
    steering_result select_target(const flow_packet& packet,
                                  const view_reference& reference, instant now);
    steering_result steer_by_token(const flow_packet& packet,
                                   const view_reference& reference,
                                   instant now);
    /// Whether new flows avoid the target because it is silent.
    [[nodiscard]] bool is_silent(const view_target& target, instant now) const;
    /// Implements `candidate_source`.
    [[nodiscard]] std::span<const candidate>
    candidates_of(service_id service, instant now) override;
    /// Updates the record of an open flow by a packet to `target`. `flow` is
    /// null if it is not tracked; `step` is `step_of` the packet.
    void record_packet(const flow_packet& packet, const view_target& target,
                       tracked_flow* flow, const request_step& step,
                       instant now, steering_result& result);
    void record_established(tracked_flow& flow, const view_target& target,
                            instant now, steering_result& result);
    void record_flow_end(tracked_flow& flow, const flow_packet& packet,
                         instant now, steering_result& result);
    void record_answer(const tracked_flow& flow, duration elapsed,
                       steering_result& result);
    /// Judges the answer of `target` that a packet acknowledges.
    answer_verdict judge_answer(const view_reference& reference,
                                const view_target& target, instant now,
                                const steering_result& result);
    void record_opening(const flow_packet& packet, const view_target& target,
                        instant now);
    /// Marks the first request of the flow as late.
    void record_late(const flow_key& key, const late_request& request);
    /// Updates the count of late requests in flight after a change of the
    /// flow's activity.
    void count_late(tracked_flow& flow);
    [[nodiscard]] service_id
    choose_service(const flow_packet& packet,
                   const view_reference& reference) const;
    /// The result is valid until the next call. `tracked` is the flow's record
    /// if it is tracked already; targets that it has tried are avoided.
    [[nodiscard]] std::span<const candidate>
    candidates_for(service_id service, const tracked_flow* tracked,
                   instant now);
    /// Adds a sample of the service's eligible targets to the candidates.
    void sample_candidates(service_id service, const tracked_flow* tracked,
                           instant now);
    void add_candidate(std::uint32_t index, const tracked_flow* tracked,
                       instant now);
    /// Whether a candidate is trusted and not cold. Suspicions count, although
    /// they change `candidate::trust` only later.
    [[nodiscard]] bool has_good_candidate() const;
    [[nodiscard]] bool is_view_fresh(instant now) const;
    void set_activity(tracked_flow& flow, flow_activity activity);

    steerer_settings settings_;
    std::shared_ptr<const selection_policy> policy_;
    random_source random_;
    std::shared_ptr<const steering_view> view_;
    std::vector<candidate> candidates_;
    std::vector<target_load> loads_;
    candidate_sampler sampler_;
    std::optional<data_centre_id> own_data_centre_;
    target_observer observer_;
    evidence_pool evidence_;
    silence_detector silence_;
    cost_admission cost_admission_;
    answer_statistics answers_;
    failing_targets failing_;
    late_openings late_;
    flow_tracker flows_;
    std::vector<pending_opening> unsent_openings_;
};

} // namespace catkinkeel::steering
