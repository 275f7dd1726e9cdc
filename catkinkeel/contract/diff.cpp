#include "catkinkeel/contract/diff.hpp"

#include <algorithm>

namespace catkinkeel
{

namespace
{

std::vector<target> targets_by_id(const published_set& set)
{
    std::vector<target> targets = set.objects().targets;
    std::ranges::sort(targets, {}, &target::id);
    return targets;
}

/// Both lists must be ordered by identifier.
template <class Object>
object_changes<Object> compare_objects(const std::vector<Object>& from,
                                       const std::vector<Object>& to)
{
    object_changes<Object> changes;
    auto before = from.begin();
    auto after = to.begin();
    while (before != from.end() || after != to.end())
    {
        if (after == to.end() ||
            (before != from.end() && before->id < after->id))
        {
            changes.removed.push_back(*before++);
        }
        else if (before == from.end() || after->id < before->id)
        {
            changes.added.push_back(*after++);
        }
        else
        {
            if (*before != *after)
            {
                changes.changed.push_back({*before, *after});
            }
            ++before;
            ++after;
        }
    }
    return changes;
}

std::vector<moved_reference> find_moved_references(const published_set& from,
                                                   const published_set& to)
{
    std::vector<moved_reference> moved;
    for (const reference& after : to.objects().references)
    {
        const reference* before =
            from.find_reference(after.public_endpoint, after.transport);
        if (before != nullptr && before->service != after.service)
        {
            moved.push_back({after.id, after.public_endpoint, after.transport,
                             before->service, after.service});
        }
    }
    return moved;
}

void add_target_effects(set_diff& diff)
{
    for (const auto& [before, after] : diff.targets.changed)
    {
        if (before.service != after.service || before.address != after.address)
        {
            diff.replaced.push_back(after.id);
        }
        if (before.wish != after.wish)
        {
            (after.wish == target_wish::drain ? diff.drained
                                              : diff.drain_cancelled)
                .push_back(after.id);
        }
        if (before.weight != after.weight)
        {
            diff.weights.push_back({after.id, before.weight, after.weight});
        }
    }
}

void add_data_centre_effects(set_diff& diff)
{
    for (const auto& [before, after] : diff.data_centres.changed)
    {
        if (before.wish != after.wish)
        {
            (after.wish == data_centre_wish::out_of_service
                 ? diff.removed_from_service
                 : diff.returned_to_service)
                .push_back(after.id);
        }
    }
}

} // namespace

set_diff diff_sets(const published_set& from, const published_set& to)
{
    const published_objects& before = from.objects();
    const published_objects& after = to.objects();
    set_diff diff{
        .from = before.version,
        .to = after.version,
        .published_by = after.published_by,
        .services = compare_objects(before.services, after.services),
        .data_centres =
            compare_objects(before.data_centres, after.data_centres),
        .targets = compare_objects(targets_by_id(from), targets_by_id(to)),
        .references = compare_objects(before.references, after.references),
        .moved_references = find_moved_references(from, to)};
    add_target_effects(diff);
    add_data_centre_effects(diff);
    for (const published_objects* each : {&before, &after})
    {
        for (const service& named : each->services)
        {
            diff.service_names[named.id] = named.name;
        }
        for (const data_centre& named : each->data_centres)
        {
            diff.data_centre_names[named.id] = named.name;
        }
    }
    return diff;
}

} // namespace catkinkeel
