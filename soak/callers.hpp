#pragma once

// Stand-ins for callers. Each flow keeps to the rules of an end: copies of its
// opening packet, one packet at a time, repeated until it is answered.

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
#include <utility>
#include <vector>

namespace catkinkeel::soak
{

class caller_flow;

class caller_site
{
public:
    /// `lives` tells whether a daemon's process runs.
    caller_site(boost::asio::io_context& context, const soak_plan& plan,
                const router& routers, invariant_checker& checker,
                std::function<bool(std::uint32_t)> lives);
    ~caller_site();

    /// Opens flows at the plan's rate until `stop`.
    void start();
    void stop();

    /// References that new flows are opened to.
    void set_references(std::vector<endpoint> references)
    {
        references_ = std::move(references);
    }

    [[nodiscard]] const open_flows& open() const
    {
        return open_;
    }
    [[nodiscard]] bool idle() const
    {
        return flows_.empty();
    }

private:
    friend class caller_flow;

    void open_next();
    void receive();
    /// Whether the packet went to a daemon in rotation that runs.
    bool send(const segment& packet);
    void forget(const endpoint& caller);

    boost::asio::io_context& context_;
    const soak_plan& plan_;
    const router& routers_;
    invariant_checker& checker_;
    std::function<bool(std::uint32_t)> lives_;
    random_source random_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint sender_;
    std::array<unsigned char, 2048> buffer_{};
    boost::asio::steady_timer timer_;
    std::vector<endpoint> references_;
    std::map<endpoint, std::shared_ptr<caller_flow>> flows_;
    open_flows open_;
    std::uint16_t next_port_;
    bool stopping_ = false;
};

} // namespace catkinkeel::soak
