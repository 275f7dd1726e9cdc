#pragma once

// Membership messages between entry VMs. Plain values; the `link` library
// encodes them.

#include "catkinkeel/vm/member.hpp"

#include <compare>
#include <cstdint>
#include <vector>

namespace catkinkeel
{

/// State of one VM as sent by another. A higher incarnation overrides a lower
/// one; at equal incarnations dead and left override suspect, which overrides
/// alive.
struct member_update
{
    vm_id id;
    data_centre_id data_centre;
    endpoint control;
    endpoint packets;
    std::uint32_t incarnation = 0;
    liveness state = liveness::alive;

    friend auto operator<=>(const member_update&,
                            const member_update&) = default;
};

/// Requests an acknowledgement, as evidence that the receiver is alive, and
/// carries updates.
struct probe
{
    std::uint64_t nonce = 0;
    /// Version of the published set in effect at the sender.
    set_version in_effect;
    std::vector<member_update> updates;

    friend bool operator==(const probe&, const probe&) = default;
};

/// Answers the probe that has the same nonce and carries updates.
struct probe_ack
{
    std::uint64_t nonce = 0;
    set_version in_effect;
    std::vector<member_update> updates;

    friend bool operator==(const probe_ack&, const probe_ack&) = default;
};

/// Requests that the receiver probe the VM `vm_to_probe` on the sender's
/// behalf.
struct probe_request
{
    std::uint64_t nonce = 0;
    vm_id vm_to_probe;

    friend bool operator==(const probe_request&,
                           const probe_request&) = default;
};

/// Announces that the sender is shutting down gracefully.
struct leave
{
    std::uint32_t incarnation = 0;

    friend bool operator==(const leave&, const leave&) = default;
};

} // namespace catkinkeel
