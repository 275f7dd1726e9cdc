#include "catkinkeel/packet/packet_parser.hpp"
#include "catkinkeel/packet/packet_samples.hpp"
#include "catkinkeel/packet/refusal.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <functional>
#include <set>

using namespace catkinkeel;
using samples::bytes;
using Tins::ICMP;
using Tins::TCP;

// A datagram that the parser cannot accept has a `reject_reason` and is not
// answered. A refusal is the reply to a valid packet whose flow is refused.

namespace
{

parse_result parse(const bytes& payload)
{
    return parse_datagram({payload});
}

const flow_key tcp_key{samples::caller, samples::service, protocol::tcp};
const flow_key udp_key{samples::caller, samples::service, protocol::udp};

/// A valid payload, a modification that makes it invalid, and the expected
/// reason of its rejection.
struct invalid_payload_row
{
    std::string name;
    bytes payload;
    std::function<void(bytes&)> corrupt;
    reject_reason reason;
    /// Recomputes the header checksum after the modification, so that it is not
    /// what the payload is rejected for.
    bool fix_checksum = true;
};

std::function<void(bytes&)> set_byte(std::size_t offset, int value)
{
    return [=](bytes& payload)
    {
        payload.at(offset) = std::byte(value);
    };
}

/// Shortens the packet and adjusts its total length.
std::function<void(bytes&)> truncate_to(std::uint8_t size)
{
    return [=](bytes& packet)
    {
        packet.at(3) = std::byte{size};
        packet.resize(size);
    };
}

std::vector<invalid_payload_row> invalid_payload_rows()
{
    const bytes tcp = samples::tcp_packet(TCP::ACK);
    const bytes udp = samples::udp_packet();
    const bytes relay = samples::relayed(udp, 1);
    const bytes reply = samples::quoted_reply();
    const bytes icmp = samples::icmp_packet(ICMP::TIME_EXCEEDED, reply);
    const auto unchanged = [](bytes&) {
    };
    const auto icmp_quoting =
        [](bytes quote, const std::function<void(bytes&)>& modify)
    {
        modify(quote);
        return samples::icmp_packet(ICMP::TIME_EXCEEDED, quote);
    };
    using enum reject_reason;
    return {
        {"IPv6", udp, set_byte(0, 0x60), not_ipv4, false},
        {"IP version 5", udp, set_byte(0, 0x55), not_ipv4, false},
        {"GUE variant 2", udp, set_byte(0, 0x80), bad_gue, false},
        {"GUE variant 3", udp, set_byte(0, 0xc5), bad_gue, false},
        {"GUE control message", relay, set_byte(0, 0x21), bad_gue, false},
        {"GUE without private data", relay, set_byte(0, 0x00), bad_gue, false},
        {"GUE with more private data", relay, set_byte(0, 0x02), bad_gue,
         false},
        {"GUE with flags", relay, set_byte(2, 0x80), bad_gue, false},
        {"private data of another format", relay, set_byte(4, 2), bad_gue,
         false},
        {"GUE that carries IPv6", relay, set_byte(1, 41), not_ipv4, false},
        {"relay of IPv6", relay, set_byte(8, 0x60), not_ipv4, false},
        {"IP header of 16 bytes", udp, set_byte(0, 0x44), bad_header_length},
        {"total length below the header", udp, set_byte(3, 19), bad_length},
        {"total length above the payload", udp, set_byte(3, 200), truncated},
        {"header longer than the packet", samples::udp_packet(""),
         set_byte(0, 0x4f), bad_length},
        {"TTL changed without the checksum", udp, set_byte(8, 7), bad_checksum,
         false},
        {"source 0.0.0.0", udp,
         [](bytes& b) { std::fill_n(b.begin() + 12, 4, std::byte{0}); },
         bad_source},
        {"multicast source", udp, set_byte(12, 224), bad_source},
        {"initial fragment", udp, set_byte(6, 0x20), fragment},
        {"non-initial fragment", udp, set_byte(7, 1), fragment},
        {"SCTP", udp, set_byte(9, 132), unsupported_protocol},
        {"truncated TCP header", samples::udp_packet("short"), set_byte(9, 6),
         truncated},
        {"TCP data offset 4", tcp, set_byte(32, 0x40), bad_header_length},
        {"TCP data offset past the end", tcp, set_byte(32, 0xf0),
         bad_header_length},
        {"SYN and FIN", tcp, set_byte(33, TCP::SYN | TCP::FIN), bad_tcp_flags},
        {"SYN and RST", tcp, set_byte(33, TCP::SYN | TCP::RST), bad_tcp_flags},
        {"UDP length 7", udp, set_byte(25, 7), bad_length},
        {"UDP length past the end", udp, set_byte(25, 22), bad_length},
        {"truncated UDP header", udp, truncate_to(27), truncated},
        {"ICMP echo", samples::icmp_packet(ICMP::ECHO_REQUEST, reply),
         unchanged, unsupported_icmp},
        {"ICMP redirect", samples::icmp_packet(ICMP::REDIRECT, reply),
         unchanged, unsupported_icmp},
        {"ICMP changed without its checksum", icmp, set_byte(48, 0x77),
         bad_checksum},
        {"quote of another version", icmp_quoting(reply, set_byte(0, 0x65)),
         unchanged, bad_quote},
        {"quoted header length 4", icmp_quoting(reply, set_byte(0, 0x44)),
         unchanged, bad_quote},
        {"quoted header past the end", icmp_quoting(reply, set_byte(0, 0x4f)),
         unchanged, truncated},
        {"quote of a packet from another address than the error is sent to",
         samples::icmp_packet(
             ICMP::TIME_EXCEEDED,
             samples::quoted_reply({0xcb007106})), // 203.0.113.6
         unchanged, bad_quote},
        {"quote of a non-initial fragment", icmp_quoting(reply, set_byte(7, 9)),
         unchanged, fragment},
        {"quote of ICMP", icmp_quoting(reply, set_byte(9, 1)), unchanged,
         unsupported_protocol},
        {"quote without all ports", icmp_quoting(reply, truncate_to(27)),
         unchanged, truncated},
        {"quote without header", icmp_quoting(reply, truncate_to(19)),
         unchanged, truncated},
        {"truncated ICMP header", icmp, truncate_to(27), truncated},
    };
}

} // namespace

TEST_CASE("the flow phase follows from the TCP flags and ignores the options")
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
    CHECK(parse(packet) ==
          parse_result(parsed_packet{{tcp_key, row.phase, 0}, {packet}}));
}

TEST_CASE("bytes after the total length are not part of the packet")
{
    const bytes packet = samples::udp_packet();
    bytes padded = packet;
    padded.resize(packet.size() + 18);
    CHECK(parse(padded) == parse_result(parsed_packet{
                               {udp_key, flow_phase::datagram, 0}, {packet}}));
}

TEST_CASE("ports are parsed after IP options")
{
    const bytes packet = samples::udp_packet_with_ip_options();
    REQUIRE(packet.at(0) == std::byte{0x46});
    CHECK(parse(packet) == parse_result(parsed_packet{
                               {udp_key, flow_phase::datagram, 0}, {packet}}));
}

TEST_CASE("the hop count of a relay header is parsed and the header removed")
{
    const bytes packet = samples::udp_packet();
    const auto hops = GENERATE(as<std::uint8_t>{}, 0, 1, 4, 255);
    CHECK(parse(samples::relayed(packet, hops)) ==
          parse_result(
              parsed_packet{{udp_key, flow_phase::datagram, hops}, {packet}}));
}

TEST_CASE("an ICMP error belongs to the flow of the reply that it quotes")
{
    const auto type = GENERATE(ICMP::DEST_UNREACHABLE, ICMP::TIME_EXCEEDED,
                               ICMP::PARAM_PROBLEM);
    const bytes packet = samples::icmp_packet(type, samples::quoted_reply());
    CHECK(parse(packet) ==
          parse_result(
              parsed_packet{{tcp_key, flow_phase::icmp_error, 0}, {packet}}));
}

// Also checks that the table of invalid payloads covers all reasons, and that
// the names of the reasons differ.
TEST_CASE("each invalid payload is rejected and counted with the expected "
          "reason")
{
    reject_counters counters;
    std::map<reject_reason, std::uint64_t> expected;
    for (const invalid_payload_row& row : invalid_payload_rows())
    {
        INFO(row.name);
        bytes payload = row.payload;
        row.corrupt(payload);
        if (row.fix_checksum)
        {
            samples::update_header_checksum(payload);
        }
        const parse_result result = parse(payload);
        REQUIRE(result == parse_result(row.reason));
        counters.add(std::get<reject_reason>(result));
        ++expected[row.reason];
    }
    std::set<std::string_view> names;
    for (const reject_reason_row& row : reject_reason_rows)
    {
        INFO(row.name);
        CHECK(expected[row.reason] > 0);
        CHECK(counters.count_of(row.reason) == expected[row.reason]);
        CHECK(to_string(row.reason) == row.name);
        names.insert(row.name);
    }
    CHECK(names.size() == reject_reason_rows.size());
}

TEST_CASE("every proper prefix of a valid payload is rejected as truncated")
{
    for (const bytes& payload : samples::valid_payloads())
    {
        REQUIRE(std::holds_alternative<parsed_packet>(parse(payload)));
        for (std::size_t size = 0; size < payload.size(); ++size)
        {
            // A copy of the exact size lets AddressSanitizer detect an overrun.
            const bytes prefix(payload.data(), payload.data() + size);
            INFO(size);
            CHECK(parse(prefix) == parse_result(reject_reason::truncated));
        }
    }
}

// Reads outside the payload are detected only if the test is built with
// AddressSanitizer. The assertions check that the parsed packet is inside the
// payload and that its refusal does not exceed the maximum size.
TEST_CASE("parsing and refusing a mutated payload stays within the bounds")
{
    const std::vector<bytes> payloads = samples::valid_payloads();
    const auto property = [&]
    {
        bytes payload = *rc::gen::elementOf(payloads);
        const auto mutations = *rc::gen::resize(
            6, rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
                   rc::gen::pair(rc::gen::inRange(0U, 64U),
                                 rc::gen::inRange(0U, 256U))));
        for (const auto& [offset, value] : mutations)
        {
            payload[offset % payload.size()] = std::byte(value);
        }
        const auto removed_bytes =
            *rc::gen::element<std::size_t>(0, 0, 0, 1, 8, 20);
        payload.resize(payload.size() -
                       std::min(removed_bytes, payload.size() - 20));
        // Three of four mutated headers get a valid checksum, so that the
        // checks after the checksum are reached.
        if (*rc::gen::inRange(0, 4) != 0)
        {
            samples::update_header_checksum(payload);
        }
        payload.shrink_to_fit();
        const parse_result result = parse(payload);
        RC_CLASSIFY(std::holds_alternative<parsed_packet>(result));
        if (const auto* packet = std::get_if<parsed_packet>(&result))
        {
            const auto inner = packet->packet.bytes;
            RC_ASSERT(inner.data() >= payload.data());
            RC_ASSERT(inner.data() + inner.size() <=
                      payload.data() + payload.size());
            const auto refusal = make_refusal(*packet);
            RC_ASSERT(!refusal ||
                      refusal->view().bytes.size() <= max_refusal_size);
        }
    };
    CHECK(rc::check(property));
}

// Reads outside the payload are detected only if the test is built with
// AddressSanitizer. The assertion checks that no packet is found in fewer bytes
// than an IPv4 header has.
TEST_CASE("the parser stays within the bounds of arbitrary bytes and rejects "
          "fewer than 20")
{
    CHECK(rc::check(
        [](const std::vector<std::uint8_t>& raw)
        {
            const auto view = std::as_bytes(std::span(raw));
            const bytes payload(view.begin(), view.end());
            const parse_result result = parse(payload);
            RC_ASSERT(payload.size() >= 20 ||
                      std::holds_alternative<reject_reason>(result));
        }));
}
