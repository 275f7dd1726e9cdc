#include "catkinkeel/flow/replica_store.hpp"

#include "catkinkeel/base/hash.hpp"

#include <set>

namespace catkinkeel
{

namespace
{

/// Must be longer than any handover. When a bucket gets a new owner, its
/// replica from the former owner becomes obsolete, but it is needed if the
/// former owner fails before it has handed the bucket over.
constexpr duration obsolete_replica_timeout = 60s;

} // namespace

std::optional<replicate_ack>
replica_store::apply(vm_id sender, const replicate& update,
                     const placement_context& context)
{
    sender_state& stored = senders_[sender];
    if (update.session < stored.session)
    {
        return std::nullopt;
    }
    if (update.session > stored.session)
    {
        stored = sender_state{.session = update.session};
    }
    if (update.sequence == stored.sequence + 1)
    {
        // Overrides are encoded relative to the sender's set in effect, so they
        // cannot be applied to another version. Without an acknowledgement the
        // sender retransmits the message relative to its set at that time.
        const bool relative_to_set =
            !update.state.buckets.empty() || !update.dropped_overrides.empty();
        if (relative_to_set &&
            (!context.set || context.set->version() != update.in_effect))
        {
            return std::nullopt;
        }
        apply_base_tables(stored, update, context);
        apply_exceptions(stored, update);
        stored.sequence = update.sequence;
        stored.unsettled_addresses = update.unsettled_addresses;
    }
    return replicate_ack{update.session, stored.sequence};
}

void replica_store::apply_base_tables(sender_state& stored,
                                      const replicate& update,
                                      const placement_context& context)
{
    if (!update.state.buckets.empty())
    {
        const base_tables sent(update.state.overrides, update.state.uncertain,
                               context);
        std::shared_ptr<base_tables>& base = stored.lineages[update.lineage];
        if (!base || *base != sent)
        {
            base = std::make_shared<base_tables>(sent);
        }
        for (const bucket_id bucket : update.state.buckets)
        {
            stored.buckets[bucket] = {.base = base, .exceptions = {}};
        }
    }
    const auto lineage = stored.lineages.find(update.lineage);
    if (lineage != stored.lineages.end())
    {
        for (const base_table_key& key : update.dropped_overrides)
        {
            lineage->second->drop_override(key);
        }
    }
}

void replica_store::apply_exceptions(sender_state& stored,
                                     const replicate& update)
{
    for (const flow_exception& each : update.state.exceptions)
    {
        const auto found = stored.buckets.find(bucket_of(hash_flow(each.key)));
        if (found == stored.buckets.end())
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

void replica_store::apply_set_change(
    const std::vector<base_table_change>& changes)
{
    std::set<base_tables*> updated;
    const auto apply_once = [&](base_tables* base)
    {
        if (base != nullptr && updated.insert(base).second)
        {
            base->apply_set_change(changes);
        }
    };
    for (auto& [vm, stored] : senders_)
    {
        for (auto& [lineage, base] : stored.lineages)
        {
            apply_once(base.get());
        }
        for (auto& [bucket, replica] : stored.buckets)
        {
            apply_once(replica.base.get());
        }
    }
}

void replica_store::remove_targets(const std::set<target_id>& removed_targets)
{
    for (auto& [vm, stored] : senders_)
    {
        for (auto& [lineage, base] : stored.lineages)
        {
            base->remove_targets(removed_targets);
        }
        for (auto& [bucket, replica] : stored.buckets)
        {
            replica.base->remove_targets(removed_targets);
            std::erase_if(replica.exceptions, [&](const auto& entry)
                          { return removed_targets.contains(entry.second); });
        }
    }
}

std::optional<bucket_replica> replica_store::take(vm_id sender,
                                                  bucket_id bucket)
{
    const auto stored = senders_.find(sender);
    if (stored == senders_.end())
    {
        return std::nullopt;
    }
    const auto found = stored->second.buckets.find(bucket);
    if (found == stored->second.buckets.end())
    {
        return std::nullopt;
    }
    bucket_replica result;
    if (found->second.base)
    {
        result.base = *found->second.base;
    }
    for (const public_address& address : stored->second.unsettled_addresses)
    {
        result.base.mark_uncertain(address);
    }
    for (const auto& [key, target] : found->second.exceptions)
    {
        result.exceptions.push_back({key, target, false});
    }
    stored->second.buckets.erase(found);
    return result;
}

void replica_store::expire(const bucket_map& map, vm_id self, instant now)
{
    for (auto& [vm, stored] : senders_)
    {
        const auto update_and_check_expiry = [&, owner = vm](auto& entry)
        {
            stored_replica& replica = entry.second;
            if (map.owner(entry.first) == owner &&
                map.standby(entry.first) == self)
            {
                replica.obsolete_since.reset();
                return false;
            }
            replica.obsolete_since = replica.obsolete_since.value_or(now);
            return now - *replica.obsolete_since >= obsolete_replica_timeout;
        };
        for (auto entry = stored.buckets.begin();
             entry != stored.buckets.end();)
        {
            entry = update_and_check_expiry(*entry)
                        ? stored.buckets.erase(entry)
                        : std::next(entry);
        }
    }
}

std::size_t replica_store::exception_count() const
{
    std::size_t count = 0;
    for (const auto& [vm, stored] : senders_)
    {
        for (const auto& [bucket, replica] : stored.buckets)
        {
            count += replica.exceptions.size();
        }
    }
    return count;
}

} // namespace catkinkeel
