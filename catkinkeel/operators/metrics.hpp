#pragma once

// The metrics that a daemon exports to Prometheus, defined in one table that is
// also used for docs/metrics.md and for the check of samples/alerts.yml.

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

/// Metric values, keyed by label value.
using labelled_values = std::map<std::string, double, std::less<>>;

/// Values of all metrics at one time. The daemon fills it for each scrape.
/// Counters start at 0 with the process.
struct metrics_snapshot
{
    labelled_values build_info;
    double start_time_seconds = 0;

    double set_version = 0;
    double set_in_effect_timestamp_seconds = 0;
    double set_refused_version = 0;
    double sets_refused = 0;
    double sets_older_ignored = 0;
    labelled_values platform_up;
    double vm_list_age_seconds = 0;

    labelled_values members;
    labelled_values data_centres;
    labelled_values targets;
    labelled_values buckets;
    double may_open_flows = 0;

    double flows = 0;
    double flow_capacity = 0;
    double flows_opened = 0;
    labelled_values flows_refused;
    double target_load_ratio = 0;
    double mixed_references = 0;

    double exceptions = 0;
    double replication_backlog = 0;
    double replication_oldest_seconds = 0;
    labelled_values buckets_moved;

    double packets_received = 0;
    double packets_delivered = 0;
    double packets_relayed = 0;
    labelled_values packets_dropped;
    labelled_values ring_refused;

    double control_sent_bytes = 0;
    double control_received_bytes = 0;
    double control_budget_bytes = 0;
    labelled_values messages_dropped;

    double process_pauses = 0;
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
    std::string_view unit;
    std::variant<double metrics_snapshot::*,
                 labelled_values metrics_snapshot::*>
        member;
    /// Name of the label; empty for a metric with one series.
    std::string_view label;
    /// All values of the label; null for a metric with one series. A value that
    /// is not listed is not exported, so the number of series is bounded.
    std::vector<std::string> (*label_values)();
    std::string_view help;
};

std::span<const metric_definition> metric_definitions();

/// Returns every series in the order of the table. A listed label value that is
/// missing from the snapshot is exported as 0.
std::vector<prometheus::MetricFamily>
collect_metrics(const metrics_snapshot& snapshot);

/// Returns the snapshot in the Prometheus text format, for GET /metrics.
std::string metrics_text(const metrics_snapshot& snapshot);

/// Returns the table of docs/metrics.md.
text_table metrics_table();

/// Returns the content of docs/metrics.md.
std::string metrics_markdown();

} // namespace catkinkeel
