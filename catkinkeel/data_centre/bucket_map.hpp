#pragma once

// Which data centre and which entry VM own each bucket of flows. Every VM
// computes the map from the published set and its member view, without a
// message.
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

/// Buckets in a group. 575 VMs in a region get 28 each, so the share of one VM
/// varies by about a fifth.
constexpr std::uint32_t bucket_count = 16384;

/// Bucket of a flow whose `hash_flow` is `hash`.
constexpr bucket_id bucket_of(std::uint64_t hash)
{
    return {static_cast<std::uint16_t>(hash % bucket_count)};
}

/// Data centres of the region of `own`, in service or not, ordered by
/// identifier. Empty if `own` is not in the set.
std::vector<data_centre> group_of(const published_set& set, data_centre_id own);

/// Home data centre of a bucket: the first by rendezvous hash of `group`,
/// whether in service or not. `group` must not be empty.
data_centre_id home_of(bucket_id bucket, std::span<const data_centre> group);

/// Immutable map of bucket to owner and standby. Construction costs
/// O(buckets x VMs of a data centre).
class bucket_map
{
public:
    /// A map without owners.
    bucket_map() = default;

    /// Owners are the VMs of `view` that may own buckets, in the in-service
    /// data centres of the group of the VM `view.self`.
    bucket_map(const published_set& set, const member_view& view);

    /// The VM that decides for the bucket; empty if no VM can.
    [[nodiscard]] std::optional<vm_id> owner(bucket_id bucket) const;

    /// The VM that takes the bucket over if its owner dies; empty if there is
    /// only one VM.
    [[nodiscard]] std::optional<vm_id> standby(bucket_id bucket) const;

    [[nodiscard]] data_centre_id home(bucket_id bucket) const;

    /// Names what the map was computed from: two maps with equal fingerprints
    /// have the same owners.
    [[nodiscard]] std::uint64_t fingerprint() const
    {
        return fingerprint_;
    }

    /// Part of the buckets homed in `home` that `vm` owns, in [0, 1].
    [[nodiscard]] double owned_share(vm_id vm, data_centre_id home) const;

    /// The fingerprint that a map of these would have; far cheaper than the
    /// map. 0 if there would be no owners.
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
