#pragma once

// The decision for each packet of a caller. It knows no socket, clock, thread
// or encoding: packets come as facts, decisions leave as values.
//
// Example:
//   steerer packets(settings, policy, random_source(seed));
//   packets.adopt(view);
//   const steering_result result = packets.decide(packet, now);
//   if (const auto* to = std::get_if<forward>(&result.what)) { send(*to); }
//   packets.mark_sent(later);
//   packets.settle(now);  // after all packets that have arrived were decided

#include "catkinkeel/base/flow_key.hpp"
#include "catkinkeel/base/random.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/steering/admission.hpp"
#include "catkinkeel/steering/flow_tracker.hpp"
#include "catkinkeel/steering/selection.hpp"
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

/// What steering needs to know of one packet from a caller.
struct flow_packet
{
    flow_key key;
    /// The packet opens the flow; `copy` counts its repetitions from 0.
    bool opens = false;
    std::uint32_t copy = 0;
    /// The caller has nothing more to send.
    bool finishes = false;
    /// The caller gives the flow up.
    bool aborts = false;
    flow_token token;

    friend auto operator<=>(const flow_packet&, const flow_packet&) = default;
};

/// Send the packet to a target.
struct forward
{
    target_id target;
    endpoint address;
    /// `target_announcement::identity`.
    std::uint64_t identity = 0;
    /// The token that the packet has to carry.
    flow_token token;

    friend auto operator<=>(const forward&, const forward&) = default;
};

enum class refusal_reason : std::uint8_t
{
    /// No reference has the public address, and the view is fresh.
    no_reference,
    /// The reference was removed by the terms in effect.
    reference_removed,
    /// The service has no target that takes new flows.
    no_target,
    /// Every target has more work than fits into the time of a request, and
    /// the caller will not repeat this opening packet.
    overloaded
};
inline constexpr std::size_t refusal_reasons = 4;

/// Tell the caller at once that its flow is not served. Only for packets whose
/// request cannot have run.
struct refuse
{
    refusal_reason reason = refusal_reason::no_reference;

    friend auto operator<=>(const refuse&, const refuse&) = default;
};

enum class discard_reason : std::uint8_t
{
    /// No terms are known yet. The caller repeats its packet.
    no_view,
    /// The view may be too old to know the reference.
    unknown_reference,
    /// The token names no target that the reference permits.
    unknown_token,
    /// Every target has more work than fits into the time of a request. The
    /// caller repeats its opening packet later.
    overloaded
};
inline constexpr std::size_t discard_reasons = 4;

/// Drop the packet. The caller repeats it, and a later view may know better.
struct discard
{
    discard_reason reason = discard_reason::no_view;

    friend auto operator<=>(const discard&, const discard&) = default;
};

using steering_decision = std::variant<forward, refuse, discard>;

std::string_view to_string(refusal_reason reason);
std::string_view to_string(discard_reason reason);

/// What an opening packet's target was chosen from.
struct selection_facts
{
    std::uint32_t candidates = 0;
    std::uint32_t avoided = 0;
    /// Of the chosen target.
    std::uint32_t in_flight = 0;
    target_trust trust = target_trust::trusted;

    friend auto operator<=>(const selection_facts&,
                            const selection_facts&) = default;
};

struct steering_result
{
    steering_decision what;
    /// For an opening packet for which a target was chosen.
    std::optional<selection_facts> chosen;
    /// Time from the last opening packet to this follow-up of the answer.
    std::optional<duration> handshake_took;
    /// Time from the end of the handshake to this end of the flow.
    std::optional<duration> exchange_took;

    friend auto operator<=>(const steering_result&,
                            const steering_result&) = default;
};

/// A target did not answer an opening packet in time.
struct silence_noticed
{
    flow_key key;
    target_id target;
    std::uint32_t failures = 0;

    friend auto operator<=>(const silence_noticed&,
                            const silence_noticed&) = default;
};

struct steerer_settings
{
    /// Name of the daemon's own data centre.
    std::string data_centre;
    /// A view that the store confirmed so long ago may miss references.
    duration fresh_for = 3s;
    observer_settings observer;
    admission_limits admission;
    tracker_settings tracker;

    friend auto operator<=>(const steerer_settings&,
                            const steerer_settings&) = default;
};

/// Targets examined for one new flow. A service with more is sampled.
inline constexpr std::size_t max_candidates = 256;

/// Not safe for use by two threads at once.
class steerer
{
public:
    steerer(steerer_settings settings,
            std::shared_ptr<const selection_policy> policy,
            random_source random);

    /// Decides by `view` from now on. A view with older terms than the present
    /// one is ignored.
    void adopt(std::shared_ptr<const steering_view> view);

    /// May be null.
    [[nodiscard]] const std::shared_ptr<const steering_view>& view() const
    {
        return view_;
    }

    steering_result decide(const flow_packet& packet, instant now);

    /// The packets decided so far have been sent. A busy daemon sends a batch
    /// much later than it received it.
    void mark_sent(instant now);

    /// Judges opening packets that stayed without an answer and forgets old
    /// flows. Call it when every packet that arrived before `drained` has been
    /// decided; packets that still wait unread would pass for silence.
    std::vector<silence_noticed> settle(instant drained);

    [[nodiscard]] const target_observer& observer() const
    {
        return observer_;
    }
    [[nodiscard]] std::size_t tracked_flows() const
    {
        return flows_.size();
    }

private:
    steering_result open(const flow_packet& packet,
                         const view_reference& reference, instant now);
    steering_result place(const flow_packet& packet,
                          const view_reference& reference, instant now);
    steering_result follow(const flow_packet& packet,
                           const view_reference& reference, instant now);
    void note_packet(tracked_flow& flow, const view_target& target, instant now,
                     steering_result& result);
    void note_end(tracked_flow& flow, const flow_packet& packet, instant now,
                  steering_result& result);
    void record_opening(const flow_packet& packet, const view_target& target,
                        instant now);
    [[nodiscard]] service_id
    choose_service(const flow_packet& packet,
                   const view_reference& reference) const;
    /// Valid until the next call.
    [[nodiscard]] std::span<const candidate>
    candidates_for(service_id service, const tracked_flow* before, instant now);
    [[nodiscard]] bool is_fresh(instant now) const;
    void start_counting(tracked_flow& flow);
    void stop_counting(tracked_flow& flow);

    steerer_settings settings_;
    std::shared_ptr<const selection_policy> policy_;
    random_source random_;
    std::shared_ptr<const steering_view> view_;
    std::vector<candidate> candidates_;
    std::vector<target_load> loads_;
    std::optional<data_centre_id> own_data_centre_;
    target_observer observer_;
    flow_tracker flows_;
    std::vector<pending_opening> unsent_;
};

} // namespace catkinkeel::steering
