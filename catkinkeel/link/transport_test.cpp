#include "catkinkeel/link/transport.hpp"

#include <catch2/catch.hpp>
#include <nng/protocol/pipeline0/push.h>

#include <string>
#include <thread>

using namespace catkinkeel;

namespace
{

// Only bounds a failing run; a passing one does not wait for it.
constexpr duration patience = 20s;

key_ring test_keys()
{
    key_ring keys;
    keys.current.id = 1;
    keys.current.secret.fill(7);
    return keys;
}

/// A transport with its inbox on 127.0.0.<id>.
struct station
{
    vm_id id;
    transport::inbox_ptr inbox;
    std::shared_ptr<transport> link;

    explicit station(std::uint32_t number, std::uint16_t port = 0,
                     std::size_t max_dialers = 8,
                     byte_count budget = {1'000'000})
        : id{number}, inbox(std::make_shared<bounded_ring<peer_message>>(16))
    {
        const auto opened =
            transport::open({.self = id,
                             .listen = {{0x7f000000U + number}, port},
                             .keys = test_keys(),
                             .budget = {.per_second = budget, .burst = budget},
                             .max_dialers = max_dialers},
                            inbox);
        REQUIRE(opened);
        link = opened.value();
    }
};

void connect(const std::vector<const station*>& stations)
{
    member_view view;
    for (const station* each : stations)
    {
        view.members.push_back(
            {.id = each->id, .control = each->link->listening()});
    }
    for (const station* each : stations)
    {
        view.self = each->id;
        each->link->set_peers(view);
    }
}

/// Sends until the message arrives, as the protocols above do.
std::optional<peer_message> exchange(const station& from, const station& to,
                                     const message& content, instant& now)
{
    for (duration waited{}; waited < patience; waited += 50ms)
    {
        from.link->send({to.id, content}, now);
        now += 50ms;
        from.link->tick(now);
        to.link->tick(now);
        if (auto received = to.inbox->pop_for(50ms))
        {
            return received;
        }
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("two transports exchange messages in both directions")
{
    const station a(11);
    const station b(12);
    connect({&a, &b});
    instant now{};
    CHECK(a.link->send({b.id, leave{5}}, now) == send_result::held);
    const auto first = b.inbox->pop_for(patience);
    REQUIRE(first);
    CHECK(*first == peer_message{a.id, leave{5}});
    CHECK(a.link->send({b.id, probe{9, {3}, {}}}, now) == send_result::sent);
    CHECK(b.inbox->pop_for(patience) == peer_message{a.id, probe{9, {3}, {}}});
    CHECK(exchange(b, a, probe_ack{9, {3}, {}}, now) ==
          peer_message{b.id, probe_ack{9, {3}, {}}});
    CHECK(b.link->counts().received_messages == 2);
}

TEST_CASE("a peer that restarts on its address is reached again")
{
    // Guards against a sender that keeps the token of the peer's former life.
    const station a(13);
    auto b = std::make_unique<station>(14);
    connect({&a, b.get()});
    instant now{};
    REQUIRE(exchange(a, *b, leave{1}, now));
    const std::uint16_t port = b->link->listening().port;
    b->link->close();
    b = std::make_unique<station>(14, port);
    connect({&a, b.get()});
    CHECK(exchange(a, *b, leave{2}, now) == peer_message{a.id, leave{2}});
}

TEST_CASE("foreign, damaged and oversized frames are dropped and counted")
{
    const station a(15);
    const station b(16);
    const station stranger(17);
    connect({&a, &b});
    connect({&stranger, &b});
    connect({&a, &b});
    instant now{};
    REQUIRE(exchange(a, b, leave{1}, now));
    stranger.link->send({b.id, leave{1}}, now);
    nng_socket raw = NNG_SOCKET_INITIALIZER;
    REQUIRE(nng_push0_open(&raw) == 0);
    const std::string url = "tcp://" + to_string(b.link->listening());
    REQUIRE(nng_dial(raw, url.c_str(), nullptr, 0) == 0);
    byte_buffer junk(max_message_size.value + 1, 1);
    REQUIRE(nng_send(raw, junk.data(), junk.size(), 0) == 0);
    junk.resize(3);
    REQUIRE(nng_send(raw, junk.data(), junk.size(), 0) == 0);
    const auto all_counted = [&]
    {
        return b.link->dropped(drop_reason::oversized) == 1 &&
               b.link->dropped(drop_reason::malformed) == 1 &&
               b.link->dropped(drop_reason::unknown_sender) >= 1;
    };
    for (duration waited{}; waited < patience && !all_counted(); waited += 10ms)
    {
        std::this_thread::sleep_for(10ms);
    }
    CHECK(all_counted());
    nng_close(raw);
    CHECK(b.link->due_reports(now).size() == 3);
    CHECK(b.link->due_reports(now + 59s).empty());
}

TEST_CASE("dialers are bounded, and the least recently used is closed")
{
    const station a(18, 0, 1);
    const station b(19);
    const station c(20);
    connect({&a, &b, &c});
    instant now{};
    CHECK(exchange(a, b, leave{1}, now));
    CHECK(exchange(a, c, leave{2}, now));
    CHECK(exchange(a, b, leave{3}, now));
    CHECK(a.link->counts().dialers_opened == 3);
}

TEST_CASE("a send that cannot go out says why and does not wait")
{
    const station a(21);
    auto b = std::make_unique<station>(22);
    connect({&a, b.get()});
    const instant now{};
    CHECK(a.link->send({{99}, leave{1}}, now) == send_result::unknown_peer);
    CHECK(a.link->send({b->id, chunk_part{.text = std::string(17000, 'x')}},
                       now) == send_result::too_large);
    b->link->close();
    send_result last = send_result::held;
    for (int i = 0; i < 100 && last == send_result::held; ++i)
    {
        last = a.link->send({b->id, leave{1}}, now);
    }
    CHECK(last == send_result::queue_full);
    // Refused messages are not charged: 8 held ones and the hello are.
    CHECK(a.link->counts().over_budget == 0);
    const station poor(26, 0, 8, {200});
    connect({&poor, b.get()});
    CHECK(poor.link->send({b->id, replicate{}}, now) == send_result::held);
    CHECK(poor.link->send({b->id, replicate{}}, now) ==
          send_result::over_budget);
    CHECK(poor.link->send({b->id, probe{}}, now) == send_result::held);
    a.link->close();
    CHECK(a.link->send({b->id, leave{1}}, now) == send_result::closed);
    CHECK(a.inbox->pop() == std::nullopt);
}

TEST_CASE("a full inbox refuses and counts instead of blocking the receiver")
{
    const station a(23);
    const station b(24);
    connect({&a, &b});
    instant now{};
    REQUIRE(exchange(a, b, leave{1}, now));
    for (int i = 0; i < 20; ++i)
    {
        a.link->send({b.id, leave{2}}, now);
    }
    for (duration waited{};
         waited < patience && b.link->dropped(drop_reason::ring_full) == 0;
         waited += 10ms)
    {
        std::this_thread::sleep_for(10ms);
    }
    CHECK(b.link->dropped(drop_reason::ring_full) >= 1);
}

TEST_CASE("an address in use is a failure, not a crash")
{
    const station a(25);
    const auto second = transport::open(
        {.self = {25}, .listen = a.link->listening(), .keys = test_keys()},
        std::make_shared<bounded_ring<peer_message>>(1));
    REQUIRE_FALSE(second);
    CHECK(second.error().kind == failure_kind::unavailable);
}
