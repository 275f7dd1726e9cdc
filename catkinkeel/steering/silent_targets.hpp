#pragma once

// Decides whether a target is so likely dead that a caller which repeats its
// data is told so by a reset. A target that lives acknowledges data at once,
// even while it is busy, so a caller that repeats its data got no
// acknowledgement of the copy before.
//
// Example:
//   silent_targets silence;
//   silence.record_copy(target, flow, now);          // data was forwarded
//   silence.record_unanswered(target, flow, later);  // the caller repeats it
//   const own_silence own = silence.evidence_of(target, flow, later);
//   if (const auto rule = rule_of({.own = own, ...})) { ... }  // reset

#include "catkinkeel/base/flow_key.hpp"
#include "catkinkeel/base/identifier.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/steering/target_evidence.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace catkinkeel::steering
{

/// What this daemon has seen of a target since its last sign of life, within
/// `max_silence_age`. A copy is one transmission of a caller's data.
struct own_silence
{
    /// Unanswered copies of the flow in question since its last copy that may
    /// have been answered.
    std::uint32_t flow_copies = 0;
    /// Unanswered copies of all flows.
    std::uint32_t target_copies = 0;
    /// Whether `fatal_copies` copies of at least two flows, sent to the target
    /// one directly after the other, were not answered.
    bool several_flows = false;
    /// Opening packets found to be unanswered, at most `max_copies_of_target`.
    std::uint32_t openings = 0;

    friend auto operator<=>(const own_silence&, const own_silence&) = default;
};

/// Where the caller could be served if its flow is reset.
enum class alternative : std::uint8_t
{
    none,
    /// Another target of its services is trusted.
    trusted,
    /// And has answered what this daemon forwarded since the first copy was
    /// sent, so the links of this daemon are not the cause of the silence.
    alive
};

/// What is known when a caller repeats its data.
struct silence_findings
{
    /// The store has removed the target.
    bool withdrawn = false;
    own_silence own;
    /// Evidence of the kind `silence`; only that of peers is used.
    evidence_summary peers;
    alternative other = alternative::none;

    friend auto operator<=>(const silence_findings&,
                            const silence_findings&) = default;
};

/// Why a flow is reset.
enum class silence_rule : std::uint8_t
{
    /// The store has removed the target.
    withdrawn,
    /// `fatal_copies` copies of the flow in a row were not answered.
    same_flow,
    /// `own_silence::several_flows`.
    several_flows,
    /// At least three peers report silence, and their copies and this daemon's
    /// are at least `fatal_shared_copies`.
    peers
};
inline constexpr std::size_t silence_rule_count = 4;

std::string_view to_string(silence_rule rule);

/// Links in use lose at most two packets in a row. With a loss of 0.2 %, three
/// unanswered copies by loss alone have a probability of 8e-9.
inline constexpr std::uint32_t fatal_copies = 3;
/// One more than one daemon needs, since peers may lose packets independently.
inline constexpr std::uint32_t fatal_shared_copies = 4;
/// Peers that have to report silence. Peers whose links are cut may report
/// targets that live until they notice it.
inline constexpr std::uint32_t min_silence_reporters = 3;

/// Copies older than this do not count. Callers repeat after 200 ms, 600 ms,
/// 1.4 s and 3 s.
inline constexpr duration max_silence_age = 3s;

/// An opening packet is overdue before another target can have answered a
/// packet sent later, so an answer to one sent up to this time earlier shows
/// that the data centre can be reached. Daemons in use see 5 to 25 requests a
/// second.
inline constexpr duration opening_proof_age = 300ms;

/// Packets that are kept for each target, and as many unanswered opening
/// packets; the oldest are dropped.
inline constexpr std::size_t max_copies_of_target = 32;

/// Returns the first rule by which the flow is reset; empty if there is none.
[[nodiscard]] std::optional<silence_rule>
rule_of(const silence_findings& findings);

/// Whether new flows avoid the target: enough peers report its silence.
[[nodiscard]] bool is_reported_silent(const evidence_summary& peers);

/// The evidence of this daemon. Calls must be in order of time. Not
/// thread-safe.
class silent_targets
{
public:
    /// Records that a copy of the last data of `flow` was forwarded.
    void record_copy(target_id target, const flow_key& flow, instant now);

    /// Records that another packet of an open flow was forwarded. It may have
    /// been answered, or not, so the copies before and after it do not count as
    /// sent one directly after the other.
    void record_other_packet(target_id target, instant now);

    /// Records that the last copy of `flow` was not answered.
    void record_unanswered(target_id target, const flow_key& flow);

    void record_unanswered_opening(target_id target, instant now);

    /// Records an acknowledgement of new bytes or a completed handshake. All
    /// evidence against the target is dropped. `sent_at` is when the packet
    /// that it answers was forwarded; empty if that is not known.
    void record_sign_of_life(target_id target, data_centre_id data_centre,
                             const std::optional<instant>& sent_at,
                             instant now);

    [[nodiscard]] own_silence
    evidence_of(target_id target, const flow_key& flow, instant now) const;

    /// Whether the target has answered a packet that was forwarded at or after
    /// `since`, which is at most `max_silence_age` ago. Answers to earlier
    /// packets do not count: they do not pass this daemon, so they arrive also
    /// if its links to the target are cut.
    [[nodiscard]] bool is_alive_since(target_id target, instant since) const;

    /// Whether a target of the data centre has answered a packet that was
    /// forwarded at or after `since`, so that the silence of another one is not
    /// due to the links of this daemon.
    [[nodiscard]] bool is_reachable(data_centre_id data_centre,
                                    instant since) const;

    /// Forgets targets of which nothing was recorded within
    /// `max_silence_age`. Does so at most once per `max_silence_age`.
    void discard_old(instant now);

private:
    struct sent_copy
    {
        /// Default value for a packet that is no copy.
        flow_key flow;
        instant sent_at;
        /// Otherwise it is not known, or it was answered.
        bool unanswered = false;
    };
    struct target_record
    {
        /// In the order in which they were sent.
        std::vector<sent_copy> copies;
        /// When opening packets were found to be unanswered, oldest first.
        std::vector<instant> openings;
        /// When the last packet that was answered was forwarded.
        std::optional<instant> answered_sent_at;
        instant changed_at;
    };

    std::unordered_map<target_id, target_record> targets_;
    /// When the last packet that any target answered was forwarded.
    std::unordered_map<data_centre_id, std::optional<instant>>
        data_centres_answered_;
    instant discarded_at_;
};

} // namespace catkinkeel::steering
