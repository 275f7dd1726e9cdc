#pragma once

// The GUE header (draft-ietf-intarea-gue) as entry VMs use it between each
// other: variant 0, no flags, one word of private data.

#include <array>
#include <cstddef>
#include <cstdint>

namespace catkinkeel::internal
{

/// Bits of the first byte: variant (2), control (1), length of the optional
/// fields in words of 4 bytes (5).
inline constexpr unsigned gue_variant_shift = 6;
inline constexpr std::uint8_t gue_relay_first_byte = 0x01;
inline constexpr std::uint8_t gue_protocol_ipv4 = 4;

/// Names the layout of the private data. Another layout needs another number.
inline constexpr std::uint8_t gue_relay_format = 1;

struct gue_relay_header
{
    std::uint8_t first_byte = gue_relay_first_byte;
    std::uint8_t protocol = gue_protocol_ipv4;
    std::uint16_t flags = 0;
    std::uint8_t format = gue_relay_format;
    std::uint8_t hops = 0;
    /// Sent as zero, ignored when received.
    std::uint16_t reserved = 0;
};
static_assert(sizeof(gue_relay_header) == 8);

} // namespace catkinkeel::internal
