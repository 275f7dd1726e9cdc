// What a new published set changes: base tables, moved references, targets.

#include "catkinkeel/base/hash.hpp"
#include "catkinkeel/flow/balancer.hpp"

#include <algorithm>
#include <utility>

namespace catkinkeel
{

namespace
{

/// Sides of a cut notice it within this time of each other.
constexpr duration detection_spread = 3s;

} // namespace

placement_plan_ptr balancer::make_plan(const published_set& set) const
{
    static const placement_plan none;
    return std::make_shared<const placement_plan>(
        set, data_centre_group(set, own_data_centre_),
        context_.plan ? *context_.plan : none);
}

void balancer::apply_set(published_set_ptr set, placement_plan_ptr plan,
                         instant now)
{
    if (context_.set && set->version() <= context_.set->version())
    {
        return;
    }
    started_ = started_.value_or(now);
    std::set<target_id> replaced;
    if (context_.set)
    {
        replaced = forget_replaced_targets(*set);
        retire_targets(*set, now);
    }
    placement_context next{std::move(set), std::move(plan)};
    const std::vector<base_change> changes = changes_between(context_, next);
    context_ = std::move(next);
    set_since_ = now;
    for (lineage& each : lineages_)
    {
        each.base.advance(changes);
        if (each.by_failover && now < each.unseen_until)
        {
            // The former holder may have opened flows by this set already.
            each.base.mark_mixed_uncertain(context_);
        }
    }
    replicas_.advance(changes);
    note_moves(changes, now);
    for (lineage& each : lineages_)
    {
        each.base.forget_targets(replaced);
    }
    replicas_.forget_targets(replaced);
    update_map(now);
}

std::set<target_id> balancer::forget_replaced_targets(const published_set& next)
{
    std::set<target_id> replaced;
    for (const target& was : context_.set->objects().targets)
    {
        const target* is = next.find_target(was.id);
        if (is != nullptr &&
            (is->service != was.service || is->address != was.address))
        {
            replaced.insert(was.id);
        }
    }
    if (replaced.empty())
    {
        return replaced;
    }
    // The identifier names another backend server now, which must get none of
    // the former one's flows.
    std::vector<flow_key> gone;
    flows_.visit_all(
        [&](flow_record& record)
        {
            if (replaced.contains(record.target))
            {
                gone.push_back(record.key);
            }
        });
    for (const flow_key& key : gone)
    {
        remove_flow(key, hash_flow(key));
    }
    return replaced;
}

void balancer::note_moves(const std::vector<base_change>& changes, instant now)
{
    std::set<public_address> moved;
    for (const base_change& change : changes)
    {
        if (!change.moves_service() || !moved.insert(change.key.address).second)
        {
            continue;
        }
        const public_address& address = change.key.address;
        const bool known =
            std::ranges::all_of(streams_, [&](const auto& entry)
                                { return entry.second.announced(address); });
        const auto [at, added] = moves_.try_emplace(
            address, reference_move{.former = change.before->service});
        if (added || known || at->second.settled)
        {
            at->second.former = change.before->service;
        }
        // Otherwise a standby does not know of the earlier move yet, and flows
        // still open by the service before that.
        at->second.settled = false;
        at->second.marks.clear();
        at->second.at = now;
        for (auto& [vm, stream] : streams_)
        {
            stream.unsettle(address);
        }
    }
}

bool balancer::mixed_anywhere(const public_address& address) const
{
    return std::ranges::any_of(
        lineages_,
        [&](const lineage& each)
        {
            return each.buckets > 0 &&
                   std::ranges::any_of(
                       context_.plan->group(),
                       [&](const data_centre& home) {
                           return each.base.mixed({address, home.id}, context_);
                       });
        });
}

void balancer::settle_moves()
{
    for (auto& [address, move] : moves_)
    {
        if (move.settled || mixed_anywhere(address))
        {
            continue;
        }
        if (move.marks.empty())
        {
            for (const auto& [vm, stream] : streams_)
            {
                move.marks.emplace(vm, stream.added());
            }
        }
        move.settled = std::ranges::all_of(
            move.marks,
            [&](const auto& mark)
            {
                const auto stream = streams_.find(mark.first);
                return stream == streams_.end() ||
                       (stream->second.acknowledged() >= mark.second &&
                        !stream->second.assigning());
            });
        if (move.settled)
        {
            for (auto& [vm, stream] : streams_)
            {
                stream.settle(address);
            }
        }
    }
}

void balancer::unsettle_moves(replication_stream& stream)
{
    for (auto& [address, move] : moves_)
    {
        move.settled = false;
        move.marks.clear();
        stream.unsettle(address);
    }
}

std::vector<public_address> balancer::moved_addresses() const
{
    std::vector<public_address> addresses;
    for (const auto& [address, move] : moves_)
    {
        addresses.push_back(address);
    }
    return addresses;
}

bool balancer::standby_knows(bucket_id bucket,
                             const public_address& address) const
{
    const std::optional<vm_id>& standby = buckets_[bucket.value].standby;
    if (!standby)
    {
        return true;
    }
    const auto stream = streams_.find(*standby);
    return stream != streams_.end() && stream->second.announced(address);
}

void balancer::note_split(instant now)
{
    const bool may_be_cut_off = std::ranges::any_of(
        view_.members, [](const member& each)
        { return each.listed && each.state == liveness::dead; });
    if (may_be_cut_off)
    {
        const instant since = split_ ? split_->since : now;
        split_ = possible_split{since, now + settings_.idle_timeout};
    }
    else if (split_ && now >= split_->until)
    {
        split_.reset();
    }
}

bool balancer::opened_elsewhere(const base_tables& base,
                                const base_key& key) const
{
    if (!split_)
    {
        return false;
    }
    // Without a move since the split all holders open by the same service, and
    // the base names it unless it is kept from an earlier set.
    const auto move = moves_.find(key.address);
    return base.mixed(key, context_) ||
           (move != moves_.end() &&
            move->second.at + set_spread + detection_spread >= split_->since);
}

service_id balancer::service_to_open(const reference& ref, bucket_id bucket,
                                     instant now) const
{
    const public_address address{ref.public_endpoint, ref.transport};
    const auto move = moves_.find(address);
    if (move == moves_.end())
    {
        return ref.service;
    }
    // Holders on both sides of a split open by the same service, although they
    // do not hear of each other: by the new one once all have the set.
    if (split_)
    {
        return now - move->second.at < set_spread ? move->second.former
                                                  : ref.service;
    }
    // A standby that takes over without knowing of the move would send packets
    // of the new service's flows to the former service.
    return move->second.settled || standby_knows(bucket, address)
               ? ref.service
               : move->second.former;
}

void balancer::retire_targets(const published_set& next, instant now)
{
    for (const target& each : context_.set->objects().targets)
    {
        if (next.find_target(each.id) == nullptr)
        {
            retired_.insert_or_assign(each.id, retired_target{each, now});
        }
    }
}

} // namespace catkinkeel
