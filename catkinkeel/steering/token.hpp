#pragma once

// The token in the packets of a flow: 32 bits that identify its target. Every
// daemon computes the same token from a target's name, so packets of an open
// flow are steered without a flow record and without messages between daemons.

#include <compare>
#include <cstdint>
#include <string_view>

namespace catkinkeel::steering
{

/// Identifies the target of a flow.
struct flow_token
{
    std::uint32_t value = 0;

    friend auto operator<=>(const flow_token&, const flow_token&) = default;
};

/// Carried by packets of flows that have no target yet.
inline constexpr flow_token no_token{};

/// Returns the token of the target with this name; never `no_token`. The hash
/// function must not change between releases: a change breaks the flows that
/// are open during an upgrade.
///
/// Two names share a token with probability 2^-32; `steering_view` gives new
/// flows to only one of them.
flow_token token_of(std::string_view target_name);

} // namespace catkinkeel::steering
