#pragma once

// The GUE header (draft-ietf-intarea-gue) of packets relayed between entry VMs:
// variant 0, no flags, one word of private data.

#include <array>
#include <cstddef>
#include <cstdint>

namespace catkinkeel::internal
{

/// The first byte consists of the variant (2 bits), the control flag (1 bit)
/// and the length of the optional fields in 4-byte words (5 bits).
inline constexpr unsigned gue_variant_shift = 6;
inline constexpr std::uint8_t gue_relay_first_byte = 0x01;
inline constexpr std::uint8_t gue_protocol_ipv4 = 4;

/// Identifies the layout of the private data. A changed layout needs a new
/// number.
inline constexpr std::uint8_t gue_relay_format = 1;

struct gue_relay_header
{
    std::uint8_t first_byte = gue_relay_first_byte;
    std::uint8_t protocol = gue_protocol_ipv4;
    std::uint16_t flags = 0;
    std::uint8_t format = gue_relay_format;
    std::uint8_t hops = 0;
    /// Sent as zero, ignored on receipt.
    std::uint16_t reserved = 0;
};
static_assert(sizeof(gue_relay_header) == 8);

} // namespace catkinkeel::internal
