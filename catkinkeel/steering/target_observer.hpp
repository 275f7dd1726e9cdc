#pragma once

// What the packets of callers alone tell about targets: how many flows are
// open, whether opening packets are answered, how long exchanges take. It costs
// no status check and no message.

#include "catkinkeel/base/identifier.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/steering/view.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace catkinkeel::steering
{

struct observer_settings
{
    /// An opening packet that its caller has not followed up for so long was
    /// not answered. The longest round trip between caller, daemon and target
    /// is 17 ms on the links in use; the rest is for a busy target.
    duration answer_limit = 60ms;
    /// A silent target is tried again after this time, doubled by each further
    /// failure, up to `avoid_at_most`. The announcement of a dead target
    /// expires after about 4 s.
    duration avoid_first = 2s;
    duration avoid_at_most = 8s;
    /// So many targets of one data centre that do not answer in a row mean that
    /// the data centre is out of reach.
    std::uint32_t silent_targets_of_lost_data_centre = 3;
    /// Pause between attempts to reach such a data centre, doubled up to
    /// `reach_at_most`.
    duration reach_first = 400ms;
    duration reach_at_most = 2s;

    friend auto operator<=>(const observer_settings&,
                            const observer_settings&) = default;
};

/// How far a target is trusted with an opening packet.
enum class target_trust : std::uint8_t
{
    trusted,
    /// Its last opening packet was not answered; the next one is a trial.
    on_trial,
    avoided
};

std::string_view to_string(target_trust trust);

/// What is known of one target from the flows of this daemon.
struct target_load
{
    std::uint32_t in_flight = 0;
    /// Opening packets sent that were neither answered nor overdue.
    std::uint32_t unanswered = 0;
    /// Opening packets that stayed without an answer since the last answer.
    std::uint32_t failures = 0;
    /// When a caller last followed up an answer of the target.
    std::optional<instant> answered_at;
    instant avoid_until;
    /// Smoothed time from the end of the handshake to the caller's FIN; empty
    /// before the first one.
    std::optional<duration> exchange_time;

    friend auto operator<=>(const target_load&, const target_load&) = default;
};

/// Not safe for use by two threads at once.
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

    /// Forgets targets that the view does not name.
    void keep_only(const steering_view& view);

    /// An opening packet is sent to `target`.
    void opening_sent(const view_target& target, instant now);
    /// A flow counts as load of its target from the first opening packet on.
    void flow_started(target_id target);
    void flow_ended(target_id target);
    /// The caller followed up the target's answer to an opening packet.
    void answered(const view_target& target, instant now);
    /// `answer_limit` passed without an answer to the opening packet sent at
    /// `sent`. Returns whether that counts against the target: a target that
    /// has answered anybody since then lives, and the caller has given up.
    bool unanswered(const view_target& target, instant sent, instant now);
    /// An opening packet is not awaited any more, answered or not.
    void opening_settled(target_id target);
    void exchange_finished(target_id target, duration took);

    [[nodiscard]] target_load load_of(target_id target) const;

    [[nodiscard]] target_trust trust_in(const view_target& target,
                                        instant now) const;

private:
    struct data_centre_state
    {
        std::uint32_t silent_in_a_row = 0;
        std::uint32_t rounds = 0;
        target_id last_silent;
        instant avoid_until;
    };

    [[nodiscard]] bool is_lost(const data_centre_state& state) const;

    observer_settings settings_;
    std::unordered_map<target_id, target_load> loads_;
    std::unordered_map<data_centre_id, data_centre_state> data_centres_;
};

} // namespace catkinkeel::steering
