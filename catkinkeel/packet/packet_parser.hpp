#pragma once

// Parses the UDP payloads that the fabric and other entry VMs send.
//
// Example:
//   const parse_result read = parse_datagram(payload);
//   if (const auto* packet = std::get_if<parsed_packet>(&read))
//   { decide(packet->facts); }

#include "catkinkeel/flow/packet_facts.hpp"
#include "catkinkeel/packet/packet_view.hpp"
#include "catkinkeel/packet/reject_reason.hpp"

#include <variant>

namespace catkinkeel
{

/// A parsed packet with the attributes that a packet decision depends on.
/// `packet` is the inner IPv4 packet without bytes past its total length; it
/// points into the parsed payload and is valid as long as that.
struct parsed_packet
{
    packet_facts facts;
    packet_view packet;

    friend bool operator==(const parsed_packet&,
                           const parsed_packet&) = default;
};

using parse_result = std::variant<parsed_packet, reject_reason>;

/// Parses one UDP payload, which may have any content. Accepted are GUE variant
/// 1 (the payload is the IPv4 packet; the hop count is 0) and GUE variant 0
/// with the hop count in its private data.
///
/// The IPv4 header checksum and all lengths are verified. TCP and UDP checksums
/// and TCP options are not: the target verifies them, so a corrupted packet
/// does not reach the application. An ICMP error (destination unreachable, time
/// exceeded, parameter problem) belongs to the flow of the packet that it
/// quotes. A target sent that packet with the public address as its source, so
/// the quoted source is the service side and the quoted destination is the
/// caller. The checksum of an ICMP error is verified because its quoted ports
/// determine the flow.
parse_result parse_datagram(packet_view payload);

} // namespace catkinkeel
