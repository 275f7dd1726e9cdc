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
    const balancer_stats& stats = decide.stats;
    metrics.flows = static_cast<double>(stats.flows);
    metrics.flow_capacity = static_cast<double>(decide.flow_capacity);
    metrics.flows_opened = static_cast<double>(stats.flows_opened);
    metrics.flows_refused = by_reason(decide.flows_refused);
    metrics.target_load_ratio = decide.target_load_ratio;
    metrics.mixed_references = static_cast<double>(stats.mixed_references);
    metrics.exceptions = static_cast<double>(stats.exceptions);
    metrics.replication_backlog =
        static_cast<double>(stats.replication_backlog);
    metrics.replication_oldest_seconds =
        std::chrono::duration<double>(decide.oldest_replication_age).count();
    metrics.buckets_moved["handed_over"] =
        static_cast<double>(stats.buckets_handed_over);
    metrics.buckets_moved["received"] =
        static_cast<double>(stats.buckets_received);
    metrics.buckets_moved["taken_over"] =
        static_cast<double>(stats.buckets_taken_over);
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

status_document make_status(const status_board& board, const daemon_info& info,
                            wall_time now)
{
    const auto decide = board.latest_decide_snapshot.get();
    const auto peers = board.latest_peers_snapshot.get();
    status_document document;
    document.daemon = {info.vm, info.name, info.data_centre,
                       std::string(release()), now};
    document.uptime_seconds = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::seconds>(now - info.started_at)
            .count());
    document.shutting_down = board.shutting_down;
    document.set = board.latest_configuration_snapshot.get()->set;
    document.members = peers->members;
    document.data_centres = decide->data_centres;
    document.targets = decide->targets;
    document.buckets = decide->buckets;
    document.flows = {.tracked = decide->stats.flows,
                      .capacity = decide->flow_capacity,
                      .opened = decide->stats.flows_opened,
                      .refused = 0,
                      .exceptions = decide->stats.exceptions,
                      .mixed_references = static_cast<std::uint32_t>(
                          decide->stats.mixed_references)};
    for (const reason_count& each : decide->flows_refused)
    {
        document.flows.refused += each.count;
    }
    document.replication = {
        .backlog = decide->stats.replication_backlog,
        .oldest_ms = static_cast<std::uint64_t>(
            in_milliseconds(decide->oldest_replication_age)),
        .held_for_others = decide->stats.replicated_exceptions_stored};
    document.control = {.budget_per_second = info.control_budget_per_second,
                        .sent_last_minute = peers->sent_bytes_last_minute,
                        .received_last_minute =
                            peers->received_bytes_last_minute};
    document.dropped_packets = decide->packets_dropped;
    return document;
}

metrics_snapshot make_metrics(const status_board& board,
                              const daemon_info& info)
{
    const auto decide = board.latest_decide_snapshot.get();
    const auto peers = board.latest_peers_snapshot.get();
    const auto configuration = board.latest_configuration_snapshot.get();
    metrics_snapshot metrics;
    metrics.build_info[std::string(release())] = 1;
    metrics.start_time_seconds = seconds_since_epoch(info.started_at);
    metrics.set_version =
        static_cast<double>(configuration->set.in_effect.value);
    metrics.set_in_effect_timestamp_seconds =
        seconds_since_epoch(configuration->set.since);
    if (configuration->set.last_refused)
    {
        metrics.set_refused_version =
            static_cast<double>(configuration->set.last_refused->version.value);
    }
    metrics.sets_refused = static_cast<double>(configuration->sets_refused);
    metrics.sets_older_ignored =
        static_cast<double>(configuration->older_sets_ignored);
    metrics.platform_up["configuration"] =
        board.configuration_reachable ? 1 : 0;
    metrics.platform_up["vm_list"] = board.vm_list_reachable ? 1 : 0;
    metrics.vm_list_age_seconds =
        std::chrono::duration<double>(peers->vm_list_age.value_or(duration{}))
            .count();
    for (const member_status& each : peers->members)
    {
        metrics.members[std::string(name_of(each.state))] += 1;
    }
    metrics.may_open_flows = decide->may_open_flows ? 1 : 0;
    fill_flows(metrics, *decide);
    metrics.packets_received = static_cast<double>(decide->packets_received);
    metrics.packets_delivered = static_cast<double>(decide->packets_delivered);
    metrics.packets_relayed = static_cast<double>(decide->packets_relayed);
    metrics.packets_dropped = by_reason(decide->packets_dropped);
    metrics.ring_refused["control"] =
        static_cast<double>(board.control_inputs_refused.load());
    metrics.control_sent_bytes = static_cast<double>(peers->sent_bytes.value);
    metrics.control_received_bytes =
        static_cast<double>(peers->received_bytes.value);
    metrics.control_budget_bytes =
        static_cast<double>(info.control_budget_per_second.value);
    metrics.messages_dropped = by_reason(peers->dropped_messages);
    metrics.process_pauses = static_cast<double>(decide->process_pauses);
    return metrics;
}

} // namespace catkinkeel
