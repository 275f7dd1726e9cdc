#include "catkinkeel/flow/handover.hpp"

#include <utility>

namespace catkinkeel
{

namespace
{

constexpr duration claim_retry_delay = 500ms;
/// Shorter than the delay of replication, because no flow can be opened in the
/// buckets of a lost message until its retransmission.
constexpr duration retransmission_delay = 200ms;

} // namespace

void claim_round::begin(std::set<vm_id> holders, std::uint64_t map_fingerprint,
                        instant now)
{
    ++round_;
    pending_holders_ = std::move(holders);
    map_fingerprint_ = map_fingerprint;
    started_at_ = now;
    claim_sent_at_.clear();
    last_response_at_.clear();
}

duration claim_round::time_since_response(vm_id holder, instant now) const
{
    const auto last_response = last_response_at_.find(holder);
    return now - (last_response == last_response_at_.end()
                      ? started_at_
                      : last_response->second);
}

std::vector<vm_id> claim_round::take_claim_recipients(instant now)
{
    std::vector<vm_id> recipients;
    for (const vm_id holder : pending_holders_)
    {
        const auto last_sent = claim_sent_at_.find(holder);
        if (last_sent == claim_sent_at_.end() ||
            now - last_sent->second >= claim_retry_delay)
        {
            claim_sent_at_[holder] = now;
            recipients.push_back(holder);
        }
    }
    return recipients;
}

bool claim_round::matches(const handover& handover_message) const
{
    return handover_message.session == session_ &&
           handover_message.round == round_ &&
           handover_message.map_fingerprint == map_fingerprint_;
}

handover handover_stream::prepare_message(handover content, instant now)
{
    content.session = session_;
    content.round = round_;
    content.sequence = ++sequence_;
    in_flight_ = std::move(content);
    sent_at_ = now;
    return *in_flight_;
}

std::optional<handover> handover_stream::due_retransmission(instant now)
{
    if (!in_flight_ || now - sent_at_ < retransmission_delay)
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
        final_message_ = std::move(in_flight_);
        final_message_->state = {};
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
