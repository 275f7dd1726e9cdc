#include "catkinkeel/data_centre/bucket_map.hpp"

#include "catkinkeel/base/hash.hpp"

#include <algorithm>

namespace catkinkeel
{

namespace
{

/// Distinct salts keep the ranking of data centres independent of the ranking
/// of VMs.
constexpr std::uint64_t data_centre_salt = 0x6463;
constexpr std::uint64_t vm_salt = 0x766d;

std::uint64_t data_centre_score(bucket_id bucket, data_centre_id id)
{
    return hash_pair(hash_pair(data_centre_salt, bucket.value), id.value);
}

std::uint64_t vm_score(bucket_id bucket, vm_id id)
{
    return hash_pair(hash_pair(vm_salt, bucket.value), id.value);
}

/// The VMs of one data centre that may own buckets.
struct site
{
    data_centre_id id;
    std::vector<vm_id> vms;
};

std::vector<site> sites_of(std::span<const data_centre> group,
                           const member_view& view)
{
    std::vector<site> sites;
    for (const data_centre& each : group)
    {
        site candidate{each.id, {}};
        for (const member& vm : view.members)
        {
            if (vm.data_centre == each.id && vm.may_own())
            {
                candidate.vms.push_back(vm.id);
            }
        }
        if (each.wish == data_centre_wish::in_service && !candidate.vms.empty())
        {
            sites.push_back(std::move(candidate));
        }
    }
    return sites;
}

/// First and second VM of a site for a bucket.
struct ranked_pair
{
    std::optional<vm_id> first;
    std::optional<vm_id> second;
};

ranked_pair rank_vms(bucket_id bucket, const site& at)
{
    ranked_pair ranked;
    std::uint64_t first_score = 0;
    std::uint64_t second_score = 0;
    for (const vm_id vm : at.vms)
    {
        const std::uint64_t score = vm_score(bucket, vm);
        if (!ranked.first || score > first_score)
        {
            ranked.second = ranked.first;
            second_score = first_score;
            ranked.first = vm;
            first_score = score;
        }
        else if (!ranked.second || score > second_score)
        {
            ranked.second = vm;
            second_score = score;
        }
    }
    return ranked;
}

/// The site ranked first for a bucket and the one ranked second, if any.
std::pair<const site*, const site*> rank_sites(bucket_id bucket,
                                               const std::vector<site>& sites)
{
    const site* first = nullptr;
    const site* second = nullptr;
    const auto score = [&](const site* s)
    {
        return data_centre_score(bucket, s->id);
    };
    for (const site& each : sites)
    {
        if (first == nullptr || score(&each) > score(first))
        {
            second = first;
            first = &each;
        }
        else if (second == nullptr || score(&each) > score(second))
        {
            second = &each;
        }
    }
    return {first, second};
}

std::uint64_t hash_sites(std::span<const data_centre> group,
                         const std::vector<site>& sites)
{
    std::uint64_t hash = hash_pair(0, bucket_count);
    for (const data_centre& each : group)
    {
        hash = hash_pair(hash, each.id.value);
    }
    for (const site& each : sites)
    {
        hash = hash_pair(hash_pair(hash, data_centre_salt), each.id.value);
        for (const vm_id vm : each.vms)
        {
            hash = hash_pair(hash_pair(hash, vm_salt), vm.value);
        }
    }
    return hash;
}

} // namespace

std::vector<data_centre> group_of(const published_set& set, data_centre_id own)
{
    std::vector<data_centre> group;
    const data_centre* self = set.find_data_centre(own);
    if (self == nullptr)
    {
        return group;
    }
    for (const data_centre& each : set.objects().data_centres)
    {
        if (each.region == self->region)
        {
            group.push_back(each);
        }
    }
    return group;
}

data_centre_id home_of(bucket_id bucket, std::span<const data_centre> group)
{
    return std::ranges::max_element(
               group, {},
               [&](const data_centre& each)
               { return data_centre_score(bucket, each.id); })
        ->id;
}

bucket_map::bucket_map(const published_set& set, const member_view& view)
{
    const member* self = view.find(view.self);
    if (self == nullptr)
    {
        return;
    }
    const std::vector<data_centre> group = group_of(set, self->data_centre);
    if (group.empty())
    {
        return;
    }
    const std::vector<site> sites = sites_of(group, view);
    fingerprint_ = hash_sites(group, sites);
    entries_.resize(bucket_count);
    for (std::uint32_t i = 0; i < bucket_count; ++i)
    {
        const bucket_id bucket{static_cast<std::uint16_t>(i)};
        entry& filled = entries_[i];
        filled.home = home_of(bucket, group);
        const auto [first, second] = rank_sites(bucket, sites);
        if (first == nullptr)
        {
            continue;
        }
        const ranked_pair ranked = rank_vms(bucket, *first);
        filled.owner = ranked.first;
        filled.standby = ranked.second;
        if (!filled.standby && second != nullptr)
        {
            filled.standby = rank_vms(bucket, *second).first;
        }
    }
}

std::uint64_t bucket_map::fingerprint_of(const published_set& set,
                                         const member_view& view)
{
    const member* self = view.find(view.self);
    if (self == nullptr)
    {
        return 0;
    }
    const std::vector<data_centre> group = group_of(set, self->data_centre);
    return group.empty() ? 0 : hash_sites(group, sites_of(group, view));
}

std::optional<vm_id> bucket_map::owner(bucket_id bucket) const
{
    return entries_.empty() ? std::nullopt : entries_[bucket.value].owner;
}

std::optional<vm_id> bucket_map::standby(bucket_id bucket) const
{
    return entries_.empty() ? std::nullopt : entries_[bucket.value].standby;
}

data_centre_id bucket_map::home(bucket_id bucket) const
{
    return entries_.empty() ? data_centre_id{} : entries_[bucket.value].home;
}

double bucket_map::owned_share(vm_id vm, data_centre_id home) const
{
    std::uint32_t homed = 0;
    std::uint32_t owned = 0;
    for (const entry& each : entries_)
    {
        if (each.home == home)
        {
            ++homed;
            owned += each.owner == vm ? 1U : 0U;
        }
    }
    return homed == 0 ? 0.0 : static_cast<double>(owned) / homed;
}

} // namespace catkinkeel
