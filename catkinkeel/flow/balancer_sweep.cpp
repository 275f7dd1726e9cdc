// Periodic work of the balancer: forgets flows, drops overrides of base tables.

#include "catkinkeel/base/hash.hpp"
#include "catkinkeel/flow/balancer.hpp"

namespace catkinkeel
{

namespace
{

constexpr duration tick_length = 100ms;
/// A sweep of the whole flow table takes this many ticks.
constexpr std::size_t ticks_per_sweep = 30;
constexpr duration retired_target_timeout = 1h;
constexpr duration recent_move_timeout = 1h;

} // namespace

void balancer::tick(instant now)
{
    if (!context_.set)
    {
        return;
    }
    forget_silent_holders(now);
    replicas_.expire(map_, self_, now);
    complete_switches();
    sweep(now);
}

void balancer::sweep(instant now)
{
    const std::uint32_t present = ticks(now);
    const auto idle =
        static_cast<std::uint32_t>(settings_.idle_timeout / tick_length);
    const auto ended =
        static_cast<std::uint32_t>(settings_.ended_timeout / tick_length);
    const std::size_t step = flows_.slot_count() / ticks_per_sweep + 1;
    std::vector<flow_key> expired;
    flows_.visit_slots(
        sweep_at_, step,
        [&](flow_record& record)
        {
            const std::uint32_t silent = present - record.last_seen;
            const bool over =
                silent > idle ||
                (record.state == flow_state::ended && silent > ended);
            const target* on = find_target(record.target);
            if (over || on == nullptr ||
                !context_.set->in_service(on->data_centre))
            {
                expired.push_back(record.key);
                return;
            }
            count_override_use(record, hash_flow(record.key));
            if (!record.replicated)
            {
                const std::uint64_t hash = hash_flow(record.key);
                const bucket_id bucket = bucket_of(hash);
                const base_tables& base =
                    lineages_[buckets_[bucket.value].lineage].base;
                const base_key key = key_of(record.key, bucket);
                if ((base.overridden(key) || base.uncertain(key.address)) &&
                    must_replicate(record, hash))
                {
                    record.replicated = true;
                    replicate_flow(record, bucket);
                }
            }
        });
    for (const flow_key& key : expired)
    {
        remove_flow(key, hash_flow(key));
    }
    sweep_at_ += step;
    if (sweep_at_ >= flows_.slot_count())
    {
        sweep_at_ = 0;
        finish_sweep(now);
    }
}

void balancer::count_override_use(const flow_record& record, std::uint64_t hash)
{
    const bucket_id bucket = bucket_of(hash);
    const std::uint16_t index = buckets_[bucket.value].lineage;
    const base_tables& base = lineages_[index].base;
    const base_key key = key_of(record.key, bucket);
    if (!base.overridden(key))
    {
        return;
    }
    const placement_table_ptr table = base.find(key, context_);
    override_use& use = override_uses_[{index, key}];
    const bool base_exception = !table || choose(*table, hash) != record.target;
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
            const lineage_key which{static_cast<std::uint16_t>(index), key};
            const override_use use = override_uses_[which];
            if (use.current_exceptions <= use.base_exceptions &&
                !switches_.contains(which))
            {
                begin_switch(which);
            }
        }
    }
    override_uses_.clear();
    collect_lineages();
    std::erase_if(retired_,
                  [&](const auto& entry)
                  {
                      return now - entry.second.since >
                                 retired_target_timeout &&
                             held_on(entry.first) == 0;
                  });
    std::erase_if(recent_moves_, [&](const auto& entry)
                  { return now - entry.second > recent_move_timeout; });
}

void balancer::begin_switch(const lineage_key& key)
{
    override_switch started;
    switches_.emplace(key, started);
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
        started.marks.emplace(vm, stream.added());
    }
    switches_[key] = std::move(started);
}

void balancer::complete_switches()
{
    for (auto at = switches_.begin(); at != switches_.end();)
    {
        const auto& [key, started] = *at;
        bool acknowledged = true;
        for (const auto& [vm, mark] : started.marks)
        {
            const auto stream = streams_.find(vm);
            acknowledged &= stream == streams_.end() ||
                            stream->second.acknowledged() >= mark;
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
        at = switches_.erase(at);
    }
}

void balancer::collect_lineages()
{
    for (std::size_t index = 0; index < lineages_.size(); ++index)
    {
        if (lineages_[index].buckets == 0)
        {
            lineages_[index] = {};
            std::erase_if(switches_, [&](const auto& entry)
                          { return entry.first.first == index; });
        }
    }
}

} // namespace catkinkeel
