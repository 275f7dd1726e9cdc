// Tests of the reports about targets that daemons send to each other.

#include "catkinkeel/edge/evidence_message.hpp"
#include "catkinkeel/edge/peer_notice.hpp"
#include "catkinkeel/edge/peers_duty.hpp"
#include "catkinkeel/edge/test_daemon.hpp"

#include <catch2/catch.hpp>

#include <array>
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
    constexpr std::int64_t started_ms = 1'700'000'000'000;
    return {{identity, started_ms}, evidence_kind::silence, count, observed_at};
}

/// Sends a message with one report in the name of `sender`.
void send_report(const std::shared_ptr<udp_socket>& from,
                 const endpoint& sender, const endpoint& to)
{
    const auto bytes =
        encode_evidence({{sender, "a"}, {report(1, 1, instant{})}}, instant{});
    const outgoing_datagram datagram{.to = to, .packet = {bytes}};
    REQUIRE(from->send(std::span(&datagram, 1)) == 1);
}

/// The threads of a daemon that shares evidence, with the test in place of the
/// packet thread.
struct sharing_peer
{
    void start(std::vector<endpoint> seeds)
    {
        edge_settings settings{.data_centre = "a"};
        settings.peers.notice_endpoint = socket->local();
        settings.peers.seeds = std::move(seeds);
        duty = std::make_unique<peers_duty>(
            settings, socket, std::make_shared<confirmation_ring>(1),
            std::make_shared<peer_update_ring>(1), rings,
            std::make_shared<daemon_count_ring>(1),
            std::make_shared<event_channel>(), metrics);
    }
    void report(evidence_kind kind)
    {
        pool.record_own(dead, kind, 1, boot_now());
        exchange.pass_own(pool, boot_now());
    }
    void report_silence()
    {
        report(evidence_kind::silence);
    }
    evidence_summary received()
    {
        exchange.record_received(pool, boot_now());
        return pool.evidence_of(dead, evidence_kind::silence, boot_now());
    }

    steering::view_target dead{.identity = 7, .started_ms = 5};
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
    evidence_message message{
        .sender = {{{0xffffffff}, 65535}, std::string(64, 'x')}};
    message.reports = std::vector(
        max_message_reports, report(0ULL - 1, max_report_count, instant(98s)));
    const auto bytes = encode_evidence(message, instant(99s));
    CHECK(bytes.size() <= 1200);
    CHECK(is_evidence(bytes));
    CHECK_FALSE(decode_notice(bytes, instant(500s)));
    CHECK_FALSE(is_evidence(encode_notice({.sender = message.sender}, {})));
    message.reports = std::vector(
        max_message_reports, report(0ULL - 1, max_report_count, instant(499s)));
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
    const json good = json::parse(
        R"([2, 1, 7720, "a", [[7, 1000, 1, 4000000000, 500], [7, 5, 0, 1, 2001]]])");
    // The old row is left out, and the count is limited.
    const target_report expected{
        {7, 1000}, evidence_kind::silence, max_report_count, instant(8500ms)};
    CHECK(decode(good).value().reports == std::vector{expected});
    json changes = json::parse(
        R"([["/0", 1], ["/2", 0], ["/2", 65536], ["/4", {}], ["/5", 1],
            ["/4/1", [1, 2, 3, 4]], ["/4/1/0", -1], ["/4/1/2", 2],
            ["/4/1/1", 18446744073709551615], ["/4/1/3", 1.5], ["/4/1/4", []]])");
    changes.push_back({"/3", std::string(65, 'x')});
    changes.push_back({"/4", json::array_t(17, good[4][0])});
    for (const json& each : changes)
    {
        json changed = good;
        changed[json::json_pointer(each[0].get<std::string>())] = each[1];
        INFO(changed.dump());
        CHECK_FALSE(decode(changed));
    }
    const std::vector<std::byte> nested(1200, std::byte{0x91});
    CHECK_FALSE(decode_evidence(nested, instant(9s)));
    CHECK_FALSE(decode_evidence({}, instant(9s)));
    auto bytes = encode_evidence({{{{1}, 7720}, "a"}, {expected}}, instant(9s));
    random_source random(20261206);
    for (int i = 0; i < 20'000; ++i)
    {
        auto changed = bytes;
        changed[random.below(changed.size())] = std::byte(random.below(256));
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

TEST_CASE("reports and their withdrawal reach the pools of other daemons")
{
    // Guards against evidence that stays at the daemon that found it.
    sharing_peer first;
    sharing_peer second;
    first.start({});
    second.start({first.socket->local()});
    CHECK(eventually(
        [&]
        {
            first.report_silence();
            return second.received() == evidence_summary{0, 1, 1};
        }));
    const instant cleared = boot_now();
    first.pool.clear_own(first.dead, evidence_kind::silence, cleared);
    first.exchange.pass_own(first.pool, cleared);
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
    const endpoint notices = site.settings.peers.notice_endpoint;
    const auto has = [&](const std::string& line)
    {
        return has_metric(site, "catkinkeel_evidence_" + line);
    };
    send_report(site.socket, site.settings.packets, notices);
    CHECK(eventually([&] { return has("messages_rejected_total 1"); }));
    CHECK(has("reports_received_total 0"));
    sharing_peer peer;
    peer.start({notices});
    CHECK(eventually(
        [&]
        {
            peer.report_silence();
            site.send('o');
            return !has("reports_recorded_total 0");
        }));
}

TEST_CASE("the number of suspected targets returns to 0 without packets")
{
    // Guards against a gauge that shows suspected targets for ever when their
    // service has no flows any more.
    daemon_fixture site;
    site.daemon.reset();
    site.settings.shares_evidence = true;
    site.settings.steering.judges_answers = true;
    site.start(site.source);
    steering::metadata_update update = make_site_update(site.socket->local());
    site.source->enqueue(update);
    REQUIRE(eventually([&] { return site.is_ready(); }));
    std::array<sharing_peer, 2> peers;
    for (sharing_peer& each : peers)
    {
        each.dead = {.identity = 1};
        each.start({site.settings.peers.notice_endpoint});
    }
    std::uint32_t port = 1;
    REQUIRE(eventually(
        [&]
        {
            for (sharing_peer& each : peers)
            {
                each.report(evidence_kind::failing_answers);
            }
            site.send('n', ++port);
            return has_metric(site, "catkinkeel_targets_suspected 1");
        }));
    // Until all packets have been handled.
    while (!site.receive(100ms).empty())
    {
    }
    auto restarted = std::get<steering::target_announced>(update.changes[1]);
    restarted.target.identity = 2;
    restarted.target.started_ms = 1;
    site.source->enqueue(
        steering::metadata_update{.revision = 11, .changes = {restarted}});
    CHECK(eventually(
        [&] { return has_metric(site, "catkinkeel_targets_suspected 0"); }));
}

TEST_CASE("a daemon that does not share evidence ignores what arrives")
{
    // Guards against reports that change the decisions of daemons whose
    // operators have not enabled them.
    const daemon_fixture site;
    send_report(site.socket, site.socket->local(),
                site.settings.peers.notice_endpoint);
    CHECK(eventually(
        [&]
        { return has_metric(site, "catkinkeel_notices_rejected_total 1"); }));
    site.send('o');
    for (const std::string name : {"received", "recorded", "sent"})
    {
        CHECK(has_metric(site,
                         "catkinkeel_evidence_reports_" + name + "_total 0"));
    }
}

TEST_CASE("a report whose time of arrival is unknown is dropped")
{
    // Guards against a daemon that was suspended or has just started and takes
    // reports for new that have waited in its socket.
    sharing_peer peer;
    const auto sender = udp_socket::open(any_loopback_port).value();
    send_report(sender, sender->local(), peer.socket->local());
    peer.start({});
    auto& undated =
        peer.metrics->evidence_reports_dropped(report_drop_reason::undated);
    CHECK(eventually([&] { return undated.Value() == 1; }));
    CHECK_FALSE(peer.rings->received.try_pop());
}
