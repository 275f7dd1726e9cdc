// Periodic work of the balancer: removes expired flows and drops overrides of
// base tables.

#include "catkinkeel/base/hash.hpp"
#include "catkinkeel/flow/balancer.hpp"

#include <utility>

namespace catkinkeel
{

namespace
{

/// Number of calls of `tick` over which one sweep of the flow table is spread.
constexpr std::size_t ticks_per_sweep = 30;
/// A target that is no longer published and has no open flows here is kept this
/// long, since exceptions received from other holders may refer to it.
constexpr duration retired_target_timeout = 1h;
/// Idle timeout of a flow whose packets would go to another service without its
/// record. Longer than the users' downloads take, pauses included.
constexpr duration ambiguous_flow_idle_timeout = 24h;

} // namespace

void balancer::tick(instant now)
{
    if (!context_.set)
    {
        return;
    }
    update_possible_partition(now);
    abandon_unresponsive_holders(now);
    replicas_.expire(map_, self_, now);
    complete_override_removals();
    settle_moves();
    sweep(now);
}

void balancer::sweep(instant now)
{
    const std::size_t step = flows_.slot_count() / ticks_per_sweep + 1;
    std::vector<flow_key> expired;
    flows_.visit_slots(next_sweep_slot_, step,
                       [&](flow_record& record)
                       {
                           if (is_expired(record, now))
                           {
                               expired.push_back(record.key);
                           }
                           else
                           {
                               sweep_flow(record);
                           }
                       });
    for (const flow_key& key : expired)
    {
        remove_flow(key, hash_flow(key));
    }
    next_sweep_slot_ += step;
    if (next_sweep_slot_ >= flows_.slot_count())
    {
        next_sweep_slot_ = 0;
        finish_sweep(now);
    }
}

bool balancer::is_expired(const flow_record& record, instant now) const
{
    const duration idle = flow_tick * (ticks(now) - record.last_seen);
    if (record.state == flow_state::ended && idle > settings_.ended_timeout)
    {
        return true;
    }
    if (service_depends_on_record(record))
    {
        return idle > ambiguous_flow_idle_timeout;
    }
    // Flows whose data centre went out of service are kept until their callers
    // send no more packets: without a record the base table would deliver these
    // packets to another target.
    return find_target(record.target) == nullptr ||
           idle > settings_.idle_timeout;
}

void balancer::sweep_flow(flow_record& record)
{
    const std::uint64_t hash = hash_flow(record.key);
    count_override_use(record, hash);
    if (record.replicated)
    {
        ++exceptions_in_sweep_;
        return;
    }
    const bucket_id bucket = bucket_of(hash);
    const base_tables& base = lineages_[buckets_[bucket.value].lineage].base;
    const base_table_key key = key_of(record.key, bucket);
    if ((base.has_override(key) || base.uncertain(key.address)) &&
        must_replicate(record, hash))
    {
        record.replicated = true;
        replicate_flow(record, bucket);
    }
}

void balancer::count_override_use(const flow_record& record, std::uint64_t hash)
{
    const bucket_id bucket = bucket_of(hash);
    const std::uint16_t index = buckets_[bucket.value].lineage;
    const base_tables& base = lineages_[index].base;
    const base_table_key key = key_of(record.key, bucket);
    if (!base.has_override(key))
    {
        return;
    }
    const placement_table_ptr table = base.find(key, context_);
    override_use& use = override_uses_[{index, key}];
    const bool base_exception =
        !table || choose_target(*table, hash) != record.target;
    use.base_exceptions += base_exception ? 1U : 0U;
    use.current_exceptions += follows_current(record, hash) ? 0U : 1U;
}

void balancer::finish_sweep(instant now)
{
    for (std::size_t index = 0; index < lineages_.size(); ++index)
    {
        const lineage& each = lineages_[index];
        if (each.buckets == 0 || now < each.unseen_until)
        {
            continue;
        }
        for (const auto& [key, table] : each.base.overrides())
        {
            const lineage_key removal_key{static_cast<std::uint16_t>(index),
                                          key};
            const override_use use = override_uses_[removal_key];
            if (use.current_exceptions <= use.base_exceptions &&
                !override_removals_.contains(removal_key))
            {
                begin_override_removal(removal_key);
            }
        }
    }
    override_uses_.clear();
    counters_.exceptions = std::exchange(exceptions_in_sweep_, 0);
    clear_unused_lineages();
    std::erase_if(retired_,
                  [&](const auto& entry)
                  {
                      return now - entry.second.since >
                                 retired_target_timeout &&
                             open_flow_count_on(entry.first) == 0;
                  });
}

void balancer::begin_override_removal(const lineage_key& key)
{
    override_removal removal;
    override_removals_.emplace(key, removal);
    flows_.visit_all(
        [&](flow_record& record)
        {
            const std::uint64_t hash = hash_flow(record.key);
            const bucket_id bucket = bucket_of(hash);
            const bucket_slot& slot = buckets_[bucket.value];
            if (slot.held && slot.lineage == key.first &&
                key_of(record.key, bucket) == key.second &&
                !record.replicated && !follows_current(record, hash))
            {
                record.replicated = true;
                replicate_flow(record, bucket);
            }
        });
    for (const auto& [vm, stream] : streams_)
    {
        removal.required_acknowledgements.emplace(vm,
                                                  stream.added_flow_count());
    }
    override_removals_[key] = std::move(removal);
}

void balancer::complete_override_removals()
{
    for (auto at = override_removals_.begin(); at != override_removals_.end();)
    {
        const auto& [key, removal] = *at;
        bool acknowledged = true;
        for (const auto& [vm, required_count] :
             removal.required_acknowledgements)
        {
            const auto stream = streams_.find(vm);
            acknowledged &=
                stream == streams_.end() ||
                stream->second.acknowledged_flow_count() >= required_count;
        }
        if (!acknowledged)
        {
            ++at;
            continue;
        }
        lineages_[key.first].base.drop_override(key.second);
        ++counters_.overrides_dropped;
        for (auto& [vm, stream] : streams_)
        {
            stream.drop_override(key.first, key.second);
        }
        at = override_removals_.erase(at);
    }
}

void balancer::clear_unused_lineages()
{
    for (std::size_t index = 0; index < lineages_.size(); ++index)
    {
        if (lineages_[index].buckets == 0)
        {
            lineages_[index] = {};
            std::erase_if(override_removals_, [&](const auto& entry)
                          { return entry.first.first == index; });
        }
    }
}

} // namespace catkinkeel
