#pragma once

// Replication of exceptions from the holder of buckets to their standbys.

#include "catkinkeel/base/byte_count.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/flow/base_tables.hpp"
#include "catkinkeel/flow/messages.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace catkinkeel
{

/// Estimated encoded sizes of an exception, a message without content, and a
/// bucket, for keeping to the byte budget. Buckets are delta-encoded in sorted
/// order.
constexpr std::uint64_t estimated_exception_bytes = 10;
constexpr std::uint64_t estimated_message_overhead_bytes = 150;
constexpr std::uint64_t estimated_bucket_bytes = 2;

/// State that a replication stream reads when it builds a message.
class replication_source
{
public:
    virtual ~replication_source() = default;

    [[nodiscard]] virtual set_version version_in_effect() const = 0;
    /// Identifies the base tables of a bucket; buckets with the same number
    /// share their tables.
    [[nodiscard]] virtual std::uint16_t lineage_of(bucket_id bucket) const = 0;
    [[nodiscard]] virtual const base_tables&
    base_of_lineage(std::uint16_t lineage) const = 0;
    /// Empty if the flow has ended.
    [[nodiscard]] virtual std::optional<target_id>
    target_of(const flow_key& key) const = 0;
};

/// Ordered, acknowledged stream of messages to one standby (stop-and-wait: one
/// message is in flight at a time).
class replication_stream
{
public:
    explicit replication_stream(std::uint64_t session) : session_(session) {}

    /// Makes the receiver the standby of the bucket. The caller then adds the
    /// flows of the bucket that must be replicated.
    void assign(bucket_id bucket)
    {
        to_assign_.push_back(bucket);
    }

    /// Removes the override from the buckets of the lineage.
    void drop_override(std::uint16_t lineage, const base_table_key& key)
    {
        to_drop_.emplace_back(lineage, key);
    }

    /// After a failover the receiver must drop packets of this address that
    /// have no record, because their service is ambiguous; until
    /// `mark_settled`.
    void mark_unsettled(const public_address& address)
    {
        announced_.erase(address);
        unsettled_.insert(address);
        unsettled_changed_ = true;
    }

    /// All flows of the address that need replication were acknowledged.
    void mark_settled(const public_address& address)
    {
        announced_.erase(address);
        unsettled_changed_ |= unsettled_.erase(address) > 0;
    }

    /// Whether the receiver has acknowledged that the address is unsettled.
    [[nodiscard]] bool announced(const public_address& address) const
    {
        return announced_.contains(address);
    }

    /// Queues the flow. Its target, or its end if it has ended by then, is read
    /// when the message is built.
    void add(const flow_key& key)
    {
        queue_.push_back(key);
        ++added_;
    }

    /// Returns the message to send now, within `budget`; empty if there is
    /// none. A message that is not acknowledged within 500 ms is returned
    /// again.
    std::optional<replicate> next(const replication_source& source,
                                  byte_count budget, instant now);

    /// Returns false if the receiver has lost replicated state; the stream must
    /// then be replaced by one with a higher session.
    bool acknowledge(const replicate_ack& ack);

    [[nodiscard]] std::uint64_t session() const
    {
        return session_;
    }
    /// Flows added, and flows whose message was acknowledged, since the start.
    [[nodiscard]] std::uint64_t added() const
    {
        return added_;
    }
    [[nodiscard]] std::uint64_t acknowledged() const
    {
        return acknowledged_;
    }
    /// Flows not yet sent or not yet acknowledged.
    [[nodiscard]] std::uint64_t backlog() const
    {
        return added_ - acknowledged_;
    }
    /// Age of the oldest flow in the backlog, to the second; 0 if it is empty.
    [[nodiscard]] duration oldest(instant now) const
    {
        return backlog_samples_.empty() ? duration{}
                                        : now - backlog_samples_.front().at;
    }
    [[nodiscard]] bool assigning() const
    {
        return !to_assign_.empty();
    }

private:
    replicate build(const replication_source& source, byte_count budget);
    void take_assignments(const replication_source& source, byte_count budget,
                          replicate& update);
    void take_dropped(replicate& update);
    void sample_backlog(instant now);

    std::uint64_t session_;
    std::uint64_t sequence_ = 0;
    std::optional<replicate> in_flight_;
    instant sent_at_{};
    std::vector<bucket_id> to_assign_;
    std::vector<std::pair<std::uint16_t, base_table_key>> to_drop_;
    std::set<public_address> unsettled_;
    std::set<public_address> announced_;
    bool unsettled_changed_ = false;
    std::deque<flow_key> queue_;
    std::uint64_t added_ = 0;
    std::uint64_t acknowledged_ = 0;
    /// Number of flows added up to a point in time, to compute their age.
    struct backlog_sample
    {
        std::uint64_t added = 0;
        instant at;
    };
    std::deque<backlog_sample> backlog_samples_;
};

/// Estimated encoded size of a message with this content.
byte_count estimated_size(const bucket_state& state);
byte_count estimated_size(const replicate& update);

} // namespace catkinkeel
