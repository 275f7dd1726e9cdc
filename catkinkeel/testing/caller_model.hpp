#pragma once

// Model of callers that open flows, send packets and check that each packet of
// a flow reaches the same target.

#include "catkinkeel/testing/packet_forwarder.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace catkinkeel::testing
{

/// Counters of the flows and packets of all callers.
struct caller_counts
{
    std::uint64_t opened = 0;
    std::uint64_t refused = 0;
    /// Flows whose opening packet, or a retransmission at most 1 s later,
    /// reached a target.
    std::uint64_t served_within_1s = 0;
    /// Flows given up because no opening packet reached a target within 15 s.
    std::uint64_t never_served = 0;
    /// Flows of which a packet reached another target than the first one.
    std::uint64_t broken = 0;
    /// Packets that reached a target of another service than that of the flow.
    std::uint64_t misdirected = 0;
    /// Settled flows among those in `broken`: their first SYN was sent at least
    /// 5 s before the last `mark_settled`, and they broke after it.
    std::uint64_t broken_settled = 0;
    std::uint64_t packets = 0;
    std::uint64_t packets_lost = 0;

    friend auto operator<=>(const caller_counts&,
                            const caller_counts&) = default;
};

/// A flow from its first SYN until it is closed, refused or abandoned. It is
/// open while it has a target.
struct simulated_flow
{
    packet_facts facts;
    service_id service;
    /// The target that the SYN reached; empty while no SYN has reached one.
    std::optional<target_id> target;
    /// Time of the first SYN, also if a retransmission opened the flow.
    instant first_syn_at{};
    /// Time of the next SYN while the flow has no target.
    instant retry_at{};
    bool broken = false;
    /// An established packet reached a target of another service.
    bool wrong_service = false;
    /// The opening was refused or has timed out.
    bool finished = false;
};

/// Generates the flows of callers to one public address and sends their packets
/// through the balancers. All times are on the clock of the balancers.
class caller_model
{
public:
    /// `service_of` returns the service of a target. The callers have
    /// consecutive addresses from `first_caller_address` on.
    caller_model(packet_forwarder& balancers, endpoint public_endpoint,
                 std::function<service_id(target_id)> service_of,
                 std::uint32_t first_caller_address = 0x0a000000);

    /// Sends the first SYN of `count` flows. A flow whose SYN is lost remains
    /// without a target until a retransmission reaches one. `service` is the
    /// expected service; if empty,
    /// as while a reference moves, it is the service of the first target.
    void open(std::uint32_t count, std::optional<service_id> service);

    /// Sends one packet on each flow that has a target. A flow without a target
    /// retransmits its SYN if that is due.
    void send_on_all_flows();

    /// Same as `send_on_all_flows`, but for a random selection of about
    /// `fraction` of the flows.
    void send_on_random_flows(double fraction);

    /// Closes about `fraction` of the flows that have a target, selected at
    /// random, with a FIN.
    void close_random_flows(double fraction);

    /// Removes the flows whose target satisfies `is_abandoned`. Their callers
    /// send neither FIN nor RST, so the balancers still hold these flows.
    void abandon_flows(const std::function<bool(target_id)>& is_abandoned);

    [[nodiscard]] const caller_counts& counts() const
    {
        return counts_;
    }
    /// Includes flows that wait for a target.
    [[nodiscard]] std::size_t open_flow_count() const
    {
        return flows_.size();
    }
    [[nodiscard]] const std::vector<simulated_flow>& flows() const
    {
        return flows_;
    }
    [[nodiscard]] std::map<target_id, std::uint32_t> flows_by_target() const;

    /// Starts the count of `broken_settled`: flows whose first SYN was sent at
    /// least 5 s ago count as settled, all others do not.
    void mark_settled()
    {
        settled_marked_at_ = balancers_.now();
    }

private:
    void send_on_flow(simulated_flow& flow);
    void send_opening_packet(simulated_flow& flow);
    void remove_finished_flows();

    packet_forwarder& balancers_;
    endpoint public_endpoint_;
    std::function<service_id(target_id)> service_of_;
    std::vector<simulated_flow> flows_;
    std::uint32_t next_caller_address_;
    std::optional<instant> settled_marked_at_;
    caller_counts counts_;
};

} // namespace catkinkeel::testing
