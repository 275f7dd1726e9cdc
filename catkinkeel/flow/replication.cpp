#include "catkinkeel/flow/replication.hpp"

#include <algorithm>

namespace catkinkeel
{

namespace
{

constexpr duration resend_after = 500ms;
constexpr duration sample_period = 1s;
/// Keeps a message near one kilobyte, so that one loss repeats little.
constexpr std::size_t exceptions_per_message = 100;
/// Fewer exceptions wait this long for others: the frame of a message is 131
/// bytes, an exception 10, and flows are promised to survive from 5 s on.
constexpr std::size_t exceptions_worth_a_message = 20;
constexpr duration collect_for = 300ms;
/// With less budget than this, streams with few exceptions would spend on
/// frames what the long ones need. 3 s stay below the 5 s.
constexpr byte_count scarce_budget{4000};
constexpr duration collect_when_scarce = 3s;
constexpr std::uint64_t exceptions_to_wait_for = 60;
constexpr std::size_t buckets_per_message = 2000;
constexpr std::uint64_t override_bytes = 20;
constexpr std::uint64_t weighted_target_bytes = 8;

} // namespace

byte_count estimated_size(const bucket_state& state)
{
    std::uint64_t bytes = message_bytes;
    bytes += state.buckets.size() * bucket_bytes;
    bytes += state.exceptions.size() * exception_bytes;
    for (const base_override& each : state.overrides)
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
    sample_age(now);
    if (!in_flight_)
    {
        const bool nothing_to_say = to_assign_.empty() && to_drop_.empty() &&
                                    queue_.empty() && !unsettled_changed_;
        const bool few =
            to_assign_.empty() && to_drop_.empty() && !unsettled_changed_ &&
            queue_.size() < exceptions_worth_a_message &&
            now - sent_at_ <
                (budget < scarce_budget ? collect_when_scarce : collect_for);
        // A message of one exception for each bit of budget would spend it on
        // frames.
        const std::uint64_t worthwhile =
            message_bytes +
            exception_bytes * std::clamp<std::uint64_t>(queue_.size(), 1,
                                                        exceptions_to_wait_for);
        if (nothing_to_say || few || budget.value < worthwhile)
        {
            return std::nullopt;
        }
        in_flight_ = build(source, budget);
        sent_at_ = now;
        return in_flight_;
    }
    if (now - sent_at_ < resend_after || estimated_size(*in_flight_) > budget)
    {
        return std::nullopt;
    }
    sent_at_ = now;
    // Base tables are relative to the version in effect when they are sent.
    if (!in_flight_->state.buckets.empty())
    {
        const base_tables& base = source.base_of_lineage(in_flight_->lineage);
        in_flight_->state.overrides = base.export_overrides();
        in_flight_->state.uncertain = base.export_uncertain();
    }
    in_flight_->in_effect = source.version_in_effect();
    return in_flight_;
}

void replication_stream::sample_age(instant now)
{
    while (!samples_.empty() && samples_.front().added <= acknowledged_)
    {
        samples_.pop_front();
    }
    if (backlog() > 0 &&
        (samples_.empty() || (samples_.back().added < added_ &&
                              now - samples_.back().at >= sample_period)))
    {
        samples_.push_back({added_, now});
    }
}

replicate replication_stream::build(const replication_source& source,
                                    byte_count budget)
{
    replicate update{.session = session_,
                     .sequence = ++sequence_,
                     .in_effect = source.version_in_effect(),
                     .unsettled = {unsettled_.begin(), unsettled_.end()}};
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
    const std::size_t room =
        std::min<std::size_t>((budget.value - message_bytes) / exception_bytes,
                              exceptions_per_message);
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
        budget.value / bucket_bytes, 1, buckets_per_message);
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
        for (const public_address& address : in_flight_->unsettled)
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
