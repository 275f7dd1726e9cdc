#include "catkinkeel/daemon/status_board.hpp"

#include "catkinkeel/operators/enum_names.hpp"

namespace catkinkeel
{

namespace
{

double seconds_since_epoch(wall_time at)
{
    return std::chrono::duration<double>(at.time_since_epoch()).count();
}

labelled_values by_reason(const std::vector<reason_count>& counts)
{
    labelled_values values;
    for (const reason_count& each : counts)
    {
        values[each.reason] += static_cast<double>(each.count);
    }
    return values;
}

void fill_flows(metrics_snapshot& metrics, const decide_snapshot& decide)
{
    const balancer_stats& flows = decide.flows;
    metrics.flows = static_cast<double>(flows.flows);
    metrics.flow_capacity = static_cast<double>(decide.flow_capacity);
    metrics.flows_opened = static_cast<double>(flows.flows_opened);
    metrics.flows_refused = by_reason(decide.refused);
    metrics.target_load_ratio = decide.target_load_ratio;
    metrics.mixed_references = static_cast<double>(flows.mixed_references);
    metrics.exceptions = static_cast<double>(flows.exceptions);
    metrics.replication_backlog =
        static_cast<double>(flows.replication_backlog);
    metrics.replication_oldest_seconds =
        std::chrono::duration<double>(decide.replication_oldest).count();
    metrics.buckets_moved["handed_over"] =
        static_cast<double>(flows.buckets_handed_over);
    metrics.buckets_moved["received"] =
        static_cast<double>(flows.buckets_received);
    metrics.buckets_moved["taken_over"] =
        static_cast<double>(flows.buckets_taken_over);
    metrics.buckets["held"] = decide.buckets.held;
    metrics.buckets["owned"] = decide.buckets.owned;
    metrics.buckets["awaited"] = decide.buckets.awaited;
    metrics.buckets["standby"] = decide.buckets.standby;
    for (const target_view& each : decide.targets)
    {
        metrics.targets[std::string(name_of(each.reason))] += 1;
    }
    for (const data_centre_status& each : decide.data_centres)
    {
        metrics.data_centres[std::string(name_of(each.wish))] += 1;
    }
}

} // namespace

status_document make_status(const status_board& board,
                            const daemon_facts& facts, wall_time now)
{
    const auto decide = board.decide.get();
    const auto peers = board.peers.get();
    status_document document;
    document.daemon = {facts.vm, facts.name, facts.data_centre,
                       std::string(release()), now};
    document.uptime_seconds = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::seconds>(now - facts.started_at)
            .count());
    document.shutting_down = board.shutting_down;
    document.set = board.configuration.get()->set;
    document.members = peers->members;
    document.data_centres = decide->data_centres;
    document.targets = decide->targets;
    document.buckets = decide->buckets;
    document.flows = {.tracked = decide->flows.flows,
                      .capacity = decide->flow_capacity,
                      .opened = decide->flows.flows_opened,
                      .refused = 0,
                      .exceptions = decide->flows.exceptions,
                      .mixed_references = static_cast<std::uint32_t>(
                          decide->flows.mixed_references)};
    for (const reason_count& each : decide->refused)
    {
        document.flows.refused += each.count;
    }
    document.replication = {.backlog = decide->flows.replication_backlog,
                            .oldest_ms = static_cast<std::uint64_t>(
                                in_milliseconds(decide->replication_oldest)),
                            .held_for_others =
                                decide->flows.replicated_exceptions_stored};
    document.control = {.budget_per_second = facts.control_budget,
                        .sent_last_minute = peers->sent_last_minute,
                        .received_last_minute = peers->received_last_minute};
    document.dropped_packets = decide->dropped;
    return document;
}

metrics_snapshot make_metrics(const status_board& board,
                              const daemon_facts& facts)
{
    const auto decide = board.decide.get();
    const auto peers = board.peers.get();
    const auto configuration = board.configuration.get();
    metrics_snapshot metrics;
    metrics.build_info[std::string(release())] = 1;
    metrics.start_time_seconds = seconds_since_epoch(facts.started_at);
    metrics.set_version =
        static_cast<double>(configuration->set.in_effect.value);
    metrics.set_in_effect_timestamp_seconds =
        seconds_since_epoch(configuration->set.since);
    if (configuration->set.last_refused)
    {
        metrics.set_refused_version =
            static_cast<double>(configuration->set.last_refused->version.value);
    }
    metrics.sets_refused = static_cast<double>(configuration->refused);
    metrics.sets_older_ignored =
        static_cast<double>(configuration->older_ignored);
    metrics.platform_up["configuration"] = board.configuration_up ? 1 : 0;
    metrics.platform_up["vm_list"] = board.vm_list_up ? 1 : 0;
    metrics.vm_list_age_seconds =
        std::chrono::duration<double>(peers->list_age.value_or(duration{}))
            .count();
    for (const member_status& each : peers->members)
    {
        metrics.members[std::string(name_of(each.state))] += 1;
    }
    metrics.may_open_flows = decide->may_open ? 1 : 0;
    fill_flows(metrics, *decide);
    metrics.packets_received = static_cast<double>(decide->received);
    metrics.packets_delivered = static_cast<double>(decide->delivered);
    metrics.packets_relayed = static_cast<double>(decide->relayed);
    metrics.packets_dropped = by_reason(decide->dropped);
    metrics.ring_refused["control"] =
        static_cast<double>(board.control_refused.load());
    metrics.control_sent_bytes = static_cast<double>(peers->sent.value);
    metrics.control_received_bytes = static_cast<double>(peers->received.value);
    metrics.control_budget_bytes =
        static_cast<double>(facts.control_budget.value);
    metrics.messages_dropped = by_reason(peers->dropped_messages);
    metrics.process_pauses = static_cast<double>(decide->pauses);
    return metrics;
}

} // namespace catkinkeel
