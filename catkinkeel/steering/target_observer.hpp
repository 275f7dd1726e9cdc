#pragma once

// Estimates the load and health of targets passively from the packets of
// callers: the number of open flows, whether opening packets are answered, and
// how long exchanges take. No status checks or other messages are sent.

#include "catkinkeel/base/identifier.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/steering/flow_tracker.hpp"
#include "catkinkeel/steering/view.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace catkinkeel::steering
{

struct observer_settings
{
    /// An opening packet counts as unanswered if its caller has sent no
    /// follow-up within this time. The daemon sees no packets from targets to
    /// callers, so the caller's next packet is the evidence of an answer. The
    /// longest round trip between caller, daemon and target is 17 ms on the
    /// links in use; the rest allows for a busy target.
    duration handshake_timeout = 60ms;
    /// A target that doesn't answer is tried again after this time, which
    /// doubles with each further failure up to `max_avoid_period`. The
    /// announcement of a dead target expires after about 4 s.
    duration initial_avoid_period = 2s;
    duration max_avoid_period = 8s;
    /// Number of consecutive targets of one data centre that don't answer
    /// after which the data centre is considered unreachable.
    std::uint32_t data_centre_unreachable_threshold = 3;
    /// Delay between attempts to reach such a data centre; doubles with each
    /// attempt up to `max_data_centre_retry_delay`.
    duration initial_data_centre_retry_delay = 400ms;
    duration max_data_centre_retry_delay = 2s;

    friend auto operator<=>(const observer_settings&,
                            const observer_settings&) = default;
};

/// Whether a target is expected to serve a new flow. This is a passive health
/// check: it is derived from the flows of this daemon and, for answers that
/// look like errors, from reports of other daemons (`failing_targets`).
enum class target_trust : std::uint8_t
{
    trusted,
    /// It failed before; the next opening packet is a trial.
    on_trial,
    /// It failed to answer, or its answers look like errors, and its retry is
    /// not yet due or still pending.
    avoided
};

std::string_view to_string(target_trust trust);

/// Load and health of one target, measured on the flows of this daemon only.
struct target_load
{
    /// Flows with a request at work, and other open flows.
    std::uint32_t in_flight = 0;
    std::uint32_t idle_flows = 0;
    /// Opening packets that are neither answered nor overdue.
    std::uint32_t pending_openings = 0;
    /// Unanswered opening packets since the last answer.
    std::uint32_t failures = 0;
    /// When a caller last followed up an answer of the target.
    std::optional<instant> answered_at;
    instant avoid_until;
    /// Moving average of the duration of an exchange, which lasts from the last
    /// data of a request to the first acknowledgement of its answer; empty
    /// before the first answer.
    std::optional<duration> exchange_time;

    friend auto operator<=>(const target_load&, const target_load&) = default;
};

/// Not thread-safe.
class target_observer
{
public:
    explicit target_observer(observer_settings settings) : settings_(settings)
    {
    }

    [[nodiscard]] const observer_settings& settings() const
    {
        return settings_;
    }

    /// Removes the state of targets that are not in the view.
    void retain_targets_of(const steering_view& view);

    /// Records that an opening packet was sent to `target`.
    void opening_sent(const view_target& target, instant now);
    /// Moves a flow from one part of its target's load to another.
    void activity_changed(target_id target, flow_activity from,
                          flow_activity to);
    /// Records a caller's follow-up to the target's answer to an opening
    /// packet.
    void answered(const view_target& target, instant now);
    /// Records that the opening packet sent at `sent` got no answer within
    /// `handshake_timeout`. Returns whether this counts as a failure of the
    /// target. It doesn't if the target has answered any caller since `sent`:
    /// the target is alive then, and the caller gave up.
    bool answer_timed_out(const view_target& target, instant sent, instant now);
    /// Records that no answer to an opening packet is pending any more, whether
    /// it was answered or not.
    void opening_resolved(target_id target);
    /// Adds the duration of a finished exchange to the moving average.
    void exchange_finished(target_id target, duration elapsed);

    [[nodiscard]] target_load load_of(target_id target) const;

    [[nodiscard]] target_trust trust_of(const view_target& target,
                                        instant now) const;

private:
    struct data_centre_state
    {
        std::uint32_t consecutive_silent_targets = 0;
        std::uint32_t retry_count = 0;
        target_id last_silent_target;
        instant avoid_until;
    };

    [[nodiscard]] bool is_unreachable(const data_centre_state& state) const;

    observer_settings settings_;
    std::unordered_map<target_id, target_load> loads_;
    std::unordered_map<data_centre_id, data_centre_state> data_centres_;
};

} // namespace catkinkeel::steering
