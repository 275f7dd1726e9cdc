#include "catkinkeel/flow/balancer.hpp"

#include "catkinkeel/base/hash.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace catkinkeel
{

namespace
{

constexpr std::uint8_t hop_limit = 4;
constexpr duration tick_length = 100ms;
/// Loads and limits of a service's targets are read again after this time.
constexpr duration load_refresh = 100ms;
/// Below this many flows the load bound is not applied: rounding would make
/// nearly every flow an exception.
constexpr double load_bound_floor = 4;
/// An opening packet repeated within this time is a retransmission.
constexpr duration opening_retransmission = 60s;

bool opens(flow_phase phase)
{
    return phase == flow_phase::opening;
}

} // namespace

balancer::balancer(const balancer_settings& settings, vm_id self,
                   data_centre_id own_data_centre, std::uint64_t session,
                   const bearing_source& targets)
    : settings_(settings),
      self_(self),
      own_data_centre_(own_data_centre),
      session_(session),
      bearings_(targets),
      flows_(settings.flow_capacity),
      buckets_(bucket_count),
      lineages_(1),
      next_stream_session_(session),
      claims_(session)
{
    view_.self = self;
}

placement_plan_ptr balancer::make_plan(const published_set& set) const
{
    static const placement_plan none;
    return std::make_shared<const placement_plan>(
        set, group_of(set, own_data_centre_),
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
    note_moves(changes);
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

void balancer::note_moves(const std::vector<base_change>& changes)
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

service_id balancer::service_to_open(const reference& ref,
                                     bucket_id bucket) const
{
    const public_address address{ref.public_endpoint, ref.transport};
    const auto move = moves_.find(address);
    // A standby that takes over without knowing of the move would send packets
    // of the new service's flows to the former service.
    return move == moves_.end() || move->second.settled ||
                   standby_knows(bucket, address)
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

std::uint32_t balancer::ticks(instant now) const
{
    return static_cast<std::uint32_t>((now - started_.value_or(now)) /
                                      tick_length);
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
    const bool may_be_unseen = now < lineages_[slot.lineage].unseen_until;
    const bool new_flow =
        opens(facts.phase) ||
        (facts.phase == flow_phase::datagram && !may_be_unseen);
    if (const std::optional<vm_id> other = other_decider(facts, bucket))
    {
        return relay_to(*other, facts.hops);
    }
    if (slot.doubted)
    {
        return discard{discard_reason::not_ready};
    }
    if (!new_flow)
    {
        return follow_base(facts, hash, now);
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
    if (slot.doubted)
    {
        // Whoever has taken the bucket over in the meantime decides.
        return likely_holder(bucket);
    }
    const std::optional<vm_id> owner = map_.owner(bucket);
    if (!owner || *owner == self_)
    {
        return std::nullopt;
    }
    // The owner may hold the bucket already and know the flow; if it does not
    // hold it, it sends the packet back with more hops. What is in a handover
    // message is the owner's in any case, which would not learn of a flow
    // opened here now.
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
    if (!opens(facts.phase))
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
        const auto silent_ticks = ticks(now) - record.last_seen;
        return tick_length * silent_ticks > opening_retransmission;
    }
    case flow_state::ended:
        return true;
    case flow_state::established:
        // The caller may have reused its port, or the packet may be forged. The
        // target sorts that out unless it must get no new flow.
        return !accepts_new(record.target, now);
    }
    return false;
}

bool balancer::accepts_new(target_id id, instant now) const
{
    const target* found = context_.set->find_target(id);
    if (found == nullptr || found->wish != target_wish::serve ||
        !context_.set->in_service(found->data_centre))
    {
        return false;
    }
    // A flow that ends to begin again does not add to the target's load.
    return bearings_.bearing_of(*found, 1.0, held_on(id), now).limit > 0;
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

verdict balancer::follow_base(const packet_facts& facts, std::uint64_t hash,
                              instant now)
{
    const bucket_id bucket = bucket_of(hash);
    const base_tables& base = lineages_[buckets_[bucket.value].lineage].base;
    const base_key key = key_of(facts.key, bucket);
    if (base.uncertain(key.address))
    {
        return discard{discard_reason::uncertain_service};
    }
    const placement_table_ptr table = base.find(key, context_);
    const std::optional<target_id> target =
        table ? choose(*table, hash) : std::nullopt;
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
        ++counters_.base_followers;
    }
    return result;
}

verdict balancer::open_flow(const packet_facts& facts, std::uint64_t hash,
                            instant now)
{
    if (!may_open_)
    {
        return discard{discard_reason::not_ready};
    }
    const reference* ref = context_.set->find_reference(facts.key.service_side,
                                                        facts.key.transport);
    const service* wanted = ref == nullptr
                                ? nullptr
                                : context_.set->find_service(
                                      service_to_open(*ref, bucket_of(hash)));
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
    note_if_exception(*record, hash);
    return deliver_to(*target);
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

bool balancer::unguessable(const flow_record& record) const
{
    const bucket_id bucket = bucket_of(hash_flow(record.key));
    const base_key key = key_of(record.key, bucket);
    const base_tables& base = lineages_[buckets_[bucket.value].lineage].base;
    const target* on = find_target(record.target);
    const reference* ref = context_.set->find_reference(record.key.service_side,
                                                        record.key.transport);
    const placement_table_ptr table = base.find(key, context_);
    return on != nullptr && ((ref != nullptr && ref->service != on->service) ||
                             (table && table->service != on->service));
}

const target* balancer::find_target(target_id id) const
{
    if (const target* found = context_.set->find_target(id))
    {
        return found;
    }
    const auto retired = retired_.find(id);
    return retired == retired_.end() ? nullptr : &retired->second.what;
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

balancer::service_load& balancer::expect_load(service_id service)
{
    auto found = loads_.find(service);
    if (found == loads_.end())
    {
        found = loads_.emplace(service, make_load(service)).first;
    }
    return found->second;
}

balancer::service_load& balancer::load_of(service_id service, instant now)
{
    service_load& load = expect_load(service);
    if (!load.refreshed || now - *load.refreshed >= load_refresh)
    {
        load.refreshed = now;
        for (target_load& each : load.targets)
        {
            each.limit = bearings_
                             .bearing_of(*each.what, each.capacity_share,
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

flow_record* balancer::add_flow(const flow_record& record, std::uint64_t hash)
{
    flow_record* added = flows_.insert(record, hash);
    if (added != nullptr)
    {
        ++held_[record.target];
    }
    return added;
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

void balancer::remove_flow(const flow_key& key, std::uint64_t hash)
{
    const flow_record* record = flows_.find(key, hash);
    if (record == nullptr)
    {
        return;
    }
    if (record->state != flow_state::ended)
    {
        release_held(record->target);
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

base_key balancer::key_of(const flow_key& key, bucket_id bucket) const
{
    return {{key.service_side, key.transport}, map_.home(bucket)};
}

bool balancer::must_replicate(const flow_record& record,
                              std::uint64_t hash) const
{
    const bucket_id bucket = bucket_of(hash);
    const std::uint16_t lineage = buckets_[bucket.value].lineage;
    const base_tables& base = lineages_[lineage].base;
    const base_key key = key_of(record.key, bucket);
    if (base.mixed(key, context_) || base.uncertain(key.address))
    {
        return true;
    }
    if (switches_.contains({lineage, key}) && !follows_current(record, hash))
    {
        return true;
    }
    const placement_table_ptr table = base.find(key, context_);
    return !table || choose(*table, hash) != record.target;
}

bool balancer::follows_current(const flow_record& record,
                               std::uint64_t hash) const
{
    const placement_table_ptr table =
        context_.current(key_of(record.key, bucket_of(hash)));
    return table && choose(*table, hash) == record.target;
}

void balancer::note_if_exception(flow_record& record, std::uint64_t hash)
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
    explanation why{.result = discard{discard_reason::not_ready},
                    .rule = "no published set in effect",
                    .bucket = bucket,
                    .home = map_.home(bucket),
                    .owner = map_.owner(bucket),
                    .standby = map_.standby(bucket),
                    .held_here = slot.held,
                    .in_effect = version_in_effect()};
    if (!context_.set)
    {
        return why;
    }
    if (const reference* found = context_.set->find_reference(
            facts.key.service_side, facts.key.transport))
    {
        why.reference = found->id;
        why.service = found->service;
    }
    if (!slot.held)
    {
        why.result = route_to_holder(facts, bucket);
        why.rule = "another VM holds the bucket";
        return why;
    }
    if (const flow_record* record = flows_.find(facts.key, hash))
    {
        why.result = deliver_to(record->target);
        why.rule = "flow record";
        why.has_record = true;
        return why;
    }
    const base_key key = key_of(facts.key, bucket);
    const base_tables& base = lineages_[slot.lineage].base;
    const placement_table_ptr table = base.find(key, context_);
    const std::optional<target_id> target =
        table ? choose(*table, hash) : std::nullopt;
    why.rule = base.overridden(key) ? "base table kept from an earlier set"
                                    : "placement table of the set in effect";
    why.result = target ? deliver_to(*target)
                        : verdict{discard{discard_reason::no_reference}};
    return why;
}

duration balancer::replication_age(instant now) const
{
    duration oldest{};
    for (const auto& [vm, stream] : streams_)
    {
        oldest = std::max(oldest, stream.oldest(now));
    }
    return oldest;
}

balancer_stats balancer::stats() const
{
    balancer_stats all = counters_;
    all.flows = flows_.size();
    for (const auto& [vm, stream] : streams_)
    {
        all.replication_backlog += stream.backlog();
    }
    all.replicas_held = replicas_.exception_count();
    for (const lineage& each : lineages_)
    {
        if (each.buckets == 0)
        {
            continue;
        }
        all.overrides += each.base.overrides().size();
        for (const auto& [key, table] : each.base.overrides())
        {
            all.mixed_references += each.base.mixed(key, context_) ? 1U : 0U;
        }
    }
    return all;
}

} // namespace catkinkeel
