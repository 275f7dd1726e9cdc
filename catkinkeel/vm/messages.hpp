#pragma once

// Messages by which entry VMs learn of each other. Plain values; their encoding
// is the business of `link`.

#include "catkinkeel/vm/member.hpp"

#include <compare>
#include <cstdint>
#include <vector>

namespace catkinkeel
{

/// One VM's state as told by another. A higher incarnation goes before a lower
/// one; at equal incarnations dead or left goes before suspect before alive.
struct member_news
{
    vm_id id;
    data_centre_id data_centre;
    endpoint control;
    endpoint packets;
    std::uint32_t incarnation = 0;
    liveness state = liveness::alive;

    friend auto operator<=>(const member_news&, const member_news&) = default;
};

/// Asks a VM for a sign of life and carries news.
struct probe
{
    std::uint64_t nonce = 0;
    /// Version of the published set in effect at the sender.
    set_version in_effect;
    std::vector<member_news> news;

    friend bool operator==(const probe&, const probe&) = default;
};

/// Answers a probe with its nonce.
struct probe_ack
{
    std::uint64_t nonce = 0;
    set_version in_effect;
    std::vector<member_news> news;

    friend bool operator==(const probe_ack&, const probe_ack&) = default;
};

/// Asks the receiver to probe `about` on the sender's behalf.
struct probe_request
{
    std::uint64_t nonce = 0;
    vm_id about;

    friend bool operator==(const probe_request&,
                           const probe_request&) = default;
};

/// Says that the sender is shutting down gracefully.
struct leave
{
    std::uint32_t incarnation = 0;

    friend bool operator==(const leave&, const leave&) = default;
};

} // namespace catkinkeel
