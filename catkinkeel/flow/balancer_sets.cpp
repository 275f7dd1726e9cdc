// Applies a new published set: base tables, moved references, targets.

#include "catkinkeel/base/hash.hpp"
#include "catkinkeel/flow/balancer.hpp"

#include <algorithm>
#include <utility>

namespace catkinkeel
{

namespace
{

/// Upper bound for the time between the two sides of a partition detecting it.
constexpr duration max_partition_detection_skew = 3s;

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
        replaced = remove_flows_of_replaced_targets(*set);
        retire_targets(*set, now);
    }
    placement_context next{std::move(set), std::move(plan)};
    const std::vector<base_table_change> changes =
        base_table_changes(context_, next);
    context_ = std::move(next);
    set_since_ = now;
    for (lineage& each : lineages_)
    {
        each.base.apply_set_change(changes);
        if (each.by_failover && now < each.unseen_until)
        {
            // The former holder may already have opened flows with this set.
            each.base.mark_mixed_uncertain(context_);
        }
    }
    replicas_.apply_set_change(changes);
    record_moves(changes, now);
    for (lineage& each : lineages_)
    {
        each.base.remove_targets(replaced);
    }
    replicas_.remove_targets(replaced);
    update_map(now);
}

std::set<target_id>
balancer::remove_flows_of_replaced_targets(const published_set& next)
{
    std::set<target_id> replaced;
    for (const target& old_target : context_.set->objects().targets)
    {
        const target* new_target = next.find_target(old_target.id);
        if (new_target != nullptr &&
            (new_target->service != old_target.service ||
             new_target->address != old_target.address))
        {
            replaced.insert(old_target.id);
        }
    }
    if (replaced.empty())
    {
        return replaced;
    }
    // The identifier now denotes another backend server, which must not receive
    // the flows of the former one.
    std::vector<flow_key> keys_to_remove;
    flows_.visit_all(
        [&](flow_record& record)
        {
            if (replaced.contains(record.target))
            {
                keys_to_remove.push_back(record.key);
            }
        });
    for (const flow_key& key : keys_to_remove)
    {
        remove_flow(key, hash_flow(key));
    }
    return replaced;
}

void balancer::record_moves(const std::vector<base_table_change>& changes,
                            instant now)
{
    std::set<public_address> moved;
    for (const base_table_change& change : changes)
    {
        if (!change.moves_service() || !moved.insert(change.key.address).second)
        {
            continue;
        }
        const public_address& address = change.key.address;
        const bool acknowledged_by_all = std::ranges::all_of(
            streams_, [&](const auto& entry)
            { return entry.second.unsettled_acknowledged(address); });
        const auto [at, added] = moves_.try_emplace(
            address, reference_move{.former = change.before->service});
        if (added || acknowledged_by_all || at->second.settled)
        {
            at->second.former = change.before->service;
        }
        // Otherwise a standby has not acknowledged the earlier move yet, and
        // new flows still go to the service before that move.
        at->second.settled = false;
        at->second.required_acknowledgements.clear();
        at->second.at = now;
        for (auto& [vm, stream] : streams_)
        {
            stream.mark_unsettled(address);
        }
    }
}

bool balancer::any_lineage_mixed(const public_address& address) const
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
        if (move.settled || any_lineage_mixed(address))
        {
            continue;
        }
        if (move.required_acknowledgements.empty())
        {
            for (const auto& [vm, stream] : streams_)
            {
                move.required_acknowledgements.emplace(
                    vm, stream.added_flow_count());
            }
        }
        move.settled = std::ranges::all_of(
            move.required_acknowledgements,
            [&](const auto& requirement)
            {
                const auto stream = streams_.find(requirement.first);
                return stream == streams_.end() ||
                       (stream->second.acknowledged_flow_count() >=
                            requirement.second &&
                        !stream->second.has_unsent_assignments());
            });
        if (move.settled)
        {
            for (auto& [vm, stream] : streams_)
            {
                stream.mark_settled(address);
            }
        }
    }
}

void balancer::unsettle_moves(replication_stream& stream)
{
    for (auto& [address, move] : moves_)
    {
        move.settled = false;
        move.required_acknowledgements.clear();
        stream.mark_unsettled(address);
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

bool balancer::standby_acknowledged_move(bucket_id bucket,
                                         const public_address& address) const
{
    const std::optional<vm_id>& standby = buckets_[bucket.value].standby;
    if (!standby)
    {
        return true;
    }
    const auto stream = streams_.find(*standby);
    return stream != streams_.end() &&
           stream->second.unsettled_acknowledged(address);
}

void balancer::update_possible_partition(instant now)
{
    const bool may_be_cut_off = std::ranges::any_of(
        view_.members, [](const member& each)
        { return each.listed && each.state == liveness::dead; });
    if (may_be_cut_off)
    {
        const instant since =
            possible_partition_ ? possible_partition_->since : now;
        possible_partition_ =
            possible_partition{since, now + settings_.idle_timeout};
    }
    else if (possible_partition_ && now >= possible_partition_->until)
    {
        possible_partition_.reset();
    }
}

bool balancer::may_be_opened_elsewhere(const base_tables& base,
                                       const base_table_key& key) const
{
    if (!possible_partition_)
    {
        return false;
    }
    // If no reference moved since the partition began, all holders open flows
    // with the same service, and the base table has that service unless it was
    // kept from an earlier set.
    const auto move = moves_.find(key.address);
    return base.mixed(key, context_) ||
           (move != moves_.end() && move->second.at +
                                            max_set_propagation_delay +
                                            max_partition_detection_skew >=
                                        possible_partition_->since);
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
    // Holders on both sides of a partition must open flows with the same
    // service without exchanging messages: each switches to the new service
    // once all VMs must have the set.
    if (possible_partition_)
    {
        return now - move->second.at < max_set_propagation_delay
                   ? move->second.former
                   : ref.service;
    }
    // A standby that takes over without having received the move would send
    // packets of the new service's flows to the former service.
    return move->second.settled || standby_acknowledged_move(bucket, address)
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
