#pragma once

// Decides whether an open flow is reset because its target is silent, and
// whether new flows avoid a silent target. Combines what this daemon has seen
// (`silent_targets`) with the reports of its peers (`evidence_pool`).
//
// Example:
//   silence_detector silence;
//   if (const auto facts = silence.record_packet(packet, source, pool, now))
//   {
//       reset(flow, *facts);
//   }

#include "catkinkeel/base/flow_key.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/steering/flow_tracker.hpp"
#include "catkinkeel/steering/request_progress.hpp"
#include "catkinkeel/steering/selection.hpp"
#include "catkinkeel/steering/silent_targets.hpp"
#include "catkinkeel/steering/target_evidence.hpp"
#include "catkinkeel/steering/view.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <span>

namespace catkinkeel::steering
{

/// Facts on which the reset of a flow was based, for the event log.
struct silence_details
{
    silence_rule rule = silence_rule::withdrawn;
    target_id target;
    /// Unanswered copies of the flow and of all flows of this daemon to the
    /// target.
    std::uint32_t flow_copies = 0;
    std::uint32_t target_copies = 0;
    /// Peers that report silence.
    std::uint32_t reporters = 0;

    friend auto operator<=>(const silence_details&,
                            const silence_details&) = default;
};

/// Provides the targets among which the caller of a reset flow would be placed.
class candidate_source
{
public:
    virtual ~candidate_source() = default;

    /// Those with trust `trusted` are alternatives to a silent target. The
    /// result is valid until the next call.
    [[nodiscard]] virtual std::span<const candidate>
    candidates_of(service_id service, instant now) = 0;
};

/// A caller's packet that goes to the target of its token.
struct target_packet
{
    const flow_key& key;
    const steering_view& view;
    const view_reference& reference;
    const view_target& target;
    /// The record of the flow before this packet; null if it is not tracked.
    const tracked_flow* flow = nullptr;
    /// `step_of` the packet.
    const request_step& step;
    /// Whether the packet finishes or aborts the flow.
    bool ends = false;
};

/// Calls must be in order of time. Not thread-safe.
class silence_detector
{
public:
    /// Records what a packet shows about the silence of its target, and adds
    /// own evidence to `pool` or clears it. Returns the facts if the flow has
    /// to be reset. `source` is used only if that depends on where the caller
    /// could be served.
    std::optional<silence_details> record_packet(const target_packet& packet,
                                                 candidate_source& source,
                                                 evidence_pool& pool,
                                                 instant now);

    /// Records that an opening packet sent at `sent_at` was not answered.
    void record_unanswered_opening(const view_target& target, instant sent_at,
                                   evidence_pool& pool, instant now);

    /// Whether new flows avoid the target because it does not acknowledge data,
    /// by what this daemon or its peers have seen.
    [[nodiscard]] bool is_silent(const view_target& target,
                                 const evidence_pool& pool, instant now) const;

    /// Forgets what is too old to count.
    void discard_old(instant now);

private:
    void record_sign_of_life(const target_packet& packet, evidence_pool& pool,
                             instant now);
    /// Returns the facts if the flow of a packet that repeats data has to be
    /// reset.
    [[nodiscard]] std::optional<silence_details>
    judge_repeat(const target_packet& packet, candidate_source& source,
                 const evidence_pool& pool, instant now) const;
    /// Where the caller of the packet's flow could be served.
    [[nodiscard]] alternative find_alternative(const target_packet& packet,
                                               candidate_source& source,
                                               instant now) const;
    /// Records this daemon's evidence for its peers if another target of the
    /// data centre has answered a packet forwarded since `proof_since`. A
    /// daemon that is cut off must not make others distrust targets that they
    /// reach.
    void report_own(const view_target& target, instant proof_since,
                    evidence_pool& pool, instant now) const;

    silent_targets targets_;
};

} // namespace catkinkeel::steering
