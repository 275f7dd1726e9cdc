// What the decide thread shows to operators, once a second.

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

event_number event_of(admission_limit_reason reason)
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

/// A backlog above this is reported; it takes about 10 s to replicate.
constexpr std::uint64_t reported_backlog = 1000;

/// Flows of the busiest warm target of a service against their mean, the
/// highest of all services.
double load_ratio(const std::vector<target_view>& targets)
{
    struct sum
    {
        std::uint64_t held = 0;
        std::uint64_t most = 0;
        std::uint64_t count = 0;
    };
    std::map<service_id, sum> services;
    for (const target_view& each : targets)
    {
        if (each.reason == admission_limit_reason::warm)
        {
            sum& of = services[each.service];
            of.held += each.held;
            of.most = std::max<std::uint64_t>(of.most, each.held);
            ++of.count;
        }
    }
    double highest = 0;
    for (const auto& [id, of] : services)
    {
        if (of.held > 0)
        {
            const double mean =
                static_cast<double>(of.held) / static_cast<double>(of.count);
            highest = std::max(highest, static_cast<double>(of.most) / mean);
        }
    }
    return highest;
}

} // namespace

void decider::report_counters(const decide_snapshot& shown)
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
            shown.flows.*each.count - last_stats_.*each.count;
        if (added > 0)
        {
            parts_.events->report(each.number, {field("buckets", added)});
        }
    }
    report_reasons(event_number::flows_refused, shown.refused, last_refused_);
    report_reasons(event_number::packets_dropped, shown.dropped, last_dropped_);
    if (shown.flows.replication_backlog > reported_backlog)
    {
        parts_.events->report(
            event_number::replication_backlog,
            {field("exceptions", shown.flows.replication_backlog),
             field("milliseconds",
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                       shown.replication_oldest)
                       .count())});
    }
    if (shown.flows.flows >= shown.flow_capacity)
    {
        parts_.events->report(event_number::flow_table_full,
                              {field("capacity", shown.flow_capacity)});
    }
}

void decider::report_reasons(event_number number,
                             const std::vector<reason_count>& counts,
                             std::map<std::string, std::uint64_t>& last)
{
    for (const reason_count& each : counts)
    {
        std::uint64_t& before = last[each.reason];
        if (each.count > before)
        {
            parts_.events->report(number, {field("count", each.count - before),
                                           field("reason", each.reason)});
        }
        before = each.count;
    }
}

void decider::publish_snapshot(instant now)
{
    decide_snapshot shown;
    shown.in_effect = core_.set_in_effect() ? core_.set_in_effect()->version()
                                            : set_version{};
    shown.flows = core_.stats();
    shown.flow_capacity = settings_.flow_capacity;
    shown.buckets = view_buckets();
    shown.data_centres = view_data_centres();
    shown.targets = view_targets(now);
    for (const auto& [reason, count] : refused_)
    {
        shown.refused.push_back({std::string(name_of(reason)), count});
    }
    for (const auto& [reason, count] : discarded_)
    {
        shown.dropped.push_back({std::string(name_of(reason)), count});
    }
    for (const auto& row : reject_reason_rows)
    {
        if (const std::uint64_t count = rejected_.of(row.reason))
        {
            shown.dropped.push_back({std::string(row.name), count});
        }
    }
    const socket_counts socket = parts_.socket->counts();
    for (const socket_count_row& row : socket_drop_rows)
    {
        if (const std::uint64_t count = socket.*row.value)
        {
            shown.dropped.push_back({std::string(row.name), count});
        }
    }
    shown.received = received_;
    shown.delivered = delivered_;
    shown.relayed = relayed_;
    shown.target_load_ratio = load_ratio(shown.targets);
    shown.may_open = may_open_;
    shown.pauses = pauses_;
    report_target_changes(shown.targets);
    shown.replication_oldest = core_.replication_age(now);
    report_counters(shown);
    last_stats_ = shown.flows;
    parts_.board->holdings_settled = core_.holdings_settled();
    parts_.board->decide.put(std::move(shown));
}

std::vector<target_view> decider::view_targets(instant now)
{
    std::vector<target_view> shown;
    const published_set_ptr& set = core_.set_in_effect();
    if (!set)
    {
        return shown;
    }
    for (const target& each : set->objects().targets)
    {
        const target_state* known = targets_.target_state_of(each.id);
        const std::uint32_t held = core_.open_flow_count_on(each.id);
        const admission_limit current_limit = targets_.admission_limit_of(
            each, core_.capacity_share(each.id), held, now);
        target_view view{.id = each.id,
                         .service = each.service,
                         .data_centre = each.data_centre,
                         .address = each.address,
                         .wish = each.wish,
                         .reason = current_limit.reason,
                         .limit = current_limit.limit,
                         .held = held};
        if (known != nullptr)
        {
            view.connections = known->connections;
            view.busy_slots = known->busy_slots;
            view.report_age_ms = static_cast<std::uint64_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    now - known->last_report_at)
                    .count());
        }
        shown.push_back(view);
    }
    return shown;
}

bucket_status decider::view_buckets() const
{
    bucket_status shown;
    const bucket_map& map = core_.map();
    for (std::uint32_t i = 0; i < bucket_count; ++i)
    {
        const bucket_id bucket{static_cast<std::uint16_t>(i)};
        const bool owned = map.owner(bucket) == settings_.id;
        shown.held += core_.holds(bucket) ? 1U : 0U;
        shown.owned += owned ? 1U : 0U;
        shown.awaited += owned && !core_.holds(bucket) ? 1U : 0U;
        shown.standby += map.standby(bucket) == settings_.id ? 1U : 0U;
    }
    return shown;
}

std::vector<data_centre_status> decider::view_data_centres() const
{
    std::vector<data_centre_status> shown;
    const published_set_ptr& set = core_.set_in_effect();
    if (!set)
    {
        return shown;
    }
    std::map<data_centre_id, std::uint32_t> owned;
    for (std::uint32_t i = 0; i < bucket_count; ++i)
    {
        const auto owner = core_.map().owner({static_cast<std::uint16_t>(i)});
        const member* at = owner ? view_.find(*owner) : nullptr;
        owned[at == nullptr ? data_centre_id{} : at->data_centre] += 1;
    }
    for (const data_centre& each : set->objects().data_centres)
    {
        const auto live = std::ranges::count_if(
            view_.members, [&](const member& vm)
            { return vm.data_centre == each.id && vm.may_own_buckets(); });
        shown.push_back({each.id, each.name, each.wish,
                         static_cast<std::uint32_t>(live), owned[each.id]});
    }
    return shown;
}

void decider::report_target_changes(const std::vector<target_view>& targets)
{
    std::map<target_id, admission_limit_reason> reasons;
    for (const target_view& each : targets)
    {
        reasons[each.id] = each.reason;
        const auto before = last_reasons_.find(each.id);
        if (before == last_reasons_.end() || before->second == each.reason ||
            event_of(before->second) == event_of(each.reason))
        {
            continue;
        }
        const target_state* known = targets_.target_state_of(each.id);
        parts_.events->report(
            event_of(each.reason),
            {field("target", each.id.value), field("limit", each.limit),
             field("flows", each.held),
             field("instance", known != nullptr ? known->instance.value_or(0)
                                                : std::uint64_t{0}),
             field("cause", std::string(each.wish == target_wish::drain
                                            ? "published"
                                            : "load report")),
             field("reason", std::string("no report"))},
            {.version = parts_.board->decide.get()->in_effect,
             .cause = "load report or published set"});
    }
    last_reasons_ = std::move(reasons);
}

} // namespace catkinkeel
