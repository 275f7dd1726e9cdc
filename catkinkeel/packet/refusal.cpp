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

/// Header of an answer to `ip`. Identification is 0: the packet is atomic
/// (RFC 6864), so no receiver reassembles it.
iphdr answer_header(const iphdr& ip, std::uint8_t type_of_service,
                    std::uint8_t protocol, std::size_t total_size)
{
    iphdr answer{};
    answer.version = 4;
    answer.ihl = sizeof(iphdr) / bytes_per_word;
    answer.tos = type_of_service;
    answer.tot_len = htons(static_cast<std::uint16_t>(total_size));
    answer.frag_off = htons(IP_DF);
    answer.ttl = initial_ttl;
    answer.protocol = protocol;
    answer.saddr = ip.daddr;
    answer.daddr = ip.saddr;
    answer.check = internal::checksum(bytes_of(answer));
    return answer;
}

std::size_t write_reset(const iphdr& ip, std::span<const std::byte> segment,
                        std::span<std::byte> out)
{
    const auto syn = internal::load<tcphdr>(segment);
    const std::size_t data = segment.size() - syn.doff * bytes_per_word;
    tcphdr reset{};
    reset.source = syn.dest;
    reset.dest = syn.source;
    // A SYN takes one sequence number, then come its data, if any.
    reset.ack_seq =
        htonl(ntohl(syn.seq) + 1U + static_cast<std::uint32_t>(data));
    reset.doff = sizeof(tcphdr) / bytes_per_word;
    reset.rst = 1;
    reset.ack = 1;
    const internal::pseudo_header pseudo{.source = ip.daddr,
                                         .destination = ip.saddr,
                                         .protocol = IPPROTO_TCP,
                                         .length = htons(sizeof(tcphdr))};
    reset.check =
        internal::checksum_of_sum(internal::checksum_sum(bytes_of(pseudo)) +
                                  internal::checksum_sum(bytes_of(reset)));
    constexpr std::size_t total = sizeof(iphdr) + sizeof(tcphdr);
    internal::store(out, answer_header(ip, 0, IPPROTO_TCP, total));
    internal::store(out.subspan(sizeof(iphdr)), reset);
    return total;
}

std::size_t write_unreachable(const iphdr& ip,
                              std::span<const std::byte> packet,
                              std::span<std::byte> out)
{
    constexpr std::size_t headers = sizeof(iphdr) + sizeof(icmphdr);
    const std::size_t quoted =
        std::min(packet.size(), largest_refusal - headers);
    icmphdr icmp{};
    icmp.type = ICMP_DEST_UNREACH;
    icmp.code = ICMP_PKT_FILTERED;
    icmp.checksum =
        internal::checksum_of_sum(internal::checksum_sum(bytes_of(icmp)) +
                                  internal::checksum_sum(packet.first(quoted)));
    const std::size_t total = headers + quoted;
    internal::store(out, answer_header(ip, IPTOS_PREC_INTERNETCONTROL,
                                       IPPROTO_ICMP, total));
    internal::store(out.subspan(sizeof(iphdr)), icmp);
    std::ranges::copy(packet.first(quoted), out.subspan(headers).begin());
    return total;
}

} // namespace

std::optional<refusal_packet> refuse_packet(const parsed_packet& parsed)
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
