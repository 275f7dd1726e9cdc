#pragma once

// The reply to a caller whose flow is refused. It answers a valid packet;
// datagrams that the parser rejects are not answered.

#include "catkinkeel/packet/packet_parser.hpp"

#include <array>
#include <cstddef>
#include <optional>

namespace catkinkeel
{

/// Maximum size of a refusal in bytes: that of an ICMP error (RFC 1812, section
/// 4.3.2.3). A TCP RST is shorter.
inline constexpr std::size_t max_refusal_size = 576;

/// An IPv4 packet from the public address to the caller. Owns its bytes.
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
    friend std::optional<refusal_packet> make_refusal(const parsed_packet&);

    std::array<std::byte, max_refusal_size> storage_{};
    std::size_t size_ = 0;
};

/// Returns the refusal of a packet: a TCP RST+ACK in reply to a SYN (RFC 9293,
/// section 3.10.7.1), or an ICMP error "destination unreachable,
/// administratively prohibited" (type 3, code 13) that quotes a UDP datagram.
/// Returns nothing for other phases: no other packet opens a flow, and ICMP
/// errors must not be answered. `parsed` must be a result of `parse_datagram`,
/// which verifies the lengths that this function relies on.
std::optional<refusal_packet> make_refusal(const parsed_packet& parsed);

} // namespace catkinkeel
