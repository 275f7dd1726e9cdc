#pragma once

// The answer to a packet whose flow is refused.

#include "catkinkeel/packet/reader.hpp"

#include <array>
#include <cstddef>
#include <optional>

namespace catkinkeel
{

/// An ICMP error is at most this long (RFC 1812, section 4.3.2.3).
inline constexpr std::size_t largest_refusal = 576;

/// An IPv4 packet from the public address to the caller, with its storage.
class refusal_packet
{
public:
    [[nodiscard]] packet_view view() const
    {
        return {std::span(storage_).first(size_)};
    }

    friend bool operator==(const refusal_packet& a, const refusal_packet& b)
    {
        return a.view() == b.view();
    }

private:
    friend std::optional<refusal_packet> refuse_packet(const parsed_packet&);

    std::array<std::byte, largest_refusal> storage_{};
    std::size_t size_ = 0;
};

/// TCP RST+ACK that answers a SYN (RFC 9293, section 3.10.7.1), or ICMP
/// destination unreachable, administratively prohibited (type 3, code 13), that
/// quotes a UDP datagram. Empty for every other phase: no other packet opens a
/// flow, and an ICMP error is never answered. `parsed` must be a result of
/// `read_datagram`, which has verified the lengths used here.
std::optional<refusal_packet> refuse_packet(const parsed_packet& parsed);

} // namespace catkinkeel
