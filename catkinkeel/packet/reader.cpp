#include "catkinkeel/packet/reader.hpp"

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
constexpr std::size_t minimum_header_words = 5;
/// First address of the multicast, reserved and broadcast ranges.
constexpr std::uint32_t first_non_unicast = 0xe0000000U;
/// An ICMP error quotes at least this much behind the IP header (RFC 792).
constexpr std::size_t quoted_transport_size = 8;

/// Ports as they stand at the front of both TCP and UDP headers.
struct ports
{
    std::uint16_t source;
    std::uint16_t destination;
};

/// Flow and phase, without the hop count that the envelope holds.
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

transport_facts from_caller(const iphdr& ip, const ports& both,
                            protocol transport, flow_phase phase)
{
    return {{.caller = endpoint_of(ip.saddr, both.source),
             .service_side = endpoint_of(ip.daddr, both.destination),
             .transport = transport},
            phase};
}

transport_result read_tcp(const iphdr& ip, bytes_view segment)
{
    if (segment.size() < sizeof(tcphdr))
    {
        return reject_reason::truncated;
    }
    const auto tcp = internal::load<tcphdr>(segment);
    if (tcp.doff < minimum_header_words ||
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
    return from_caller(ip, internal::load<ports>(segment), protocol::tcp,
                       phase);
}

transport_result read_udp(const iphdr& ip, bytes_view datagram)
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
    return from_caller(ip, internal::load<ports>(datagram), protocol::udp,
                       flow_phase::datagram);
}

bool is_later_fragment(const iphdr& ip)
{
    return (ntohs(ip.frag_off) & IP_OFFMASK) != 0;
}

transport_result read_icmp(const iphdr& ip, bytes_view message)
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
    if (internal::checksum(message) != 0)
    {
        return reject_reason::bad_checksum;
    }
    const bytes_view quote = message.subspan(sizeof(icmphdr));
    if (quote.size() < sizeof(iphdr))
    {
        return reject_reason::truncated;
    }
    // The quoted header checksum is not verified: the path may have changed
    // the header, and the ICMP checksum covers it.
    const auto quoted = internal::load<iphdr>(quote);
    const std::size_t quoted_header = quoted.ihl * bytes_per_word;
    if (quoted.version != ipv4_version || quoted.ihl < minimum_header_words ||
        quoted.saddr != ip.daddr)
    {
        return reject_reason::bad_quote;
    }
    if (quote.size() < quoted_header + quoted_transport_size)
    {
        return reject_reason::truncated;
    }
    if (is_later_fragment(quoted))
    {
        return reject_reason::fragment;
    }
    if (quoted.protocol != IPPROTO_TCP && quoted.protocol != IPPROTO_UDP)
    {
        return reject_reason::unsupported_protocol;
    }
    const auto both = internal::load<ports>(quote.subspan(quoted_header));
    return transport_facts{
        {.caller = endpoint_of(quoted.daddr, both.destination),
         .service_side = endpoint_of(quoted.saddr, both.source),
         .transport = static_cast<protocol>(quoted.protocol)},
        flow_phase::icmp_error};
}

/// How the payload of each supported IP protocol is read.
struct transport_row
{
    std::uint8_t ip_protocol;
    transport_result (*read)(const iphdr& ip, bytes_view payload);
};

constexpr std::array transport_rows{
    transport_row{IPPROTO_TCP, read_tcp},
    transport_row{IPPROTO_UDP, read_udp},
    transport_row{IPPROTO_ICMP, read_icmp},
};

read_result read_ipv4(bytes_view bytes, std::uint8_t hops)
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
    if (ip.ihl < minimum_header_words)
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
    if (internal::checksum(bytes.first(header_size)) != 0)
    {
        return reject_reason::bad_checksum;
    }
    if (const std::uint32_t source = ntohl(ip.saddr);
        source == 0 || source >= first_non_unicast)
    {
        return reject_reason::bad_source;
    }
    if (is_later_fragment(ip) || (ntohs(ip.frag_off) & IP_MF) != 0)
    {
        return reject_reason::fragment;
    }
    const auto* const row = std::ranges::find(transport_rows, ip.protocol,
                                              &transport_row::ip_protocol);
    if (row == transport_rows.end())
    {
        return reject_reason::unsupported_protocol;
    }
    const bytes_view packet = bytes.first(total_size);
    const transport_result read = row->read(ip, packet.subspan(header_size));
    if (const auto* const facts = std::get_if<transport_facts>(&read))
    {
        return parsed_packet{
            {.key = facts->key, .phase = facts->phase, .hops = hops}, {packet}};
    }
    return *std::get_if<reject_reason>(&read);
}

read_result read_relay(bytes_view bytes)
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
    return read_ipv4(bytes.subspan(sizeof(header)), header.hops);
}

read_result read_direct(bytes_view bytes)
{
    return read_ipv4(bytes, 0);
}

read_result read_unknown_variant(bytes_view)
{
    return reject_reason::bad_gue;
}

/// How each GUE variant (the first two bits of the payload) is read.
constexpr std::array<read_result (*)(bytes_view), 4> gue_variants{
    read_relay, read_direct, read_unknown_variant, read_unknown_variant};

} // namespace

read_result read_datagram(packet_view payload)
{
    if (payload.bytes.empty())
    {
        return reject_reason::truncated;
    }
    const auto variant = std::to_integer<unsigned>(payload.bytes.front()) >>
                         internal::gue_variant_shift;
    return gue_variants[variant](payload.bytes);
}

} // namespace catkinkeel
