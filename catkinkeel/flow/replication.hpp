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

/// Bytes that one exception and one bucket take in a message, and a message
/// without any; for keeping to the byte budget. Buckets travel as differences
/// of sorted numbers.
constexpr std::uint64_t exception_bytes = 10;
constexpr std::uint64_t message_bytes = 150;
constexpr std::uint64_t bucket_bytes = 2;

/// What a replication stream reads when it builds a message.
class replication_source
{
public:
    virtual ~replication_source() = default;

    [[nodiscard]] virtual set_version version_in_effect() const = 0;
    /// Identifies the base tables of a bucket: equal numbers, equal tables.
    [[nodiscard]] virtual std::uint16_t lineage_of(bucket_id bucket) const = 0;
    [[nodiscard]] virtual const base_tables&
    base_of_lineage(std::uint16_t lineage) const = 0;
    /// Empty if the flow has ended.
    [[nodiscard]] virtual std::optional<target_id>
    target_of(const flow_key& key) const = 0;
};

/// Ordered, acknowledged stream to one standby; one message is in flight at a
/// time.
class replication_stream
{
public:
    explicit replication_stream(std::uint64_t session) : session_(session) {}

    /// The receiver becomes standby of the bucket. Flows of the bucket that
    /// must be replicated are to be added afterwards.
    void assign(bucket_id bucket)
    {
        to_assign_.push_back(bucket);
    }

    /// Buckets of the lineage no longer have this override.
    void drop_override(std::uint16_t lineage, const base_key& key)
    {
        to_drop_.emplace_back(lineage, key);
    }

    /// The receiver must drop packets of this address rather than guess their
    /// service, until `settle`.
    void unsettle(const public_address& address)
    {
        announced_.erase(address);
        unsettled_.insert(address);
        unsettled_changed_ = true;
    }

    /// All flows of the address that need it were told and acknowledged.
    void settle(const public_address& address)
    {
        announced_.erase(address);
        unsettled_changed_ |= unsettled_.erase(address) > 0;
    }

    /// Whether the receiver has acknowledged that the address is unsettled.
    [[nodiscard]] bool announced(const public_address& address) const
    {
        return announced_.contains(address);
    }

    /// Tells the flow's target, or its end if it has ended when its turn comes.
    void add(const flow_key& key)
    {
        queue_.push_back(key);
        ++added_;
    }

    /// The message to send now, within `budget`; empty if there is none. A
    /// message that is not acknowledged within 500 ms is returned again.
    std::optional<replicate> next(const replication_source& source,
                                  byte_count budget, instant now);

    /// Returns false if the receiver has lost what it was told: the stream must
    /// be replaced by one with a higher session.
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
    /// Flows that wait to be told or acknowledged.
    [[nodiscard]] std::uint64_t backlog() const
    {
        return added_ - acknowledged_;
    }
    /// Age of the oldest flow that waits, to the second; 0 if none does.
    [[nodiscard]] duration oldest(instant now) const
    {
        return samples_.empty() ? duration{} : now - samples_.front().at;
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
    void sample_age(instant now);

    std::uint64_t session_;
    std::uint64_t sequence_ = 0;
    std::optional<replicate> in_flight_;
    instant sent_at_{};
    std::vector<bucket_id> to_assign_;
    std::vector<std::pair<std::uint16_t, base_key>> to_drop_;
    std::set<public_address> unsettled_;
    std::set<public_address> announced_;
    bool unsettled_changed_ = false;
    std::deque<flow_key> queue_;
    std::uint64_t added_ = 0;
    std::uint64_t acknowledged_ = 0;
    /// How many flows had been added at some moments, for their age.
    struct sample
    {
        std::uint64_t added = 0;
        instant at;
    };
    std::deque<sample> samples_;
};

/// Bytes that a message of this content is reckoned to take.
byte_count estimated_size(const bucket_state& state);
byte_count estimated_size(const replicate& update);

} // namespace catkinkeel
