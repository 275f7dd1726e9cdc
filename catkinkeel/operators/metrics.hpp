#pragma once

// The metrics that a daemon exports to Prometheus. Their definitions are also
// used for docs/metrics.md and for the check of samples/alerts.yml.

#include "catkinkeel/base/text_table.hpp"

#include <prometheus/metric_family.h>

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace catkinkeel
{

/// Values of one metric, keyed by the value of its only label.
using labelled_values = std::map<std::string, double, std::less<>>;

/// Values of all metrics at one time. The daemon fills it for each scrape. All
/// values are doubles, as in the Prometheus data model. A counter counts since
/// the process started; the others are gauges. `metric_definitions` has the
/// kind, unit, label values and help text of each.
struct metrics_snapshot
{
    /// 1, by release.
    labelled_values build_info;
    /// Unix time.
    double start_time_seconds = 0;

    /// Version of the published set in effect; 0 if there is none.
    double set_version = 0;
    /// Unix time at which this daemon began to apply the set in effect.
    double set_in_effect_timestamp_seconds = 0;
    /// Version of the last set that failed the validation; 0 if there is none.
    double set_refused_version = 0;
    /// Counters: sets that failed the validation, and sets ignored because a
    /// newer one is in effect.
    double sets_refused = 0;
    double sets_older_ignored = 0;
    /// 1 if the last request to the platform's service was answered, else 0; by
    /// service ("configuration" or "vm_list").
    labelled_values platform_up;
    /// Age of the platform's list of entry VMs; 0 also if there is no list.
    double vm_list_age_seconds = 0;

    /// Entry VMs in the member view, by `liveness`.
    labelled_values members;
    /// Data centres of the set in effect, by `data_centre_wish`.
    labelled_values data_centres;
    /// Targets of the set in effect, by `admission_limit_reason`.
    labelled_values targets;
    /// Buckets, by role of this daemon; see `bucket_status`.
    labelled_values buckets;
    /// 1 if this daemon may place new flows, else 0.
    double may_open_flows = 0;

    /// Current and maximum number of records in the flow table.
    double flows = 0;
    double flow_capacity = 0;
    /// Counters: flows placed on a target, and flows refused by
    /// `refusal_reason`.
    double flows_opened = 0;
    labelled_values flows_refused;
    /// Flows on the busiest warm target of a service divided by the mean of the
    /// service's warm targets; the highest ratio of all services. Counts flows
    /// of this daemon only. 0 without such flows.
    double target_load_ratio = 0;
    /// See `flow_status`.
    double mixed_references = 0;

    /// See `flow_status`.
    double exceptions = 0;
    /// Exceptions that their standby has not acknowledged, and the age of the
    /// oldest of them.
    double replication_backlog = 0;
    double replication_oldest_seconds = 0;
    /// Counter of buckets, by "handed_over" to their owner, "received" from
    /// their former holder and "taken_over" from a VM that died.
    labelled_values buckets_moved;

    /// Counters of packets: received in all, delivered to targets, relayed to
    /// other entry VMs, and dropped by reason.
    double packets_received = 0;
    double packets_delivered = 0;
    double packets_relayed = 0;
    labelled_values packets_dropped;
    /// Counter of entries that a full ring between two threads refused, by
    /// ring.
    labelled_values ring_refused;

    /// Counters of control traffic with other entry VMs.
    double control_sent_bytes = 0;
    double control_received_bytes = 0;
    /// Bytes of control traffic that this daemon may send per second.
    double control_budget_bytes = 0;
    /// Counter of control messages dropped, by reason.
    labelled_values messages_dropped;

    /// Counter of gaps in the daemon's clock, that is of times when the process
    /// did not run (event `process_paused`).
    double process_pauses = 0;
    /// Counter of events, by severity, including those suppressed in the log.
    /// This release does not fill it.
    labelled_values events;

    friend bool operator==(const metrics_snapshot&,
                           const metrics_snapshot&) = default;
};

enum class metric_kind : std::uint8_t
{
    counter,
    gauge
};

/// Definition of one metric.
struct metric_definition
{
    std::string_view name;
    metric_kind kind;
    /// "s", "B", "ratio", or empty for a number of things or a flag.
    std::string_view unit;
    /// Where the snapshot has the value or values of the metric.
    std::variant<double metrics_snapshot::*,
                 labelled_values metrics_snapshot::*>
        snapshot_field;
    /// Name of the label; empty for a metric with one series.
    std::string_view label;
    /// Returns all values of the label; null for a metric with one series. A
    /// value that is not listed is not exported, so the number of series is
    /// bounded.
    std::vector<std::string> (*label_values)();
    std::string_view help;
};

std::span<const metric_definition> metric_definitions();

/// Returns one family with all its series for each definition, in the order of
/// the definitions. A listed label value that is missing from the snapshot is
/// exported as 0.
std::vector<prometheus::MetricFamily>
collect_metrics(const metrics_snapshot& snapshot);

/// Returns the snapshot in the Prometheus text format, for GET /metrics.
std::string metrics_text(const metrics_snapshot& snapshot);

/// Returns the definitions as the table of docs/metrics.md.
text_table metrics_table();

/// Returns the content of docs/metrics.md.
std::string metrics_markdown();

} // namespace catkinkeel
