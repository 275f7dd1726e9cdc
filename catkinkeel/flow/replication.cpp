#include "catkinkeel/flow/replication.hpp"

#include <algorithm>

namespace catkinkeel
{

namespace
{

constexpr duration retransmission_delay = 500ms;
constexpr duration backlog_sample_period = 1s;
/// Keeps a message near one kilobyte, so that the retransmission of a lost
/// message is cheap.
constexpr std::size_t max_exceptions_per_message = 100;
/// A queue of at least this many exceptions is sent without a batching delay.
/// A message has 131 bytes of framing, an exception 10 bytes.
constexpr std::size_t min_batch_exceptions = 20;
/// Minimum time between the previous message and one with a shorter queue. Must
/// be below 5 s, because flows of this age must survive a failure of the
/// holder.
constexpr duration batching_delay = 300ms;
/// If fewer bytes than this may be sent now, the longer delay applies, which is
/// still below 5 s. Without it, streams with few exceptions would spend on
/// framing the bytes that streams with a long queue need.
constexpr byte_count scarce_budget{4000};
constexpr duration scarce_budget_batching_delay = 3s;
/// A message is built once the budget covers the queued exceptions, counted up
/// to this number; a longer queue does not wait for more budget.
constexpr std::uint64_t max_exceptions_in_min_budget = 60;
/// About 4 kB of bucket numbers; a message must stay below the 16 KB limit of
/// the `link` library.
constexpr std::size_t max_buckets_per_message = 2000;
constexpr std::uint64_t estimated_override_bytes = 20;
constexpr std::uint64_t estimated_weighted_target_bytes = 8;

} // namespace

byte_count estimated_size(const bucket_state& state)
{
    std::uint64_t bytes = estimated_message_overhead_bytes;
    bytes += state.buckets.size() * estimated_bucket_bytes;
    bytes += state.exceptions.size() * estimated_exception_bytes;
    for (const base_table_override& each : state.overrides)
    {
        bytes += estimated_override_bytes +
                 each.targets.size() * estimated_weighted_target_bytes;
    }
    return {bytes};
}

byte_count estimated_size(const replicate& update)
{
    return estimated_size(update.state) +
           byte_count{update.dropped_overrides.size() *
                      estimated_override_bytes};
}

std::optional<replicate>
replication_stream::next_message(const replication_source& source,
                                 byte_count budget, instant now)
{
    update_backlog_samples(now);
    if (!in_flight_)
    {
        const bool nothing_to_send =
            buckets_to_assign_.empty() && overrides_to_drop_.empty() &&
            queued_flows_.empty() && !unsettled_changed_;
        const bool awaits_more_exceptions =
            buckets_to_assign_.empty() && overrides_to_drop_.empty() &&
            !unsettled_changed_ &&
            queued_flows_.size() < min_batch_exceptions &&
            now - sent_at_ < (budget < scarce_budget
                                  ? scarce_budget_batching_delay
                                  : batching_delay);
        // Without a minimum, a long queue would be sent one exception at a time
        // as budget becomes available, mostly as framing.
        const std::uint64_t min_budget_bytes =
            estimated_message_overhead_bytes +
            estimated_exception_bytes *
                std::clamp<std::uint64_t>(queued_flows_.size(), 1,
                                          max_exceptions_in_min_budget);
        if (nothing_to_send || awaits_more_exceptions ||
            budget.value < min_budget_bytes)
        {
            return std::nullopt;
        }
        in_flight_ = build_message(source, budget);
        sent_at_ = now;
        return in_flight_;
    }
    if (now - sent_at_ < retransmission_delay ||
        estimated_size(*in_flight_) > budget)
    {
        return std::nullopt;
    }
    sent_at_ = now;
    // Base tables are encoded relative to the set in effect when the message is
    // sent, so they are exported again for a retransmission.
    if (!in_flight_->state.buckets.empty())
    {
        const base_tables& base = source.base_of_lineage(in_flight_->lineage);
        in_flight_->state.overrides = base.export_overrides();
        in_flight_->state.uncertain = base.export_uncertain();
    }
    in_flight_->in_effect = source.version_in_effect();
    return in_flight_;
}

void replication_stream::update_backlog_samples(instant now)
{
    while (!backlog_samples_.empty() &&
           backlog_samples_.front().added_flow_count <=
               acknowledged_flow_count_)
    {
        backlog_samples_.pop_front();
    }
    if (backlog() > 0 &&
        (backlog_samples_.empty() ||
         (backlog_samples_.back().added_flow_count < added_flow_count_ &&
          now - backlog_samples_.back().at >= backlog_sample_period)))
    {
        backlog_samples_.push_back({added_flow_count_, now});
    }
}

replicate replication_stream::build_message(const replication_source& source,
                                            byte_count budget)
{
    replicate update{
        .session = session_,
        .sequence = ++sequence_,
        .in_effect = source.version_in_effect(),
        .unsettled_addresses = {unsettled_.begin(), unsettled_.end()}};
    unsettled_changed_ = false;
    if (!buckets_to_assign_.empty())
    {
        append_assignments(source, budget, update);
        return update;
    }
    if (!overrides_to_drop_.empty())
    {
        append_dropped_overrides(update);
        return update;
    }
    const std::size_t max_exceptions = std::min<std::size_t>(
        (budget.value - estimated_message_overhead_bytes) /
            estimated_exception_bytes,
        max_exceptions_per_message);
    for (std::size_t i = 0; i < max_exceptions && !queued_flows_.empty(); ++i)
    {
        const flow_key key = queued_flows_.front();
        queued_flows_.pop_front();
        const std::optional<target_id> target = source.target_of(key);
        update.state.exceptions.push_back(
            {key, target.value_or(target_id{}), !target});
    }
    return update;
}

void replication_stream::append_assignments(const replication_source& source,
                                            byte_count budget,
                                            replicate& update)
{
    update.lineage = source.lineage_of(buckets_to_assign_.back());
    const base_tables& base = source.base_of_lineage(update.lineage);
    update.state.overrides = base.export_overrides();
    update.state.uncertain = base.export_uncertain();
    const std::size_t max_buckets = std::clamp<std::size_t>(
        budget.value / estimated_bucket_bytes, 1, max_buckets_per_message);
    while (!buckets_to_assign_.empty() &&
           update.state.buckets.size() < max_buckets &&
           source.lineage_of(buckets_to_assign_.back()) == update.lineage)
    {
        update.state.buckets.push_back(buckets_to_assign_.back());
        buckets_to_assign_.pop_back();
    }
    std::ranges::sort(update.state.buckets);
}

void replication_stream::append_dropped_overrides(replicate& update)
{
    update.lineage = overrides_to_drop_.front().first;
    const auto of_lineage = [&](const auto& entry)
    {
        return entry.first == update.lineage;
    };
    for (const auto& [lineage, key] : overrides_to_drop_)
    {
        if (lineage == update.lineage)
        {
            update.dropped_overrides.push_back(key);
        }
    }
    std::erase_if(overrides_to_drop_, of_lineage);
}

bool replication_stream::acknowledge(const replicate_ack& ack)
{
    if (ack.session != session_ || !in_flight_)
    {
        return true;
    }
    if (ack.sequence == in_flight_->sequence)
    {
        acknowledged_flow_count_ += in_flight_->state.exceptions.size();
        for (const public_address& address : in_flight_->unsettled_addresses)
        {
            if (unsettled_.contains(address))
            {
                acknowledged_unsettled_.insert(address);
            }
        }
        in_flight_.reset();
        return true;
    }
    // A repeated acknowledgement of the previous message.
    return ack.sequence + 1 == in_flight_->sequence;
}

} // namespace catkinkeel
