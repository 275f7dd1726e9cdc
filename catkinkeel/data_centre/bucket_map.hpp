#pragma once

// Assignment of buckets of flows to data centres and entry VMs by rendezvous
// hashing. Every VM computes the map from the published set and its member
// view, without exchanging messages.
//
// Example:
//   const bucket_map map(set, view);
//   const bucket_id bucket = bucket_of(hash_flow(key));
//   if (map.owner(bucket) == self) { ... }

#include "catkinkeel/contract/published_set.hpp"
#include "catkinkeel/vm/member.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace catkinkeel
{

/// Buckets of a group (the data centres of one region). With 575 VMs in a
/// region each VM owns 28 on average, and the share of one VM varies by about a
/// fifth.
constexpr std::uint32_t bucket_count = 16384;

/// Bucket of a flow whose `hash_flow` is `hash`.
constexpr bucket_id bucket_of(std::uint64_t hash)
{
    return {static_cast<std::uint16_t>(hash % bucket_count)};
}

/// Data centres of the region of `own_data_centre`, in service or not, ordered
/// by identifier. Empty if it is not in the set.
std::vector<data_centre> data_centre_group(const published_set& set,
                                           data_centre_id own_data_centre);

/// Home data centre of a bucket: the one of `group` with the highest rendezvous
/// hash, whether in service or not. New flows of the bucket are placed with the
/// placement table of this data centre (`catkinkeel/flow/placement.hpp`).
/// `group` must not be empty.
data_centre_id home_data_centre(bucket_id bucket,
                                std::span<const data_centre> group);

/// Immutable map of buckets to their owners and standbys. Construction takes
/// O(buckets x VMs of a data centre).
class bucket_map
{
public:
    /// A map without owners.
    bucket_map() = default;

    /// Owners are the VMs of `view` that may own buckets, in the in-service
    /// data centres of the group of the VM `view.self`.
    bucket_map(const published_set& set, const member_view& view);

    /// The VM that selects targets for new flows of the bucket and holds their
    /// flow records; empty if no VM may own it.
    [[nodiscard]] std::optional<vm_id> owner(bucket_id bucket) const;

    /// The VM that takes over the bucket if its owner dies; empty if only one
    /// VM may own buckets.
    [[nodiscard]] std::optional<vm_id> standby(bucket_id bucket) const;

    [[nodiscard]] data_centre_id home(bucket_id bucket) const;

    /// Hash of the data centres and VMs that the map was computed from. Maps
    /// with equal fingerprints have the same owners.
    [[nodiscard]] std::uint64_t fingerprint() const
    {
        return fingerprint_;
    }

    /// Share of the buckets with the home data centre `home` that `vm` owns, in
    /// [0, 1].
    [[nodiscard]] double owned_share(vm_id vm, data_centre_id home) const;

    /// The fingerprint of the map of this set and view, without the cost of
    /// building the map. 0 if `view.self` or its data centre is unknown.
    static std::uint64_t fingerprint_of(const published_set& set,
                                        const member_view& view);

    friend bool operator==(const bucket_map& a, const bucket_map& b)
    {
        return a.fingerprint_ == b.fingerprint_;
    }

private:
    struct entry
    {
        std::optional<vm_id> owner;
        std::optional<vm_id> standby;
        data_centre_id home;
    };

    std::vector<entry> entries_;
    std::uint64_t fingerprint_ = 0;
};

} // namespace catkinkeel
