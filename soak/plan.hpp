#pragma once

// Parameters of a soak: sizes, addresses, names and time limits. All sockets
// are bound in 127.N.0.0/16, so that soaks with different N can run
// concurrently.

#include "catkinkeel/base/address.hpp"
#include "catkinkeel/base/time.hpp"

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace catkinkeel::soak
{

// Time limits in the settings file of each daemon. The platform specifies the
// same values.

/// Time within which a published configuration must take effect.
inline constexpr duration configuration_apply_limit = 3s;
/// Time within which an evacuated data centre must stop receiving new flows.
inline constexpr duration evacuation_limit = 5s;
/// Time within which a draining target must stop receiving new flows.
inline constexpr duration drain_limit = 3s;
/// Time within which a daemon must exit after SIGTERM.
inline constexpr duration grace_period = 6s;
inline constexpr duration max_flow_lifetime = 60s;
/// Time that the platform allows a daemon to recover after a fault has ended.
inline constexpr duration recovery_limit = 12s;

inline constexpr std::uint32_t fault_kind_count = 21;

/// Command line parameters of a soak, and the addresses and names that follow
/// from them. Daemons and targets are numbered from 0.
struct soak_plan
{
    std::uint64_t seed = 1;
    std::uint32_t daemon_count = 6;
    std::uint32_t target_count = 12;
    /// Time during which faults and flows start.
    duration active_time = 60s;
    std::uint32_t flows_per_second = 40;
    /// Second byte of all addresses; not 0.
    std::uint8_t network = 10;
    /// The schedule contains only the first kinds of fault, this many.
    std::uint32_t fault_kinds = fault_kind_count;

    friend auto operator<=>(const soak_plan&, const soak_plan&) = default;

    /// The address 127.`network`.`third_byte`.(`index` + 1).
    [[nodiscard]] ipv4_address address(std::uint8_t third_byte,
                                       std::uint32_t index) const
    {
        return {0x7f000000U | (std::uint32_t{network} << 16U) |
                (std::uint32_t{third_byte} << 8U) | (index + 1)};
    }
    [[nodiscard]] ipv4_address daemon_address(std::uint32_t index) const
    {
        return address(1, index);
    }
    /// UDP endpoint at which a daemon receives packets.
    [[nodiscard]] endpoint packet_endpoint(std::uint32_t index) const
    {
        return {daemon_address(index), 8172};
    }
    /// TCP endpoint of a daemon's readiness check.
    [[nodiscard]] endpoint readiness_endpoint(std::uint32_t index) const
    {
        return {daemon_address(index), 8167};
    }
    [[nodiscard]] endpoint target_endpoint(std::uint32_t index) const
    {
        return {address(2, index), 8080};
    }
    /// UDP endpoint at which all simulated callers receive packets.
    [[nodiscard]] endpoint caller_endpoint() const
    {
        return {address(3, 0), 8172};
    }
    [[nodiscard]] endpoint store_endpoint() const
    {
        return {address(4, 0), 8169};
    }
    /// TCP endpoint of the fault proxy through which a daemon reaches the
    /// store.
    [[nodiscard]] endpoint proxy_endpoint(std::uint32_t index) const
    {
        return {address(5, index), 8169};
    }
    /// Data centre of a daemon or target.
    [[nodiscard]] static std::string data_centre_name(std::uint32_t index)
    {
        return index % 2 == 0 ? "dc-a" : "dc-b";
    }
    /// Public address of a reference.
    [[nodiscard]] static endpoint reference_endpoint(std::uint32_t index)
    {
        return {{0xc6120001U + index}, 443};
    }
    /// How the routers distribute flows over the daemons.
    [[nodiscard]] std::string_view routing_policy_name() const
    {
        return seed % 2 == 0 ? "mod" : "steady";
    }
    /// Content of a daemon's settings file.
    [[nodiscard]] std::string settings_text(std::uint32_t index) const;
};

/// Time within which the caller of an idempotent request must be told that its
/// target is silent while another target lives: the goal of a second
/// (docs/design/hard_load.md, part 3) and a second. Rule b of that page needs
/// the repeat after 1.4 s; the rest is for a busy machine. The fault proxies
/// delay only the store, so they add nothing.
inline constexpr duration silence_limit = 2s;

inline constexpr std::uint32_t service_count = 2;
/// References 0 and 1 are always published; faults publish and withdraw the
/// others.
inline constexpr std::uint32_t reference_count = 4;
inline constexpr std::uint32_t permanent_reference_count = 2;
inline constexpr std::uint32_t temporary_reference_count =
    reference_count - permanent_reference_count;

/// The terms of a reference's requests in the published configuration.
struct reference_terms
{
    std::string_view kind;
    bool idempotent = false;
    std::uint32_t priority = 0;
    std::uint32_t latency_goal_ms = 0;
    std::uint32_t timeout_ms = 0;

    friend auto operator<=>(const reference_terms&,
                            const reference_terms&) = default;
};

/// As in the deployments of docs/design/hard_load.md. Moved references of
/// different priority share a service.
inline constexpr std::array<reference_terms, reference_count>
    terms_by_reference{reference_terms{"safe", true, 1, 400, 2500},
                       reference_terms{"unsafe", false, 0, 500, 3000},
                       reference_terms{"download", true, 2, 1200, 8000},
                       reference_terms{"upload", false, 2, 800, 6000}};

std::string service_name(std::uint32_t index);

/// Maximum number of daemons and of targets: the daemons have their addresses
/// in one /24 network, the targets in another.
inline constexpr std::uint32_t max_hosts_per_network = 254;

/// Fails with `invalid_input` if the number of daemons or targets is 0 or above
/// `max_hosts_per_network`, or if the rate of flows or `network` is 0.
outcome<done> validate(const soak_plan& plan);

} // namespace catkinkeel::soak
