#include "catkinkeel/packet/refusal.hpp"

#include "catkinkeel/packet/internal/wire.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cstdint>
#include <netinet/ip.h>
#include <netinet/ip_icmp.h>
#include <netinet/tcp.h>

namespace catkinkeel
{

namespace
{

using internal::bytes_of;

constexpr std::size_t bytes_per_word = 4;
constexpr std::uint8_t initial_ttl = 64;

/// Builds the IP header of a reply to a packet with the header `ip`. The
/// identification is 0, which is valid for a packet that may not be fragmented
/// (an atomic datagram, RFC 6864).
iphdr make_reply_header(const iphdr& ip, std::uint8_t type_of_service,
                        std::uint8_t protocol, std::size_t total_size)
{
    iphdr reply{};
    reply.version = 4;
    reply.ihl = sizeof(iphdr) / bytes_per_word;
    reply.tos = type_of_service;
    reply.tot_len = htons(static_cast<std::uint16_t>(total_size));
    reply.frag_off = htons(IP_DF);
    reply.ttl = initial_ttl;
    reply.protocol = protocol;
    reply.saddr = ip.daddr;
    reply.daddr = ip.saddr;
    reply.check = internal::internet_checksum(bytes_of(reply));
    return reply;
}

/// Writes a TCP reset in reply to the SYN in `segment` to `out`; returns its
/// size.
std::size_t write_reset(const iphdr& ip, std::span<const std::byte> segment,
                        std::span<std::byte> out)
{
    const auto syn = internal::load<tcphdr>(segment);
    const std::size_t data_size = segment.size() - syn.doff * bytes_per_word;
    tcphdr reset{};
    reset.source = syn.dest;
    reset.dest = syn.source;
    // A SYN occupies one sequence number; its data, if any, follow.
    reset.ack_seq =
        htonl(ntohl(syn.seq) + 1U + static_cast<std::uint32_t>(data_size));
    reset.doff = sizeof(tcphdr) / bytes_per_word;
    reset.rst = 1;
    reset.ack = 1;
    const internal::pseudo_header pseudo{.source = ip.daddr,
                                         .destination = ip.saddr,
                                         .protocol = IPPROTO_TCP,
                                         .length = htons(sizeof(tcphdr))};
    reset.check = internal::fold_checksum(
        internal::ones_complement_sum(bytes_of(pseudo)) +
        internal::ones_complement_sum(bytes_of(reset)));
    constexpr std::size_t total = sizeof(iphdr) + sizeof(tcphdr);
    internal::store(out, make_reply_header(ip, 0, IPPROTO_TCP, total));
    internal::store(out.subspan(sizeof(iphdr)), reset);
    return total;
}

/// Writes an ICMP error that quotes as much of `packet` as fits to `out`;
/// returns its size.
std::size_t write_unreachable(const iphdr& ip,
                              std::span<const std::byte> packet,
                              std::span<std::byte> out)
{
    constexpr std::size_t headers_size = sizeof(iphdr) + sizeof(icmphdr);
    const std::size_t quoted_size =
        std::min(packet.size(), max_refusal_size - headers_size);
    icmphdr icmp{};
    icmp.type = ICMP_DEST_UNREACH;
    icmp.code = ICMP_PKT_FILTERED;
    icmp.checksum = internal::fold_checksum(
        internal::ones_complement_sum(bytes_of(icmp)) +
        internal::ones_complement_sum(packet.first(quoted_size)));
    const std::size_t total = headers_size + quoted_size;
    internal::store(out, make_reply_header(ip, IPTOS_PREC_INTERNETCONTROL,
                                           IPPROTO_ICMP, total));
    internal::store(out.subspan(sizeof(iphdr)), icmp);
    std::ranges::copy(packet.first(quoted_size),
                      out.subspan(headers_size).begin());
    return total;
}

} // namespace

std::optional<refusal_packet> make_refusal(const parsed_packet& parsed)
{
    const flow_phase phase = parsed.facts.phase;
    if (phase != flow_phase::opening && phase != flow_phase::datagram)
    {
        return std::nullopt;
    }
    const std::span<const std::byte> packet = parsed.packet.bytes;
    const auto ip = internal::load<iphdr>(packet);
    refusal_packet refusal;
    refusal.size_ =
        phase == flow_phase::opening
            ? write_reset(ip, packet.subspan(ip.ihl * bytes_per_word),
                          refusal.storage_)
            : write_unreachable(ip, packet, refusal.storage_);
    return refusal;
}

} // namespace catkinkeel
