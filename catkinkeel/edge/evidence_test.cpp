// Tests of the reports about targets that daemons send to each other.

#include "catkinkeel/edge/evidence_exchange.hpp"
#include "catkinkeel/edge/evidence_message.hpp"
#include "catkinkeel/edge/evidence_outbox.hpp"
#include "catkinkeel/edge/peer_notice.hpp"
#include "catkinkeel/edge/peers_duty.hpp"
#include "catkinkeel/edge/send_budget.hpp"
#include "catkinkeel/edge/test_daemon.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

using namespace catkinkeel;
using namespace catkinkeel::edge;
using namespace catkinkeel::edge::testing;
using steering::evidence_kind;
using steering::evidence_summary;
using steering::target_report;

namespace
{

target_report report(std::uint64_t identity, std::uint32_t count,
                     instant observed_at)
{
    return {{identity, 1'700'000'000'000},
            evidence_kind::silence,
            count,
            observed_at};
}

const steering::view_target& dead_target()
{
    static const steering::view_target target{.identity = 7, .started_ms = 5};
    return target;
}

void send_to(const std::shared_ptr<udp_socket>& from, const endpoint& to,
             std::span<const std::byte> bytes)
{
    const outgoing_datagram datagram{.to = to, .packet = {bytes}};
    REQUIRE(from->send(std::span(&datagram, 1)) == 1);
}

/// The threads of a daemon that shares evidence, with the test in place of the
/// packet thread.
struct sharing_peer
{
    explicit sharing_peer(std::vector<endpoint> seeds)
    {
        edge_settings settings;
        settings.data_centre = "a";
        settings.peers.notice_endpoint = socket->local();
        settings.peers.seeds = std::move(seeds);
        duty = std::make_unique<peers_duty>(
            settings, socket, std::make_shared<confirmation_ring>(1),
            std::make_shared<peer_update_ring>(1), rings,
            std::make_shared<event_channel>(), metrics);
    }

    void report_silence(std::uint32_t count)
    {
        const instant now = boot_now();
        pool.record_own(dead_target(), evidence_kind::silence, count, now);
        exchange.pass_own(pool, now);
    }

    evidence_summary received()
    {
        const instant now = boot_now();
        exchange.record_received(pool, now);
        return pool.evidence_of(dead_target(), evidence_kind::silence, now);
    }

    std::shared_ptr<udp_socket> socket =
        udp_socket::open(any_loopback_port).value();
    std::shared_ptr<evidence_rings> rings = std::make_shared<evidence_rings>();
    std::shared_ptr<edge_metrics> metrics = std::make_shared<edge_metrics>();
    steering::evidence_pool pool;
    evidence_exchange exchange{rings, socket, metrics};
    std::unique_ptr<peers_duty> duty;
};

} // namespace

TEST_CASE("a decoded evidence message equals the encoded one")
{
    // Guards against times of one clock used on another, and against a full
    // message that exceeds the limit of a datagram.
    constexpr std::uint64_t large = std::numeric_limits<std::uint64_t>::max();
    evidence_message message{
        .sender = {{{0xffffffff}, 65535}, std::string(64, 'x')}};
    for (std::uint64_t i = 0; i < max_message_reports; ++i)
    {
        message.reports.push_back(report(large - i, 255, instant(98s)));
    }
    const auto bytes = encode_evidence(message, instant(99s));
    CHECK(bytes.size() <= 1200);
    CHECK(is_evidence(bytes));
    CHECK_FALSE(decode_notice(bytes, instant(500s)));
    CHECK_FALSE(is_evidence(encode_notice({.sender = message.sender}, {})));
    for (target_report& each : message.reports)
    {
        each.observed_at = instant(499s);
    }
    CHECK(decode_evidence(bytes, instant(500s)).value() == message);
}

TEST_CASE("an evidence message is accepted as a whole or not at all")
{
    // Guards against a malformed or hostile datagram that ends the thread, uses
    // much memory, or has a part of its reports recorded.
    using nlohmann::json;
    const auto decode = [](const json& document)
    {
        const auto packed = json::to_msgpack(document);
        return decode_evidence(std::as_bytes(std::span(packed)), instant(9s));
    };
    const json row = {7, 1000, 1, 4'000'000'000U, 500};
    const json good = {2, 1, 7720, "a", {row, {7, 1000, 0, 1, 2001}}};
    const auto decoded = decode(good);
    REQUIRE(decoded);
    // The old row is left out, and the count is limited.
    CHECK(decoded.value().reports ==
          std::vector<target_report>{{{7, 1000},
                                      evidence_kind::silence,
                                      max_report_count,
                                      instant(8500ms)}});
    const auto rejects = [&](const std::string& field, const json& value)
    {
        json changed = good;
        changed[json::json_pointer(field)] = value;
        INFO(changed.dump());
        CHECK_FALSE(decode(changed));
    };
    rejects("/0", 1);
    rejects("/2", 0);
    rejects("/2", 65536);
    rejects("/3", std::string(65, 'x'));
    rejects("/4", json::object());
    rejects("/4", json::array_t(max_message_reports + 1, row));
    rejects("/4/1", json::array({1, 2, 3, 4}));
    rejects("/4/1/0", -1);
    rejects("/4/1/1", std::numeric_limits<std::uint64_t>::max());
    rejects("/4/1/2", 2);
    rejects("/4/1/3", 1.5);
    rejects("/4/1/4", json::array());
    rejects("/5", 1);

    const std::vector<std::byte> nested(1200, std::byte{0x91});
    CHECK_FALSE(decode_evidence(nested, instant(9s)));
    CHECK_FALSE(decode_evidence({}, instant(9s)));
    auto bytes = encode_evidence(
        {{{{1}, 7720}, "a"}, {report(1, 1, instant(1s))}}, instant(1s));
    random_source random(20261206);
    for (int i = 0; i < 20'000; ++i)
    {
        auto changed = bytes;
        changed[random.below(changed.size())] =
            static_cast<std::byte>(random.below(256));
        const auto result = decode_evidence(changed, instant(9s));
        CHECK((!result || result.value().reports.size() <= 1));
    }
    bytes.resize(1201);
    CHECK_FALSE(decode_evidence(bytes, instant(9s)));
}

TEST_CASE("the budget limits bytes to its burst and its rate")
{
    // Guards against evidence that takes the bandwidth of callers' packets.
    const instant start(50s);
    send_budget budget({.bytes_per_second = 500, .burst = 16'000}, start);
    CHECK(budget.take(20, 1000, start) == 16);
    CHECK(budget.take(1, 1000, start) == 0);
    CHECK(budget.take(3, 100, start + 199ms) == 0);
    CHECK(budget.take(3, 100, start + 400ms) == 2);
    CHECK(budget.take(1, 100, start + 100ms) == 0);
    CHECK(budget.take(100, 1000, start + 1h) == 16);
}

TEST_CASE("the outbox keeps the latest report of a target, oldest target first")
{
    // Guards against a target that never gets its turn because its count
    // changes, and against unbounded memory while nothing can be sent.
    evidence_outbox outbox;
    outbox.add(report(1, 1, instant(1s)));
    outbox.add(report(2, 1, instant(1s)));
    outbox.add(report(1, 2, instant(2s)));
    CHECK(outbox.first(1) == std::vector{report(1, 2, instant(2s))});
    outbox.remove_first(1);
    CHECK(outbox.first(16) == std::vector{report(2, 1, instant(1s))});
    for (std::uint64_t identity = 3; identity < 300; ++identity)
    {
        outbox.add(report(identity, 1, instant(2s)));
    }
    CHECK(outbox.first(1) == std::vector{report(44, 1, instant(2s))});
    CHECK(outbox.dropped() == 42);
    outbox.expire(instant(4s));
    CHECK_FALSE(outbox.empty());
    outbox.expire(instant(4001ms));
    CHECK(outbox.empty());
    CHECK(outbox.dropped() == 298);
}

TEST_CASE(
    "a daemon's reports and their withdrawal reach the pools of its peers")
{
    // Guards against evidence that stays at the daemon that found it.
    sharing_peer first({});
    sharing_peer second({first.socket->local()});
    std::uint32_t count = 0;
    CHECK(eventually(
        [&]
        {
            first.report_silence(++count);
            return second.received().reporters == 1;
        }));
    // `second` has only what it received.
    CHECK(second.received().own_count == 0);
    first.pool.clear_own(dead_target(), evidence_kind::silence, boot_now());
    first.exchange.pass_own(first.pool, boot_now());
    const instant cleared = boot_now();
    CHECK(eventually([&] { return second.received().reporters == 0; }));
    // The withdrawal did it, not the age of the report.
    CHECK(boot_now() - cleared < steering::max_evidence_age);
    CHECK(first.metrics->evidence_bytes_sent.Value() > 0);
}

TEST_CASE("a daemon records reports of peers and rejects those of impostors")
{
    // Guards against a report in another daemon's name, and against the packet
    // thread that does not use what the peers thread has received.
    daemon_fixture site;
    site.daemon.reset();
    site.settings.shares_evidence = true;
    site.start(site.source);
    const auto stranger = udp_socket::open(any_loopback_port).value();
    const auto forged = encode_evidence(
        {{site.settings.packets, "a"}, {report(1, 1, instant{})}}, instant{});
    send_to(stranger, site.settings.peers.notice_endpoint, forged);
    CHECK(eventually(
        [&] {
            return has_metric(site,
                              "catkinkeel_evidence_messages_rejected_total 1");
        }));
    CHECK(has_metric(site, "catkinkeel_evidence_reports_received_total 0"));
    sharing_peer peer({site.settings.peers.notice_endpoint});
    CHECK(eventually(
        [&]
        {
            peer.report_silence(1);
            site.send('o');
            return !has_metric(site,
                               "catkinkeel_evidence_reports_recorded_total 0");
        }));
}

TEST_CASE("a daemon that does not share evidence ignores what arrives")
{
    // Guards against reports that change the decisions of daemons whose
    // operators have not enabled them.
    daemon_fixture site;
    const auto peer = udp_socket::open(any_loopback_port).value();
    const auto bytes = encode_evidence(
        {{peer->local(), "a"}, {report(1, 1, instant{})}}, instant{});
    send_to(peer, site.settings.peers.notice_endpoint, bytes);
    CHECK(eventually(
        [&]
        { return has_metric(site, "catkinkeel_notices_rejected_total 1"); }));
    site.send('o');
    CHECK(has_metric(site, "catkinkeel_evidence_reports_received_total 0"));
    CHECK(has_metric(site, "catkinkeel_evidence_reports_recorded_total 0"));
    CHECK(has_metric(site, "catkinkeel_evidence_bytes_sent_total 0"));
}

TEST_CASE("a report whose time of arrival is unknown is dropped")
{
    // Guards against a daemon that was suspended or has just started and takes
    // reports for new that have waited in its socket.
    sharing_peer peer({});
    peer.duty.reset();
    const auto sender = udp_socket::open(any_loopback_port).value();
    const auto receiver = udp_socket::open(any_loopback_port).value();
    send_to(sender, receiver->local(),
            encode_evidence({{sender->local(), "a"}, {report(1, 1, instant{})}},
                            instant{}));
    edge_settings settings;
    settings.peers.notice_endpoint = receiver->local();
    const peers_duty duty(settings, receiver,
                          std::make_shared<confirmation_ring>(1),
                          std::make_shared<peer_update_ring>(1), peer.rings,
                          std::make_shared<event_channel>(), peer.metrics);
    auto& undated =
        peer.metrics->evidence_reports_dropped(report_drop_reason::undated);
    CHECK(eventually([&] { return undated.Value() == 1; }));
    CHECK_FALSE(peer.rings->received.try_pop());
}
