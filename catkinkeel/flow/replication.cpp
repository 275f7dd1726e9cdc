#include "catkinkeel/flow/replication.hpp"

#include <algorithm>

namespace catkinkeel
{

namespace
{

constexpr duration resend_delay = 500ms;
constexpr duration sample_period = 1s;
/// Keeps a message near one kilobyte, so that a loss costs little
/// retransmission.
constexpr std::size_t max_exceptions_per_message = 100;
/// A queue shorter than this is held back for up to `batching_delay`, because
/// the framing of a message takes 131 bytes and an exception 10. Flows must
/// survive a failure from an age of 5 s on, which limits the delay.
constexpr std::size_t min_undelayed_exceptions = 20;
constexpr duration batching_delay = 300ms;
/// Below this budget, streams with few exceptions would spend on framing the
/// bytes that streams with a long queue need, so they wait longer. 3 s is still
/// below the 5 s.
constexpr byte_count scarce_budget{4000};
constexpr duration scarce_budget_batching_delay = 3s;
constexpr std::uint64_t max_awaited_exceptions = 60;
constexpr std::size_t max_buckets_per_message = 2000;
constexpr std::uint64_t override_bytes = 20;
constexpr std::uint64_t weighted_target_bytes = 8;

} // namespace

byte_count estimated_size(const bucket_state& state)
{
    std::uint64_t bytes = estimated_message_overhead_bytes;
    bytes += state.buckets.size() * estimated_bucket_bytes;
    bytes += state.exceptions.size() * estimated_exception_bytes;
    for (const base_table_override& each : state.overrides)
    {
        bytes += override_bytes + each.targets.size() * weighted_target_bytes;
    }
    return {bytes};
}

byte_count estimated_size(const replicate& update)
{
    return estimated_size(update.state) +
           byte_count{update.dropped.size() * override_bytes};
}

std::optional<replicate>
replication_stream::next(const replication_source& source, byte_count budget,
                         instant now)
{
    sample_backlog(now);
    if (!in_flight_)
    {
        const bool nothing_to_send = to_assign_.empty() && to_drop_.empty() &&
                                     queue_.empty() && !unsettled_changed_;
        const bool awaits_more_exceptions =
            to_assign_.empty() && to_drop_.empty() && !unsettled_changed_ &&
            queue_.size() < min_undelayed_exceptions &&
            now - sent_at_ < (budget < scarce_budget
                                  ? scarce_budget_batching_delay
                                  : batching_delay);
        // Sending single exceptions as soon as a little budget is available
        // would spend the budget on framing.
        const std::uint64_t min_budget_bytes =
            estimated_message_overhead_bytes +
            estimated_exception_bytes *
                std::clamp<std::uint64_t>(queue_.size(), 1,
                                          max_awaited_exceptions);
        if (nothing_to_send || awaits_more_exceptions ||
            budget.value < min_budget_bytes)
        {
            return std::nullopt;
        }
        in_flight_ = build(source, budget);
        sent_at_ = now;
        return in_flight_;
    }
    if (now - sent_at_ < resend_delay || estimated_size(*in_flight_) > budget)
    {
        return std::nullopt;
    }
    sent_at_ = now;
    // Base tables are encoded relative to the set version in effect at the time
    // of sending, so a retransmission exports them anew.
    if (!in_flight_->state.buckets.empty())
    {
        const base_tables& base = source.base_of_lineage(in_flight_->lineage);
        in_flight_->state.overrides = base.export_overrides();
        in_flight_->state.uncertain = base.export_uncertain();
    }
    in_flight_->in_effect = source.version_in_effect();
    return in_flight_;
}

void replication_stream::sample_backlog(instant now)
{
    while (!backlog_samples_.empty() &&
           backlog_samples_.front().added <= acknowledged_)
    {
        backlog_samples_.pop_front();
    }
    if (backlog() > 0 && (backlog_samples_.empty() ||
                          (backlog_samples_.back().added < added_ &&
                           now - backlog_samples_.back().at >= sample_period)))
    {
        backlog_samples_.push_back({added_, now});
    }
}

replicate replication_stream::build(const replication_source& source,
                                    byte_count budget)
{
    replicate update{
        .session = session_,
        .sequence = ++sequence_,
        .in_effect = source.version_in_effect(),
        .unsettled_addresses = {unsettled_.begin(), unsettled_.end()}};
    unsettled_changed_ = false;
    if (!to_assign_.empty())
    {
        take_assignments(source, budget, update);
        return update;
    }
    if (!to_drop_.empty())
    {
        take_dropped(update);
        return update;
    }
    const std::size_t room = std::min<std::size_t>(
        (budget.value - estimated_message_overhead_bytes) /
            estimated_exception_bytes,
        max_exceptions_per_message);
    for (std::size_t i = 0; i < room && !queue_.empty(); ++i)
    {
        const flow_key key = queue_.front();
        queue_.pop_front();
        const std::optional<target_id> target = source.target_of(key);
        update.state.exceptions.push_back(
            {key, target.value_or(target_id{}), !target});
    }
    return update;
}

void replication_stream::take_assignments(const replication_source& source,
                                          byte_count budget, replicate& update)
{
    update.lineage = source.lineage_of(to_assign_.back());
    const base_tables& base = source.base_of_lineage(update.lineage);
    update.state.overrides = base.export_overrides();
    update.state.uncertain = base.export_uncertain();
    const std::size_t room = std::clamp<std::size_t>(
        budget.value / estimated_bucket_bytes, 1, max_buckets_per_message);
    while (!to_assign_.empty() && update.state.buckets.size() < room &&
           source.lineage_of(to_assign_.back()) == update.lineage)
    {
        update.state.buckets.push_back(to_assign_.back());
        to_assign_.pop_back();
    }
    std::ranges::sort(update.state.buckets);
}

void replication_stream::take_dropped(replicate& update)
{
    update.lineage = to_drop_.front().first;
    const auto of_lineage = [&](const auto& entry)
    {
        return entry.first == update.lineage;
    };
    for (const auto& [lineage, key] : to_drop_)
    {
        if (lineage == update.lineage)
        {
            update.dropped.push_back(key);
        }
    }
    std::erase_if(to_drop_, of_lineage);
}

bool replication_stream::acknowledge(const replicate_ack& ack)
{
    if (ack.session != session_ || !in_flight_)
    {
        return true;
    }
    if (ack.sequence == in_flight_->sequence)
    {
        acknowledged_ += in_flight_->state.exceptions.size();
        for (const public_address& address : in_flight_->unsettled_addresses)
        {
            if (unsettled_.contains(address))
            {
                announced_.insert(address);
            }
        }
        in_flight_.reset();
        return true;
    }
    return ack.sequence + 1 == in_flight_->sequence;
}

} // namespace catkinkeel
