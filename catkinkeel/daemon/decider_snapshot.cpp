// The snapshot that the decide thread publishes for operators once a second,
// and the events that it reports about differences from the previous snapshot.

#include "catkinkeel/daemon/decider.hpp"
#include "catkinkeel/operators/enum_names.hpp"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace catkinkeel
{

namespace
{

event_number event_for(admission_limit_reason reason)
{
    switch (reason)
    {
    case admission_limit_reason::ramping:
        return event_number::target_ramping;
    case admission_limit_reason::draining:
        return event_number::target_draining;
    case admission_limit_reason::unreachable:
        return event_number::target_unreachable;
    case admission_limit_reason::cold_not_steward:
        return event_number::target_cold;
    default:
        return event_number::target_warm;
    }
}

/// Number of exceptions that wait for replication above which an event is
/// reported; replicating that many takes about 10 s.
constexpr std::uint64_t backlog_event_threshold = 1000;

/// Ratio of the flows of the busiest warm target of a service to the mean of
/// its warm targets; the maximum over all services.
double load_ratio(const std::vector<target_view>& targets)
{
    struct service_load
    {
        std::uint64_t flows = 0;
        std::uint64_t max_flows = 0;
        std::uint64_t target_count = 0;
    };
    std::map<service_id, service_load> services;
    for (const target_view& each : targets)
    {
        if (each.reason == admission_limit_reason::warm)
        {
            service_load& load = services[each.service];
            load.flows += each.held;
            load.max_flows = std::max<std::uint64_t>(load.max_flows, each.held);
            ++load.target_count;
        }
    }
    double max_ratio = 0;
    for (const auto& [id, load] : services)
    {
        if (load.flows > 0)
        {
            const double mean = static_cast<double>(load.flows) /
                                static_cast<double>(load.target_count);
            max_ratio =
                std::max(max_ratio, static_cast<double>(load.max_flows) / mean);
        }
    }
    return max_ratio;
}

} // namespace

void decider::report_counter_events(const decide_snapshot& snapshot)
{
    struct counter_event
    {
        event_number number;
        std::uint64_t balancer_stats::*count;
    };
    static constexpr std::array counters{
        counter_event{event_number::buckets_handed_over,
                      &balancer_stats::buckets_handed_over},
        counter_event{event_number::buckets_taken_over,
                      &balancer_stats::buckets_taken_over}};
    for (const counter_event& each : counters)
    {
        const std::uint64_t added =
            snapshot.stats.*each.count - last_balancer_stats_.*each.count;
        if (added > 0)
        {
            dependencies_.events->report(each.number,
                                         {field("buckets", added)});
        }
    }
    report_reason_counts(event_number::flows_refused, snapshot.flows_refused,
                         last_refused_counts_);
    report_reason_counts(event_number::packets_dropped,
                         snapshot.packets_dropped, last_dropped_counts_);
    if (snapshot.stats.replication_backlog > backlog_event_threshold)
    {
        dependencies_.events->report(
            event_number::replication_backlog,
            {field("exceptions", snapshot.stats.replication_backlog),
             field("milliseconds",
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                       snapshot.oldest_replication_age)
                       .count())});
    }
    if (snapshot.stats.flows >= snapshot.flow_capacity)
    {
        dependencies_.events->report(
            event_number::flow_table_full,
            {field("capacity", snapshot.flow_capacity)});
    }
}

void decider::report_reason_counts(event_number number,
                                   const std::vector<reason_count>& counts,
                                   std::map<std::string, std::uint64_t>& last)
{
    for (const reason_count& each : counts)
    {
        std::uint64_t& previous = last[each.reason];
        if (each.count > previous)
        {
            dependencies_.events->report(number,
                                         {field("count", each.count - previous),
                                          field("reason", each.reason)});
        }
        previous = each.count;
    }
}

void decider::publish_snapshot(instant now)
{
    decide_snapshot snapshot;
    snapshot.version_in_effect = balancer_.set_in_effect()
                                     ? balancer_.set_in_effect()->version()
                                     : set_version{};
    snapshot.stats = balancer_.stats();
    snapshot.flow_capacity = settings_.flow_capacity;
    snapshot.buckets = make_bucket_status();
    snapshot.data_centres = make_data_centre_statuses();
    snapshot.targets = make_target_views(now);
    for (const auto& [reason, count] : refused_by_reason_)
    {
        snapshot.flows_refused.push_back({std::string(name_of(reason)), count});
    }
    for (const auto& [reason, count] : discarded_by_reason_)
    {
        snapshot.packets_dropped.push_back(
            {std::string(name_of(reason)), count});
    }
    for (const auto& row : reject_reason_rows)
    {
        if (const std::uint64_t count =
                rejected_datagrams_.count_of(row.reason))
        {
            snapshot.packets_dropped.push_back({std::string(row.name), count});
        }
    }
    const socket_counts socket = dependencies_.socket->counts();
    for (const socket_count_row& row : socket_drop_rows)
    {
        if (const std::uint64_t count = socket.*row.value)
        {
            snapshot.packets_dropped.push_back({std::string(row.name), count});
        }
    }
    snapshot.packets_received = received_packets_;
    snapshot.packets_delivered = delivered_packets_;
    snapshot.packets_relayed = relayed_packets_;
    snapshot.target_load_ratio = load_ratio(snapshot.targets);
    snapshot.may_open_flows = may_open_flows_;
    snapshot.process_pauses = process_pauses_;
    report_target_changes(snapshot.targets);
    snapshot.oldest_replication_age = balancer_.replication_age(now);
    report_counter_events(snapshot);
    last_balancer_stats_ = snapshot.stats;
    dependencies_.board->holdings_settled = balancer_.holdings_settled();
    dependencies_.board->latest_decide_snapshot.put(std::move(snapshot));
}

std::vector<target_view> decider::make_target_views(instant now)
{
    std::vector<target_view> views;
    const published_set_ptr& set = balancer_.set_in_effect();
    if (!set)
    {
        return views;
    }
    for (const target& each : set->objects().targets)
    {
        const target_state* state = targets_.target_state_of(each.id);
        const std::uint32_t held = balancer_.open_flow_count_on(each.id);
        const admission_limit current_limit = targets_.admission_limit_of(
            each, balancer_.capacity_share(each.id), held, now);
        target_view view{.id = each.id,
                         .service = each.service,
                         .data_centre = each.data_centre,
                         .address = each.address,
                         .wish = each.wish,
                         .reason = current_limit.reason,
                         .limit = current_limit.limit,
                         .held = held};
        if (state != nullptr)
        {
            view.connections = state->connections;
            view.busy_slots = state->busy_slots;
            view.report_age_ms = static_cast<std::uint64_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    now - state->last_report_at)
                    .count());
        }
        views.push_back(view);
    }
    return views;
}

bucket_status decider::make_bucket_status() const
{
    bucket_status status;
    const bucket_map& map = balancer_.map();
    for (std::uint32_t i = 0; i < bucket_count; ++i)
    {
        const bucket_id bucket{static_cast<std::uint16_t>(i)};
        const bool owned = map.owner(bucket) == settings_.id;
        status.held += balancer_.holds(bucket) ? 1U : 0U;
        status.owned += owned ? 1U : 0U;
        status.awaited += owned && !balancer_.holds(bucket) ? 1U : 0U;
        status.standby += map.standby(bucket) == settings_.id ? 1U : 0U;
    }
    return status;
}

std::vector<data_centre_status> decider::make_data_centre_statuses() const
{
    std::vector<data_centre_status> statuses;
    const published_set_ptr& set = balancer_.set_in_effect();
    if (!set)
    {
        return statuses;
    }
    std::map<data_centre_id, std::uint32_t> owned_buckets;
    for (std::uint32_t i = 0; i < bucket_count; ++i)
    {
        const auto owner =
            balancer_.map().owner({static_cast<std::uint16_t>(i)});
        const member* owning_member = owner ? view_.find(*owner) : nullptr;
        owned_buckets[owning_member == nullptr ? data_centre_id{}
                                               : owning_member->data_centre] +=
            1;
    }
    for (const data_centre& each : set->objects().data_centres)
    {
        const auto live_vm_count = std::ranges::count_if(
            view_.members, [&](const member& vm)
            { return vm.data_centre == each.id && vm.may_own_buckets(); });
        statuses.push_back({each.id, each.name, each.wish,
                            static_cast<std::uint32_t>(live_vm_count),
                            owned_buckets[each.id]});
    }
    return statuses;
}

void decider::report_target_changes(const std::vector<target_view>& targets)
{
    std::map<target_id, admission_limit_reason> reasons;
    for (const target_view& each : targets)
    {
        reasons[each.id] = each.reason;
        const auto previous = last_limit_reasons_.find(each.id);
        if (previous == last_limit_reasons_.end() ||
            previous->second == each.reason ||
            event_for(previous->second) == event_for(each.reason))
        {
            continue;
        }
        const target_state* state = targets_.target_state_of(each.id);
        dependencies_.events->report(
            event_for(each.reason),
            {field("target", each.id.value), field("limit", each.limit),
             field("flows", each.held),
             field("instance", state != nullptr ? state->instance.value_or(0)
                                                : std::uint64_t{0}),
             field("cause", std::string(each.wish == target_wish::drain
                                            ? "published"
                                            : "load report")),
             field("reason", std::string("no report"))},
            {.version = dependencies_.board->latest_decide_snapshot.get()
                            ->version_in_effect,
             .cause = "load report or published set"});
    }
    last_limit_reasons_ = std::move(reasons);
}

} // namespace catkinkeel
