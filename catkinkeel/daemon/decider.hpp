#pragma once

// The decide thread: takes packet batches and control inputs, asks the balancer
// and the target registry, and carries their verdicts out.

#include "catkinkeel/daemon/inputs.hpp"
#include "catkinkeel/daemon/reporter.hpp"
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

/// What the decide thread works with. Shared with the other threads.
struct decider_parts
{
    std::shared_ptr<batch_queue> packets;
    std::shared_ptr<decide_ring> inputs;
    std::shared_ptr<report_ring> reports;
    std::shared_ptr<udp_socket> socket;
    std::shared_ptr<transport> link;
    std::shared_ptr<status_board> board;
    std::shared_ptr<reporter> events;
};

/// All functions run on the decide thread.
class decider
{
public:
    decider(const daemon_settings& settings, decider_parts parts);

    /// Runs until the packet queue is closed.
    void run();

private:
    /// How one alternative of `decide_input` is handled.
    template <class T>
    using handler = void (decider::*)(const T&, instant);

    void handle_packets(const packet_batch& batch, instant now);
    void carry_out(const parsed_packet& packet, const verdict& decided);
    void flush();
    void handle_inputs(instant now);
    void handle(const view_changed& input, instant now);
    void handle(const set_changed& input, instant now);
    void handle(const flow_message_received& input, instant now);
    void handle(const target_update_received& input, instant now);
    void handle(const report_read& input, instant now);
    void handle(const standing_changed& input, instant now);
    void handle(const explain_requested& input, instant now);
    void handle(const clock_tick& input, instant now);
    void notice_pause(instant now);
    void send_flow_messages(instant now);
    void send_target_updates(instant now);
    void order_reports(instant now);

    // decider_snapshot.cpp
    void publish_snapshot(instant now);
    [[nodiscard]] std::vector<target_view> view_targets(instant now);
    [[nodiscard]] bucket_status view_buckets() const;
    [[nodiscard]] std::vector<data_centre_status> view_data_centres() const;
    void report_counters(const decide_snapshot& shown);
    void report_reasons(event_number number,
                        const std::vector<reason_count>& counts,
                        std::map<std::string, std::uint64_t>& last);
    void report_target_changes(const std::vector<target_view>& targets);

    daemon_settings settings_;
    decider_parts parts_;
    target_registry targets_;
    balancer core_;
    member_view view_;
    outgoing_batch out_;
    reject_counters rejected_;
    std::map<discard_reason, std::uint64_t> discarded_;
    std::map<refusal_reason, std::uint64_t> refused_;
    std::uint64_t received_ = 0;
    std::uint64_t delivered_ = 0;
    std::uint64_t relayed_ = 0;
    std::uint64_t pauses_ = 0;
    bool may_open_ = false;
    std::optional<instant> last_turn_;
    std::optional<instant> last_messages_;
    std::optional<instant> last_snapshot_;
    /// Bytes that replication and handovers may still send.
    double flow_budget_ = 0;
    std::map<target_id, admission_limit_reason> last_reasons_;
    balancer_stats last_stats_;
    std::map<std::string, std::uint64_t> last_refused_;
    std::map<std::string, std::uint64_t> last_dropped_;
};

} // namespace catkinkeel
