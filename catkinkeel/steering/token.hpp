#pragma once

// The token that a flow carries: 32 bits that name its target. Every daemon
// computes the same token from a target's name, so a packet of an open flow
// needs no flow record and no word between daemons.

#include <compare>
#include <cstdint>
#include <string_view>

namespace catkinkeel::steering
{

struct flow_token
{
    std::uint32_t value = 0;

    friend auto operator<=>(const flow_token&, const flow_token&) = default;
};

/// Carried by packets to which no target was assigned yet.
inline constexpr flow_token no_token{};

/// Token of the target with this name; never `no_token`. Stable over releases:
/// a changed function breaks the flows that are open during an upgrade.
///
/// Two names share a token with probability 2^-32; `steering_view` lets only
/// one of them open flows.
flow_token token_of(std::string_view target_name);

} // namespace catkinkeel::steering
