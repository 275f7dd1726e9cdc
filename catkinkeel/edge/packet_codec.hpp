#pragma once

// How packets look on the wire. An adapter implements it for one platform;
// decisions know only `steering::flow_packet`.

#include "catkinkeel/packet/outgoing.hpp"
#include "catkinkeel/packet/packet_view.hpp"
#include "catkinkeel/steering/steerer.hpp"

#include <array>
#include <cstddef>
#include <optional>

namespace catkinkeel::edge
{

/// Largest packet that a codec writes.
inline constexpr std::size_t largest_packet = 1400;

/// Storage for a packet that a codec writes; it must live until the packet is
/// sent.
using packet_storage = std::array<std::byte, largest_packet>;

/// Implementations hold no state but settings and are safe to use from any
/// thread.
class packet_codec
{
public:
    virtual ~packet_codec() = default;

    /// Empty for bytes that are no packet of a caller.
    [[nodiscard]] virtual std::optional<steering::flow_packet>
    decode(packet_view packet) const = 0;

    /// The datagram that brings `packet` to the target. Uses `storage` where
    /// the packet has to be changed. `packet` was decoded before.
    [[nodiscard]] virtual outgoing
    encode_forward(const steering::forward& to, packet_view packet,
                   packet_storage& storage) const = 0;

    /// The datagram that tells the caller of `packet` that its flow is refused.
    [[nodiscard]] virtual outgoing
    encode_refusal(packet_view packet, packet_storage& storage) const = 0;
};

} // namespace catkinkeel::edge
