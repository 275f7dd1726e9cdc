#pragma once

// What a soak consists of: addresses, names and bounds. Everything listens in
// 127.N.0.0/16, so that several soaks can run side by side.

#include "catkinkeel/base/address.hpp"
#include "catkinkeel/base/time.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace catkinkeel::soak
{

/// Bounds that the settings file gives to each daemon; the platform's page has
/// the same ones.
inline constexpr duration terms_bound = 3s;
inline constexpr duration evacuation_bound = 5s;
inline constexpr duration drain_bound = 3s;
inline constexpr duration grace = 6s;
/// Longest life of a flow.
inline constexpr duration flow_lifetime = 60s;
/// The platform's page gives a process so long to recover from a disturbance.
inline constexpr duration recovery_bound = 12s;

struct soak_plan
{
    std::uint64_t seed = 1;
    std::uint32_t daemons = 6;
    std::uint32_t targets = 12;
    duration length = 60s;
    /// New flows a second.
    std::uint32_t rate = 40;
    /// Second byte of all addresses.
    std::uint8_t network = 10;

    friend auto operator<=>(const soak_plan&, const soak_plan&) = default;

    [[nodiscard]] ipv4_address address(std::uint8_t kind,
                                       std::uint32_t number) const
    {
        return {0x7f000000U | (std::uint32_t{network} << 16U) |
                (std::uint32_t{kind} << 8U) | (number + 1)};
    }
    [[nodiscard]] ipv4_address daemon(std::uint32_t number) const
    {
        return address(1, number);
    }
    [[nodiscard]] endpoint packets(std::uint32_t number) const
    {
        return {daemon(number), 8172};
    }
    [[nodiscard]] endpoint readiness(std::uint32_t number) const
    {
        return {daemon(number), 8167};
    }
    [[nodiscard]] endpoint target(std::uint32_t number) const
    {
        return {address(2, number), 8080};
    }
    [[nodiscard]] endpoint callers() const
    {
        return {address(3, 0), 8172};
    }
    [[nodiscard]] endpoint store() const
    {
        return {address(4, 0), 8169};
    }
    /// Where a daemon reaches the store.
    [[nodiscard]] endpoint proxy(std::uint32_t number) const
    {
        return {address(5, number), 8169};
    }
    [[nodiscard]] static std::string data_centre(std::uint32_t number)
    {
        return number % 2 == 0 ? "dc-a" : "dc-b";
    }
    [[nodiscard]] static endpoint reference(std::uint32_t number)
    {
        return {{0xc6120001U + number}, 443};
    }
    /// How the routers spread flows.
    [[nodiscard]] std::string_view spreading() const
    {
        return seed % 2 == 0 ? "mod" : "steady";
    }
    /// The settings file of a daemon.
    [[nodiscard]] std::string settings(std::uint32_t number) const;
};

inline constexpr std::uint32_t service_count = 2;
/// References 0 and 1 are always published, the others come and go.
inline constexpr std::uint32_t reference_count = 4;
inline constexpr std::uint32_t lasting_references = 2;
inline constexpr std::uint32_t passing_references =
    reference_count - lasting_references;

std::string service_name(std::uint32_t number);

/// Daemons or targets at most: each has an address in a network of 254.
inline constexpr std::uint32_t most_of_a_kind = 254;

/// Fails with `invalid_input` if the plan has no daemon, target or flow, or
/// more than fit into its networks.
outcome<done> check(const soak_plan& plan);

} // namespace catkinkeel::soak
