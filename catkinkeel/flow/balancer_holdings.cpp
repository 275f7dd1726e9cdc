// Bucket ownership changes: member changes, claims and failover.

#include "catkinkeel/base/hash.hpp"
#include "catkinkeel/flow/balancer.hpp"

#include <algorithm>
#include <utility>

namespace catkinkeel
{

namespace
{

/// A VM that left gracefully and has sent no handover for this long is assumed
/// to have stopped.
constexpr duration leaving_holder_timeout = 10s;
/// A VM in an out-of-service data centre that has not answered a claim for this
/// long is sent no further claims and no relayed packets. A VM that runs
/// answers once it has the set to which the claim refers.
constexpr duration out_of_service_holder_timeout = max_set_propagation_delay;
/// While a holder may have a newer set than this VM, it answers no claim and
/// opens flows with services that this VM does not know. A set that took effect
/// here before the holder had it, and the next one, each take up to the
/// propagation delay; a claim is repeated within the rest.
constexpr duration min_set_age_after_abandonment =
    2 * max_set_propagation_delay + 1s;

} // namespace

// Members and holdings

void balancer::apply_view(const member_view& view, instant now)
{
    started_ = started_.value_or(now);
    std::vector<vm_id> dead_vms;
    for (const member& previous : view_.members)
    {
        const member* current = view.find(previous.id);
        if (previous.may_own_buckets() &&
            (current == nullptr || current->state == liveness::dead))
        {
            dead_vms.push_back(previous.id);
        }
    }
    const member* self_before = view_.find(self_);
    const member* self_after = view.find(self_);
    // A VM increments its incarnation to refute reports that it is dead. Other
    // VMs may have taken its buckets over before that.
    const bool was_declared_dead =
        self_before != nullptr && self_after != nullptr &&
        self_before->incarnation != self_after->incarnation;
    const bucket_map before = map_;
    view_ = view;
    update_possible_partition(now);
    update_map(now);
    for (const vm_id vm : dead_vms)
    {
        streams_.erase(vm);
        handovers_.erase(vm);
        claims_.abandon(vm);
        fail_over(before, vm, now);
    }
    if (was_declared_dead)
    {
        mark_holdings_unconfirmed(now);
    }
    begin_claims_if_needed(now);
}

void balancer::update_map(instant now)
{
    loads_.clear();
    if (!context_.set)
    {
        return;
    }
    if (bucket_map::fingerprint_of(*context_.set, view_) != map_.fingerprint())
    {
        previous_map_ = std::exchange(map_, bucket_map(*context_.set, view_));
        map_since_ = now;
        mark_regained_unconfirmed();
        owned_share_.clear();
        for (const data_centre& home : context_.plan->group())
        {
            owned_share_[home.id.value] = map_.owned_share(self_, home.id);
        }
        standbys_stale_ = true;
    }
    // A handover is valid for one set version and one map only. Claimants begin
    // a new round for the new ones.
    for (auto& [vm, to] : handovers_)
    {
        mark_not_in_flight(to.stream.buckets_in_flight());
    }
    handovers_.clear();
    begin_claims_if_needed(now);
}

void balancer::mark_regained_unconfirmed()
{
    for (std::uint32_t i = 0; i < bucket_count; ++i)
    {
        // The intermediate owner may have taken the bucket over without a
        // handover from this VM, and opened flows.
        const bucket_id bucket{static_cast<std::uint16_t>(i)};
        buckets_[i].unconfirmed |= buckets_[i].held &&
                                   previous_map_.owner(bucket) != self_ &&
                                   map_.owner(bucket) == self_;
    }
}

void balancer::begin_claims_if_needed(instant now)
{
    if (!context_.set || all_owned_are_held())
    {
        return;
    }
    if (claims_.round() == 0 ||
        claims_.map_fingerprint() != map_.fingerprint() ||
        !claims_.any_pending())
    {
        begin_claims(now);
    }
}

bool balancer::all_owned_are_held() const
{
    for (std::uint32_t i = 0; i < bucket_count; ++i)
    {
        const bucket_slot& slot = buckets_[i];
        const bucket_id bucket{static_cast<std::uint16_t>(i)};
        if ((!slot.held || slot.unconfirmed) && map_.owner(bucket) == self_)
        {
            return false;
        }
    }
    return true;
}

std::set<vm_id> balancer::possible_holders() const
{
    std::set<vm_id> holders;
    for (const member& each : view_.members)
    {
        const bool in_group = std::ranges::any_of(
            context_.plan->group(),
            [&](const data_centre& dc) { return dc.id == each.data_centre; });
        if (each.id != self_ && in_group && each.state != liveness::dead)
        {
            holders.insert(each.id);
        }
    }
    return holders;
}

void balancer::begin_claims(instant now)
{
    member_view view_without_own_data_centre = view_;
    for (member& each : view_without_own_data_centre.members)
    {
        if (each.data_centre == own_data_centre_)
        {
            each.state = liveness::left;
        }
    }
    map_without_own_data_centre_ =
        bucket_map(*context_.set, view_without_own_data_centre);
    claims_.begin(possible_holders(), map_.fingerprint(), now);
    if (!claims_.any_pending())
    {
        take_over_unheld(now);
    }
}

void balancer::abandon_unresponsive_holders(instant now)
{
    const std::set<vm_id> pending_holders = claims_.pending_holders();
    for (const vm_id vm : pending_holders)
    {
        const member* found = view_.find(vm);
        const bool out_of_service_too_long =
            found != nullptr && !context_.set->in_service(found->data_centre) &&
            claims_.time_since_response(vm, now) >
                out_of_service_holder_timeout;
        const bool left_too_long_ago =
            found != nullptr && found->state == liveness::left &&
            claims_.time_since_response(vm, now) > leaving_holder_timeout;
        if (found == nullptr || out_of_service_too_long || left_too_long_ago)
        {
            claims_.abandon(vm);
        }
    }
    if (!claims_.any_pending() && !all_owned_are_held())
    {
        take_over_unheld(now);
    }
    begin_unclaimed_handovers(now);
}

std::optional<vm_id> balancer::likely_holder(bucket_id bucket) const
{
    for (const std::optional<vm_id>& candidate :
         {previous_map_.owner(bucket), map_.standby(bucket),
          map_without_own_data_centre_.owner(bucket)})
    {
        if (candidate && *candidate != self_ && claims_.is_pending(*candidate))
        {
            return candidate;
        }
    }
    return std::nullopt;
}

void balancer::mark_holdings_unconfirmed(instant now)
{
    // The stored replicas may be outdated: their senders may have failed
    // meanwhile and other VMs may have taken the buckets over.
    replicas_ = {};
    for (bucket_slot& slot : buckets_)
    {
        slot.unconfirmed = slot.held;
    }
    if (context_.set && !all_owned_are_held())
    {
        begin_claims(now);
    }
}

bool balancer::holdings_settled() const
{
    for (std::uint32_t i = 0; i < bucket_count; ++i)
    {
        const bool owned = map_.owner({static_cast<std::uint16_t>(i)}) == self_;
        if (buckets_[i].held != owned || buckets_[i].unconfirmed)
        {
            return false;
        }
    }
    return true;
}

void balancer::hold(bucket_id bucket, std::uint16_t lineage)
{
    bucket_slot& slot = buckets_[bucket.value];
    slot = {.held = true, .lineage = lineage, .standby = std::nullopt};
    ++lineages_[lineage].buckets;
    ++counters_.buckets_held;
    standbys_stale_ = true;
}

void balancer::release(bucket_id bucket)
{
    bucket_slot& slot = buckets_[bucket.value];
    if (slot.held)
    {
        --lineages_[slot.lineage].buckets;
        --counters_.buckets_held;
        slot = {};
    }
}

void balancer::drop_flows_not_held()
{
    std::vector<flow_key> keys_to_remove;
    flows_.visit_all(
        [&](flow_record& record)
        {
            if (!buckets_[bucket_of(hash_flow(record.key)).value].held)
            {
                keys_to_remove.push_back(record.key);
            }
        });
    for (const flow_key& key : keys_to_remove)
    {
        remove_flow(key, hash_flow(key));
    }
}

// Taking buckets over

void balancer::fail_over(const bucket_map& before, vm_id dead, instant now)
{
    for (std::uint32_t i = 0; i < bucket_count; ++i)
    {
        const bucket_id bucket{static_cast<std::uint16_t>(i)};
        if (before.owner(bucket) == dead && map_.owner(bucket) == self_ &&
            !buckets_[i].held)
        {
            if (auto replica = replicas_.take(dead, bucket))
            {
                install(bucket, std::move(replica), now);
            }
        }
    }
}

void balancer::take_over_unheld(instant now)
{
    if (!opening_allowed_)
    {
        return;
    }
    if (claims_.holder_abandoned() &&
        now - set_since_ < min_set_age_after_abandonment)
    {
        return;
    }
    if (claims_.take_holder_abandoned())
    {
        move_unconfirmed_to_uncertain_lineages(now);
    }
    for (std::uint32_t i = 0; i < bucket_count; ++i)
    {
        const bucket_id bucket{static_cast<std::uint16_t>(i)};
        buckets_[i].unconfirmed = false;
        if (map_.owner(bucket) == self_ && !buckets_[i].held)
        {
            install(bucket, take_replica(bucket), now);
        }
    }
}

void balancer::move_unconfirmed_to_uncertain_lineages(instant now)
{
    std::map<std::uint16_t, std::uint16_t> uncertain_lineages;
    for (bucket_slot& slot : buckets_)
    {
        if (!slot.unconfirmed)
        {
            continue;
        }
        auto found = uncertain_lineages.find(slot.lineage);
        if (found == uncertain_lineages.end())
        {
            lineage uncertain_lineage{.base = lineages_[slot.lineage].base,
                                      .unseen_until =
                                          now + settings_.idle_timeout,
                                      .by_failover = true};
            mark_moves_uncertain(uncertain_lineage.base);
            const std::uint16_t former = slot.lineage;
            const std::uint16_t index =
                find_or_add_lineage(std::move(uncertain_lineage));
            found = uncertain_lineages.emplace(former, index).first;
        }
        --lineages_[slot.lineage].buckets;
        ++lineages_[found->second].buckets;
        slot.lineage = found->second;
        // Assigns the standby anew, which sends it the bucket's new lineage.
        slot.standby.reset();
        standbys_stale_ = true;
    }
}

std::optional<bucket_replica> balancer::take_replica(bucket_id bucket)
{
    for (const member& each : view_.members)
    {
        if (each.may_own_buckets())
        {
            continue;
        }
        if (auto replica = replicas_.take(each.id, bucket))
        {
            return replica;
        }
    }
    return std::nullopt;
}

void balancer::install(bucket_id bucket, std::optional<bucket_replica> replica,
                       instant now)
{
    hold(bucket,
         find_or_add_lineage(replica ? lineage_of_replica(*replica, now)
                                     : lineage_without_replica(bucket, now)));
    ++counters_.buckets_taken_over;
    if (replica)
    {
        adopt_exceptions(replica->exceptions, now);
    }
}

balancer::lineage balancer::lineage_of_replica(const bucket_replica& replica,
                                               instant now) const
{
    lineage result{.base = replica.base,
                   .unseen_until = now + settings_.idle_timeout,
                   .by_failover = true,
                   .buckets = 0};
    result.base.mark_mixed_uncertain(context_);
    return result;
}

balancer::lineage balancer::lineage_without_replica(bucket_id bucket,
                                                    instant now) const
{
    lineage result{.base = {}, .unseen_until = now, .by_failover = true};
    const std::optional<vm_id> former = previous_map_.owner(bucket);
    if (former && *former != self_)
    {
        result.unseen_until = now + settings_.idle_timeout;
    }
    mark_moves_uncertain(result.base);
    return result;
}

void balancer::mark_moves_uncertain(base_tables& base) const
{
    for (const auto& [address, move] : moves_)
    {
        base.mark_uncertain(address);
    }
}

std::uint16_t balancer::find_or_add_lineage(lineage wanted)
{
    std::optional<std::size_t> free;
    for (std::size_t index = 0; index < lineages_.size(); ++index)
    {
        lineage& each = lineages_[index];
        if (each.buckets == 0)
        {
            free = free.value_or(index);
        }
        else if (each.by_failover == wanted.by_failover &&
                 each.base == wanted.base)
        {
            each.unseen_until =
                std::max(each.unseen_until, wanted.unseen_until);
            return static_cast<std::uint16_t>(index);
        }
    }
    if (!free)
    {
        free = lineages_.size();
        lineages_.emplace_back();
    }
    std::erase_if(override_removals_, [&](const auto& entry)
                  { return entry.first.first == *free; });
    lineages_[*free] = std::move(wanted);
    return static_cast<std::uint16_t>(*free);
}

void balancer::adopt_exceptions(const std::vector<flow_exception>& exceptions,
                                instant now)
{
    for (const flow_exception& each : exceptions)
    {
        const std::uint64_t hash = hash_flow(each.key);
        const bucket_id bucket = bucket_of(hash);
        if (each.ended || !buckets_[bucket.value].held ||
            flows_.find(each.key, hash) != nullptr)
        {
            continue;
        }
        flow_record* added = add_flow({.key = each.key,
                                       .target = each.target,
                                       .last_seen = ticks(now),
                                       .state = flow_state::established},
                                      hash);
        if (added != nullptr && buckets_[bucket.value].standby)
        {
            added->replicated = true;
            replicate_flow(*added, bucket);
        }
    }
}

} // namespace catkinkeel
