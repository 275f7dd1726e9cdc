#pragma once

// Packets as callers and backend servers encode and decode them. The daemons
// decode the same format with platform/packet_header, which reads only the
// fields that steering needs.

#include "catkinkeel/base/address.hpp"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace catkinkeel::soak
{

struct segment
{
    endpoint source;
    endpoint destination;
    std::uint32_t token = 0;
    bool opens = false;
    bool acknowledges = false;
    bool finishes = false;
    bool aborts = false;
    std::uint32_t sequence = 0;
    /// In an opening packet: the number of its retransmission, 0 for the first
    /// transmission.
    std::uint32_t acknowledged = 0;
    /// False if a daemon created the packet: daemons can't compute the
    /// checksum.
    bool has_checksum = true;

    friend auto operator<=>(const segment&, const segment&) = default;
};

inline constexpr std::size_t segment_size = 36;
using segment_bytes = std::array<unsigned char, segment_size>;

segment_bytes encode(const segment& packet);

/// Returns nothing unless the size is `segment_size`.
std::optional<segment> decode(std::span<const unsigned char> bytes);

} // namespace catkinkeel::soak
