#pragma once

// Snapshots that the daemon's threads publish for the operators' HTTP server,
// and the status and metrics documents made from them.
//
// The decide thread decides for each packet whether to forward, refuse or drop
// it (decider.hpp). The peers thread maintains the member view
// (peers_duty.hpp). The configuration thread determines the published set in
// effect (configuration_duty.hpp).

#include "catkinkeel/base/byte_count.hpp"
#include "catkinkeel/base/published_value.hpp"
#include "catkinkeel/flow/balancer.hpp"
#include "catkinkeel/link/drop.hpp"
#include "catkinkeel/operators/documents.hpp"
#include "catkinkeel/operators/metrics.hpp"
#include "catkinkeel/packet/udp_socket.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace catkinkeel
{

/// State of the decide thread. Counts of packets, refusals and pauses are
/// totals since the start.
struct decide_snapshot
{
    /// Version of the published set that the balancer uses; 0 if there is none.
    set_version version_in_effect;
    balancer_stats stats;
    std::uint64_t flow_capacity = 0;
    bucket_status buckets;
    std::vector<data_centre_status> data_centres;
    std::vector<target_view> targets;
    std::vector<reason_count> flows_refused;
    std::vector<reason_count> packets_dropped;
    std::uint64_t packets_received = 0;
    /// Packets sent to targets.
    std::uint64_t packets_delivered = 0;
    /// Packets sent to other entry VMs.
    std::uint64_t packets_relayed = 0;
    /// Flows of the busiest warm target of a service divided by the mean of its
    /// warm targets; the maximum over all services. A target is warm if its
    /// limit has the reason `admission_limit_reason::warm`.
    double target_load_ratio = 0;
    /// Age of the oldest exception whose replication is not acknowledged.
    duration oldest_replication_age{};
    bool may_open_flows = false;
    /// Times that over 1 s passed between two iterations of the decide thread.
    std::uint64_t process_pauses = 0;
};

/// State of the peers thread.
struct peers_snapshot
{
    std::vector<member_status> members;
    /// Age of the platform's list of VMs.
    std::optional<duration> vm_list_age;
    byte_count sent_bytes;
    byte_count sent_bytes_last_minute;
    byte_count received_bytes;
    byte_count received_bytes_last_minute;
    std::vector<reason_count> dropped_messages;
};

/// State of the configuration thread.
struct configuration_snapshot
{
    set_status set;
    std::uint64_t sets_refused = 0;
    std::uint64_t older_sets_ignored = 0;
};

/// The latest snapshots, and values that several threads share.
struct status_board
{
    published_value<decide_snapshot> latest_decide_snapshot;
    published_value<peers_snapshot> latest_peers_snapshot;
    published_value<configuration_snapshot> latest_configuration_snapshot;
    /// Written by the peers thread. `index_watcher` determines from it whether
    /// this VM is to read the configuration service; `entry_daemon::shut_down`
    /// determines from it whether another VM may take over the buckets.
    published_value<member_view> latest_view;
    /// Version of the published set that the configuration thread has put into
    /// effect; 0 if there is none.
    std::atomic<std::uint64_t> version_in_effect{0};
    /// Set when a shutdown starts; `/readyz` then reports not ready.
    std::atomic<bool> shutting_down{false};
    /// Whether at the last decide snapshot this VM held exactly the buckets
    /// that it owns, each of them confirmed. No thread reads it: a shutdown
    /// waits for the number of held buckets in the decide snapshot.
    std::atomic<bool> holdings_settled{false};
    /// When the last packet batch was handled, in nanoseconds of the monotonic
    /// clock.
    std::atomic<std::int64_t> last_packet_at{0};
    /// Whether the last read of the index of the configuration service
    /// succeeded; false before the first one.
    std::atomic<bool> configuration_reachable{false};
    /// Whether the platform's list of VMs was read and parsed at the last
    /// attempt; false before the first one.
    std::atomic<bool> vm_list_reachable{false};
    /// Number of inputs that the rings of the decide and configuration threads
    /// refused because they were full or closed.
    std::atomic<std::uint64_t> control_inputs_refused{0};
};

/// Constant properties of the daemon that documents contain.
struct daemon_info
{
    vm_id vm;
    std::string name;
    data_centre_id data_centre;
    wall_time started_at;
    /// Bytes per second that this VM may send to its peers, as a mean over each
    /// minute.
    byte_count control_budget_per_second;
};

status_document make_status(const status_board& board, const daemon_info& info,
                            wall_time now);

metrics_snapshot make_metrics(const status_board& board,
                              const daemon_info& info);

} // namespace catkinkeel
