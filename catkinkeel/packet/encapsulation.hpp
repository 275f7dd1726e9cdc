#pragma once

// Datagrams to send, and the GUE encapsulation of packets for targets and for
// other entry VMs.

#include "catkinkeel/packet/packet_parser.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace catkinkeel
{

/// Size of the GUE variant 0 header with one word of private data.
inline constexpr std::size_t relay_header_size = 8;

/// One datagram to send. Its UDP payload consists of the first `header_size`
/// bytes of `header`, followed by `packet`. The bytes of `packet` are not owned
/// and must stay valid until the datagram is sent.
struct outgoing_datagram
{
    endpoint to;
    std::array<std::byte, relay_header_size> header{};
    std::uint8_t header_size = 0;
    packet_view packet;

    friend bool operator==(const outgoing_datagram&,
                           const outgoing_datagram&) = default;
};

/// Encapsulates `packet` with GUE variant 1, which adds no header: the payload
/// is the packet itself, as the kernel of a target expects it.
outgoing_datagram encapsulate_for_target(const endpoint& target,
                                         packet_view packet);

/// Encapsulates a packet for another entry VM with GUE variant 0. The hop count
/// in the header is one above that of `parsed`, at most 255.
outgoing_datagram encapsulate_for_relay(const endpoint& vm,
                                        const parsed_packet& parsed);

} // namespace catkinkeel
