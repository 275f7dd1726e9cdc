#pragma once

// Snapshots that the daemon's threads publish for the operators' HTTP server,
// and the status and metrics documents made from them.

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

/// State of the decide thread.
struct decide_snapshot
{
    set_version in_effect;
    balancer_stats stats;
    std::uint64_t flow_capacity = 0;
    bucket_status buckets;
    std::vector<data_centre_status> data_centres;
    std::vector<target_view> targets;
    std::vector<reason_count> flows_refused;
    std::vector<reason_count> packets_dropped;
    std::uint64_t packets_received = 0;
    std::uint64_t packets_delivered = 0;
    std::uint64_t packets_relayed = 0;
    /// Flows of the busiest warm target of a service divided by the mean of its
    /// warm targets; the maximum over all services.
    double target_load_ratio = 0;
    /// Age of the oldest exception that waits for replication.
    duration replication_oldest{};
    bool may_open_flows = false;
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
    published_value<decide_snapshot> decide;
    published_value<peers_snapshot> peers;
    published_value<configuration_snapshot> configuration;
    /// The member view, for the thread that selects the readers of the
    /// configuration service and for the shutdown.
    published_value<member_view> view;
    /// Version of the published set in effect; 0 if there is none.
    std::atomic<std::uint64_t> in_effect{0};
    std::atomic<bool> shutting_down{false};
    /// `balancer::holdings_settled` at the time of the last snapshot.
    std::atomic<bool> holdings_settled{false};
    /// When the last packet batch was handled, in nanoseconds of the monotonic
    /// clock.
    std::atomic<std::int64_t> last_packet_at{0};
    std::atomic<bool> configuration_up{false};
    std::atomic<bool> vm_list_up{false};
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
    byte_count control_budget;
};

status_document make_status(const status_board& board, const daemon_info& info,
                            wall_time now);

metrics_snapshot make_metrics(const status_board& board,
                              const daemon_info& info);

} // namespace catkinkeel
