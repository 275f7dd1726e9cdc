#pragma once

// The decide thread, the only one that uses the balancer and the target
// registry. It takes packet batches and control inputs, forwards, refuses or
// drops each packet as the balancer decides, and sends the messages of the
// balancer and of the target registry to other VMs.

#include "catkinkeel/daemon/event_reporter.hpp"
#include "catkinkeel/daemon/inputs.hpp"
#include "catkinkeel/daemon/status_board.hpp"
#include "catkinkeel/flow/balancer.hpp"
#include "catkinkeel/link/transport.hpp"
#include "catkinkeel/packet/batch_queue.hpp"
#include "catkinkeel/packet/udp_socket.hpp"
#include "catkinkeel/settings/settings.hpp"
#include "catkinkeel/target/target_registry.hpp"

#include <array>
#include <map>
#include <memory>
#include <optional>

namespace catkinkeel
{

/// Objects that the decide thread shares with the other threads.
struct decider_dependencies
{
    std::shared_ptr<batch_queue> packets;
    std::shared_ptr<decide_ring> inputs;
    std::shared_ptr<load_report_ring> load_report_requests;
    std::shared_ptr<udp_socket> socket;
    std::shared_ptr<transport> link;
    std::shared_ptr<status_board> board;
    std::shared_ptr<event_reporter> events;
};

/// All functions run on the decide thread.
class decider
{
public:
    decider(const daemon_settings& settings, decider_dependencies dependencies);

    /// Runs until the packet queue is closed.
    void run();

private:
    /// Handler of one alternative of `decide_input`.
    template <class T>
    using handler = void (decider::*)(const T&, instant);

    void handle_packets(const packet_batch& batch, instant now);
    /// Forwards, refuses or drops the packet. Datagrams are sent in batches.
    void apply_verdict(const parsed_packet& packet, const verdict& decision);
    /// Sends the datagrams collected in `outgoing_`.
    void flush();
    void handle_inputs(instant now);
    void handle(const view_changed& input, instant now);
    void handle(const set_changed& input, instant now);
    void handle(const flow_message_received& input, instant now);
    void handle(const target_update_received& input, instant now);
    void handle(const load_report_read& input, instant now);
    void handle(const permissions_changed& input, instant now);
    void handle(const explain_requested& input, instant now);
    void handle(const clock_tick& input, instant now);
    /// If over 1 s has passed since the previous iteration, stops opening flows
    /// until the peers thread permits it again, and has the balancer claim its
    /// buckets again.
    void detect_pause(instant now);
    void send_flow_messages(instant now);
    void send_target_updates(instant now);
    void request_load_reports(instant now);

    // decider_snapshot.cpp
    void publish_snapshot(instant now);
    [[nodiscard]] std::vector<target_view> make_target_views(instant now);
    [[nodiscard]] bucket_status make_bucket_status() const;
    [[nodiscard]] std::vector<data_centre_status>
    make_data_centre_statuses() const;
    void report_counter_events(const decide_snapshot& snapshot);
    void report_reason_counts(event_number number,
                              const std::vector<reason_count>& counts,
                              std::map<std::string, std::uint64_t>& last);
    void report_target_changes(const std::vector<target_view>& targets);

    daemon_settings settings_;
    decider_dependencies dependencies_;
    target_registry targets_;
    balancer balancer_;
    member_view view_;
    outgoing_batch outgoing_;
    reject_counters rejected_datagrams_;
    std::map<discard_reason, std::uint64_t> discarded_by_reason_;
    std::map<refusal_reason, std::uint64_t> refused_by_reason_;
    std::uint64_t received_packets_ = 0;
    std::uint64_t delivered_packets_ = 0;
    std::uint64_t relayed_packets_ = 0;
    std::uint64_t process_pauses_ = 0;
    bool may_open_flows_ = false;
    std::optional<instant> last_iteration_at_;
    std::optional<instant> last_flow_messages_at_;
    std::optional<instant> last_snapshot_at_;
    /// Bytes that replication and handovers may send now. Other flow messages
    /// are charged too but never limited, so that it may be negative.
    double flow_budget_ = 0;
    std::map<target_id, admission_limit_reason> last_limit_reasons_;
    balancer_stats last_balancer_stats_;
    std::map<std::string, std::uint64_t> last_refused_counts_;
    std::map<std::string, std::uint64_t> last_dropped_counts_;
};

} // namespace catkinkeel
