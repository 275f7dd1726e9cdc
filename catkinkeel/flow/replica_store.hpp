#pragma once

// What this VM holds as standby for buckets of other VMs.

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

/// All that a failover needs for one bucket.
struct bucket_replica
{
    base_tables base;
    std::vector<flow_exception> exceptions;
};

/// Replicas received from the holders of buckets. Not thread-safe.
class replica_store
{
public:
    /// Applies a message in its order and returns the acknowledgement. The
    /// acknowledgement names the last message applied, so that a sender whose
    /// earlier messages this process never saw begins again. Empty if the
    /// message must be repeated later, since base tables are relative to a set
    /// version that differs from the one in effect here.
    std::optional<replicate_ack> apply(vm_id from, const replicate& update,
                                       const placement_context& context);

    /// Keeps the base tables as they were over a change of the set.
    void advance(const std::vector<base_change>& changes);

    /// Forgets exceptions on these targets.
    void forget_targets(const std::set<target_id>& gone);

    /// Removes and returns the replica of a bucket as `owner` sent it.
    std::optional<bucket_replica> take(vm_id owner, bucket_id bucket);

    /// Forgets replicas of buckets that for 60 s have belonged to another owner
    /// or standby than their sender and `self`. Views of sender and receiver
    /// may differ for less than that, and the sender would not tell again.
    void expire(const bucket_map& map, vm_id self, instant now);

    /// Exceptions held for all senders together.
    [[nodiscard]] std::size_t exception_count() const;

private:
    struct replica
    {
        std::shared_ptr<base_tables> base;
        std::unordered_map<flow_key, target_id> exceptions;
        std::optional<instant> unwanted_since;
    };
    struct sender
    {
        std::uint64_t session = 0;
        std::uint64_t sequence = 0;
        std::map<std::uint16_t, std::shared_ptr<base_tables>> lineages;
        std::map<bucket_id, replica> buckets;
        std::vector<public_address> unsettled;
    };

    static void apply_assignment(sender& from, const replicate& update,
                                 const placement_context& context);
    static void apply_exceptions(sender& from, const replicate& update);

    std::map<vm_id, sender> senders_;
};

} // namespace catkinkeel
