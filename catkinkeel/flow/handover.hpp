#pragma once

// Planned change of the holder of buckets. The owner of a bucket is the VM that
// ranks first for it in the bucket map; the holder is the VM that has its flow
// state and decides on its packets. An owner that is not yet the holder sends a
// claim to every possible holder, and each answers with handover messages.

#include "catkinkeel/base/time.hpp"
#include "catkinkeel/flow/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace catkinkeel
{

/// Claimant's side: tracks the pending holders, those that have not yet
/// answered the claim of the current round with their final handover message.
class claim_round
{
public:
    /// `session` identifies the process of this VM and is higher than that of
    /// any earlier one; messages carry it, so that messages to an earlier
    /// process are recognised.
    explicit claim_round(std::uint64_t session) : session_(session) {}

    /// Begins a round in which a claim is sent to each of `holders`.
    /// `map_fingerprint` is that of the bucket map from which this VM derived
    /// the buckets that it owns.
    void begin(std::set<vm_id> holders, std::uint64_t map_fingerprint,
               instant now);

    /// Stops waiting for a holder that failed or does not respond.
    void abandon(vm_id holder)
    {
        holder_abandoned_ |= pending_holders_.erase(holder) > 0;
    }

    /// Whether a pending holder was abandoned since the previous call. If so,
    /// flows may be open that this VM has not received in a handover. Resets
    /// the flag.
    bool take_holder_abandoned()
    {
        return std::exchange(holder_abandoned_, false);
    }

    /// Whether a pending holder was abandoned, without resetting the flag.
    [[nodiscard]] bool holder_abandoned() const
    {
        return holder_abandoned_;
    }

    /// Returns the pending holders to which no claim was sent in the last
    /// 500 ms, and records `now` as the time at which it is sent to them.
    std::vector<vm_id> take_claim_recipients(instant now);

    /// Whether a handover message answers the claim of this round.
    [[nodiscard]] bool matches(const handover& handover_message) const;

    /// Records that the holder responded, for `time_since_response`.
    void record_response(vm_id holder, instant now)
    {
        last_response_at_[holder] = now;
    }

    /// Time since the holder's most recent message, or since the round began.
    [[nodiscard]] duration time_since_response(vm_id holder, instant now) const;

    /// Records that the holder has sent its final message of this round.
    void mark_answered(vm_id holder)
    {
        pending_holders_.erase(holder);
    }

    [[nodiscard]] bool is_pending(vm_id holder) const
    {
        return pending_holders_.contains(holder);
    }
    [[nodiscard]] bool any_pending() const
    {
        return !pending_holders_.empty();
    }
    [[nodiscard]] const std::set<vm_id>& pending_holders() const
    {
        return pending_holders_;
    }
    [[nodiscard]] std::uint64_t round() const
    {
        return round_;
    }
    [[nodiscard]] std::uint64_t session() const
    {
        return session_;
    }
    [[nodiscard]] std::uint64_t map_fingerprint() const
    {
        return map_fingerprint_;
    }
    [[nodiscard]] instant started_at() const
    {
        return started_at_;
    }

private:
    std::uint64_t session_;
    std::uint64_t round_ = 0;
    std::uint64_t map_fingerprint_ = 0;
    instant started_at_{};
    bool holder_abandoned_ = false;
    std::set<vm_id> pending_holders_;
    std::map<vm_id, instant> claim_sent_at_;
    std::map<vm_id, instant> last_response_at_;
};

/// Holder's side: the handover messages that answer one claim. One message is
/// in flight at a time; the next one is sent after its acknowledgement.
class handover_stream
{
public:
    /// Session and round are those of the claim.
    handover_stream(std::uint64_t session, std::uint64_t round)
        : session_(session), round_(round)
    {
    }

    /// Whether the claim belongs to another session or to a later round, so
    /// that a new stream must replace this one.
    [[nodiscard]] bool superseded_by(const claim& claim_message) const
    {
        return session_ != claim_message.session ||
               round_ < claim_message.round;
    }

    [[nodiscard]] bool in_flight() const
    {
        return in_flight_.has_value();
    }
    /// Whether the final message was sent and acknowledged.
    [[nodiscard]] bool finished() const
    {
        return finished_;
    }

    /// Fills in session, round and sequence number of `content`, makes it the
    /// message in flight and returns it for sending.
    handover prepare_message(handover content, instant now);

    /// Returns the message in flight if it was not acknowledged within 200 ms.
    std::optional<handover> due_retransmission(instant now);

    /// Processes an acknowledgement. If it matches the message in flight,
    /// returns the state that this message handed over; otherwise, or if no
    /// message is in flight, nullopt.
    std::optional<bucket_state> acknowledge(const handover_ack& ack);

    /// Buckets of the message in flight; none if no message is in flight.
    [[nodiscard]] const std::vector<bucket_id>& buckets_in_flight() const;

    /// The final message with empty bucket state, once the stream is finished;
    /// nullopt before. It is the reply to a claim that arrives after that: the
    /// holder has nothing left to hand over in this round.
    std::optional<handover> final_message() const
    {
        return finished_ ? final_message_ : std::nullopt;
    }

private:
    std::uint64_t session_;
    std::uint64_t round_;
    std::uint64_t sequence_ = 0;
    std::optional<handover> in_flight_;
    std::optional<handover> final_message_;
    instant sent_at_{};
    bool finished_ = false;
};

} // namespace catkinkeel
