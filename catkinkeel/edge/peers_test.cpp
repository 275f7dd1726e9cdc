// Tests of which daemon reads the newest state of the store, and of the notices
// between daemons.

#include "catkinkeel/edge/arrival_bound.hpp"
#include "catkinkeel/edge/freshness.hpp"
#include "catkinkeel/edge/peer_notice.hpp"
#include "catkinkeel/edge/peer_table.hpp"
#include "catkinkeel/edge/peers_duty.hpp"
#include "catkinkeel/edge/reading_duty.hpp"
#include "catkinkeel/edge/test_daemon.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace catkinkeel;
using namespace catkinkeel::edge;

TEST_CASE("the first daemon confirms first, the others later by rank")
{
    const freshness_settings settings{.effect_bound = 3s};
    CHECK(max_confirmation_age(settings, {0, 0}) == 1350ms);
    CHECK(max_confirmation_age(settings, {3, 0}) == 1800ms);
    CHECK(std::chrono::round<std::chrono::milliseconds>(
              max_confirmation_age(settings, {9, 1})) == 1860ms);
    CHECK(std::chrono::round<std::chrono::milliseconds>(
              max_confirmation_age(settings, {50, 40})) == 2100ms);
}

TEST_CASE("a replica is read only while there is a recent confirmation")
{
    // Guards against a change that takes effect after its bound because the
    // answers of a replica are seconds old.
    freshness_tracker state({.effect_bound = 3s});
    const reader_rank other{3, 0};
    CHECK(state.plan_read(10, other, instant(1s)).confirm);
    state.record({10, instant(1s)});
    state.note_applied(10);
    CHECK(state.plan_read(10, other, instant(1s)) == read_plan{false, 900ms});
    CHECK(state.plan_read(10, other, instant(2500ms)) ==
          read_plan{false, 300ms});
    CHECK(state.plan_read(10, other, instant(2800ms)).confirm);
    // A peer has confirmed a later revision: one read gives the replica
    // `replica_delay` to deliver it.
    state.record({12, instant(2s)});
    CHECK(state.plan_read(10, other, instant(2150ms)) ==
          read_plan{false, 100ms});
    CHECK(state.replica_too_old(10, other, instant(2900ms)));
    CHECK(state.replica_too_old(11, other, instant(2900ms)));
    CHECK_FALSE(state.replica_too_old(12, other, instant(2900ms)));
    CHECK_FALSE(state.plan_read(12, other, instant(2200ms)).confirm);
    // An older confirmation is ignored.
    state.record({99, instant(1500ms)});
    CHECK_FALSE(state.replica_too_old(12, other, instant(2900ms)));
}

TEST_CASE("confirmations of peers do not put off a read of the newest state")
{
    // Guards against a daemon with a stale replica that waits anew for it with
    // each confirmation that arrives, and follows changes after their bound.
    freshness_tracker state({.effect_bound = 3s});
    const reader_rank other{3, 0};
    constexpr duration period = 900ms;
    state.record({10, instant(1s)});
    state.note_applied(10);
    // A change was acknowledged at 1 s. Each read is from a replica that lacks
    // it, and before each read another daemon has confirmed it again.
    instant next = instant(1s) + period;
    bool confirmed = false;
    while (!confirmed)
    {
        state.record({11, next - 1ms});
        const read_plan plan = state.plan_read(10, other, next);
        state.note_applied(10);
        confirmed =
            plan.confirm || state.replica_too_old(10, other, next + period);
        next += confirmed ? plan.wait : period;
    }
    CHECK(next <= instant(1s) + 2100ms);
}

TEST_CASE("a confirmation with a later time but a lower revision is ignored")
{
    // Guards against a peer that passes on an old confirmation as a new one.
    freshness_tracker state({.effect_bound = 3s});
    state.record({12, instant(2s)});
    state.record({10, instant(4s)});
    CHECK(state.last() == confirmation{12, instant(2s)});
    // What the daemon has read itself holds.
    state.record_own({11, instant(5s)});
    CHECK(state.last() == confirmation{11, instant(5s)});
}

TEST_CASE("a datagram may be as old as the last receive that left none behind")
{
    // Guards against a suspended process that takes what arrived meanwhile for
    // new.
    arrival_bound bound(100ms);
    bound.record(instant(10s), instant(10050ms), true);
    CHECK_FALSE(bound.earliest());
    bound.record(instant(10050ms), instant(10060ms), true);
    CHECK(bound.earliest() == instant(10050ms));
    // Suspended during this receive.
    bound.record(instant(10060ms), instant(14s), false);
    CHECK(bound.earliest() == instant(10060ms));
    // The last receive has left datagrams behind.
    bound.record(instant(14s), instant(18s), true);
    CHECK(bound.earliest() == instant(10060ms));
    // Suspended after the socket was empty, for all that is known.
    bound.record(instant(18s), instant(18010ms), true);
    CHECK(bound.earliest() == instant(14100ms));
    bound.record(instant(18010ms), instant(18020ms), true);
    CHECK(bound.earliest() == instant(18010ms));
}

TEST_CASE("a notice that waited in the socket does not count as a new one")
{
    // Guards against a daemon that was suspended and then passes on
    // confirmations that arrived meanwhile as new ones, which makes its peers
    // put off their own reads.
    const auto sender = udp_socket::open(testing::any_loopback_port).value();
    const auto receiver = udp_socket::open(testing::any_loopback_port).value();
    const auto send_confirmation = [&](std::uint64_t revision)
    {
        const instant now = boot_now();
        const auto bytes =
            encode_notice({.sender = {sender->local(), "a"},
                           .confirmed = confirmation{revision, now}},
                          now);
        const outgoing_datagram datagram{.to = receiver->local(),
                                         .packet = {bytes}};
        REQUIRE(sender->send(std::span(&datagram, 1)) == 1);
    };
    constexpr std::uint64_t old_revision = 7;
    constexpr std::uint64_t new_revision = 8;
    send_confirmation(old_revision);
    const instant old_sent_by = boot_now();
    constexpr duration suspension = 300ms;
    std::this_thread::sleep_for(suspension);
    edge_settings settings;
    settings.data_centre = "a";
    settings.peers.notice_endpoint = receiver->local();
    const auto updates = std::make_shared<peer_update_ring>(peer_ring_size);
    const peers_duty duty(
        settings, receiver, std::make_shared<confirmation_ring>(peer_ring_size),
        updates, nullptr, std::make_shared<daemon_count_ring>(peer_ring_size),
        std::make_shared<event_channel>(), std::make_shared<edge_metrics>());
    bool new_received = false;
    CHECK(testing::eventually(
        [&]
        {
            send_confirmation(new_revision);
            while (const auto update = updates->try_pop())
            {
                const auto& confirmed = update->confirmed;
                if (confirmed && confirmed->revision == old_revision)
                {
                    CHECK(confirmed->at <= old_sent_by);
                }
                new_received =
                    new_received ||
                    (confirmed && confirmed->revision == new_revision);
            }
            return new_received;
        }));
}

TEST_CASE("the number of daemons is passed on while the table has room")
{
    // Guards against a limit on late openings that never learns how many
    // daemons there are, or takes a full table for all of them.
    const auto receiver = udp_socket::open(testing::any_loopback_port).value();
    edge_settings settings;
    settings.data_centre = "a";
    settings.peers.notice_endpoint = receiver->local();
    settings.peers.discovery_time = 0s;
    settings.peers.table.capacity = 2;
    const auto counts = std::make_shared<daemon_count_ring>(peer_ring_size);
    const peers_duty duty(
        settings, receiver, std::make_shared<confirmation_ring>(peer_ring_size),
        std::make_shared<peer_update_ring>(peer_ring_size), nullptr, counts,
        std::make_shared<event_channel>(), std::make_shared<edge_metrics>());
    std::uint32_t newest = 0;
    const auto receives_count = [&](std::uint32_t expected)
    {
        while (const auto count = counts->try_pop())
        {
            newest = *count;
        }
        return newest == expected;
    };
    CHECK(testing::eventually([&] { return receives_count(1); }));
    std::vector<std::shared_ptr<udp_socket>> peers;
    for (int i = 0; i < 2; ++i)
    {
        peers.push_back(udp_socket::open(testing::any_loopback_port).value());
        const auto bytes =
            encode_notice({.sender = {peers.back()->local(), "a"}}, boot_now());
        const outgoing_datagram datagram{.to = receiver->local(),
                                         .packet = {bytes}};
        REQUIRE(peers.back()->send(std::span(&datagram, 1)) == 1);
        CHECK(testing::eventually([&] { return receives_count(2); }));
    }
    std::this_thread::sleep_for(300ms);
    CHECK(receives_count(2));
}

TEST_CASE("the newest state is read when the last confirmation gets too old")
{
    // Guards against a confirmation that waits for the end of the read period.
    freshness_tracker state({.effect_bound = 3s});
    CHECK(state.next_confirmation({0, 0}) == instant{});
    state.record({10, instant(1s)});
    CHECK(state.next_confirmation({0, 0}) == instant(2350ms));
    CHECK(state.plan_read(10, {0, 0}, instant(2350ms)).confirm);
    CHECK_FALSE(state.plan_read(10, {0, 0}, instant(2349ms)).confirm);
}

TEST_CASE("daemons agree on their order and remove peers that are not seen")
{
    const auto make_peer = [](std::uint16_t port, const char* data_centre_name)
    {
        return peer{{{0x7f000001}, port}, data_centre_name};
    };
    std::uint32_t first_count = 0;
    for (std::uint16_t own_port = 1; own_port <= 6; ++own_port)
    {
        peer_table table(make_peer(own_port, "a"),
                         {.capacity = 5, .lifetime = 10s});
        for (std::uint16_t port = 1; port <= 6; ++port)
        {
            table.record({make_peer(port, "a"), instant(1s)});
        }
        table.record({make_peer(7, "a"), instant(1s)});
        CHECK(table.size() == 5);
        first_count += table.rank().among_all == 0 ? 1 : 0;
        table.expire(instant(12s));
        CHECK(table.rank() == reader_rank{});
    }
    CHECK(first_count == 1);
}

TEST_CASE("peers are picked by data centre")
{
    peer_table table({{{1}, 1}, "a"}, {});
    for (std::uint32_t host = 2; host <= 9; ++host)
    {
        table.record({{{{host}, 1}, host % 2 == 0 ? "a" : "b"}, instant(1s)});
    }
    random_source random(1);
    CHECK(table.pick_nearby(3, random).size() == 3);
    CHECK(table.pick_nearby(9, random).size() == 4);
    for (const peer& each : table.pick_remote(2, random))
    {
        CHECK(each.data_centre == "b");
    }
    CHECK(table.sample(20, random).size() == 8);
}

TEST_CASE("a decoded notice equals the encoded one, with times sent as ages")
{
    const peer_notice notice{
        .sender = {{{0x0a010203}, 7720}, "zilina-a"},
        .requests_peers = true,
        .confirmed = confirmation{1ULL << 40U, instant(98s)},
        .sightings = {{{{{0x0a010204}, 7720}, "trnava-c"}, instant(95s)}}};
    const auto decoded =
        decode_notice(encode_notice(notice, instant(100s)), instant(500s));
    REQUIRE(decoded);
    CHECK(decoded.value().sender == notice.sender);
    CHECK(decoded.value().requests_peers);
    CHECK(decoded.value().confirmed ==
          confirmation{1ULL << 40U, instant(498s)});
    REQUIRE(decoded.value().sightings.size() == 1);
    CHECK(decoded.value().sightings[0].seen_at == instant(495s));
}

TEST_CASE("the decoder handles corrupted notices without a crash")
{
    const peer_notice notice{.sender = {{{1}, 2}, "a"},
                             .confirmed = confirmation{3, instant(1s)},
                             .sightings = {{{{{4}, 5}, "b"}, instant(1s)}}};
    const auto good = encode_notice(notice, instant(2s));
    random_source random(20261204);
    for (int i = 0; i < 20'000; ++i)
    {
        auto bytes = good;
        for (std::uint64_t edits = 1 + random.below(3); edits > 0; --edits)
        {
            bytes[random.below(bytes.size())] =
                static_cast<std::byte>(random.below(256));
        }
        // Uses erase, since g++ 12 with instrumentation reports an overflow for
        // a resize here.
        const auto cut =
            static_cast<std::ptrdiff_t>(random.below(2) * random.below(5));
        bytes.erase(bytes.end() - cut, bytes.end());
        const auto decoded = decode_notice(bytes, instant(2s));
        if (decoded)
        {
            CHECK(decoded.value().sender.notice_endpoint.port != 0);
        }
    }
    CHECK_FALSE(decode_notice({}, instant(1s)));
}

namespace
{

/// A store whose replicas stay at `old_revision` while the newest state is
/// later by one.
class stale_replica_source : public metadata_source
{
public:
    static constexpr std::uint64_t old_revision = 10;

    metadata_result read_all(read_consistency /*consistency*/) override
    {
        return steering::metadata_update{.complete = true,
                                         .revision = old_revision};
    }
    metadata_result read_changes(std::uint64_t /*revision*/, duration wait,
                                 read_consistency consistency) override
    {
        if (consistency == read_consistency::any_replica)
        {
            std::this_thread::sleep_for(wait);
            return steering::metadata_update{.revision = old_revision};
        }
        // The first read completes the full read at the start.
        return steering::metadata_update{
            .revision = newest_reads++ == 0 ? old_revision : old_revision + 1};
    }
    [[nodiscard]] std::string name() const override
    {
        return "stale replicas";
    }
    void stop() override {}

    std::atomic<int> newest_reads{0};
};

} // namespace

TEST_CASE("a daemon with stale replicas reads what its peers have confirmed")
{
    // Guards against a daemon that gives a stale replica more time with each
    // confirmation of a peer, and so follows changes after their bound.
    const auto source = std::make_shared<stale_replica_source>();
    const auto peer_updates =
        std::make_shared<peer_update_ring>(peer_ring_size);
    const auto results =
        std::make_shared<read_result_ring>(read_result_ring_size);
    const reading_duty duty(
        {.freshness = {.effect_bound = 300ms, .replica_delay = 10ms},
         .min_read_period = 90ms},
        source,
        std::make_unique<snapshot_reader>(std::vector<endpoint>{}, 1s,
                                          body_timeouts{}),
        results, std::make_shared<full_read_request>(false), peer_updates,
        std::make_shared<confirmation_ring>(peer_ring_size),
        udp_socket::open(testing::any_loopback_port).value(),
        std::make_shared<event_channel>(), std::make_shared<edge_metrics>());
    CHECK(testing::eventually(
        [&]
        {
            peer_updates->push_newest(
                {confirmation{stale_replica_source::old_revision + 1,
                              boot_now()},
                 reader_rank{3, 0}});
            return source->newest_reads > 1;
        }));
    // Nothing reads the results, and the duty waits for room.
    results->close();
}
