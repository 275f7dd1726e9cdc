#pragma once

// Stand-ins for backend servers: each holds flows at one address, answers their
// callers directly and reports what it sees to the promise checker.

#include "soak/invariant_checker.hpp"
#include "soak/plan.hpp"
#include "soak/segment.hpp"
#include "soak/store_simulator.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <set>

namespace catkinkeel::soak
{

/// Where flows are open, by their callers.
using open_flows = std::map<endpoint, target_process>;

class backend
{
public:
    backend(boost::asio::io_context& context, const soak_plan& plan,
            std::uint32_t number, store_simulator& store,
            invariant_checker& checker, const open_flows& open);

    /// Starts a process with a new identity, or with the one it had.
    void start(bool same_identity);
    /// Ends without a word; its entry stays until `forget`.
    void crash();
    void drain();
    void withdraw();
    void announce();

    [[nodiscard]] bool running() const
    {
        return running_;
    }
    [[nodiscard]] bool draining() const
    {
        return draining_;
    }
    [[nodiscard]] target_process process() const
    {
        return {number_, starts_};
    }

private:
    void receive();
    void handle(const segment& packet, std::uint32_t daemon);
    void reply(const segment& to, segment answer);

    const soak_plan& plan_;
    std::uint32_t number_;
    store_simulator& store_;
    invariant_checker& checker_;
    const open_flows& open_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint sender_;
    std::array<unsigned char, 2048> buffer_{};
    std::uint64_t starts_ = 0;
    std::uint64_t identity_ = 0;
    std::uint32_t service_;
    bool running_ = false;
    bool draining_ = false;
    /// Also those that ended, whose last packet may be repeated.
    std::set<endpoint> flows_;
};

} // namespace catkinkeel::soak
