#pragma once

// A packet as the two ends of a flow write and read it. The daemons read the
// same bytes by platform/packet_header, which knows only what steering needs.

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
    endpoint from;
    endpoint to;
    std::uint32_t token = 0;
    bool opens = false;
    bool acknowledges = false;
    bool finishes = false;
    bool aborts = false;
    std::uint32_t sequence = 0;
    /// In an opening packet the number of its copy.
    std::uint32_t acknowledged = 0;
    /// False if a daemon wrote the packet: it cannot compute the sum.
    bool from_an_end = true;

    friend auto operator<=>(const segment&, const segment&) = default;
};

inline constexpr std::size_t segment_size = 36;
using segment_bytes = std::array<unsigned char, segment_size>;

segment_bytes encode(const segment& value);

/// Empty for bytes of another size.
std::optional<segment> decode(std::span<const unsigned char> bytes);

} // namespace catkinkeel::soak
