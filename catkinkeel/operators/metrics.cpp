#include "catkinkeel/operators/metrics.hpp"

#include "catkinkeel/event/catalogue.hpp"
#include "catkinkeel/link/drop.hpp"
#include "catkinkeel/operators/enum_names.hpp"
#include "catkinkeel/packet/reject_reason.hpp"
#include "catkinkeel/packet/udp_socket.hpp"

#include <prometheus/text_serializer.h>

#include <array>
#include <sstream>

namespace catkinkeel
{

namespace
{

using label_list = std::vector<std::string>;
using s = metrics_snapshot;
using enum metric_kind;

template <class Enum>
label_list names()
{
    label_list all;
    for (const enum_name<Enum>& row : names_of(Enum{}))
    {
        all.emplace_back(row.name);
    }
    return all;
}

label_list releases()
{
    return {std::string(release())};
}

label_list platform_services()
{
    return {"configuration", "vm_list"};
}

label_list bucket_roles()
{
    return {"held", "owned", "awaited", "standby"};
}

label_list bucket_moves()
{
    return {"handed_over", "received", "taken_over"};
}

// A packet is dropped by a decision of the balancer, because it can't be
// parsed, or by the kernel at the UDP socket.
label_list packet_drop_reasons()
{
    label_list all = names<discard_reason>();
    for (const reject_reason_row& row : reject_reason_rows)
    {
        all.emplace_back(row.name);
    }
    for (const socket_count_row& row : socket_drop_rows)
    {
        all.emplace_back(row.name);
    }
    return all;
}

// The rings of control input to the decide and configuration threads are
// exported as one sum.
label_list ring_names()
{
    return {"control"};
}

label_list message_drop_reasons()
{
    label_list all;
    for (std::size_t i = 0; i < drop_reason_count; ++i)
    {
        all.emplace_back(to_string(static_cast<drop_reason>(i)));
    }
    return all;
}

label_list severities()
{
    return {severity_names().begin(), severity_names().end()};
}

const std::array definitions{
    metric_definition{"catkinkeel_build_info", gauge, "", &s::build_info,
                      "release", releases, "1 for the release of this daemon."},
    metric_definition{"catkinkeel_start_time_seconds", gauge, "s",
                      &s::start_time_seconds, "", nullptr,
                      "Unix time at which the daemon started."},
    metric_definition{
        "catkinkeel_set_version", gauge, "", &s::set_version, "", nullptr,
        "Version of the published set in effect; 0 before the first."},
    metric_definition{"catkinkeel_set_in_effect_timestamp_seconds", gauge, "s",
                      &s::set_in_effect_timestamp_seconds, "", nullptr,
                      "Unix time at which the set in effect took effect here."},
    metric_definition{
        "catkinkeel_set_refused_version", gauge, "", &s::set_refused_version,
        "", nullptr,
        "Version of the last set that was refused; 0 if none was."},
    metric_definition{"catkinkeel_sets_refused_total", counter, "",
                      &s::sets_refused, "", nullptr,
                      "Sets refused by the validation."},
    metric_definition{"catkinkeel_sets_older_ignored_total", counter, "",
                      &s::sets_older_ignored, "", nullptr,
                      "Indexes ignored because a newer set is in effect."},
    metric_definition{
        "catkinkeel_platform_up", gauge, "", &s::platform_up, "service",
        platform_services,
        "1 if the last request to the platform's service was answered."},
    metric_definition{"catkinkeel_vm_list_age_seconds", gauge, "s",
                      &s::vm_list_age_seconds, "", nullptr,
                      "Age of the platform's list of VMs."},
    metric_definition{"catkinkeel_members", gauge, "", &s::members, "state",
                      names<liveness>, "Entry VMs in the member view."},
    metric_definition{"catkinkeel_data_centres", gauge, "", &s::data_centres,
                      "wish", names<data_centre_wish>,
                      "Data centres of the set in effect."},
    metric_definition{"catkinkeel_targets", gauge, "", &s::targets, "state",
                      names<admission_limit_reason>,
                      "Targets of the set in effect as this daemon sees them."},
    metric_definition{"catkinkeel_buckets", gauge, "", &s::buckets, "role",
                      bucket_roles,
                      "Buckets by the part of this daemon in them."},
    metric_definition{"catkinkeel_may_open_flows", gauge, "",
                      &s::may_open_flows, "", nullptr,
                      "1 if this daemon may decide opening packets, 0 after a "
                      "pause or without peers."},
    metric_definition{"catkinkeel_flows", gauge, "", &s::flows, "", nullptr,
                      "Records in the flow table."},
    metric_definition{"catkinkeel_flow_capacity", gauge, "", &s::flow_capacity,
                      "", nullptr, "Records that the flow table can hold."},
    metric_definition{"catkinkeel_flows_opened_total", counter, "",
                      &s::flows_opened, "", nullptr,
                      "Flows placed on a target."},
    metric_definition{"catkinkeel_flows_refused_total", counter, "",
                      &s::flows_refused, "reason", names<refusal_reason>,
                      "Flows refused before a target saw them."},
    metric_definition{"catkinkeel_target_load_ratio", gauge, "ratio",
                      &s::target_load_ratio, "", nullptr,
                      "Flows of the busiest warm target relative to the mean "
                      "of its service, the highest of all services."},
    metric_definition{"catkinkeel_mixed_references", gauge, "",
                      &s::mixed_references, "", nullptr,
                      "References whose flows follow more than one service."},
    metric_definition{
        "catkinkeel_exceptions", gauge, "", &s::exceptions, "", nullptr,
        "Flows whose target differs from their base table entry."},
    metric_definition{"catkinkeel_replication_backlog", gauge, "",
                      &s::replication_backlog, "", nullptr,
                      "Exceptions that the standby has not acknowledged."},
    metric_definition{
        "catkinkeel_replication_oldest_seconds", gauge, "s",
        &s::replication_oldest_seconds, "", nullptr,
        "Age of the oldest exception that the standby has not acknowledged."},
    metric_definition{
        "catkinkeel_buckets_moved_total", counter, "", &s::buckets_moved,
        "move", bucket_moves,
        "Buckets handed over to, received from or taken over from another VM."},
    metric_definition{
        "catkinkeel_packets_received_total", counter, "", &s::packets_received,
        "", nullptr,
        "Packets received from the fabric and from other entry VMs."},
    metric_definition{"catkinkeel_packets_delivered_total", counter, "",
                      &s::packets_delivered, "", nullptr,
                      "Packets sent to targets."},
    metric_definition{"catkinkeel_packets_relayed_total", counter, "",
                      &s::packets_relayed, "", nullptr,
                      "Packets sent to other entry VMs."},
    metric_definition{"catkinkeel_packets_dropped_total", counter, "",
                      &s::packets_dropped, "reason", packet_drop_reasons,
                      "Packets dropped."},
    metric_definition{"catkinkeel_ring_refused_total", counter, "",
                      &s::ring_refused, "ring", ring_names,
                      "Entries that a full ring refused."},
    metric_definition{"catkinkeel_control_sent_bytes_total", counter, "B",
                      &s::control_sent_bytes, "", nullptr,
                      "Control traffic sent to other entry VMs."},
    metric_definition{"catkinkeel_control_received_bytes_total", counter, "B",
                      &s::control_received_bytes, "", nullptr,
                      "Control traffic received from other entry VMs."},
    metric_definition{"catkinkeel_control_budget_bytes", gauge, "B",
                      &s::control_budget_bytes, "", nullptr,
                      "Control traffic that the daemon may send in a second."},
    metric_definition{"catkinkeel_messages_dropped_total", counter, "",
                      &s::messages_dropped, "reason", message_drop_reasons,
                      "Messages of other entry VMs dropped."},
    metric_definition{"catkinkeel_process_pauses_total", counter, "",
                      &s::process_pauses, "", nullptr,
                      "Gaps of more than 1 s in the daemon's clock."},
    metric_definition{
        "catkinkeel_events_total", counter, "", &s::events, "severity",
        severities,
        "Events, whether logged or held back by the limit on repeats."},
};

prometheus::ClientMetric sample(const metric_definition& row, double value)
{
    prometheus::ClientMetric metric;
    (row.kind == counter ? metric.counter.value : metric.gauge.value) = value;
    return metric;
}

std::vector<prometheus::ClientMetric> samples(const metric_definition& row,
                                              const metrics_snapshot& snapshot)
{
    if (const auto* single_value =
            std::get_if<double metrics_snapshot::*>(&row.snapshot_field))
    {
        return {sample(row, snapshot.*(*single_value))};
    }
    const labelled_values& values_by_label =
        snapshot.*
        std::get<labelled_values metrics_snapshot::*>(row.snapshot_field);
    std::vector<prometheus::ClientMetric> all;
    for (const std::string& value : row.label_values())
    {
        const auto found = values_by_label.find(value);
        all.push_back(
            sample(row, found == values_by_label.end() ? 0 : found->second));
        all.back().label.push_back({std::string(row.label), value});
    }
    return all;
}

} // namespace

std::span<const metric_definition> metric_definitions()
{
    return definitions;
}

std::vector<prometheus::MetricFamily>
collect_metrics(const metrics_snapshot& snapshot)
{
    std::vector<prometheus::MetricFamily> families;
    families.reserve(definitions.size());
    for (const metric_definition& row : definitions)
    {
        families.push_back({std::string(row.name), std::string(row.help),
                            row.kind == counter
                                ? prometheus::MetricType::Counter
                                : prometheus::MetricType::Gauge,
                            samples(row, snapshot)});
    }
    return families;
}

std::string metrics_text(const metrics_snapshot& snapshot)
{
    std::ostringstream text;
    prometheus::TextSerializer().Serialize(text, collect_metrics(snapshot));
    return text.str();
}

text_table metrics_table()
{
    text_table table{
        .header = {"name", "type", "unit", "label", "label values", "meaning"},
        .rows = {}};
    for (const metric_definition& row : definitions)
    {
        std::string listed_values;
        if (row.label_values == releases)
        {
            listed_values = "the release";
        }
        else if (row.label_values != nullptr)
        {
            for (const std::string& value : row.label_values())
            {
                listed_values += (listed_values.empty() ? "" : ", ") + value;
            }
        }
        table.rows.push_back({std::string(row.name),
                              row.kind == counter ? "counter" : "gauge",
                              std::string(row.unit), std::string(row.label),
                              listed_values, std::string(row.help)});
    }
    return table;
}

std::string metrics_markdown()
{
    std::size_t series = 0;
    for (const auto& family : collect_metrics({}))
    {
        series += family.metric.size();
    }
    return "# Metrics\n\n"
           "Generated by `catkinkeel metrics --markdown`; do not edit.\n\n"
           "`GET /metrics` on the operators' HTTP endpoint answers in the "
           "Prometheus text\nformat. A daemon exports " +
           std::to_string(series) +
           " series, whatever the number of services, targets\nand VMs. "
           "`samples/alerts.yml` has alerting rules.\n\n" +
           to_markdown(metrics_table());
}

} // namespace catkinkeel
