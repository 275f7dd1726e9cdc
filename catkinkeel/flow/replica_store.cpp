#include "catkinkeel/flow/replica_store.hpp"

#include "catkinkeel/base/hash.hpp"

#include <set>

namespace catkinkeel
{

namespace
{

/// Longer than any handover by the sender, because the replica is needed if
/// the sender fails during the handover.
constexpr duration obsolete_replica_timeout = 60s;

} // namespace

std::optional<replicate_ack>
replica_store::apply(vm_id from, const replicate& update,
                     const placement_context& context)
{
    sender& stored = senders_[from];
    if (update.session < stored.session)
    {
        return std::nullopt;
    }
    if (update.session > stored.session)
    {
        stored = sender{.session = update.session};
    }
    if (update.sequence == stored.sequence + 1)
    {
        const bool relative_to_set =
            !update.state.buckets.empty() || !update.dropped.empty();
        if (relative_to_set &&
            (!context.set || context.set->version() != update.in_effect))
        {
            return std::nullopt;
        }
        apply_assignment(stored, update, context);
        apply_exceptions(stored, update);
        stored.sequence = update.sequence;
        stored.unsettled_addresses = update.unsettled_addresses;
    }
    return replicate_ack{update.session, stored.sequence};
}

void replica_store::apply_assignment(sender& from, const replicate& update,
                                     const placement_context& context)
{
    if (!update.state.buckets.empty())
    {
        const base_tables sent(update.state.overrides, update.state.uncertain,
                               context);
        std::shared_ptr<base_tables>& base = from.lineages[update.lineage];
        if (!base || *base != sent)
        {
            base = std::make_shared<base_tables>(sent);
        }
        for (const bucket_id bucket : update.state.buckets)
        {
            from.buckets[bucket] = {.base = base, .exceptions = {}};
        }
    }
    const auto lineage = from.lineages.find(update.lineage);
    if (lineage != from.lineages.end())
    {
        for (const base_table_key& key : update.dropped)
        {
            lineage->second->drop_override(key);
        }
    }
}

void replica_store::apply_exceptions(sender& from, const replicate& update)
{
    for (const flow_exception& each : update.state.exceptions)
    {
        const auto found = from.buckets.find(bucket_of(hash_flow(each.key)));
        if (found == from.buckets.end())
        {
            continue;
        }
        if (each.ended)
        {
            found->second.exceptions.erase(each.key);
        }
        else
        {
            found->second.exceptions[each.key] = each.target;
        }
    }
}

void replica_store::advance(const std::vector<base_table_change>& changes)
{
    std::set<base_tables*> advanced;
    const auto advance_once = [&](base_tables* base)
    {
        if (base != nullptr && advanced.insert(base).second)
        {
            base->advance(changes);
        }
    };
    for (auto& [vm, from] : senders_)
    {
        for (auto& [index, base] : from.lineages)
        {
            advance_once(base.get());
        }
        for (auto& [bucket, held] : from.buckets)
        {
            advance_once(held.base.get());
        }
    }
}

void replica_store::forget_targets(const std::set<target_id>& gone)
{
    for (auto& [vm, from] : senders_)
    {
        for (auto& [index, base] : from.lineages)
        {
            base->forget_targets(gone);
        }
        for (auto& [bucket, held] : from.buckets)
        {
            held.base->forget_targets(gone);
            std::erase_if(held.exceptions, [&](const auto& entry)
                          { return gone.contains(entry.second); });
        }
    }
}

std::optional<bucket_replica> replica_store::take(vm_id owner, bucket_id bucket)
{
    const auto from = senders_.find(owner);
    if (from == senders_.end())
    {
        return std::nullopt;
    }
    const auto found = from->second.buckets.find(bucket);
    if (found == from->second.buckets.end())
    {
        return std::nullopt;
    }
    bucket_replica taken;
    if (found->second.base)
    {
        taken.base = *found->second.base;
    }
    for (const public_address& address : from->second.unsettled_addresses)
    {
        taken.base.mark_uncertain(address);
    }
    for (const auto& [key, target] : found->second.exceptions)
    {
        taken.exceptions.push_back({key, target, false});
    }
    from->second.buckets.erase(found);
    return taken;
}

void replica_store::expire(const bucket_map& map, vm_id self, instant now)
{
    for (auto& [vm, from] : senders_)
    {
        const auto expired = [&, owner = vm](auto& entry)
        {
            replica& held = entry.second;
            if (map.owner(entry.first) == owner &&
                map.standby(entry.first) == self)
            {
                held.obsolete_since.reset();
                return false;
            }
            held.obsolete_since = held.obsolete_since.value_or(now);
            return now - *held.obsolete_since >= obsolete_replica_timeout;
        };
        for (auto entry = from.buckets.begin(); entry != from.buckets.end();)
        {
            entry =
                expired(*entry) ? from.buckets.erase(entry) : std::next(entry);
        }
    }
}

std::size_t replica_store::exception_count() const
{
    std::size_t count = 0;
    for (const auto& [vm, from] : senders_)
    {
        for (const auto& [bucket, held] : from.buckets)
        {
            count += held.exceptions.size();
        }
    }
    return count;
}

} // namespace catkinkeel
