#pragma once

// Simulates backend servers. Each serves the flows at one address, replies to
// callers directly and reports the packets that it receives to the invariant
// checker.

#include "soak/invariant_checker.hpp"
#include "soak/plan.hpp"
#include "soak/segment.hpp"
#include "soak/store_simulator.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace catkinkeel::soak
{

/// The targets at which flows are open, by caller.
using flow_target_map = std::map<endpoint, target_process>;

/// One backend server, which can be restarted.
class backend
{
public:
    backend(boost::asio::io_context& context, const soak_plan& plan,
            std::uint32_t index, store_simulator& store,
            invariant_checker& checker, const flow_target_map& flow_targets);

    /// Starts a process with a new identity, or with the previous one, and
    /// announces it.
    void start(bool keep_identity);
    /// Stops without withdrawing the announcement, which stays in the store
    /// until `withdraw`.
    void crash();
    void drain();
    /// Sets whether requests are answered with errors.
    void set_failing(bool failing)
    {
        failing_ = failing;
    }
    /// Removes the announcement from the store.
    void withdraw();
    /// Writes the announcement to the store.
    void announce();

    [[nodiscard]] bool running() const
    {
        return running_;
    }
    [[nodiscard]] bool draining() const
    {
        return draining_;
    }
    [[nodiscard]] std::uint32_t service_index() const
    {
        return service_index_;
    }
    /// Since when the target runs, is announced as ready and has not been
    /// disturbed; empty if it does not.
    [[nodiscard]] std::optional<instant> available_since() const
    {
        return available_since_;
    }
    [[nodiscard]] target_process current_process() const
    {
        return {index_, start_count_};
    }

private:
    void receive();
    void handle_packet(const segment& packet, std::uint32_t daemon);
    void send_reply(const segment& request, segment reply);

    const soak_plan& plan_;
    std::uint32_t index_;
    store_simulator& store_;
    invariant_checker& checker_;
    const flow_target_map& flow_targets_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint sender_;
    std::array<unsigned char, 2048> buffer_{};
    std::uint64_t start_count_ = 0;
    std::uint64_t identity_ = 0;
    std::uint32_t service_index_;
    bool running_ = false;
    bool draining_ = false;
    bool failing_ = false;
    std::optional<instant> available_since_;
    /// Includes the callers of closed flows, whose last packet may be
    /// retransmitted.
    std::set<endpoint> known_callers_;
};

} // namespace catkinkeel::soak
