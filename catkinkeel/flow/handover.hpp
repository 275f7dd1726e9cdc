#pragma once

// Planned change of a bucket's holder: the owner claims, the holder hands over.

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

/// The claims of one owner: whom it still waits for. Value state of the
/// claimant's side.
class claim_round
{
public:
    explicit claim_round(std::uint64_t session) : session_(session) {}

    /// Begins a round in which `holders` are asked.
    void begin(std::set<vm_id> holders, std::uint64_t map_fingerprint,
               instant now);

    /// No longer waits for a holder that died or does not answer.
    void forget(vm_id holder)
    {
        unanswered_ |= pending_.erase(holder) > 0;
    }

    /// Whether a holder was forgotten since the last call, so that flows may
    /// be open that no handover named.
    bool take_unanswered()
    {
        return std::exchange(unanswered_, false);
    }

    /// VMs to which the claim is to be sent now: those that have not answered
    /// completely and were not asked in the last 500 ms.
    std::vector<vm_id> due(instant now);

    /// Whether a handover belongs to this round.
    [[nodiscard]] bool matches(const handover& offer) const;

    /// Notes a message of the holder.
    void heard(vm_id holder, instant now)
    {
        heard_at_[holder] = now;
    }

    /// Time since the holder's last message, or since the round began.
    [[nodiscard]] duration silence(vm_id holder, instant now) const;

    /// Notes that the holder has sent its last message.
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
    [[nodiscard]] instant begun_at() const
    {
        return begun_at_;
    }

private:
    std::uint64_t session_;
    std::uint64_t round_ = 0;
    std::uint64_t map_fingerprint_ = 0;
    instant begun_at_{};
    bool unanswered_ = false;
    std::set<vm_id> pending_;
    std::map<vm_id, instant> asked_at_;
    std::map<vm_id, instant> heard_at_;
};

/// The holder's side of one claimant's round: one message in flight at a time.
class handover_stream
{
public:
    handover_stream(std::uint64_t session, std::uint64_t round)
        : session_(session), round_(round)
    {
    }

    /// Whether the claim begins a newer round than this one.
    [[nodiscard]] bool older_than(const claim& asked) const
    {
        return session_ != asked.session || round_ < asked.round;
    }

    [[nodiscard]] bool in_flight() const
    {
        return in_flight_.has_value();
    }
    /// The last message was sent and acknowledged.
    [[nodiscard]] bool finished() const
    {
        return finished_;
    }

    /// Makes `content` the next message: fills in session, round and sequence.
    handover send(handover content, instant now);

    /// The message in flight if it is due again.
    std::optional<handover> resend(instant now);

    /// Buckets whose handover `ack` completes; empty if it completes none.
    std::optional<bucket_state> acknowledge(const handover_ack& ack);

    /// Buckets of the message in flight.
    [[nodiscard]] const std::vector<bucket_id>& buckets_in_flight() const;

    /// The claimant has asked again after this round was finished, so it has
    /// not seen the last message.
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
