#include "catkinkeel/flow/handover.hpp"

#include <utility>

namespace catkinkeel
{

namespace
{

constexpr duration ask_again_after = 500ms;
/// Openings in the buckets of a lost message wait this long, so it is short.
constexpr duration resend_after = 200ms;

} // namespace

void claim_round::begin(std::set<vm_id> holders, std::uint64_t map_fingerprint,
                        instant now)
{
    ++round_;
    pending_ = std::move(holders);
    map_fingerprint_ = map_fingerprint;
    begun_at_ = now;
    asked_at_.clear();
    heard_at_.clear();
}

duration claim_round::silence(vm_id holder, instant now) const
{
    const auto heard = heard_at_.find(holder);
    return now - (heard == heard_at_.end() ? begun_at_ : heard->second);
}

std::vector<vm_id> claim_round::due(instant now)
{
    std::vector<vm_id> ask;
    for (const vm_id holder : pending_)
    {
        const auto asked = asked_at_.find(holder);
        if (asked == asked_at_.end() || now - asked->second >= ask_again_after)
        {
            asked_at_[holder] = now;
            ask.push_back(holder);
        }
    }
    return ask;
}

bool claim_round::matches(const handover& offer) const
{
    return offer.session == session_ && offer.round == round_ &&
           offer.map_fingerprint == map_fingerprint_;
}

handover handover_stream::send(handover content, instant now)
{
    content.session = session_;
    content.round = round_;
    content.sequence = ++sequence_;
    in_flight_ = std::move(content);
    sent_at_ = now;
    return *in_flight_;
}

std::optional<handover> handover_stream::resend(instant now)
{
    if (!in_flight_ || now - sent_at_ < resend_after)
    {
        return std::nullopt;
    }
    sent_at_ = now;
    return in_flight_;
}

std::optional<bucket_state>
handover_stream::acknowledge(const handover_ack& ack)
{
    if (!in_flight_ || ack.session != session_ || ack.round != round_ ||
        ack.sequence != in_flight_->sequence)
    {
        return std::nullopt;
    }
    bucket_state state = std::move(in_flight_->state);
    finished_ = in_flight_->last;
    if (finished_)
    {
        last_ = std::move(in_flight_);
        last_->state = {};
    }
    in_flight_.reset();
    return state;
}

const std::vector<bucket_id>& handover_stream::buckets_in_flight() const
{
    static const std::vector<bucket_id> none;
    return in_flight_ ? in_flight_->state.buckets : none;
}

} // namespace catkinkeel
