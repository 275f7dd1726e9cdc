#pragma once

// Datagrams to send: where to, and the bytes in front of the packet.

#include "catkinkeel/packet/reader.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace catkinkeel
{

/// Size of the GUE variant 0 header with one word of private data.
inline constexpr std::size_t relay_header_size = 8;

/// One UDP payload: the first `header_size` bytes of `header`, then `packet`,
/// whose owner must keep it until it is sent.
struct outgoing
{
    endpoint to;
    std::array<std::byte, relay_header_size> header{};
    std::uint8_t header_size = 0;
    packet_view packet;

    friend bool operator==(const outgoing&, const outgoing&) = default;
};

/// GUE variant 1: the payload is the packet, as a target's kernel expects it.
outgoing encapsulate_for_target(const endpoint& target, packet_view packet);

/// GUE variant 0 for another entry VM, with a hop count one above that of
/// `parsed` (at most 255).
outgoing encapsulate_for_relay(const endpoint& vm, const parsed_packet& parsed);

} // namespace catkinkeel
