#pragma once

// Simulates callers. Each flow retransmits its opening packet, then sends one
// packet at a time and retransmits it until the target replies.

#include "catkinkeel/base/random.hpp"
#include "soak/backends.hpp"
#include "soak/invariant_checker.hpp"
#include "soak/plan.hpp"
#include "soak/router.hpp"
#include "soak/segment.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace catkinkeel::soak
{

class caller_flow;

class caller_simulator
{
public:
    /// `is_daemon_running` returns whether a daemon's process runs and is not
    /// paused. `has_targets_since` returns whether each service has a target
    /// that has been available since then.
    caller_simulator(boost::asio::io_context& context, const soak_plan& plan,
                     const router& packet_router, invariant_checker& checker,
                     std::function<bool(std::uint32_t)> is_daemon_running,
                     std::function<bool(instant)> has_targets_since);
    ~caller_simulator();

    /// Opens flows at the plan's rate until `stop`. Open flows continue after
    /// `stop`.
    void start();
    void stop();

    /// Sets the references to which new flows are opened.
    void set_references(std::vector<endpoint> references)
    {
        references_ = std::move(references);
    }

    [[nodiscard]] const flow_target_map& flow_targets() const
    {
        return flow_targets_;
    }
    [[nodiscard]] bool has_no_flows() const
    {
        return flows_.empty();
    }

private:
    friend class caller_flow;

    void open_next_flow();
    void receive();
    /// Returns the daemon that the packet was sent to, if it runs and is in
    /// rotation.
    std::optional<std::uint32_t> send(const segment& packet);
    void remove_flow(const endpoint& caller);

    boost::asio::io_context& context_;
    const soak_plan& plan_;
    const router& router_;
    invariant_checker& checker_;
    std::function<bool(std::uint32_t)> is_daemon_running_;
    std::function<bool(instant)> has_targets_since_;
    random_source random_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint sender_;
    std::array<unsigned char, 2048> buffer_{};
    boost::asio::steady_timer timer_;
    std::vector<endpoint> references_;
    std::map<endpoint, std::shared_ptr<caller_flow>> flows_;
    flow_target_map flow_targets_;
    std::uint16_t next_caller_port_;
    bool stopping_ = false;
};

} // namespace catkinkeel::soak
