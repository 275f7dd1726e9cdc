#pragma once

// The platform's packets as the simulated callers and backend servers encode
// and decode them. The daemons decode the same format with
// platform/packet_header, which reads only the fields that steering needs.

#include "catkinkeel/base/address.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace catkinkeel::soak
{

/// One packet of a flow: the header and the size of the payload, which is all
/// zeros. The flags and numbers correspond to those of a TCP segment.
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
    /// Number of the first byte of a caller's data within its flow. In a reply
    /// to an opening packet: the incarnation of the target's process.
    std::uint32_t sequence = 0;
    /// Number of the next byte that is expected from the other end. In a
    /// caller's opening packet: the number of its retransmission, 0 for the
    /// first transmission.
    std::uint32_t acknowledged_sequence = 0;
    /// False if a daemon created the packet: daemons can't compute the
    /// checksum.
    bool has_checksum = true;
    std::uint32_t data_bytes = 0;

    /// Number of the byte after this packet's; FIN counts as one.
    [[nodiscard]] std::uint32_t next_sequence() const
    {
        return sequence + data_bytes + (finishes ? 1 : 0);
    }

    friend auto operator<=>(const segment&, const segment&) = default;
};

/// Size of an encoded segment without payload in bytes.
inline constexpr std::size_t segment_size = 36;
using segment_bytes = std::vector<unsigned char>;

segment_bytes encode(const segment& packet);

/// Returns nothing if the size is below `segment_size`.
std::optional<segment> decode(std::span<const unsigned char> bytes);

} // namespace catkinkeel::soak
