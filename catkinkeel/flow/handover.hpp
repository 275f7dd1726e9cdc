#pragma once

// Planned change of a bucket's holder: the new owner sends a claim and the
// holder answers with handover messages.

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

/// Claimant's side: tracks which holders have not completely answered the claim
/// of the current round.
class claim_round
{
public:
    explicit claim_round(std::uint64_t session) : session_(session) {}

    /// Begins a round in which a claim is sent to each of `holders`.
    void begin(std::set<vm_id> holders, std::uint64_t map_fingerprint,
               instant now);

    /// Stops waiting for a holder that died or does not respond.
    void abandon(vm_id holder)
    {
        holder_abandoned_ |= pending_.erase(holder) > 0;
    }

    /// Whether a holder was abandoned since the last call, so that open flows
    /// may exist that no handover contained. Resets the flag.
    bool take_holder_abandoned()
    {
        return std::exchange(holder_abandoned_, false);
    }

    /// VMs to which the claim must be sent now: those that have not answered
    /// completely and were sent no claim in the last 500 ms.
    std::vector<vm_id> holders_to_query(instant now);

    /// Whether a handover belongs to this round.
    [[nodiscard]] bool matches(const handover& offer) const;

    /// Records the time of a message from the holder.
    void record_response(vm_id holder, instant now)
    {
        last_response_at_[holder] = now;
    }

    /// Time since the holder's last message, or since the round began.
    [[nodiscard]] duration time_since_response(vm_id holder, instant now) const;

    /// Records that the holder has sent its last message.
    void complete(vm_id holder)
    {
        pending_.erase(holder);
    }

    [[nodiscard]] bool waiting_for(vm_id holder) const
    {
        return pending_.contains(holder);
    }
    [[nodiscard]] bool waiting() const
    {
        return !pending_.empty();
    }
    [[nodiscard]] const std::set<vm_id>& pending() const
    {
        return pending_;
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
    std::set<vm_id> pending_;
    std::map<vm_id, instant> claim_sent_at_;
    std::map<vm_id, instant> last_response_at_;
};

/// Holder's side of one claimant's round; one message is in flight at a time.
class handover_stream
{
public:
    handover_stream(std::uint64_t session, std::uint64_t round)
        : session_(session), round_(round)
    {
    }

    /// Whether the claim begins a newer round than the one of this stream.
    [[nodiscard]] bool older_than(const claim& request) const
    {
        return session_ != request.session || round_ < request.round;
    }

    [[nodiscard]] bool in_flight() const
    {
        return in_flight_.has_value();
    }
    /// Whether the last message was sent and acknowledged.
    [[nodiscard]] bool finished() const
    {
        return finished_;
    }

    /// Fills in session, round and sequence of `content` and makes it the
    /// message in flight.
    handover send(handover content, instant now);

    /// The message in flight if its retransmission is due.
    std::optional<handover> resend(instant now);

    /// State of the buckets whose handover `ack` completes; empty if `ack` does
    /// not match the message in flight.
    std::optional<bucket_state> acknowledge(const handover_ack& ack);

    /// Buckets of the message in flight.
    [[nodiscard]] const std::vector<bucket_id>& buckets_in_flight() const;

    /// The last message without its content, once the stream is finished. A
    /// claimant that repeats its claim after that has not received it.
    std::optional<handover> last_message() const
    {
        return finished_ ? last_ : std::nullopt;
    }

private:
    std::uint64_t session_;
    std::uint64_t round_;
    std::uint64_t sequence_ = 0;
    std::optional<handover> in_flight_;
    std::optional<handover> last_;
    instant sent_at_{};
    bool finished_ = false;
};

} // namespace catkinkeel
