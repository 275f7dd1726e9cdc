#include "catkinkeel/flow/base_tables.hpp"

#include <algorithm>
#include <utility>

namespace catkinkeel
{

namespace
{

bool same_table(const placement_table_ptr& a, const placement_table_ptr& b)
{
    return a == b || (a && b && *a == *b);
}

public_address address_of(const reference& of)
{
    return {of.public_endpoint, of.transport};
}

} // namespace

placement_table_ptr placement_context::current(const base_table_key& key) const
{
    if (!set || !plan)
    {
        return nullptr;
    }
    const reference* found =
        set->find_reference(key.address.where, key.address.transport);
    return found == nullptr ? nullptr : plan->table(found->service, key.home);
}

std::vector<base_table_change>
base_table_changes(const placement_context& before,
                   const placement_context& after)
{
    std::vector<base_table_change> changes;
    if (!before.set || !before.plan)
    {
        return changes;
    }
    for (const reference& each : before.set->objects().references)
    {
        for (const data_centre& home : before.plan->group())
        {
            const base_table_key key{address_of(each), home.id};
            placement_table_ptr old_table =
                before.plan->table(each.service, home.id);
            placement_table_ptr new_table = after.current(key);
            if (!same_table(old_table, new_table))
            {
                changes.push_back(
                    {key, std::move(old_table), std::move(new_table)});
            }
        }
    }
    return changes;
}

base_tables::base_tables(const std::vector<base_table_override>& overrides,
                         const std::vector<public_address>& uncertain,
                         const placement_context& context)
    : uncertain_(uncertain.begin(), uncertain.end())
{
    for (const base_table_override& each : overrides)
    {
        const base_table_key key{each.address, each.home};
        auto table = std::make_shared<const placement_table>(
            placement_table{each.service, each.targets});
        if (!same_table(table, context.current(key)))
        {
            overrides_.emplace(key, std::move(table));
        }
    }
}

void base_tables::apply_set_change(
    const std::vector<base_table_change>& changes)
{
    for (const base_table_change& change : changes)
    {
        const auto found = overrides_.find(change.key);
        if (found == overrides_.end())
        {
            if (change.before)
            {
                overrides_.emplace(change.key, change.before);
            }
        }
        else if (same_table(found->second, change.after))
        {
            overrides_.erase(found);
        }
    }
}

void base_tables::remove_targets(const std::set<target_id>& removed_targets)
{
    for (auto& [key, table] : overrides_)
    {
        placement_table remaining = *table;
        std::erase_if(remaining.targets, [&](const weighted_target& each)
                      { return removed_targets.contains(each.id); });
        if (remaining != *table)
        {
            table =
                std::make_shared<const placement_table>(std::move(remaining));
        }
    }
}

placement_table_ptr base_tables::find(const base_table_key& key,
                                      const placement_context& context) const
{
    const auto found = overrides_.find(key);
    return found != overrides_.end() ? found->second : context.current(key);
}

bool base_tables::mixed(const base_table_key& key,
                        const placement_context& context) const
{
    const auto found = overrides_.find(key);
    if (found == overrides_.end())
    {
        return false;
    }
    const placement_table_ptr current = context.current(key);
    return current && current->service != found->second->service;
}

void base_tables::mark_mixed_uncertain(const placement_context& context)
{
    for (const auto& [key, table] : overrides_)
    {
        if (mixed(key, context))
        {
            uncertain_.insert(key.address);
        }
    }
}

std::vector<base_table_override> base_tables::export_overrides() const
{
    std::vector<base_table_override> exported;
    for (const auto& [key, table] : overrides_)
    {
        exported.push_back(
            {key.address, key.home, table->service, table->targets});
    }
    return exported;
}

std::vector<public_address> base_tables::export_uncertain() const
{
    return {uncertain_.begin(), uncertain_.end()};
}

bool operator==(const base_tables& a, const base_tables& b)
{
    return a.uncertain_ == b.uncertain_ &&
           std::ranges::equal(a.overrides_, b.overrides_,
                              [](const auto& x, const auto& y) {
                                  return x.first == y.first &&
                                         same_table(x.second, y.second);
                              });
}

} // namespace catkinkeel
