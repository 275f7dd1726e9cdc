#pragma once

// Stand-in for the platform's routers: which daemon gets a packet. A daemon is
// in rotation while its readiness answers 200.

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

/// How packets are spread over the daemons in rotation.
struct spreading
{
    std::string_view name;
    std::uint32_t (*choose)(std::uint64_t hash,
                            const std::vector<std::uint32_t>& rotation);
};

class router
{
public:
    router(boost::asio::io_context& context, const soak_plan& plan);

    void start();

    /// Empty if no daemon was ever in rotation.
    [[nodiscard]] std::optional<std::uint32_t>
    choose(const endpoint& caller, const endpoint& reference) const;

    [[nodiscard]] bool in_rotation(std::uint32_t daemon) const
    {
        return probed_[daemon].misses < misses_until_out;
    }

private:
    static constexpr std::uint32_t misses_until_out = 2;

    struct probe
    {
        std::uint32_t misses = misses_until_out;
    };

    void probe_all();

    boost::asio::io_context& context_;
    const soak_plan& plan_;
    spreading spread_;
    boost::asio::steady_timer timer_;
    std::vector<probe> probed_;
};

} // namespace catkinkeel::soak
