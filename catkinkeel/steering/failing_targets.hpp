#pragma once

// Decides which targets are suspected of answering with errors. The evidence is
// this daemon's own answers, judged by `answer_statistics`, and the reports of
// peers in the `evidence_pool`. A suspected target gets no new flows for some
// time and then one at a time, until a usual answer ends the suspicion.
//
// Example:
//   failing_targets failing;
//   failing.record_answer(target, verdict, sent_at, now, pool);
//   failing.adjust_trust(candidates, {view, service, idempotent}, now, pool);
//   for (const suspicion_change& each : failing.take_changes()) { log(each); }

#include "catkinkeel/base/identifier.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/steering/answer_statistics.hpp"
#include "catkinkeel/steering/selection.hpp"
#include "catkinkeel/steering/target_evidence.hpp"
#include "catkinkeel/steering/view.hpp"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace catkinkeel::steering
{

/// Why the state of a suspicion changed.
enum class suspicion_cause : std::uint8_t
{
    /// It began.
    evidence,
    /// It ended with a usual answer to a request sent after the avoid period.
    trial_answered,
    /// It ended with several usual answers in a row.
    usual_answers,
    /// It ended because nothing was observed for long.
    expired,
    /// It ended because the target left the view.
    target_left
};

std::string_view to_string(suspicion_cause cause);

/// A suspicion began or ended.
struct suspicion_change
{
    std::string target;
    suspicion_cause cause = suspicion_cause::evidence;
    /// The evidence on which the suspicion began.
    evidence_summary evidence;
    /// When the suspicion began.
    instant since;

    friend auto operator<=>(const suspicion_change&,
                            const suspicion_change&) = default;
};

/// Maximum number of targets about which something is known, and of changes
/// that wait to be taken. Beyond it, the oldest target and the newest changes
/// are dropped.
inline constexpr std::size_t max_failing_targets = 1024;
inline constexpr std::size_t max_suspicion_changes = 256;

/// Shortest time between two searches for expired suspicions.
inline constexpr duration expiry_interval = 1s;

/// The new flow for which targets are assessed.
struct new_flow
{
    const steering_view& view;
    service_id service;
    /// Whether its request may be repeated, so that it may be a trial.
    bool idempotent = false;
};

/// Not thread-safe.
class failing_targets
{
public:
    /// Removes the state of targets that are not in the view.
    void retain_targets_of(const steering_view& view);

    /// Records the answer to a request that was sent at `sent_at`, adds own
    /// evidence to `pool` or clears it, and updates the suspicion.
    void record_answer(const view_target& target, answer_verdict verdict,
                       instant sent_at, instant now, evidence_pool& pool);

    /// Records that a new flow was sent to `target`. If it is suspected, the
    /// flow is its trial.
    void opening_sent(target_id target, instant now);

    /// Lowers the trust in suspected candidates. If more than a third of the
    /// targets for which the candidates stand are suspected, nothing is
    /// changed: they shed load, or the service has changed.
    void adjust_trust(std::span<candidate> candidates, const new_flow& flow,
                      instant now, const evidence_pool& pool);

    /// Ends the suspicions of which nothing has been seen for long. New flows
    /// do not end those of targets that are no candidates, or of services
    /// without flows. Does so at most once per `expiry_interval`.
    void end_expired(const steering_view& view, instant now,
                     const evidence_pool& pool);

    /// Whether a suspicion of `target` is in effect.
    [[nodiscard]] bool is_avoided(const view_target& target) const;

    [[nodiscard]] std::size_t suspected_count() const
    {
        return suspected_count_;
    }

    /// Returns the changes since the last call.
    std::vector<suspicion_change> take_changes();

private:
    struct outcome
    {
        instant at;
        bool deficient = false;
    };
    /// The last answers of one target.
    struct recent_outcomes
    {
        std::array<outcome, 8> last;
        std::size_t count = 0;

        void add(const outcome& next);
    };
    struct suspicion
    {
        evidence_summary evidence;
        instant since;
        instant avoid_until;
        /// Whether a trial has been allowed since then.
        bool trial_due = false;
        /// When the trial that is not answered yet was sent.
        std::optional<instant> trial_sent_at;
    };
    struct target_state
    {
        std::string name;
        recent_outcomes outcomes;
        /// Usual answers since the last deficient one.
        std::uint32_t usual_in_row = 0;
        /// Avoid periods in succession; the next one is as often doubled.
        std::uint32_t periods = 0;
        std::optional<suspicion> suspected;
        /// The last deficient answer, avoid period or end of a suspicion; at
        /// first the creation of the state.
        instant failed_at;
    };
    struct service_state
    {
        /// Answers of targets that are not avoided. Deficient ones on which a
        /// suspicion was based are taken out: they are explained by the fault.
        deficiency_windows answers;
        bool ignores_suspicions = false;
    };
    struct own_evidence
    {
        std::uint32_t deficient = 0;
        std::uint32_t answers = 0;
    };

    /// Returns the state of `target`, which is new if it was not known or
    /// nothing failed for long.
    target_state& entry(const view_target& target, instant now);
    [[nodiscard]] static bool has_recovered(const target_state& state,
                                            instant now);
    /// Whether the suspicion ends unless there is new evidence.
    [[nodiscard]] static bool is_expired(const suspicion& current, instant now);
    void record_deficient(const view_target& target, instant sent_at,
                          instant now, evidence_pool& pool);
    void record_usual(const view_target& target, instant sent_at, instant now,
                      evidence_pool& pool);
    /// The trust in a target as of its answers, for an idempotent request.
    target_trust assess(const view_target& target, instant now,
                        const evidence_pool& pool);
    /// Returns the evidence if it suffices for a suspicion.
    [[nodiscard]] std::optional<evidence_summary>
    sufficient_evidence(const view_target& target, instant now,
                        const evidence_pool& pool) const;
    [[nodiscard]] static own_evidence recent_answers(const target_state& state,
                                                     instant now);
    [[nodiscard]] bool is_share_high(const own_evidence& own,
                                     service_id service) const;
    /// Share of deficient answers of the other targets of a service.
    [[nodiscard]] double usual_share(service_id service,
                                     const own_evidence& own) const;
    void begin_suspicion(const view_target& target, target_state& state,
                         const evidence_summary& evidence, instant now);
    static void begin_avoid_period(target_state& state, instant now);
    void end_suspicion(target_state& state, suspicion_cause cause);
    void add_change(const target_state& state, suspicion_cause cause);

    std::unordered_map<target_id, target_state> targets_;
    /// Entries stay, as services stay in the view while the process runs.
    std::unordered_map<service_id, service_state> services_;
    std::size_t suspected_count_ = 0;
    std::vector<suspicion_change> changes_;
    std::vector<target_trust> assessed_;
    instant expired_at_;
};

} // namespace catkinkeel::steering
