#pragma once

// Replicas that this VM stores as the standby for buckets of other VMs.

#include "catkinkeel/base/hash.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/data_centre/bucket_map.hpp"
#include "catkinkeel/flow/base_tables.hpp"
#include "catkinkeel/flow/messages.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace catkinkeel
{

/// State needed to take over one bucket.
struct bucket_replica
{
    base_tables base;
    std::vector<flow_exception> exceptions;
};

/// Replicas received from the holders of buckets. Not thread-safe.
class replica_store
{
public:
    /// Applies a message in sequence and returns the acknowledgement. It
    /// carries the sequence number of the last message applied, so that a
    /// sender whose earlier messages this process never received restarts its
    /// stream. Empty if the session is older than the current one, or if the
    /// message must be retransmitted later because its base tables are relative
    /// to a set version other than the one in effect here.
    std::optional<replicate_ack> apply(vm_id from, const replicate& update,
                                       const placement_context& context);

    /// Preserves the base tables across a change of the set.
    void advance(const std::vector<base_table_change>& changes);

    /// Removes these targets from base tables and discards their exceptions.
    void forget_targets(const std::set<target_id>& gone);

    /// Removes and returns the replica of a bucket as `owner` sent it.
    std::optional<bucket_replica> take(vm_id owner, bucket_id bucket);

    /// Discards replicas of buckets whose owner has not been their sender, or
    /// whose standby has not been `self`, for 60 s. The views of sender and
    /// receiver may differ for a shorter time, and the sender would not send
    /// the replica again.
    void expire(const bucket_map& map, vm_id self, instant now);

    /// Total number of exceptions stored for all senders.
    [[nodiscard]] std::size_t exception_count() const;

private:
    struct replica
    {
        std::shared_ptr<base_tables> base;
        std::unordered_map<flow_key, target_id> exceptions;
        std::optional<instant> obsolete_since;
    };
    struct sender
    {
        std::uint64_t session = 0;
        std::uint64_t sequence = 0;
        std::map<std::uint16_t, std::shared_ptr<base_tables>> lineages;
        std::map<bucket_id, replica> buckets;
        std::vector<public_address> unsettled_addresses;
    };

    static void apply_assignment(sender& from, const replicate& update,
                                 const placement_context& context);
    static void apply_exceptions(sender& from, const replicate& update);

    std::map<vm_id, sender> senders_;
};

} // namespace catkinkeel
