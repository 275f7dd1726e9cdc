// The balancer's messages to other VMs: claims, handovers, replication.

#include "catkinkeel/base/hash.hpp"
#include "catkinkeel/flow/balancer.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace catkinkeel
{
namespace
{

/// Keeps a handover message below the 16 KB limit of the `link` library.
constexpr std::uint64_t max_handover_bytes = 9000;
/// A handover waits for this much budget, so that the overhead of a message is
/// small compared with its content.
constexpr std::uint64_t min_handover_budget_bytes = 1000;
/// If the owner of a bucket held here has not claimed it within this time after
/// the latest change of the bucket map, the owner is assumed to hold it too:
/// both VMs took it over during a partition.
constexpr duration unclaimed_bucket_timeout = 1s;

/// Subtracts `spent` from `budget`; the result is at least 0.
void spend(byte_count& budget, byte_count spent)
{
    budget.value -= std::min(budget.value, spent.value);
}

} // namespace

// Messages

void balancer::handle(vm_id from, const flow_message& content, instant now)
{
    if (!context_.set)
    {
        return;
    }
    if (const auto* update = std::get_if<replicate>(&content))
    {
        on_replicate(from, *update);
    }
    else if (const auto* replication_ack = std::get_if<replicate_ack>(&content))
    {
        on_replicate_ack(from, *replication_ack);
    }
    else if (const auto* claim_message = std::get_if<claim>(&content))
    {
        on_claim(from, *claim_message);
    }
    else if (const auto* handover_message = std::get_if<handover>(&content))
    {
        on_handover(from, *handover_message, now);
    }
    else if (const auto* handover_reply = std::get_if<handover_ack>(&content))
    {
        on_handover_ack(from, *handover_reply);
    }
}

void balancer::on_replicate(vm_id from, const replicate& update)
{
    if (const auto ack = replicas_.apply(from, update, context_))
    {
        pending_replies_.push_back({from, *ack});
    }
}

void balancer::on_replicate_ack(vm_id from, const replicate_ack& ack)
{
    const auto found = streams_.find(from);
    if (found != streams_.end() && !found->second.acknowledge(ack))
    {
        restart_stream(from);
    }
}

void balancer::on_claim(vm_id from, const claim& claim_message)
{
    if (claim_message.in_effect != context_.set->version() ||
        claim_message.map_fingerprint != map_.fingerprint())
    {
        return;
    }
    const auto found = handovers_.find(from);
    if (found == handovers_.end() ||
        found->second.stream.superseded_by(claim_message))
    {
        if (found != handovers_.end())
        {
            mark_not_in_flight(found->second.stream.buckets_in_flight());
        }
        handovers_.insert_or_assign(
            from, handover_to{handover_stream(claim_message.session,
                                              claim_message.round),
                              claim_message.holding});
        return;
    }
    if (const auto last = found->second.stream.final_message())
    {
        pending_replies_.push_back({from, *last});
    }
}

void balancer::mark_not_in_flight(const std::vector<bucket_id>& buckets)
{
    for (const bucket_id bucket : buckets)
    {
        buckets_[bucket.value].in_flight = false;
    }
}

void balancer::on_handover(vm_id from, const handover& handover_message,
                           instant now)
{
    const bool all_held = std::ranges::all_of(
        handover_message.state.buckets,
        [&](bucket_id bucket) { return buckets_[bucket.value].held; });
    if (handover_message.in_effect != context_.set->version() ||
        handover_message.map_fingerprint != map_.fingerprint() ||
        (!claims_.matches(handover_message) && !all_held))
    {
        return;
    }
    claims_.record_response(from, now);
    for (const public_address& address : handover_message.moved)
    {
        moves_.try_emplace(address, reference_move{.settled = true});
    }
    std::optional<std::uint16_t> index;
    for (const bucket_id bucket : handover_message.state.buckets)
    {
        if (buckets_[bucket.value].held)
        {
            continue;
        }
        if (!index)
        {
            index = find_or_add_lineage(
                {.base =
                     base_tables(handover_message.state.overrides,
                                 handover_message.state.uncertain, context_),
                 .unseen_until = now + settings_.idle_timeout,
                 .by_failover = false});
        }
        hold(bucket, *index);
        ++counters_.buckets_received;
    }
    adopt_exceptions(handover_message.state.exceptions, now);
    pending_replies_.push_back(
        {from, handover_ack{handover_message.session, handover_message.round,
                            handover_message.sequence}});
    if (handover_message.last && claims_.matches(handover_message))
    {
        claims_.mark_answered(from);
        if (!claims_.any_pending() && !all_owned_are_held())
        {
            take_over_unheld(now);
        }
    }
}

void balancer::on_handover_ack(vm_id from, const handover_ack& ack)
{
    const auto found = handovers_.find(from);
    if (found == handovers_.end())
    {
        return;
    }
    const std::optional<bucket_state> done =
        found->second.stream.acknowledge(ack);
    if (!done || done->buckets.empty())
    {
        return;
    }
    for (const bucket_id bucket : done->buckets)
    {
        release(bucket);
    }
    counters_.buckets_handed_over += done->buckets.size();
    drop_flows_not_held();
}

std::vector<outgoing_flow_message> balancer::take_messages(byte_count budget,
                                                           instant now)
{
    std::vector<outgoing_flow_message> out;
    if (!context_.set)
    {
        return out;
    }
    if (standbys_stale_)
    {
        assign_standbys();
    }
    std::swap(out, pending_replies_);
    if (claims_.any_pending())
    {
        const bool holding = std::ranges::any_of(
            buckets_, [](const bucket_slot& slot) { return slot.unconfirmed; });
        for (const vm_id holder : claims_.take_claim_recipients(now))
        {
            out.push_back({holder, claim{claims_.session(), claims_.round(),
                                         context_.set->version(),
                                         map_.fingerprint(), holding}});
        }
    }
    if (pump_handovers(budget, now, out))
    {
        pump_streams(budget, now, out);
    }
    return out;
}

void balancer::begin_unclaimed_handovers(instant now)
{
    if (now - map_since_ < unclaimed_bucket_timeout)
    {
        return;
    }
    for (std::uint32_t i = 0; i < bucket_count; ++i)
    {
        const auto owner = map_.owner({static_cast<std::uint16_t>(i)});
        if (buckets_[i].held && owner && *owner != self_)
        {
            handovers_.try_emplace(
                *owner, handover_to{handover_stream(0, 0), /*all_flows=*/true});
        }
    }
}

bool balancer::pump_handovers(byte_count& budget, instant now,
                              std::vector<outgoing_flow_message>& out)
{
    for (auto& [vm, to] : handovers_)
    {
        if (to.stream.in_flight())
        {
            if (const auto retransmission = to.stream.due_retransmission(now))
            {
                spend(budget, estimated_size(retransmission->state));
                out.push_back({vm, *retransmission});
            }
            continue;
        }
        if (to.stream.finished())
        {
            continue;
        }
        if (budget.value < min_handover_budget_bytes)
        {
            return false;
        }
        handover_part part = next_handover_part(vm, to.all_flows, budget);
        spend(budget, estimated_size(part.state));
        for (const bucket_id bucket : part.state.buckets)
        {
            buckets_[bucket.value].in_flight = true;
        }
        handover handover_message =
            to.stream.prepare_message({.last = part.last,
                                       .in_effect = context_.set->version(),
                                       .map_fingerprint = map_.fingerprint(),
                                       .moved = moved_addresses(),
                                       .state = std::move(part.state)},
                                      now);
        out.push_back({vm, std::move(handover_message)});
    }
    return true;
}

balancer::handover_part
balancer::next_handover_part(vm_id claimant, bool all_flows, byte_count budget)
{
    handover_part part{.state = {}, .last = true};
    const std::uint64_t max_bytes = std::min(budget.value, max_handover_bytes);
    std::map<bucket_id, std::vector<flow_exception>> flows_by_bucket;
    std::optional<std::uint16_t> lineage_index;
    for (std::uint32_t i = 0; i < bucket_count; ++i)
    {
        const bucket_id bucket{static_cast<std::uint16_t>(i)};
        const bucket_slot& slot = buckets_[i];
        if (!slot.held || slot.unconfirmed || slot.in_flight ||
            map_.owner(bucket) != claimant)
        {
            continue;
        }
        lineage_index = lineage_index.value_or(slot.lineage);
        if (slot.lineage != *lineage_index ||
            (flows_by_bucket.size() + 1) * estimated_bucket_bytes +
                    estimated_message_overhead_bytes >
                max_bytes)
        {
            part.last = false;
            break;
        }
        flows_by_bucket.try_emplace(bucket);
    }
    if (!lineage_index)
    {
        return part;
    }
    const lineage& source_lineage = lineages_[*lineage_index];
    flows_.visit_all(
        [&](flow_record& record)
        {
            const std::uint64_t hash = hash_flow(record.key);
            const auto found = flows_by_bucket.find(bucket_of(hash));
            if (found != flows_by_bucket.end() &&
                record.state != flow_state::ended &&
                ((all_flows && source_lineage.by_failover) ||
                 must_replicate(record, hash)))
            {
                found->second.push_back({record.key, record.target, false});
            }
        });
    part.state.overrides = source_lineage.base.export_overrides();
    part.state.uncertain = source_lineage.base.export_uncertain();
    for (auto& [bucket, flows] : flows_by_bucket)
    {
        const bool exceeds_limit =
            estimated_size(part.state).value +
                flows.size() * estimated_exception_bytes >
            max_bytes;
        if (exceeds_limit && !part.state.buckets.empty())
        {
            part.last = false;
            break;
        }
        part.state.buckets.push_back(bucket);
        std::ranges::move(flows, std::back_inserter(part.state.exceptions));
    }
    return part;
}

// Replication

void balancer::pump_streams(byte_count& budget, instant now,
                            std::vector<outgoing_flow_message>& out)
{
    for (auto& [vm, stream] : streams_)
    {
        if (auto update = stream.next_message(*this, budget, now))
        {
            spend(budget, estimated_size(*update));
            out.push_back({vm, std::move(*update)});
        }
    }
}

std::optional<vm_id> balancer::wanted_standby(bucket_id bucket) const
{
    const bucket_slot& slot = buckets_[bucket.value];
    if (map_.owner(bucket) == self_)
    {
        return map_.standby(bucket);
    }
    // The bucket's new owner has not claimed it yet; the standby is kept while
    // it is present.
    const member* present = slot.standby ? view_.find(*slot.standby) : nullptr;
    return present != nullptr && present->may_own_buckets() ? slot.standby
                                                            : std::nullopt;
}

void balancer::assign_standbys()
{
    standbys_stale_ = false;
    std::vector<bool> changed(bucket_count, false);
    std::set<vm_id> streams_changed;
    for (std::uint32_t i = 0; i < bucket_count; ++i)
    {
        const bucket_id bucket{static_cast<std::uint16_t>(i)};
        bucket_slot& slot = buckets_[i];
        if (!slot.held)
        {
            continue;
        }
        const std::optional<vm_id> wanted = wanted_standby(bucket);
        if (wanted == slot.standby)
        {
            continue;
        }
        slot.standby = wanted;
        if (wanted)
        {
            stream_to(*wanted).assign(bucket);
            changed[i] = true;
            streams_changed.insert(*wanted);
        }
    }
    if (streams_changed.empty())
    {
        return;
    }
    // Until the flows added below are acknowledged, the new standby must not
    // derive the service of a moved reference from its base tables.
    for (const vm_id vm : streams_changed)
    {
        unsettle_moves(stream_to(vm));
    }
    flows_.visit_all(
        [&](flow_record& record)
        {
            const std::uint64_t hash = hash_flow(record.key);
            const bucket_id bucket = bucket_of(hash);
            if (changed[bucket.value])
            {
                record.replicated = must_replicate(record, hash);
                if (record.replicated)
                {
                    replicate_flow(record, bucket);
                }
            }
        });
}

replication_stream& balancer::stream_to(vm_id standby)
{
    const auto found = streams_.find(standby);
    if (found != streams_.end())
    {
        return found->second;
    }
    replication_stream& added =
        streams_.emplace(standby, replication_stream(++next_stream_session_))
            .first->second;
    unsettle_moves(added);
    return added;
}

void balancer::restart_stream(vm_id standby)
{
    streams_.erase(standby);
    for (bucket_slot& slot : buckets_)
    {
        if (slot.standby == standby)
        {
            slot.standby.reset();
        }
    }
    standbys_stale_ = true;
}

void balancer::replicate_flow(const flow_record& record, bucket_id bucket)
{
    const bucket_slot& slot = buckets_[bucket.value];
    if (slot.standby)
    {
        stream_to(*slot.standby).add(record.key);
    }
}

set_version balancer::version_in_effect() const
{
    return context_.set ? context_.set->version() : set_version{};
}

std::uint16_t balancer::lineage_of(bucket_id bucket) const
{
    return buckets_[bucket.value].lineage;
}

const base_tables& balancer::base_of_lineage(std::uint16_t index) const
{
    return lineages_[index].base;
}

std::optional<target_id> balancer::target_of(const flow_key& key) const
{
    const flow_record* record = flows_.find(key, hash_flow(key));
    return record == nullptr || record->state == flow_state::ended
               ? std::nullopt
               : std::optional(record->target);
}

} // namespace catkinkeel
