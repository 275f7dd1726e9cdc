// Selection of targets for new flows, based on the load of the targets.

#include "catkinkeel/base/hash.hpp"
#include "catkinkeel/flow/balancer.hpp"

#include <algorithm>
#include <cmath>

namespace catkinkeel
{

namespace
{

/// Age from which the limits of a service's targets are read again.
constexpr duration load_refresh_period = 100ms;
/// Minimum load bound of a target, in flows. With fewer flows, rounding would
/// make nearly every flow an exception.
constexpr double min_load_bound_flows = 4;

} // namespace

bool balancer::accepts_new(target_id id, instant now) const
{
    const target* found = context_.set->find_target(id);
    if (found == nullptr || found->wish != target_wish::serve ||
        !context_.set->in_service(found->data_centre))
    {
        return false;
    }
    // Reopening a flow does not increase the target's load, so any limit above
    // 0 suffices.
    return admission_limits_
               .admission_limit_of(*found, 1.0, open_flow_count_on(id), now)
               .limit > 0;
}

std::optional<deliver> balancer::retry_placement(const flow_key& key,
                                                 instant now)
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
    const service_id failed_service = failed_target->service;
    const std::optional<target_id> target =
        place(failed_service, hash, now, failed);
    if (!target)
    {
        return std::nullopt;
    }
    --open_flows_by_target_[failed];
    ++open_flows_by_target_[*target];
    record->target = *target;
    replicate_if_exception(*record, hash);
    const verdict result = deliver_to(*target);
    const deliver* delivered = std::get_if<deliver>(&result);
    return delivered == nullptr ? std::nullopt : std::optional(*delivered);
}

std::uint32_t balancer::open_flow_count_on(target_id id) const
{
    const auto found = open_flows_by_target_.find(id);
    return found == open_flows_by_target_.end() ? 0 : found->second;
}

double balancer::capacity_share(target_id id)
{
    const target* found =
        context_.set ? context_.set->find_target(id) : nullptr;
    if (found == nullptr || !context_.plan)
    {
        return 0;
    }
    const std::vector<target_load>& loads =
        find_or_make_load(found->service).targets;
    const auto at = std::ranges::find(
        loads, id, [](const target_load& l) { return l.definition->id; });
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
        load.targets.push_back({.definition = &each});
    }
    double all_homes = 0;
    std::vector<double> group_share(load.targets.size(), 0.0);
    for (const data_centre& home : context_.plan->group())
    {
        const placement_table_ptr table =
            context_.plan->table(service, home.id);
        if (!table)
        {
            continue;
        }
        const auto owned = owned_share_.find(home.id.value);
        const double own_share =
            owned == owned_share_.end() ? 0 : owned->second;
        double total = 0;
        for (const weighted_target& each : table->targets)
        {
            total += each.weight;
        }
        for (const weighted_target& each : table->targets)
        {
            const auto at = std::ranges::find(load.targets, each.id,
                                              [](const target_load& l)
                                              { return l.definition->id; });
            const double part = each.weight / total;
            at->expected += own_share * part;
            group_share[static_cast<std::size_t>(at - load.targets.begin())] +=
                part;
        }
        all_homes += own_share;
    }
    if (all_homes <= 0)
    {
        // This VM owns no buckets (it is leaving, or its data centre is out of
        // service) but may hold some until they are handed over.
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
        each.capacity_share =
            group_share[i] > 0 ? each.expected / group_share[i] : 0;
        each.expected = each.expected / all_homes;
    }
    return load;
}

balancer::service_load& balancer::load_with_current_limits(service_id service,
                                                           instant now)
{
    service_load& load = find_or_make_load(service);
    if (!load.refreshed_at || now - *load.refreshed_at >= load_refresh_period)
    {
        load.refreshed_at = now;
        for (target_load& each : load.targets)
        {
            each.limit = admission_limits_
                             .admission_limit_of(
                                 *each.definition, each.capacity_share,
                                 open_flow_count_on(each.definition->id), now)
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
    const std::optional<target_id> first_choice = choose_target(*table, hash);
    double open_flow_total = 1;
    double expected_total = 0;
    const target_load* least_loaded = nullptr;
    double least_load = 0;
    const target_load* preferred = nullptr;
    for (const target_load& each :
         load_with_current_limits(service, now).targets)
    {
        const std::uint32_t open_flows =
            open_flow_count_on(each.definition->id);
        if (open_flows >= each.limit || each.definition->id == avoid)
        {
            continue;
        }
        open_flow_total += open_flows;
        expected_total += each.expected;
        if (each.definition->id == first_choice)
        {
            preferred = &each;
        }
        // Targets with no expected load at this VM are the last choice.
        const double load = each.expected > 0
                                ? (open_flows + 1) / each.expected
                                : (open_flows + 1) *
                                      static_cast<double>(bucket_count) *
                                      bucket_count;
        if (least_loaded == nullptr || load < least_load)
        {
            least_loaded = &each;
            least_load = load;
        }
    }
    if (preferred != nullptr && expected_total > 0)
    {
        const double fair =
            open_flow_total * preferred->expected / expected_total;
        const double bound =
            std::max(min_load_bound_flows,
                     std::ceil((1 + settings_.load_epsilon) * fair));
        if (open_flow_count_on(preferred->definition->id) + 1 <= bound)
        {
            return first_choice;
        }
    }
    return least_loaded == nullptr
               ? std::nullopt
               : std::optional(least_loaded->definition->id);
}

void balancer::end_flow(flow_record& record)
{
    // An ended flow is not counted as load of its target, which is expected to
    // close it soon; a flow that stays open is still in the target's own
    // report.
    if (record.state != flow_state::ended)
    {
        record.state = flow_state::ended;
        decrement_open_flows(record.target);
    }
}

void balancer::decrement_open_flows(target_id id)
{
    const auto found = open_flows_by_target_.find(id);
    if (found != open_flows_by_target_.end() && --found->second == 0)
    {
        open_flows_by_target_.erase(found);
    }
}

} // namespace catkinkeel
