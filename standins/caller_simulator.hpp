#pragma once

// Simulates callers and the network fabric: callers open TCP flows, the fabric
// sends each packet to a random entry VM, and targets reply to the callers.

#include "catkinkeel/base/address.hpp"
#include "catkinkeel/base/identifier.hpp"
#include "catkinkeel/base/random.hpp"
#include "catkinkeel/base/time.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace catkinkeel
{

/// Flow counts as observed by the callers.
struct caller_counts
{
    std::uint64_t opened = 0;
    std::uint64_t answered = 0;
    std::uint64_t answered_within_1s = 0;
    std::uint64_t refused = 0;
    /// Flows that received a reply from a target other than their first one.
    std::uint64_t broken = 0;
    /// Replies from a target of a service other than the flow's.
    std::uint64_t misdirected = 0;
    /// Flows that received a reply once, but none to their latest packets.
    std::uint64_t unresponsive = 0;

    friend auto operator<=>(const caller_counts&,
                            const caller_counts&) = default;
};

/// Starts no thread: all work is done in `poll`, on the calling thread.
class caller_simulator
{
public:
    using service_lookup = std::function<service_id(target_id)>;

    /// Returns null if `egress` cannot be bound.
    static std::unique_ptr<caller_simulator>
    start(std::vector<endpoint> entry_vms, const endpoint& egress,
          service_lookup service_of, std::uint64_t seed);
    ~caller_simulator();
    caller_simulator(const caller_simulator&) = delete;
    caller_simulator& operator=(const caller_simulator&) = delete;

    /// Opens `count` flows to a public endpoint. If `expected_service` is set,
    /// even the first reply counts as misdirected if it comes from another
    /// service; otherwise the first reply determines the flow's service.
    void open(const endpoint& public_endpoint, std::uint32_t count,
              std::optional<service_id> expected_service, instant now);

    /// Receives the replies that have arrived and sends the packets that are
    /// due.
    void poll(instant now);

    /// Returns the counts at `now`. Flows without a reply to their last three
    /// packets count as unresponsive.
    [[nodiscard]] caller_counts counts(instant now) const;
    [[nodiscard]] std::map<target_id, std::uint32_t> flows_by_target() const;

private:
    struct flow
    {
        endpoint caller;
        endpoint public_endpoint;
        std::optional<service_id> service;
        std::optional<target_id> target;
        instant open_time;
        instant next_send_time;
        instant last_reply_time;
        bool broken = false;
        bool closed = false;
    };

    caller_simulator(int socket, std::vector<endpoint> entry_vms,
                     service_lookup service_of, std::uint64_t seed);
    void send(const flow& caller_flow);
    void receive(instant now);
    void handle_packet(const std::uint8_t* data, std::uint32_t size,
                       instant now);
    void handle_reply(flow& caller_flow, target_id target, instant now);

    int socket_;
    std::vector<endpoint> entry_vms_;
    service_lookup service_of_;
    random_source random_;
    std::vector<flow> flows_;
    caller_counts counts_;
};

} // namespace catkinkeel
