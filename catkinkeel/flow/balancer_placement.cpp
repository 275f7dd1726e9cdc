// Choice of the target of a new flow, and the load that it is based on.

#include "catkinkeel/base/hash.hpp"
#include "catkinkeel/flow/balancer.hpp"

#include <algorithm>
#include <cmath>

namespace catkinkeel
{

namespace
{

/// Loads and limits of a service's targets are read again after this time.
constexpr duration load_refresh = 100ms;
/// Below this many flows the load bound is not applied: rounding would make
/// nearly every flow an exception.
constexpr double load_bound_floor = 4;

} // namespace

bool balancer::accepts_new(target_id id, instant now) const
{
    const target* found = context_.set->find_target(id);
    if (found == nullptr || found->wish != target_wish::serve ||
        !context_.set->in_service(found->data_centre))
    {
        return false;
    }
    // A flow that ends to begin again does not add to the target's load.
    return bearings_.admission_limit_of(*found, 1.0, held_on(id), now).limit >
           0;
}

std::optional<deliver> balancer::place_again(const flow_key& key, instant now)
{
    const std::uint64_t hash = hash_flow(key);
    flow_record* record = flows_.find(key, hash);
    const reference* ref =
        context_.set
            ? context_.set->find_reference(key.service_side, key.transport)
            : nullptr;
    if (record == nullptr || ref == nullptr ||
        record->state != flow_state::opened || !admission_.admit_retry())
    {
        return std::nullopt;
    }
    const target_id failed = record->target;
    const target* failed_target = find_target(failed);
    if (failed_target == nullptr)
    {
        return std::nullopt;
    }
    const service_id service_of_failed = failed_target->service;
    const std::optional<target_id> target =
        place(service_of_failed, hash, now, failed);
    if (!target)
    {
        return std::nullopt;
    }
    --held_[failed];
    ++held_[*target];
    record->target = *target;
    note_if_exception(*record, hash);
    const verdict result = deliver_to(*target);
    const deliver* delivered = std::get_if<deliver>(&result);
    return delivered == nullptr ? std::nullopt : std::optional(*delivered);
}

std::uint32_t balancer::held_on(target_id id) const
{
    const auto found = held_.find(id);
    return found == held_.end() ? 0 : found->second;
}

double balancer::capacity_share(target_id id)
{
    const target* found =
        context_.set ? context_.set->find_target(id) : nullptr;
    if (found == nullptr || !context_.plan)
    {
        return 0;
    }
    const std::vector<target_load>& loads = expect_load(found->service).targets;
    const auto at = std::ranges::find(
        loads, id, [](const target_load& l) { return l.what->id; });
    return at == loads.end() ? 0 : at->capacity_share;
}

balancer::service_load balancer::make_load(service_id service) const
{
    service_load load;
    for (const target& each : context_.set->targets_of(service))
    {
        if (each.wish != target_wish::serve ||
            !context_.set->in_service(each.data_centre))
        {
            continue;
        }
        load.targets.push_back({.what = &each});
    }
    double all_homes = 0;
    std::vector<double> all(load.targets.size(), 0.0);
    for (const data_centre& home : context_.plan->group())
    {
        const placement_table_ptr table =
            context_.plan->table(service, home.id);
        if (!table)
        {
            continue;
        }
        const auto owned = owned_share_.find(home.id.value);
        const double own = owned == owned_share_.end() ? 0 : owned->second;
        double total = 0;
        for (const weighted_target& each : table->targets)
        {
            total += each.weight;
        }
        for (const weighted_target& each : table->targets)
        {
            const auto at = std::ranges::find(load.targets, each.id,
                                              [](const target_load& l)
                                              { return l.what->id; });
            const double part = each.weight / total;
            at->expected += own * part;
            all[static_cast<std::size_t>(at - load.targets.begin())] += part;
        }
        all_homes += own;
    }
    if (all_homes <= 0)
    {
        // This VM owns no bucket (it leaves, or its data centre is out) but may
        // hold some until they are handed over.
        const double count = static_cast<double>(load.targets.size());
        const double members =
            static_cast<double>(std::max<std::size_t>(1, view_.members.size()));
        for (target_load& each : load.targets)
        {
            each.expected = 1 / count;
            each.capacity_share = 1 / members;
        }
        return load;
    }
    for (std::size_t i = 0; i < load.targets.size(); ++i)
    {
        target_load& each = load.targets[i];
        each.capacity_share = all[i] > 0 ? each.expected / all[i] : 0;
        each.expected = each.expected / all_homes;
    }
    return load;
}

balancer::service_load& balancer::load_of(service_id service, instant now)
{
    service_load& load = expect_load(service);
    if (!load.refreshed || now - *load.refreshed >= load_refresh)
    {
        load.refreshed = now;
        for (target_load& each : load.targets)
        {
            each.limit =
                bearings_
                    .admission_limit_of(*each.what, each.capacity_share,
                                        held_on(each.what->id), now)
                    .limit;
        }
    }
    return load;
}

std::optional<target_id> balancer::place(service_id service, std::uint64_t hash,
                                         instant now,
                                         std::optional<target_id> avoid)
{
    const placement_table_ptr table =
        context_.plan->table(service, map_.home(bucket_of(hash)));
    if (!table)
    {
        return std::nullopt;
    }
    const std::optional<target_id> first = choose(*table, hash);
    double held_total = 1;
    double expected_total = 0;
    const target_load* least = nullptr;
    double least_load = 0;
    const target_load* preferred = nullptr;
    for (const target_load& each : load_of(service, now).targets)
    {
        const std::uint32_t held = held_on(each.what->id);
        if (held >= each.limit || each.what->id == avoid)
        {
            continue;
        }
        held_total += held;
        expected_total += each.expected;
        if (each.what->id == first)
        {
            preferred = &each;
        }
        // Targets that no table entry leads to here come last.
        const double load =
            each.expected > 0
                ? (held + 1) / each.expected
                : (held + 1) * static_cast<double>(bucket_count) * bucket_count;
        if (least == nullptr || load < least_load)
        {
            least = &each;
            least_load = load;
        }
    }
    if (preferred != nullptr && expected_total > 0)
    {
        const double fair = held_total * preferred->expected / expected_total;
        const double bound = std::max(
            load_bound_floor, std::ceil((1 + settings_.load_epsilon) * fair));
        if (held_on(preferred->what->id) + 1 <= bound)
        {
            return first;
        }
    }
    return least == nullptr ? std::nullopt : std::optional(least->what->id);
}

void balancer::end_flow(flow_record& record)
{
    // It no longer counts as held: the target is about to close it, and its
    // report tells if it does not.
    if (record.state != flow_state::ended)
    {
        record.state = flow_state::ended;
        release_held(record.target);
    }
}

void balancer::release_held(target_id id)
{
    const auto held = held_.find(id);
    if (held != held_.end() && --held->second == 0)
    {
        held_.erase(held);
    }
}

} // namespace catkinkeel
