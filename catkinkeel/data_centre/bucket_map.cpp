#include "catkinkeel/data_centre/bucket_map.hpp"

#include "catkinkeel/base/hash.hpp"

#include <algorithm>

namespace catkinkeel
{

namespace
{

/// Different salts keep the ranking of data centres independent of that of VMs.
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

/// An in-service data centre with its VMs that may own buckets.
struct candidate_data_centre
{
    data_centre_id id;
    std::vector<vm_id> vms;
};

std::vector<candidate_data_centre>
find_candidates(std::span<const data_centre> group, const member_view& view)
{
    std::vector<candidate_data_centre> candidates;
    for (const data_centre& each : group)
    {
        candidate_data_centre added{each.id, {}};
        for (const member& vm : view.members)
        {
            if (vm.data_centre == each.id && vm.may_own_buckets())
            {
                added.vms.push_back(vm.id);
            }
        }
        if (each.wish == data_centre_wish::in_service && !added.vms.empty())
        {
            candidates.push_back(std::move(added));
        }
    }
    return candidates;
}

/// The VMs of a data centre with the highest and second-highest score for a
/// bucket.
struct ranked_vms
{
    std::optional<vm_id> first;
    std::optional<vm_id> second;
};

ranked_vms rank_vms(bucket_id bucket, const candidate_data_centre& candidate)
{
    ranked_vms ranked;
    std::uint64_t first_score = 0;
    std::uint64_t second_score = 0;
    for (const vm_id vm : candidate.vms)
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

/// The data centres ranked first and second for a bucket; null if there is
/// none.
std::pair<const candidate_data_centre*, const candidate_data_centre*>
rank_data_centres(bucket_id bucket,
                  const std::vector<candidate_data_centre>& candidates)
{
    const candidate_data_centre* first = nullptr;
    const candidate_data_centre* second = nullptr;
    const auto score = [&](const candidate_data_centre* scored)
    {
        return data_centre_score(bucket, scored->id);
    };
    for (const candidate_data_centre& each : candidates)
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

std::uint64_t
hash_candidates(std::span<const data_centre> group,
                const std::vector<candidate_data_centre>& candidates)
{
    std::uint64_t hash = hash_pair(0, bucket_count);
    for (const data_centre& each : group)
    {
        hash = hash_pair(hash, each.id.value);
    }
    for (const candidate_data_centre& each : candidates)
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

std::vector<data_centre> data_centre_group(const published_set& set,
                                           data_centre_id own_data_centre)
{
    std::vector<data_centre> group;
    const data_centre* self_data_centre = set.find_data_centre(own_data_centre);
    if (self_data_centre == nullptr)
    {
        return group;
    }
    for (const data_centre& each : set.objects().data_centres)
    {
        if (each.region == self_data_centre->region)
        {
            group.push_back(each);
        }
    }
    return group;
}

data_centre_id home_data_centre(bucket_id bucket,
                                std::span<const data_centre> group)
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
    const std::vector<data_centre> group =
        data_centre_group(set, self->data_centre);
    if (group.empty())
    {
        return;
    }
    const std::vector<candidate_data_centre> candidates =
        find_candidates(group, view);
    fingerprint_ = hash_candidates(group, candidates);
    entries_.resize(bucket_count);
    for (std::uint32_t i = 0; i < bucket_count; ++i)
    {
        const bucket_id bucket{static_cast<std::uint16_t>(i)};
        entry& assigned = entries_[i];
        assigned.home = home_data_centre(bucket, group);
        const auto [first, second] = rank_data_centres(bucket, candidates);
        if (first == nullptr)
        {
            continue;
        }
        const ranked_vms ranked = rank_vms(bucket, *first);
        assigned.owner = ranked.first;
        assigned.standby = ranked.second;
        if (!assigned.standby && second != nullptr)
        {
            assigned.standby = rank_vms(bucket, *second).first;
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
    const std::vector<data_centre> group =
        data_centre_group(set, self->data_centre);
    return group.empty() ? 0
                         : hash_candidates(group, find_candidates(group, view));
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
    std::uint32_t homed_count = 0;
    std::uint32_t owned_count = 0;
    for (const entry& each : entries_)
    {
        if (each.home == home)
        {
            ++homed_count;
            owned_count += each.owner == vm ? 1U : 0U;
        }
    }
    return homed_count == 0 ? 0.0
                            : static_cast<double>(owned_count) / homed_count;
}

} // namespace catkinkeel
