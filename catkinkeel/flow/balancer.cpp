#include "catkinkeel/flow/balancer.hpp"

#include "catkinkeel/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace catkinkeel
{
namespace
{

/// Ends relay loops between VMs whose views differ.
constexpr std::uint8_t hop_limit = 4;
/// An opening packet received within this time after the flow's last packet is
/// treated as a retransmission.
constexpr duration opening_retransmission_period = 60s;

bool is_opening(flow_phase phase)
{
    return phase == flow_phase::opening;
}

} // namespace

balancer::balancer(const balancer_settings& settings, vm_id self,
                   data_centre_id own_data_centre, std::uint64_t session,
                   const admission_limit_source& targets)
    : settings_(settings),
      self_(self),
      own_data_centre_(own_data_centre),
      session_(session),
      admission_limits_(targets),
      flows_(settings.flow_capacity),
      buckets_(bucket_count),
      lineages_(1),
      next_stream_session_(session),
      claims_(session)
{
    view_.self = self;
}

std::uint32_t balancer::ticks(instant now) const
{
    return static_cast<std::uint32_t>((now - started_.value_or(now)) /
                                      flow_tick);
}

verdict balancer::decide(const packet_facts& facts, instant now)
{
    if (!context_.set)
    {
        return discard{discard_reason::not_ready};
    }
    const std::uint64_t hash = hash_flow(facts.key);
    const bucket_id bucket = bucket_of(hash);
    if (buckets_[bucket.value].held)
    {
        return decide_as_holder(facts, hash, now);
    }
    return route_to_holder(facts, bucket);
}

verdict balancer::decide_as_holder(const packet_facts& facts,
                                   std::uint64_t hash, instant now)
{
    flow_record* record = flows_.find(facts.key, hash);
    if (record != nullptr && !reopens(*record, facts, now))
    {
        return continue_flow(*record, facts, now);
    }
    const bucket_id bucket = bucket_of(hash);
    const bucket_slot& slot = buckets_[bucket.value];
    const bool may_be_unseen_flow = now < lineages_[slot.lineage].unseen_until;
    const bool new_flow =
        is_opening(facts.phase) ||
        (facts.phase == flow_phase::datagram && !may_be_unseen_flow);
    if (const std::optional<vm_id> other = other_decider(facts, bucket))
    {
        return relay_to(*other, facts.hops);
    }
    if (slot.unconfirmed)
    {
        return discard{discard_reason::not_ready};
    }
    if (!new_flow)
    {
        return place_by_base_table(facts, hash, now);
    }
    if (record != nullptr)
    {
        remove_flow(facts.key, hash);
    }
    return open_flow(facts, hash, now);
}

std::optional<vm_id> balancer::other_decider(const packet_facts& facts,
                                             bucket_id bucket) const
{
    const bucket_slot& slot = buckets_[bucket.value];
    if (slot.unconfirmed)
    {
        // If another VM has taken the bucket over in the meantime, that VM
        // decides.
        return likely_holder(bucket);
    }
    const std::optional<vm_id> owner = map_.owner(bucket);
    if (!owner || *owner == self_)
    {
        return std::nullopt;
    }
    // The owner may hold the bucket already and have a record of the flow; if
    // it does not hold the bucket, it relays the packet back with a higher hop
    // count. A bucket in a handover message is always left to the owner,
    // because the message would not contain a flow opened here now.
    constexpr std::uint8_t hops_from_owner = 2;
    return slot.in_flight || facts.hops < hops_from_owner ? owner
                                                          : std::nullopt;
}

verdict balancer::route_to_holder(const packet_facts& facts,
                                  bucket_id bucket) const
{
    const std::optional<vm_id> owner = map_.owner(bucket);
    if (!owner)
    {
        return discard{discard_reason::not_ready};
    }
    if (*owner != self_)
    {
        return relay_to(*owner, facts.hops);
    }
    const std::optional<vm_id> holder = likely_holder(bucket);
    return holder ? relay_to(*holder, facts.hops)
                  : verdict{discard{discard_reason::not_ready}};
}

verdict balancer::relay_to(vm_id vm, std::uint8_t hops) const
{
    if (hops >= hop_limit)
    {
        return discard{discard_reason::hop_limit};
    }
    const member* found = view_.find(vm);
    if (found == nullptr)
    {
        return discard{discard_reason::unreachable_owner};
    }
    return relay{vm, found->packets};
}

bool balancer::reopens(const flow_record& record, const packet_facts& facts,
                       instant now) const
{
    if (!is_opening(facts.phase))
    {
        return false;
    }
    if (!std::holds_alternative<deliver>(deliver_to(record.target)))
    {
        return true;
    }
    switch (record.state)
    {
    case flow_state::opened:
    {
        const auto idle_ticks = ticks(now) - record.last_seen;
        return flow_tick * idle_ticks > opening_retransmission_period;
    }
    case flow_state::ended:
        return true;
    case flow_state::established:
        // The caller may have reused its port, or the packet may be forged. The
        // target's TCP stack handles both, unless the target must not get new
        // flows.
        return !accepts_new(record.target, now);
    }
    return false;
}

verdict balancer::continue_flow(flow_record& record, const packet_facts& facts,
                                instant now)
{
    const target_id target = record.target;
    if (facts.phase != flow_phase::icmp_error)
    {
        record.last_seen = ticks(now);
    }
    if (facts.phase == flow_phase::finishing ||
        facts.phase == flow_phase::aborted)
    {
        end_flow(record);
    }
    else if (facts.phase != flow_phase::opening &&
             record.state == flow_state::opened)
    {
        record.state = flow_state::established;
    }
    return deliver_to(target);
}

verdict balancer::place_by_base_table(const packet_facts& facts,
                                      std::uint64_t hash, instant now)
{
    const bucket_id bucket = bucket_of(hash);
    const base_tables& base = lineages_[buckets_[bucket.value].lineage].base;
    const base_table_key key = key_of(facts.key, bucket);
    if (base.uncertain(key.address) || may_be_opened_elsewhere(base, key))
    {
        return discard{discard_reason::uncertain_service};
    }
    const placement_table_ptr table = base.find(key, context_);
    const std::optional<target_id> target =
        table ? choose_target(*table, hash) : std::nullopt;
    if (!target)
    {
        return discard{discard_reason::no_reference};
    }
    const verdict result = deliver_to(*target);
    const bool keeps_state = facts.phase == flow_phase::established ||
                             facts.phase == flow_phase::datagram;
    if (keeps_state && std::holds_alternative<deliver>(result))
    {
        add_flow({.key = facts.key,
                  .target = *target,
                  .last_seen = ticks(now),
                  .state = flow_state::established},
                 hash);
        ++counters_.flows_placed_by_base_table;
    }
    return result;
}

verdict balancer::open_flow(const packet_facts& facts, std::uint64_t hash,
                            instant now)
{
    if (!opening_allowed_)
    {
        return discard{discard_reason::not_ready};
    }
    const reference* ref = context_.set->find_reference(facts.key.service_side,
                                                        facts.key.transport);
    const service* wanted =
        ref == nullptr ? nullptr
                       : context_.set->find_service(
                             service_to_open(*ref, bucket_of(hash), now));
    if (wanted == nullptr)
    {
        return discard{discard_reason::no_reference};
    }
    if (flows_.size() >= flows_.capacity())
    {
        return discard{discard_reason::flow_table_full};
    }
    const double share =
        std::max(1.0, static_cast<double>(counters_.buckets_held)) /
        bucket_count;
    if (const auto refused =
            admission_.admit(*wanted, facts.key.caller.address, share, now))
    {
        return refuse{*refused};
    }
    const std::optional<target_id> target =
        place(wanted->id, hash, now, std::nullopt);
    if (!target)
    {
        return refuse{context_.set->targets_of(wanted->id).empty()
                          ? refusal_reason::no_target
                          : refusal_reason::no_capacity};
    }
    flow_record* record = add_flow({.key = facts.key,
                                    .target = *target,
                                    .last_seen = ticks(now),
                                    .state = facts.phase == flow_phase::datagram
                                                 ? flow_state::established
                                                 : flow_state::opened},
                                   hash);
    ++counters_.flows_opened;
    replicate_if_exception(*record, hash);
    return deliver_to(*target);
}

bool balancer::service_depends_on_record(const flow_record& record) const
{
    const bucket_id bucket = bucket_of(hash_flow(record.key));
    const base_table_key key = key_of(record.key, bucket);
    const base_tables& base = lineages_[buckets_[bucket.value].lineage].base;
    const target* assigned_target = find_target(record.target);
    const reference* ref = context_.set->find_reference(record.key.service_side,
                                                        record.key.transport);
    const placement_table_ptr table = base.find(key, context_);
    return assigned_target != nullptr &&
           ((ref != nullptr && ref->service != assigned_target->service) ||
            (table && table->service != assigned_target->service));
}

const target* balancer::find_target(target_id id) const
{
    if (const target* found = context_.set->find_target(id))
    {
        return found;
    }
    const auto retired = retired_.find(id);
    return retired == retired_.end() ? nullptr : &retired->second.definition;
}

verdict balancer::deliver_to(target_id id) const
{
    const target* found = find_target(id);
    if (found == nullptr)
    {
        return discard{discard_reason::unknown_flow};
    }
    if (!context_.set->in_service(found->data_centre))
    {
        return discard{discard_reason::data_centre_out};
    }
    return deliver{id, found->address};
}

balancer::service_load& balancer::find_or_make_load(service_id service)
{
    auto found = loads_.find(service);
    if (found == loads_.end())
    {
        found = loads_.emplace(service, make_load(service)).first;
    }
    return found->second;
}

flow_record* balancer::add_flow(const flow_record& record, std::uint64_t hash)
{
    flow_record* added = flows_.insert(record, hash);
    if (added != nullptr)
    {
        ++open_flows_by_target_[record.target];
    }
    return added;
}

void balancer::remove_flow(const flow_key& key, std::uint64_t hash)
{
    const flow_record* record = flows_.find(key, hash);
    if (record == nullptr)
    {
        return;
    }
    if (record->state != flow_state::ended)
    {
        decrement_open_flows(record->target);
    }
    const bool replicated = record->replicated;
    const bucket_id bucket = bucket_of(hash);
    flows_.erase(key, hash);
    const bucket_slot& slot = buckets_[bucket.value];
    if (replicated && slot.held && slot.standby)
    {
        stream_to(*slot.standby).add(key);
    }
}

base_table_key balancer::key_of(const flow_key& key, bucket_id bucket) const
{
    return {{key.service_side, key.transport}, map_.home(bucket)};
}

bool balancer::must_replicate(const flow_record& record,
                              std::uint64_t hash) const
{
    const bucket_id bucket = bucket_of(hash);
    const std::uint16_t lineage = buckets_[bucket.value].lineage;
    const base_tables& base = lineages_[lineage].base;
    const base_table_key key = key_of(record.key, bucket);
    if (base.mixed(key, context_) || base.uncertain(key.address))
    {
        return true;
    }
    if (override_removals_.contains({lineage, key}) &&
        !follows_current(record, hash))
    {
        return true;
    }
    const placement_table_ptr table = base.find(key, context_);
    return !table || choose_target(*table, hash) != record.target;
}

bool balancer::follows_current(const flow_record& record,
                               std::uint64_t hash) const
{
    const placement_table_ptr table =
        context_.current(key_of(record.key, bucket_of(hash)));
    return table && choose_target(*table, hash) == record.target;
}

void balancer::replicate_if_exception(flow_record& record, std::uint64_t hash)
{
    const bool exception = must_replicate(record, hash);
    counters_.exceptions_opened += exception ? 1U : 0U;
    if (exception || record.replicated)
    {
        record.replicated = true;
        replicate_flow(record, bucket_of(hash));
    }
}

explanation balancer::explain(const packet_facts& facts) const
{
    const std::uint64_t hash = hash_flow(facts.key);
    const bucket_id bucket = bucket_of(hash);
    const bucket_slot& slot = buckets_[bucket.value];
    explanation details{.result = discard{discard_reason::not_ready},
                        .rule = "no published set in effect",
                        .bucket = bucket,
                        .home = map_.home(bucket),
                        .owner = map_.owner(bucket),
                        .standby = map_.standby(bucket),
                        .held_by_this_vm = slot.held,
                        .in_effect = version_in_effect()};
    if (!context_.set)
    {
        return details;
    }
    if (const reference* found = context_.set->find_reference(
            facts.key.service_side, facts.key.transport))
    {
        details.reference = found->id;
        details.service = found->service;
    }
    if (!slot.held)
    {
        details.result = route_to_holder(facts, bucket);
        details.rule = "another VM holds the bucket";
        return details;
    }
    if (const flow_record* record = flows_.find(facts.key, hash))
    {
        details.result = deliver_to(record->target);
        details.rule = "flow record";
        details.has_record = true;
        return details;
    }
    const base_table_key key = key_of(facts.key, bucket);
    const base_tables& base = lineages_[slot.lineage].base;
    const placement_table_ptr table = base.find(key, context_);
    const std::optional<target_id> target =
        table ? choose_target(*table, hash) : std::nullopt;
    details.rule = base.has_override(key)
                       ? "base table kept from an earlier set"
                       : "placement table of the set in effect";
    details.result = target ? deliver_to(*target)
                            : verdict{discard{discard_reason::no_reference}};
    return details;
}

duration balancer::replication_age(instant now) const
{
    duration oldest{};
    for (const auto& [vm, stream] : streams_)
    {
        oldest = std::max(oldest, stream.oldest_flow_age(now));
    }
    return oldest;
}

balancer_stats balancer::stats() const
{
    balancer_stats totals = counters_;
    totals.flows = flows_.size();
    for (const auto& [vm, stream] : streams_)
    {
        totals.replication_backlog += stream.backlog();
    }
    totals.replicated_exceptions_stored = replicas_.exception_count();
    for (const lineage& each : lineages_)
    {
        if (each.buckets == 0)
        {
            continue;
        }
        totals.overrides += each.base.overrides().size();
        for (const auto& [key, table] : each.base.overrides())
        {
            totals.mixed_references += each.base.mixed(key, context_) ? 1U : 0U;
        }
    }
    return totals;
}

} // namespace catkinkeel
