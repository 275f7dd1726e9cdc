#pragma once

// Valid packets for the tests. They are built by libtins, so that parsing and
// encapsulation are tested against an independent implementation.

#include "catkinkeel/packet/packet_parser.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <tins/tins.h>
#include <vector>

namespace catkinkeel::samples
{

using bytes = std::vector<std::byte>;

inline constexpr endpoint caller{{0xc6336407}, 40001}; // 198.51.100.7
inline constexpr endpoint service{{0xcb007105}, 443};  // 203.0.113.5
inline constexpr std::uint32_t syn_sequence = 0xffffffffU;

inline bytes serialized(Tins::PDU& packet)
{
    const std::vector<std::uint8_t> raw = packet.serialize();
    const auto view = std::as_bytes(std::span(raw));
    return {view.begin(), view.end()};
}

inline Tins::IP ip_to_service()
{
    return {to_string(service.address), to_string(caller.address)};
}

inline Tins::TCP tcp_to_service(unsigned flags)
{
    Tins::TCP tcp(service.port, caller.port);
    tcp.flags(flags);
    tcp.seq(syn_sequence);
    return tcp;
}

inline bytes tcp_packet(unsigned flags, const std::string& data = "")
{
    Tins::TCP tcp = tcp_to_service(flags);
    tcp.mss(1460);
    Tins::IP packet = ip_to_service() / tcp / Tins::RawPDU(data);
    return serialized(packet);
}

inline bytes udp_packet(const std::string& data = "proof preview")
{
    Tins::IP packet = ip_to_service() / Tins::UDP(service.port, caller.port) /
                      Tins::RawPDU(data);
    return serialized(packet);
}

inline bytes udp_packet_with_ip_options()
{
    Tins::IP ip = ip_to_service();
    ip.add_option(Tins::IP::option(
        Tins::IP::option_identifier(Tins::IP::NOOP, Tins::IP::CONTROL, 0)));
    Tins::IP packet = ip / Tins::UDP(service.port, caller.port) /
                      Tins::RawPDU("with options");
    return serialized(packet);
}

/// Returns an ICMP message from a router on the path, with `quoted` as its
/// payload.
inline bytes icmp_packet(Tins::ICMP::Flags type, const bytes& quoted)
{
    Tins::ICMP icmp(type);
    icmp.code(type == Tins::ICMP::DEST_UNREACHABLE ? 4 : 0);
    Tins::IP packet =
        Tins::IP(to_string(service.address), "192.0.2.77") / icmp /
        Tins::RawPDU(reinterpret_cast<const std::uint8_t*>(quoted.data()),
                     static_cast<std::uint32_t>(quoted.size()));
    return serialized(packet);
}

/// Returns the first 28 bytes of a TCP packet from a target to the caller, as a
/// router quotes it in an ICMP error. `from` is its source address.
inline bytes quoted_reply(ipv4_address from = service.address)
{
    Tins::IP packet = Tins::IP(to_string(caller.address), to_string(from)) /
                      Tins::TCP(caller.port, service.port) /
                      Tins::RawPDU("answer");
    bytes quote = serialized(packet);
    quote.resize(28);
    return quote;
}

/// Returns `packet` preceded by a GUE relay header with the hop count `hops`.
inline bytes relayed(const bytes& packet, std::uint8_t hops)
{
    bytes payload{std::byte{0x01}, std::byte{4},    std::byte{0}, std::byte{0},
                  std::byte{1},    std::byte{hops}, std::byte{0}, std::byte{0}};
    payload.insert(payload.end(), packet.begin(), packet.end());
    return payload;
}

/// Returns one payload of each kind that the parser accepts.
inline std::vector<bytes> valid_payloads()
{
    return {tcp_packet(Tins::TCP::SYN),
            tcp_packet(Tins::TCP::ACK, "request"),
            udp_packet(),
            udp_packet_with_ip_options(),
            icmp_packet(Tins::ICMP::DEST_UNREACHABLE, quoted_reply()),
            icmp_packet(Tins::ICMP::TIME_EXCEEDED, quoted_reply()),
            icmp_packet(Tins::ICMP::PARAM_PROBLEM, quoted_reply()),
            relayed(udp_packet(), 3)};
}

/// Returns the 16-bit ones' complement sum of `data`, computed by libtins. The
/// sum is 0xffff if `data` includes its valid checksum.
inline std::uint32_t ones_complement_sum(std::span<const std::byte> data,
                                         std::uint32_t initial = 0)
{
    const auto* const raw = reinterpret_cast<const std::uint8_t*>(data.data());
    std::uint32_t sum =
        initial + Tins::Utils::sum_range(raw, raw + data.size());
    sum = (sum & 0xffffU) + (sum >> 16U);
    return (sum & 0xffffU) + (sum >> 16U);
}

/// Recomputes the IPv4 header checksum after a change of the header.
inline void update_header_checksum(bytes& packet)
{
    packet[10] = packet[11] = std::byte{0};
    const auto header_size =
        4 * (std::to_integer<std::size_t>(packet[0]) & 15U);
    const std::uint32_t sum = ~ones_complement_sum(
        std::span(packet).first(std::min(header_size, packet.size())));
    packet[10] = std::byte(sum & 0xffU);
    packet[11] = std::byte((sum >> 8U) & 0xffU);
}

} // namespace catkinkeel::samples
