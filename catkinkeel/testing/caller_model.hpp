#pragma once

// Callers that open flows, send packets and notice when one of them reaches the
// wrong place.

#include "catkinkeel/testing/packet_carrier.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace catkinkeel::testing
{

/// What callers have seen.
struct caller_counts
{
    std::uint64_t opened = 0;
    std::uint64_t refused = 0;
    /// New flows whose opening packet, or its repetition within 1 s, reached a
    /// target.
    std::uint64_t served_within_1s = 0;
    std::uint64_t never_served = 0;
    /// Flows with a packet at another target than their first.
    std::uint64_t broken = 0;
    /// Packets at a target of another service than the flow's.
    std::uint64_t misdirected = 0;
    /// Broken flows that had been open for 5 s when they were last marked.
    std::uint64_t broken_settled = 0;
    std::uint64_t packets = 0;
    std::uint64_t packets_lost = 0;

    friend auto operator<=>(const caller_counts&,
                            const caller_counts&) = default;
};

struct open_flow
{
    packet_facts facts;
    service_id service;
    std::optional<target_id> target;
    instant opened_at{};
    instant retry_at{};
    bool broken = false;
    /// A packet reached a target of another service.
    bool wrong_service = false;
    /// Refused, or given up by its caller.
    bool over = false;
};

/// Drives flows of one public address through a carrier. All times are the
/// carrier's.
class caller_model
{
public:
    /// `service_of` tells the service of a target.
    caller_model(packet_carrier& carrier, endpoint public_endpoint,
                 std::function<service_id(target_id)> service_of,
                 std::uint32_t caller_base = 0x0a000000);

    /// Opens `count` flows now. `service` is the one the callers mean; with
    /// none, the first target decides it (while a reference moves).
    void open(std::uint32_t count, std::optional<service_id> service);

    /// Sends one packet of each open flow, repeats unanswered openings.
    void send_all();

    /// Sends one packet of a random part of the flows.
    void send_some(double part);

    /// Ends a random part of the flows with FIN.
    void close_some(double part);

    /// Gives up flows for which `given_up(target)`.
    void give_up(const std::function<bool(target_id)>& given_up);

    [[nodiscard]] const caller_counts& counts() const
    {
        return counts_;
    }
    [[nodiscard]] std::size_t open_flows() const
    {
        return flows_.size();
    }
    [[nodiscard]] const std::vector<open_flow>& flows() const
    {
        return flows_;
    }
    [[nodiscard]] std::map<target_id, std::uint32_t> flows_by_target() const;

    /// Flows open for 5 s by now count as settled from here on.
    void mark_settled()
    {
        settled_at_ = carrier_.now();
    }

private:
    void send_one(open_flow& flow);
    void attempt_opening(open_flow& flow);
    void forget_finished();

    packet_carrier& carrier_;
    endpoint public_endpoint_;
    std::function<service_id(target_id)> service_of_;
    std::vector<open_flow> flows_;
    std::uint32_t next_caller_;
    std::optional<instant> settled_at_;
    caller_counts counts_;
};

} // namespace catkinkeel::testing
