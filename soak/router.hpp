#pragma once

// Simulates the platform's routers, which choose the daemon that receives a
// packet. A daemon is in rotation while its readiness endpoint returns 200.

#include "catkinkeel/base/random.hpp"
#include "soak/plan.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace catkinkeel::soak
{

/// Strategy that distributes flows over the daemons in rotation. `choose`
/// returns an element of `rotation`, which holds indexes of daemons.
struct routing_policy
{
    std::string_view name;
    std::uint32_t (*choose)(std::uint64_t hash,
                            const std::vector<std::uint32_t>& rotation);
};

class router
{
public:
    router(boost::asio::io_context& context, const soak_plan& plan);

    /// Starts the periodic probes of the daemons' readiness endpoints.
    void start();

    /// Returns nothing while no daemon is in rotation. If fewer than half of
    /// the daemons are in rotation, chooses among all of them.
    [[nodiscard]] std::optional<std::uint32_t>
    choose_daemon(const endpoint& caller, const endpoint& reference) const;

    [[nodiscard]] bool in_rotation(std::uint32_t daemon) const
    {
        return probes_[daemon].failures < probe_failure_threshold;
    }

private:
    /// A daemon leaves the rotation after this many consecutive failed probes.
    static constexpr std::uint32_t probe_failure_threshold = 2;

    struct probe_state
    {
        /// Consecutive failed probes, up to the threshold. A daemon starts out
        /// of rotation.
        std::uint32_t failures = probe_failure_threshold;
    };

    void probe_all();

    boost::asio::io_context& context_;
    const soak_plan& plan_;
    routing_policy policy_;
    boost::asio::steady_timer timer_;
    std::vector<probe_state> probes_;
};

} // namespace catkinkeel::soak
