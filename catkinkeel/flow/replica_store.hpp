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
    /// Applies the message if it is the next one of the sender's session, and
    /// returns an acknowledgement with the sequence number of the last message
    /// applied. A sender whose earlier messages this process never received
    /// recognises that by this number and restarts its stream.
    ///
    /// Returns nullopt if the session is older than the current one, or if the
    /// message refers to base tables and another set version is in effect here
    /// than at the sender; the sender then retransmits the message.
    std::optional<replicate_ack> apply(vm_id sender, const replicate& update,
                                       const placement_context& context);

    /// Applies a change of the set in effect: replicas keep the base tables
    /// that they had before it, as overrides.
    void apply_set_change(const std::vector<base_table_change>& changes);

    /// Removes these targets from all base tables and discards the exceptions
    /// of flows to them.
    void remove_targets(const std::set<target_id>& removed_targets);

    /// Removes the replica of a bucket that `sender` sent, and returns it;
    /// nullopt if there is none. Addresses that the sender reported as
    /// unsettled are marked uncertain in it.
    std::optional<bucket_replica> take(vm_id sender, bucket_id bucket);

    /// Discards replicas that have been obsolete for 60 s. A replica is
    /// obsolete while its sender does not own the bucket or `self` is not the
    /// bucket's standby, according to `map`. The views of sender and receiver
    /// may differ for a shorter time, and the sender would not send the replica
    /// again.
    void expire(const bucket_map& map, vm_id self, instant now);

    /// Total number of exceptions stored for all senders.
    [[nodiscard]] std::size_t exception_count() const;

private:
    struct stored_replica
    {
        std::shared_ptr<base_tables> base;
        std::unordered_map<flow_key, target_id> exceptions;
        std::optional<instant> obsolete_since;
    };
    /// State received from one sender.
    struct sender_state
    {
        std::uint64_t session = 0;
        std::uint64_t sequence = 0;
        /// Base tables by the sender's lineage number; the replicas of the
        /// buckets of a lineage share them.
        std::map<std::uint16_t, std::shared_ptr<base_tables>> lineages;
        std::map<bucket_id, stored_replica> buckets;
        std::vector<public_address> unsettled_addresses;
    };

    /// Adds replicas for the buckets of the message and removes the overrides
    /// that the sender has dropped.
    static void apply_base_tables(sender_state& stored, const replicate& update,
                                  const placement_context& context);
    static void apply_exceptions(sender_state& stored, const replicate& update);

    std::map<vm_id, sender_state> senders_;
};

} // namespace catkinkeel
