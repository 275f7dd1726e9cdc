#include "catkinkeel/link/transport.hpp"

#include <catch2/catch.hpp>
#include <nng/protocol/pipeline0/push.h>

#include <string>
#include <thread>

using namespace catkinkeel;

namespace
{

// Maximum time to wait for a message or a drop; only a failing test reaches it.
constexpr duration test_timeout = 20s;

key_ring test_keys()
{
    key_ring keys;
    keys.primary.id = 1;
    keys.primary.secret.fill(7);
    return keys;
}

/// A transport that listens on 127.0.0.<id>, and its inbox.
struct test_vm
{
    vm_id id;
    transport::inbox_ptr inbox;
    std::shared_ptr<transport> link;

    explicit test_vm(std::uint32_t number, std::uint16_t port = 0,
                     std::size_t max_connections = 8,
                     byte_count budget = {1'000'000})
        : id{number}, inbox(std::make_shared<bounded_ring<peer_message>>(16))
    {
        const auto opened = transport::open(
            {.self = id,
             .listen = {{0x7f000000U + number}, port},
             .keys = test_keys(),
             .budget = {.bytes_per_second = budget, .burst = budget},
             .max_connections = max_connections},
            inbox);
        REQUIRE(opened);
        link = opened.value();
    }
};

void connect_all(const std::vector<const test_vm*>& vms)
{
    member_view view;
    for (const test_vm* each : vms)
    {
        view.members.push_back(
            {.id = each->id, .control = each->link->local_endpoint()});
    }
    for (const test_vm* each : vms)
    {
        view.self = each->id;
        each->link->set_peers(view);
    }
}

/// Sends the message repeatedly until it is received, as the protocols on top
/// of the transport do.
std::optional<peer_message> send_until_received(const test_vm& from,
                                                const test_vm& to,
                                                const message& content,
                                                instant& now)
{
    for (duration waited{}; waited < test_timeout; waited += 50ms)
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
    const test_vm a(11);
    const test_vm b(12);
    connect_all({&a, &b});
    instant now{};
    CHECK(a.link->send({b.id, leave{5}}, now) == send_result::queued);
    const auto first = b.inbox->pop_for(test_timeout);
    REQUIRE(first);
    CHECK(*first == peer_message{a.id, leave{5}});
    CHECK(a.link->send({b.id, probe{9, {3}, {}}}, now) == send_result::sent);
    CHECK(b.inbox->pop_for(test_timeout) ==
          peer_message{a.id, probe{9, {3}, {}}});
    CHECK(send_until_received(b, a, probe_ack{9, {3}, {}}, now) ==
          peer_message{b.id, probe_ack{9, {3}, {}}});
    CHECK(b.link->counts().received_messages == 2);
}

TEST_CASE("a peer that restarts on its address is reached again")
{
    // Guards against a sender that keeps using the token that the peer issued
    // before its restart.
    const test_vm a(13);
    auto b = std::make_unique<test_vm>(14);
    connect_all({&a, b.get()});
    instant now{};
    REQUIRE(send_until_received(a, *b, leave{1}, now));
    const std::uint16_t port = b->link->local_endpoint().port;
    b->link->close();
    b = std::make_unique<test_vm>(14, port);
    connect_all({&a, b.get()});
    CHECK(send_until_received(a, *b, leave{2}, now) ==
          peer_message{a.id, leave{2}});
}

TEST_CASE("invalid and unknown-sender frames are dropped and counted")
{
    const test_vm a(15);
    const test_vm b(16);
    const test_vm unlisted_vm(17);
    connect_all({&a, &b});
    connect_all({&unlisted_vm, &b});
    connect_all({&a, &b});
    instant now{};
    REQUIRE(send_until_received(a, b, leave{1}, now));
    unlisted_vm.link->send({b.id, leave{1}}, now);
    nng_socket raw_socket = NNG_SOCKET_INITIALIZER;
    REQUIRE(nng_push0_open(&raw_socket) == 0);
    const std::string url = "tcp://" + to_string(b.link->local_endpoint());
    REQUIRE(nng_dial(raw_socket, url.c_str(), nullptr, 0) == 0);
    byte_buffer invalid_frame(max_message_size.value + 1, 1);
    REQUIRE(nng_send(raw_socket, invalid_frame.data(), invalid_frame.size(),
                     0) == 0);
    invalid_frame.resize(3);
    REQUIRE(nng_send(raw_socket, invalid_frame.data(), invalid_frame.size(),
                     0) == 0);
    const auto all_counted = [&]
    {
        return b.link->dropped(drop_reason::oversized) == 1 &&
               b.link->dropped(drop_reason::malformed) == 1 &&
               b.link->dropped(drop_reason::unknown_sender) >= 1;
    };
    for (duration waited{}; waited < test_timeout && !all_counted();
         waited += 10ms)
    {
        std::this_thread::sleep_for(10ms);
    }
    CHECK(all_counted());
    nng_close(raw_socket);
    CHECK(b.link->take_drop_reports(now).size() == 3);
    CHECK(b.link->take_drop_reports(now + 59s).empty());
}

TEST_CASE("connections are limited, and the least recently used one is closed")
{
    const test_vm a(18, 0, 1);
    const test_vm b(19);
    const test_vm c(20);
    connect_all({&a, &b, &c});
    instant now{};
    CHECK(send_until_received(a, b, leave{1}, now));
    CHECK(send_until_received(a, c, leave{2}, now));
    CHECK(send_until_received(a, b, leave{3}, now));
    CHECK(a.link->counts().connections_opened == 3);
}

TEST_CASE("send returns the reason for a failure and does not block")
{
    const test_vm a(21);
    auto b = std::make_unique<test_vm>(22);
    connect_all({&a, b.get()});
    const instant now{};
    CHECK(a.link->send({{99}, leave{1}}, now) == send_result::unknown_peer);
    CHECK(a.link->send({b->id, chunk_part{.text = std::string(17000, 'x')}},
                       now) == send_result::too_large);
    b->link->close();
    send_result last_result = send_result::queued;
    for (int i = 0; i < 100 && last_result == send_result::queued; ++i)
    {
        last_result = a.link->send({b->id, leave{1}}, now);
    }
    CHECK(last_result == send_result::queue_full);
    // Only the 8 queued messages and the hello are charged, not the refused
    // ones.
    CHECK(a.link->counts().over_budget == 0);
    const test_vm low_budget_vm(26, 0, 8, {200});
    connect_all({&low_budget_vm, b.get()});
    CHECK(low_budget_vm.link->send({b->id, replicate{}}, now) ==
          send_result::queued);
    CHECK(low_budget_vm.link->send({b->id, replicate{}}, now) ==
          send_result::over_budget);
    CHECK(low_budget_vm.link->send({b->id, probe{}}, now) ==
          send_result::queued);
    a.link->close();
    CHECK(a.link->send({b->id, leave{1}}, now) == send_result::closed);
    CHECK(a.inbox->pop() == std::nullopt);
}

TEST_CASE("a full inbox drops and counts messages without blocking")
{
    const test_vm a(23);
    const test_vm b(24);
    connect_all({&a, &b});
    instant now{};
    REQUIRE(send_until_received(a, b, leave{1}, now));
    for (int i = 0; i < 20; ++i)
    {
        a.link->send({b.id, leave{2}}, now);
    }
    for (duration waited{};
         waited < test_timeout && b.link->dropped(drop_reason::ring_full) == 0;
         waited += 10ms)
    {
        std::this_thread::sleep_for(10ms);
    }
    CHECK(b.link->dropped(drop_reason::ring_full) >= 1);
}

TEST_CASE("opening a transport on an address in use fails")
{
    const test_vm a(25);
    const auto second = transport::open(
        {.self = {25}, .listen = a.link->local_endpoint(), .keys = test_keys()},
        std::make_shared<bounded_ring<peer_message>>(1));
    REQUIRE_FALSE(second);
    CHECK(second.error().kind == failure_kind::unavailable);
}
