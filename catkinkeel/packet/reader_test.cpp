#include "catkinkeel/packet/packet_samples.hpp"
#include "catkinkeel/packet/reader.hpp"
#include "catkinkeel/packet/refusal.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <functional>
#include <set>

using namespace catkinkeel;
using samples::bytes;
using Tins::ICMP;
using Tins::TCP;

namespace
{

read_result read(const bytes& payload)
{
    return read_datagram({payload});
}

const flow_key tcp_key{samples::caller, samples::service, protocol::tcp};
const flow_key udp_key{samples::caller, samples::service, protocol::udp};

/// A valid payload, the fault put into it, and the reason it must be rejected
/// for.
struct fault_row
{
    std::string name;
    bytes payload;
    std::function<void(bytes&)> damage;
    reject_reason reason;
    bool refresh = true;
};

std::function<void(bytes&)> set(std::size_t at, int value)
{
    return [=](bytes& payload)
    {
        payload.at(at) = std::byte(value);
    };
}

/// Shortens the packet, and its total length with it.
std::function<void(bytes&)> cut_to(std::uint8_t size)
{
    return [=](bytes& packet)
    {
        packet.at(3) = std::byte{size};
        packet.resize(size);
    };
}

std::vector<fault_row> fault_rows()
{
    const bytes tcp = samples::tcp_packet(TCP::ACK);
    const bytes udp = samples::udp_packet();
    const bytes relay = samples::relayed(udp, 1);
    const bytes answer = samples::quoted_answer();
    const bytes icmp = samples::icmp_packet(ICMP::TIME_EXCEEDED, answer);
    const auto keep = [](bytes&) {
    };
    const auto quoting = [](bytes quote, const std::function<void(bytes&)>& f)
    {
        f(quote);
        return samples::icmp_packet(ICMP::TIME_EXCEEDED, quote);
    };
    using enum reject_reason;
    return {
        {"IPv6", udp, set(0, 0x60), not_ipv4, false},
        {"IP version 5", udp, set(0, 0x55), not_ipv4, false},
        {"GUE variant 2", udp, set(0, 0x80), bad_gue, false},
        {"GUE variant 3", udp, set(0, 0xc5), bad_gue, false},
        {"GUE control message", relay, set(0, 0x21), bad_gue, false},
        {"GUE without private data", relay, set(0, 0x00), bad_gue, false},
        {"GUE with more private data", relay, set(0, 0x02), bad_gue, false},
        {"GUE with flags", relay, set(2, 0x80), bad_gue, false},
        {"other private data", relay, set(4, 2), bad_gue, false},
        {"GUE that carries IPv6", relay, set(1, 41), not_ipv4, false},
        {"relay of IPv6", relay, set(8, 0x60), not_ipv4, false},
        {"IP header of 16 bytes", udp, set(0, 0x44), bad_header_length},
        {"total length below the header", udp, set(3, 19), bad_length},
        {"total length above the payload", udp, set(3, 200), truncated},
        {"header longer than the packet", samples::udp_packet(""), set(0, 0x4f),
         bad_length},
        {"damaged TTL", udp, set(8, 7), bad_checksum, false},
        {"source 0.0.0.0", udp,
         [](bytes& b) { std::fill_n(b.begin() + 12, 4, std::byte{0}); },
         bad_source},
        {"multicast source", udp, set(12, 224), bad_source},
        {"first fragment", udp, set(6, 0x20), fragment},
        {"later fragment", udp, set(7, 1), fragment},
        {"SCTP", udp, set(9, 132), unsupported_protocol},
        {"TCP header cut", samples::udp_packet("short"), set(9, 6), truncated},
        {"TCP data offset 4", tcp, set(32, 0x40), bad_header_length},
        {"TCP data offset past the end", tcp, set(32, 0xf0), bad_header_length},
        {"SYN and FIN", tcp, set(33, TCP::SYN | TCP::FIN), bad_tcp_flags},
        {"SYN and RST", tcp, set(33, TCP::SYN | TCP::RST), bad_tcp_flags},
        {"UDP length 7", udp, set(25, 7), bad_length},
        {"UDP length past the end", udp, set(25, 22), bad_length},
        {"UDP header cut", udp, cut_to(27), truncated},
        {"ICMP echo", samples::icmp_packet(ICMP::ECHO_REQUEST, answer), keep,
         unsupported_icmp},
        {"ICMP redirect", samples::icmp_packet(ICMP::REDIRECT, answer), keep,
         unsupported_icmp},
        {"damaged ICMP", icmp, set(48, 0x77), bad_checksum},
        {"quote of another version", quoting(answer, set(0, 0x65)), keep,
         bad_quote},
        {"quoted header length 4", quoting(answer, set(0, 0x44)), keep,
         bad_quote},
        {"quoted header past the end", quoting(answer, set(0, 0x4f)), keep,
         truncated},
        {"foreign quote",
         samples::icmp_packet(ICMP::TIME_EXCEEDED,
                              samples::quoted_answer({0xcb007106})),
         keep, bad_quote},
        {"quote of a later fragment", quoting(answer, set(7, 9)), keep,
         fragment},
        {"quote of ICMP", quoting(answer, set(9, 1)), keep,
         unsupported_protocol},
        {"quote without all ports", quoting(answer, cut_to(27)), keep,
         truncated},
        {"quote without header", quoting(answer, cut_to(19)), keep, truncated},
        {"ICMP header cut", icmp, cut_to(27), truncated},
    };
}

} // namespace

TEST_CASE("TCP flags give the phase, whatever the options hold")
{
    struct phase_row
    {
        unsigned flags;
        flow_phase phase;
    };
    const auto row = GENERATE(
        phase_row{TCP::SYN, flow_phase::opening},
        phase_row{TCP::SYN | TCP::ECE | TCP::CWR, flow_phase::opening},
        phase_row{TCP::SYN | TCP::ACK, flow_phase::established},
        phase_row{TCP::ACK | TCP::PSH, flow_phase::established},
        phase_row{0, flow_phase::established},
        phase_row{TCP::FIN | TCP::ACK, flow_phase::finishing},
        phase_row{TCP::RST, flow_phase::aborted},
        phase_row{TCP::RST | TCP::FIN | TCP::ACK, flow_phase::aborted});
    bytes packet = samples::tcp_packet(row.flags);
    packet[41] = std::byte{99}; // length of the first option
    CHECK(read(packet) ==
          read_result(parsed_packet{{tcp_key, row.phase, 0}, {packet}}));
}

TEST_CASE("bytes behind the total length are not part of the packet")
{
    const bytes packet = samples::udp_packet();
    bytes padded = packet;
    padded.resize(packet.size() + 18);
    CHECK(read(padded) == read_result(parsed_packet{
                              {udp_key, flow_phase::datagram, 0}, {packet}}));
}

TEST_CASE("ports are read behind IP options")
{
    const bytes packet = samples::udp_packet_with_ip_options();
    REQUIRE(packet.at(0) == std::byte{0x46});
    CHECK(read(packet) == read_result(parsed_packet{
                              {udp_key, flow_phase::datagram, 0}, {packet}}));
}

TEST_CASE("a relay's hop count is read and its header cut off")
{
    const bytes packet = samples::udp_packet();
    const auto hops = GENERATE(as<std::uint8_t>{}, 0, 1, 4, 255);
    CHECK(read(samples::relayed(packet, hops)) ==
          read_result(
              parsed_packet{{udp_key, flow_phase::datagram, hops}, {packet}}));
}

TEST_CASE("an ICMP error follows the flow of the answer it quotes")
{
    const auto type = GENERATE(ICMP::DEST_UNREACHABLE, ICMP::TIME_EXCEEDED,
                               ICMP::PARAM_PROBLEM);
    const bytes packet = samples::icmp_packet(type, samples::quoted_answer());
    CHECK(read(packet) == read_result(parsed_packet{
                              {tcp_key, flow_phase::icmp_error, 0}, {packet}}));
}

TEST_CASE("each fault is rejected for its own reason and counted")
{
    reject_counters counters;
    std::map<reject_reason, std::uint64_t> expected;
    for (const fault_row& row : fault_rows())
    {
        INFO(row.name);
        bytes payload = row.payload;
        row.damage(payload);
        if (row.refresh)
        {
            samples::refresh_checksum(payload);
        }
        const read_result result = read(payload);
        REQUIRE(result == read_result(row.reason));
        counters.add(std::get<reject_reason>(result));
        ++expected[row.reason];
    }
    std::set<std::string_view> names;
    for (const reject_reason_row& row : reject_reason_rows)
    {
        INFO(row.name);
        CHECK(expected[row.reason] > 0);
        CHECK(counters.of(row.reason) == expected[row.reason]);
        CHECK(to_string(row.reason) == row.name);
        names.insert(row.name);
    }
    CHECK(names.size() == reject_reason_rows.size());
}

TEST_CASE("every prefix of a valid payload is truncated")
{
    for (const bytes& payload : samples::valid_payloads())
    {
        REQUIRE(std::holds_alternative<parsed_packet>(read(payload)));
        for (std::size_t size = 0; size < payload.size(); ++size)
        {
            // A copy of exact size lets the address sanitizer see an overrun.
            const bytes prefix(payload.data(), payload.data() + size);
            INFO(size);
            CHECK(read(prefix) == read_result(reject_reason::truncated));
        }
    }
}

TEST_CASE("no mutation of a payload makes the reader leave its bounds")
{
    const std::vector<bytes> payloads = samples::valid_payloads();
    const auto property = [&]
    {
        bytes payload = *rc::gen::elementOf(payloads);
        const auto edits = *rc::gen::resize(
            6, rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
                   rc::gen::pair(rc::gen::inRange(0U, 64U),
                                 rc::gen::inRange(0U, 256U))));
        for (const auto& [at, value] : edits)
        {
            payload[at % payload.size()] = std::byte(value);
        }
        const auto cut = *rc::gen::element<std::size_t>(0, 0, 0, 1, 8, 20);
        payload.resize(payload.size() - std::min(cut, payload.size() - 20));
        // Most mutated headers get a right checksum, to reach the later checks.
        if (*rc::gen::inRange(0, 4) != 0)
        {
            samples::refresh_checksum(payload);
        }
        payload.shrink_to_fit();
        const read_result result = read(payload);
        RC_CLASSIFY(std::holds_alternative<parsed_packet>(result));
        if (const auto* packet = std::get_if<parsed_packet>(&result))
        {
            const auto inner = packet->packet.bytes;
            RC_ASSERT(inner.data() >= payload.data());
            RC_ASSERT(inner.data() + inner.size() <=
                      payload.data() + payload.size());
            const auto refusal = refuse_packet(*packet);
            RC_ASSERT(!refusal ||
                      refusal->view().bytes.size() <= largest_refusal);
        }
    };
    CHECK(rc::check(property));
}

TEST_CASE("arbitrary bytes are read without leaving their bounds")
{
    CHECK(rc::check(
        [](const std::vector<std::uint8_t>& raw)
        {
            const auto view = std::as_bytes(std::span(raw));
            const bytes payload(view.begin(), view.end());
            const read_result result = read(payload);
            RC_ASSERT(payload.size() >= 20 ||
                      std::holds_alternative<reject_reason>(result));
        }));
}
