#pragma once

// Decodes and encodes packets. An adapter implements it for one platform; the
// steering code depends only on `steering::flow_packet`.

#include "catkinkeel/packet/encapsulation.hpp"
#include "catkinkeel/packet/packet_view.hpp"
#include "catkinkeel/steering/steerer.hpp"

#include <array>
#include <cstddef>
#include <optional>

namespace catkinkeel::edge
{

/// Largest packet that a codec writes, in bytes.
inline constexpr std::size_t max_packet_bytes = 1400;

/// Storage for a packet that a codec writes; it must live until the packet is
/// sent.
using packet_storage = std::array<std::byte, max_packet_bytes>;

/// Implementations hold only settings and are safe to use from any thread.
class packet_codec
{
public:
    virtual ~packet_codec() = default;

    /// Returns nothing if the bytes are not a valid packet of a caller.
    [[nodiscard]] virtual std::optional<steering::flow_packet>
    decode(packet_view packet) const = 0;

    /// Returns the datagram that forwards `packet` to the target. A packet that
    /// has to be modified is written to `storage`. `decode` must have accepted
    /// `packet`.
    [[nodiscard]] virtual outgoing_datagram
    encode_forward(const steering::forward& to, packet_view packet,
                   packet_storage& storage) const = 0;

    /// Returns the datagram that notifies the caller of `packet` that its flow
    /// is refused.
    [[nodiscard]] virtual outgoing_datagram
    encode_refusal(packet_view packet, packet_storage& storage) const = 0;
};

} // namespace catkinkeel::edge
