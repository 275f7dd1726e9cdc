#pragma once

// The platform's packets as the simulated callers and backend servers encode
// and decode them. The daemons decode the same format with
// platform/packet_header, which reads only the fields that steering needs.

#include "catkinkeel/base/address.hpp"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace catkinkeel::soak
{

/// Header of one packet of a flow, without payload. The flags correspond to
/// those of a TCP segment.
struct segment
{
    endpoint source;
    endpoint destination;
    /// Token of the flow, header field `echo`. The daemon writes it into the
    /// packets that it forwards; the backend server and the caller return it in
    /// their next packets.
    std::uint32_t token = 0;
    /// SYN.
    bool opens = false;
    /// ACK.
    bool acknowledges = false;
    /// FIN.
    bool finishes = false;
    /// RST.
    bool aborts = false;
    /// Number of a caller's packet within its flow. In a reply to an opening
    /// packet: the incarnation of the target's process.
    std::uint32_t sequence = 0;
    /// In a reply: the `sequence` of the packet that it answers. In a caller's
    /// opening packet: the number of its retransmission, 0 for the first
    /// transmission.
    std::uint32_t acknowledged_sequence = 0;
    /// False if a daemon created the packet: daemons can't compute the
    /// checksum.
    bool has_checksum = true;

    friend auto operator<=>(const segment&, const segment&) = default;
};

/// Size of an encoded segment in bytes.
inline constexpr std::size_t segment_size = 36;
using segment_bytes = std::array<unsigned char, segment_size>;

segment_bytes encode(const segment& packet);

/// Returns nothing unless the size is `segment_size`.
std::optional<segment> decode(std::span<const unsigned char> bytes);

} // namespace catkinkeel::soak
