#pragma once

// Where the daemon's threads leave snapshots of their state for the operators'
// HTTP.

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
    balancer_stats flows;
    std::uint64_t flow_capacity = 0;
    bucket_status buckets;
    std::vector<data_centre_status> data_centres;
    std::vector<target_view> targets;
    std::vector<reason_count> refused;
    std::vector<reason_count> dropped;
    std::uint64_t received = 0;
    std::uint64_t delivered = 0;
    std::uint64_t relayed = 0;
    double target_load_ratio = 0;
    duration replication_oldest{};
    bool may_open = false;
    std::uint64_t pauses = 0;
};

/// State of the peers thread.
struct peers_snapshot
{
    std::vector<member_status> members;
    std::optional<duration> list_age;
    byte_count sent;
    byte_count sent_last_minute;
    byte_count received;
    byte_count received_last_minute;
    std::vector<reason_count> dropped_messages;
};

/// State of the configuration threads.
struct configuration_snapshot
{
    set_status set;
    std::uint64_t refused = 0;
    std::uint64_t older_ignored = 0;
};

/// All snapshots, and values that several threads need at once.
struct status_board
{
    published_value<decide_snapshot> decide;
    published_value<peers_snapshot> peers;
    published_value<configuration_snapshot> configuration;
    /// View of the peers thread, for the threads that choose readers by it.
    published_value<member_view> view;
    std::atomic<std::uint64_t> in_effect{0};
    std::atomic<bool> shutting_down{false};
    /// Nothing is held here any more that another VM owns.
    std::atomic<bool> holdings_settled{false};
    std::atomic<std::int64_t> last_packet_at{0};
    std::atomic<bool> configuration_up{false};
    std::atomic<bool> vm_list_up{false};
    std::atomic<std::uint64_t> control_refused{0};
};

/// The daemon's identity and start, for documents.
struct daemon_facts
{
    vm_id vm;
    std::string name;
    data_centre_id data_centre;
    wall_time started_at;
    byte_count control_budget;
};

status_document make_status(const status_board& board,
                            const daemon_facts& facts, wall_time now);

metrics_snapshot make_metrics(const status_board& board,
                              const daemon_facts& facts);

} // namespace catkinkeel
