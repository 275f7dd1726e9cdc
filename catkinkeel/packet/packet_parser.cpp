#include "catkinkeel/packet/packet_parser.hpp"

#include "catkinkeel/packet/internal/gue.hpp"
#include "catkinkeel/packet/internal/wire.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cstdint>
#include <netinet/ip.h>
#include <netinet/ip_icmp.h>
#include <netinet/tcp.h>
#include <netinet/udp.h>

namespace catkinkeel
{

namespace
{

using bytes_view = std::span<const std::byte>;

constexpr std::size_t bytes_per_word = 4;
constexpr unsigned ipv4_version = 4;
constexpr std::size_t min_header_words = 5;
/// 224.0.0.0. The multicast, reserved and broadcast ranges start here.
constexpr std::uint32_t min_non_unicast_address = 0xe0000000U;
/// An ICMP error quotes at least this many bytes after the IP header (RFC 792).
constexpr std::size_t min_quoted_transport_size = 8;

/// The first two fields of both TCP and UDP headers.
struct ports
{
    std::uint16_t source;
    std::uint16_t destination;
};

/// The attributes of a packet except for the hop count, which is part of the
/// encapsulation.
struct transport_facts
{
    flow_key key;
    flow_phase phase;
};

using transport_result = std::variant<transport_facts, reject_reason>;

endpoint endpoint_of(std::uint32_t address, std::uint16_t port)
{
    return {{ntohl(address)}, ntohs(port)};
}

transport_facts make_caller_facts(const iphdr& ip, const ports& transport_ports,
                                  protocol transport, flow_phase phase)
{
    return {{.caller = endpoint_of(ip.saddr, transport_ports.source),
             .service_side = endpoint_of(ip.daddr, transport_ports.destination),
             .transport = transport},
            phase};
}

transport_result parse_tcp(const iphdr& ip, bytes_view segment)
{
    if (segment.size() < sizeof(tcphdr))
    {
        return reject_reason::truncated;
    }
    const auto tcp = internal::load<tcphdr>(segment);
    if (tcp.doff < min_header_words ||
        tcp.doff * bytes_per_word > segment.size())
    {
        return reject_reason::bad_header_length;
    }
    if (tcp.syn != 0 && (tcp.fin != 0 || tcp.rst != 0))
    {
        return reject_reason::bad_tcp_flags;
    }
    flow_phase phase = flow_phase::established;
    if (tcp.rst != 0)
    {
        phase = flow_phase::aborted;
    }
    else if (tcp.fin != 0)
    {
        phase = flow_phase::finishing;
    }
    else if (tcp.syn != 0 && tcp.ack == 0)
    {
        phase = flow_phase::opening;
    }
    return make_caller_facts(ip, internal::load<ports>(segment), protocol::tcp,
                             phase);
}

transport_result parse_udp(const iphdr& ip, bytes_view datagram)
{
    if (datagram.size() < sizeof(udphdr))
    {
        return reject_reason::truncated;
    }
    const std::size_t length = ntohs(internal::load<udphdr>(datagram).len);
    if (length < sizeof(udphdr) || length > datagram.size())
    {
        return reject_reason::bad_length;
    }
    return make_caller_facts(ip, internal::load<ports>(datagram), protocol::udp,
                             flow_phase::datagram);
}

bool is_non_initial_fragment(const iphdr& ip)
{
    return (ntohs(ip.frag_off) & IP_OFFMASK) != 0;
}

transport_result parse_icmp(const iphdr& ip, bytes_view message)
{
    if (message.size() < sizeof(icmphdr))
    {
        return reject_reason::truncated;
    }
    const auto icmp = internal::load<icmphdr>(message);
    if (icmp.type != ICMP_DEST_UNREACH && icmp.type != ICMP_TIME_EXCEEDED &&
        icmp.type != ICMP_PARAMETERPROB)
    {
        return reject_reason::unsupported_icmp;
    }
    if (internal::internet_checksum(message) != 0)
    {
        return reject_reason::bad_checksum;
    }
    const bytes_view quote = message.subspan(sizeof(icmphdr));
    if (quote.size() < sizeof(iphdr))
    {
        return reject_reason::truncated;
    }
    // The quoted header checksum is not verified: routers may have modified
    // the header, and the ICMP checksum covers it.
    const auto quoted = internal::load<iphdr>(quote);
    const std::size_t quoted_header = quoted.ihl * bytes_per_word;
    if (quoted.version != ipv4_version || quoted.ihl < min_header_words ||
        quoted.saddr != ip.daddr)
    {
        return reject_reason::bad_quote;
    }
    if (quote.size() < quoted_header + min_quoted_transport_size)
    {
        return reject_reason::truncated;
    }
    if (is_non_initial_fragment(quoted))
    {
        return reject_reason::fragment;
    }
    if (quoted.protocol != IPPROTO_TCP && quoted.protocol != IPPROTO_UDP)
    {
        return reject_reason::unsupported_protocol;
    }
    const auto transport_ports =
        internal::load<ports>(quote.subspan(quoted_header));
    return transport_facts{
        {.caller = endpoint_of(quoted.daddr, transport_ports.destination),
         .service_side = endpoint_of(quoted.saddr, transport_ports.source),
         .transport = static_cast<protocol>(quoted.protocol)},
        flow_phase::icmp_error};
}

/// Parses the IP payload of one supported protocol.
struct transport_parser
{
    std::uint8_t ip_protocol;
    transport_result (*parse)(const iphdr& ip, bytes_view payload);
};

constexpr std::array transport_parsers{
    transport_parser{IPPROTO_TCP, parse_tcp},
    transport_parser{IPPROTO_UDP, parse_udp},
    transport_parser{IPPROTO_ICMP, parse_icmp},
};

parse_result parse_ipv4(bytes_view bytes, std::uint8_t hops)
{
    if (bytes.empty())
    {
        return reject_reason::truncated;
    }
    if (std::to_integer<unsigned>(bytes.front()) >> 4U != ipv4_version)
    {
        return reject_reason::not_ipv4;
    }
    if (bytes.size() < sizeof(iphdr))
    {
        return reject_reason::truncated;
    }
    const auto ip = internal::load<iphdr>(bytes);
    const std::size_t header_size = ip.ihl * bytes_per_word;
    const std::size_t total_size = ntohs(ip.tot_len);
    if (ip.ihl < min_header_words)
    {
        return reject_reason::bad_header_length;
    }
    if (total_size < header_size)
    {
        return reject_reason::bad_length;
    }
    if (total_size > bytes.size())
    {
        return reject_reason::truncated;
    }
    if (internal::internet_checksum(bytes.first(header_size)) != 0)
    {
        return reject_reason::bad_checksum;
    }
    if (const std::uint32_t source = ntohl(ip.saddr);
        source == 0 || source >= min_non_unicast_address)
    {
        return reject_reason::bad_source;
    }
    if (is_non_initial_fragment(ip) || (ntohs(ip.frag_off) & IP_MF) != 0)
    {
        return reject_reason::fragment;
    }
    const auto* const parser = std::ranges::find(
        transport_parsers, ip.protocol, &transport_parser::ip_protocol);
    if (parser == transport_parsers.end())
    {
        return reject_reason::unsupported_protocol;
    }
    const bytes_view packet = bytes.first(total_size);
    const transport_result parsed =
        parser->parse(ip, packet.subspan(header_size));
    if (const auto* const facts = std::get_if<transport_facts>(&parsed))
    {
        return parsed_packet{
            {.key = facts->key, .phase = facts->phase, .hops = hops}, {packet}};
    }
    return *std::get_if<reject_reason>(&parsed);
}

parse_result parse_relayed(bytes_view bytes)
{
    if (bytes.size() < sizeof(internal::gue_relay_header))
    {
        return reject_reason::truncated;
    }
    const auto header = internal::load<internal::gue_relay_header>(bytes);
    if (header.first_byte != internal::gue_relay_first_byte ||
        header.flags != 0 || header.format != internal::gue_relay_format)
    {
        return reject_reason::bad_gue;
    }
    if (header.protocol != internal::gue_protocol_ipv4)
    {
        return reject_reason::not_ipv4;
    }
    return parse_ipv4(bytes.subspan(sizeof(header)), header.hops);
}

parse_result parse_direct(bytes_view bytes)
{
    return parse_ipv4(bytes, 0);
}

parse_result reject_unknown_variant(bytes_view)
{
    return reject_reason::bad_gue;
}

/// Parsers by GUE variant, the first two bits of the payload.
constexpr std::array<parse_result (*)(bytes_view), 4> gue_variant_parsers{
    parse_relayed, parse_direct, reject_unknown_variant,
    reject_unknown_variant};

} // namespace

parse_result parse_datagram(packet_view payload)
{
    if (payload.bytes.empty())
    {
        return reject_reason::truncated;
    }
    const auto variant = std::to_integer<unsigned>(payload.bytes.front()) >>
                         internal::gue_variant_shift;
    return gue_variant_parsers[variant](payload.bytes);
}

} // namespace catkinkeel
