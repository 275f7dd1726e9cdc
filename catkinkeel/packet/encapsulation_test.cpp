#include "catkinkeel/packet/encapsulation.hpp"
#include "catkinkeel/packet/packet_batch.hpp"
#include "catkinkeel/packet/packet_samples.hpp"
#include "catkinkeel/packet/refusal.hpp"

#include <catch2/catch.hpp>

using namespace catkinkeel;
using samples::bytes;
using Tins::TCP;

namespace
{

constexpr endpoint receiver{{INADDR_LOOPBACK}, 6080};

parsed_packet parse(const bytes& payload)
{
    const parse_result result = parse_datagram({payload});
    REQUIRE(std::holds_alternative<parsed_packet>(result));
    return std::get<parsed_packet>(result);
}

bytes payload_of(const outgoing_datagram& datagram)
{
    bytes payload(datagram.header.begin(),
                  datagram.header.begin() + datagram.header_size);
    const auto packet = datagram.packet.bytes;
    payload.insert(payload.end(), packet.begin(), packet.end());
    return payload;
}

/// Parses the refusal of `payload` with libtins and checks its length,
/// addresses and checksums.
Tins::IP parse_refusal(const bytes& payload)
{
    constexpr std::uint32_t valid_sum = 0xffff;
    const auto refusal = make_refusal(parse(payload));
    REQUIRE(refusal);
    const auto raw = refusal->view().bytes;
    Tins::IP ip(reinterpret_cast<const std::uint8_t*>(raw.data()),
                static_cast<std::uint32_t>(raw.size()));
    CHECK(ip.tot_len() == raw.size());
    CHECK(ip.src_addr() == to_string(samples::service.address));
    CHECK(ip.dst_addr() == to_string(samples::caller.address));
    CHECK(samples::ones_complement_sum(raw.first(20)) == valid_sum);
    const auto transport = raw.subspan(20);
    const std::uint32_t pseudo_header =
        ip.protocol() == IPPROTO_TCP
            ? Tins::Utils::pseudoheader_checksum(
                  ip.src_addr(), ip.dst_addr(),
                  static_cast<std::uint16_t>(transport.size()), IPPROTO_TCP)
            : 0;
    CHECK(samples::ones_complement_sum(transport, pseudo_header) == valid_sum);
    return ip;
}

} // namespace

TEST_CASE("the payload for a target is the inner packet without a header")
{
    const bytes packet = samples::udp_packet();
    const bytes payload = samples::relayed(packet, 2);
    const parsed_packet parsed = parse(payload);
    const outgoing_datagram datagram =
        encapsulate_for_target(receiver, parsed.packet);
    CHECK(datagram.to == receiver);
    CHECK(payload_of(datagram) == packet);
}

TEST_CASE("a relay increments the hop count up to its maximum")
{
    const auto [before, after] =
        GENERATE(std::pair(0, 1), std::pair(4, 5), std::pair(255, 255));
    const bytes packet = samples::udp_packet();
    const bytes payload =
        samples::relayed(packet, static_cast<std::uint8_t>(before));
    const parsed_packet parsed = parse(payload);
    const outgoing_datagram datagram = encapsulate_for_relay(receiver, parsed);
    CHECK(datagram.to == receiver);
    CHECK(payload_of(datagram) ==
          samples::relayed(packet, static_cast<std::uint8_t>(after)));
}

TEST_CASE("a refused SYN is answered by a reset that its sender accepts")
{
    // Guards against a wrong acknowledgement number, which makes the caller
    // ignore the reset and retransmit until its own timeout.
    const std::string data = GENERATE("", "fast open data");
    Tins::IP ip = parse_refusal(samples::tcp_packet(TCP::SYN, data));
    CHECK(ip.tot_len() == 40);
    const auto& tcp = ip.rfind_pdu<TCP>();
    CHECK(tcp.flags() == (TCP::RST | TCP::ACK));
    CHECK(tcp.sport() == samples::service.port);
    CHECK(tcp.dport() == samples::caller.port);
    CHECK(tcp.seq() == 0);
    // The sequence number of the SYN is 2^32 - 1, so the sum wraps.
    CHECK(tcp.ack_seq() ==
          static_cast<std::uint32_t>(samples::syn_sequence + 1U + data.size()));
}

TEST_CASE("a refused UDP datagram is quoted in an ICMP error")
{
    const std::size_t size = GENERATE(0, 13, 1400);
    const bytes packet = samples::udp_packet(std::string(size, 'x'));
    Tins::IP ip = parse_refusal(packet);
    const auto& icmp = ip.rfind_pdu<Tins::ICMP>();
    CHECK(icmp.type() == Tins::ICMP::DEST_UNREACHABLE);
    CHECK(icmp.code() == 13);
    CHECK(ip.tot_len() == std::min(packet.size() + 28, max_refusal_size));
    const auto& quote = icmp.rfind_pdu<Tins::RawPDU>().payload();
    CHECK(packet_view{std::as_bytes(std::span(quote))} ==
          packet_view{std::span(packet).first(quote.size())});
}

TEST_CASE("a refusal is built only for packets that may open a flow")
{
    // A reset in reply to another segment would break an established flow; a
    // reply to an ICMP error could cause a loop.
    CHECK_FALSE(make_refusal(parse(samples::tcp_packet(TCP::ACK))));
    CHECK_FALSE(make_refusal(parse(samples::tcp_packet(TCP::FIN))));
    CHECK_FALSE(make_refusal(parse(samples::tcp_packet(TCP::RST))));
    CHECK_FALSE(make_refusal(parse(samples::icmp_packet(
        Tins::ICMP::TIME_EXCEEDED, samples::quoted_reply()))));
}

TEST_CASE("refusals stay unchanged until a full batch of them is sent")
{
    const bytes syn = samples::tcp_packet(TCP::SYN);
    const auto refusal = make_refusal(parse(syn));
    REQUIRE(refusal);
    outgoing_batch batch;
    for (int round = 0; round < 2; ++round)
    {
        while (!batch.full())
        {
            batch.add_refusal(receiver, *refusal);
        }
        CHECK(batch.datagrams().size() == batch_capacity);
        for (const outgoing_datagram& datagram : batch.datagrams())
        {
            CHECK(datagram ==
                  encapsulate_for_target(receiver, refusal->view()));
        }
        batch.clear();
        CHECK(batch.datagrams().empty());
    }
}
