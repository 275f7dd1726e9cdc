#pragma once

// Reads the UDP payloads that the fabric and other entry VMs send.
//
// Example:
//   const read_result read = read_datagram(payload);
//   if (const auto* packet = std::get_if<parsed_packet>(&read))
//   { decide(packet->facts); }

#include "catkinkeel/flow/packet_facts.hpp"
#include "catkinkeel/packet/packet_view.hpp"
#include "catkinkeel/packet/reject_reason.hpp"

#include <variant>

namespace catkinkeel
{

/// One packet and what the decision needs to know of it. `packet` is the inner
/// IPv4 packet, cut to its total length, inside the payload that was read; it
/// is valid while that payload is.
struct parsed_packet
{
    packet_facts facts;
    packet_view packet;

    friend bool operator==(const parsed_packet&,
                           const parsed_packet&) = default;
};

using read_result = std::variant<parsed_packet, reject_reason>;

/// Reads one UDP payload of any content: GUE variant 1 (the payload is the IPv4
/// packet, zero hops) or GUE variant 0 whose private data hold the hop count.
///
/// The IPv4 header checksum and all lengths are verified. TCP and UDP checksums
/// and TCP options are not: the target verifies them, and a damaged packet
/// reaches no application. An ICMP error (destination unreachable, time
/// exceeded, parameter problem) belongs to the flow of the packet it quotes:
/// a target sent that packet with the public address as its source, so the
/// quoted source is the service side and the quoted destination the caller.
/// The checksum of an ICMP error is verified because its quoted ports choose
/// the flow.
read_result read_datagram(packet_view payload);

} // namespace catkinkeel
