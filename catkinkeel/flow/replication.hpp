#pragma once

// Replication of exceptions from the holder of buckets to their standbys. An
// exception is a flow that must be replicated because the base tables do not
// reliably select its target. The standby of a bucket is the VM that takes it
// over if the holder fails.

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

/// Estimated encoded sizes, used to keep messages within the byte budget. The
/// message overhead is the size of a message without content. Bucket numbers
/// are sorted and delta-encoded.
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
    /// Nullopt if the flow has ended.
    [[nodiscard]] virtual std::optional<target_id>
    target_of(const flow_key& key) const = 0;
};

/// Ordered, acknowledged stream of messages to one standby (stop-and-wait: one
/// message is in flight at a time).
///
/// A public address is unsettled for the receiver if its reference moved to
/// another service and flows may be open that the receiver could not assign to
/// the right service, since they are not replicated yet.
class replication_stream
{
public:
    explicit replication_stream(std::uint64_t session) : session_(session) {}

    /// Makes the receiver the standby of the bucket. The caller then adds the
    /// flows of the bucket that must be replicated.
    void assign(bucket_id bucket)
    {
        buckets_to_assign_.push_back(bucket);
    }

    /// Makes the receiver remove the override from the base tables of the
    /// lineage.
    void drop_override(std::uint16_t lineage, const base_table_key& key)
    {
        overrides_to_drop_.emplace_back(lineage, key);
    }

    /// Makes the address unsettled; the following messages say so. If the
    /// receiver takes over before `mark_settled`, it drops packets to this
    /// address that have no flow record, because their service is ambiguous.
    void mark_unsettled(const public_address& address)
    {
        acknowledged_unsettled_.erase(address);
        unsettled_.insert(address);
        unsettled_changed_ = true;
    }

    /// To be called once the receiver has acknowledged all flows of the address
    /// that need replication.
    void mark_settled(const public_address& address)
    {
        acknowledged_unsettled_.erase(address);
        unsettled_changed_ |= unsettled_.erase(address) > 0;
    }

    /// Whether the receiver has acknowledged that the address is unsettled.
    [[nodiscard]] bool
    unsettled_acknowledged(const public_address& address) const
    {
        return acknowledged_unsettled_.contains(address);
    }

    /// Queues a flow for replication. The message contains its target at the
    /// time when the message is built, or withdraws the exception if the flow
    /// has ended by then.
    void add(const flow_key& key)
    {
        queued_flows_.push_back(key);
        ++added_flow_count_;
    }

    /// Returns the message to send now, within `budget`; nullopt if there is
    /// none. A message that is not acknowledged within 500 ms is returned
    /// again.
    std::optional<replicate> next_message(const replication_source& source,
                                          byte_count budget, instant now);

    /// Processes an acknowledgement, which has the sequence number of the last
    /// message that the receiver applied. Returns false if that is neither the
    /// message in flight nor the one before it: the receiver has lost
    /// replicated state, for example in a restart, and the stream must be
    /// replaced by one with a higher session. Returns true otherwise, also for
    /// acknowledgements of other sessions.
    bool acknowledge(const replicate_ack& ack);

    [[nodiscard]] std::uint64_t session() const
    {
        return session_;
    }
    /// Flows added, and flows whose message was acknowledged, since the stream
    /// was created.
    [[nodiscard]] std::uint64_t added_flow_count() const
    {
        return added_flow_count_;
    }
    [[nodiscard]] std::uint64_t acknowledged_flow_count() const
    {
        return acknowledged_flow_count_;
    }
    /// Flows not yet sent or not yet acknowledged.
    [[nodiscard]] std::uint64_t backlog() const
    {
        return added_flow_count_ - acknowledged_flow_count_;
    }
    /// Time for which the oldest flow has been in the backlog, with a
    /// resolution of 1 s; 0 if the backlog is empty.
    [[nodiscard]] duration oldest_flow_age(instant now) const
    {
        return backlog_samples_.empty() ? duration{}
                                        : now - backlog_samples_.front().at;
    }
    [[nodiscard]] bool has_unsent_assignments() const
    {
        return !buckets_to_assign_.empty();
    }

private:
    replicate build_message(const replication_source& source,
                            byte_count budget);
    void append_assignments(const replication_source& source, byte_count budget,
                            replicate& update);
    void append_dropped_overrides(replicate& update);
    void update_backlog_samples(instant now);

    std::uint64_t session_;
    std::uint64_t sequence_ = 0;
    std::optional<replicate> in_flight_;
    instant sent_at_{};
    std::vector<bucket_id> buckets_to_assign_;
    std::vector<std::pair<std::uint16_t, base_table_key>> overrides_to_drop_;
    std::set<public_address> unsettled_;
    std::set<public_address> acknowledged_unsettled_;
    bool unsettled_changed_ = false;
    std::deque<flow_key> queued_flows_;
    std::uint64_t added_flow_count_ = 0;
    std::uint64_t acknowledged_flow_count_ = 0;
    /// Number of flows added up to a point in time. The samples give the age of
    /// the backlog without a time stamp for each flow.
    struct backlog_sample
    {
        std::uint64_t added_flow_count = 0;
        instant at;
    };
    std::deque<backlog_sample> backlog_samples_;
};

/// Estimated encoded size of a message with this content.
byte_count estimated_size(const bucket_state& state);
byte_count estimated_size(const replicate& update);

} // namespace catkinkeel
