#include "catkinkeel/link/byte_budget.hpp"
#include "catkinkeel/link/peer_sessions.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <filesystem>
#include <fstream>
#include <set>

using namespace catkinkeel;

namespace
{

constexpr vm_id alice{1};
constexpr vm_id bob{2};
constexpr vm_id carol{3};

link_key make_key(std::uint8_t id)
{
    link_key key{id, {}};
    key.secret.fill(id);
    return key;
}

/// Sessions of a new process on the VM `id`; `run` must differ for each start.
peer_sessions make_sessions(vm_id id, std::uint64_t run,
                            const key_ring& keys = {make_key(1), {}})
{
    key_bytes secret{};
    secret.fill(static_cast<std::uint8_t>(run + id.value));
    return {id, keys, {run}, secret};
}

bool any_sender(vm_id)
{
    return true;
}

drop_reason rejection_reason(const received_frame& frame)
{
    REQUIRE(std::holds_alternative<refused_frame>(frame));
    return std::get<refused_frame>(frame).reason;
}

/// Exchanges hello and welcome, so that `from` can seal frames for `to`.
void establish_session(peer_sessions& from, vm_id from_id, peer_sessions& to,
                       vm_id to_id)
{
    const auto hello = to.open(from.seal_hello(to_id), any_sender);
    REQUIRE(std::holds_alternative<received_hello>(hello));
    CHECK(std::get<received_hello>(hello).from == from_id);
    const auto welcome =
        from.open(std::get<received_hello>(hello).welcome, any_sender);
    REQUIRE(std::holds_alternative<received_welcome>(welcome));
}

const byte_buffer body{1, 2, 3};

bool try_spend(byte_budget& budget, byte_count payload,
               message_priority priority, instant now)
{
    const bool allowed = budget.allows(payload, priority, now);
    if (allowed)
    {
        budget.spend(payload, now);
    }
    return allowed;
}

} // namespace

TEST_CASE("a content frame is accepted once, with its sender and body")
{
    peer_sessions a = make_sessions(alice, 10);
    peer_sessions b = make_sessions(bob, 20);
    CHECK_FALSE(a.seal(bob, body));
    establish_session(a, alice, b, bob);
    const byte_buffer sealed = *a.seal(bob, body);
    CHECK(sealed.size() == body.size() + envelope_size);
    const auto opened = b.open(sealed, any_sender);
    REQUIRE(std::holds_alternative<received_content>(opened));
    const auto& content = std::get<received_content>(opened);
    CHECK(content.from == alice);
    CHECK(byte_buffer(content.body.begin(), content.body.end()) == body);
    CHECK(rejection_reason(b.open(sealed, any_sender)) ==
          drop_reason::replayed);
}

TEST_CASE("frames sealed before a restart of the sender are rejected after it")
{
    // Guards against replay of recorded `claim` or `leave` messages.
    peer_sessions b = make_sessions(bob, 20);
    peer_sessions before_restart = make_sessions(alice, 10);
    establish_session(before_restart, alice, b, bob);
    const byte_buffer recorded = *before_restart.seal(bob, body);
    const byte_buffer undelivered = *before_restart.seal(bob, body);
    REQUIRE(
        std::holds_alternative<received_content>(b.open(recorded, any_sender)));
    peer_sessions after_restart = make_sessions(alice, 11);
    establish_session(after_restart, alice, b, bob);
    REQUIRE(std::holds_alternative<received_content>(
        b.open(*after_restart.seal(bob, body), any_sender)));
    CHECK(rejection_reason(b.open(recorded, any_sender)) ==
          drop_reason::bad_mac);
    CHECK(rejection_reason(b.open(undelivered, any_sender)) ==
          drop_reason::bad_mac);
    CHECK(std::holds_alternative<received_content>(
        b.open(*after_restart.seal(bob, body), any_sender)));
}

TEST_CASE("a restarted receiver rejects old frames and sends its new token")
{
    // Guards against replay to a receiver that lost its state in a restart, and
    // against a sender that keeps using the token from before that restart.
    peer_sessions a = make_sessions(alice, 10);
    peer_sessions before_restart = make_sessions(bob, 20);
    establish_session(a, alice, before_restart, bob);
    const byte_buffer recorded = *a.seal(bob, body);
    peer_sessions after_restart = make_sessions(bob, 21);
    const auto refused = after_restart.open(recorded, any_sender);
    CHECK(rejection_reason(refused) == drop_reason::bad_mac);
    REQUIRE(std::holds_alternative<received_welcome>(
        a.open(std::get<refused_frame>(refused).welcome, any_sender)));
    CHECK(std::holds_alternative<received_content>(
        after_restart.open(*a.seal(bob, body), any_sender)));
    CHECK(rejection_reason(after_restart.open(recorded, any_sender)) ==
          drop_reason::bad_mac);
}

TEST_CASE("a peer that was removed and added again needs a new token")
{
    peer_sessions a = make_sessions(alice, 10);
    peer_sessions b = make_sessions(bob, 20);
    establish_session(a, alice, b, bob);
    const byte_buffer recorded = *a.seal(bob, body);
    REQUIRE(
        std::holds_alternative<received_content>(b.open(recorded, any_sender)));
    b.retain_peers([](vm_id id) { return id == carol; });
    CHECK(rejection_reason(b.open(recorded, any_sender)) ==
          drop_reason::bad_mac);
}

TEST_CASE("an invalid frame is rejected with the matching reason")
{
    peer_sessions a = make_sessions(alice, 10);
    peer_sessions b = make_sessions(bob, 20);
    peer_sessions c = make_sessions(carol, 30);
    establish_session(a, alice, b, bob);
    const byte_buffer sealed = *a.seal(bob, body);
    const auto with_byte = [&](std::size_t at, std::uint8_t value)
    {
        byte_buffer changed = sealed;
        changed.at(at) = value;
        return changed;
    };
    const auto no_sender = [](vm_id)
    {
        return false;
    };
    CHECK(rejection_reason(b.open(byte_buffer(max_message_size.value + 1),
                                  any_sender)) == drop_reason::oversized);
    CHECK(rejection_reason(b.open(byte_buffer(envelope_size - 1, 1),
                                  any_sender)) == drop_reason::malformed);
    CHECK(rejection_reason(b.open(with_byte(0, 9), any_sender)) ==
          drop_reason::unknown_format);
    CHECK(rejection_reason(b.open(with_byte(1, 7), any_sender)) ==
          drop_reason::malformed);
    CHECK(rejection_reason(b.open(with_byte(2, 7), any_sender)) ==
          drop_reason::unknown_key);
    CHECK(rejection_reason(b.open(sealed, no_sender)) ==
          drop_reason::unknown_sender);
    CHECK(rejection_reason(a.open(sealed, any_sender)) ==
          drop_reason::unknown_sender);
    // Sealed for another receiver.
    CHECK(rejection_reason(c.open(sealed, any_sender)) == drop_reason::bad_mac);
    for (std::size_t at = 3; at < sealed.size(); ++at)
    {
        const auto corrupted =
            b.open(with_byte(at, static_cast<std::uint8_t>(sealed[at] ^ 1U)),
                   any_sender);
        CHECK(rejection_reason(corrupted) == drop_reason::bad_mac);
    }
    CHECK(std::holds_alternative<received_content>(b.open(sealed, any_sender)));
}

TEST_CASE("a key rotation in the documented steps loses no frame")
{
    const key_ring steps[] = {{make_key(1), {}},
                              {make_key(1), make_key(2)},
                              {make_key(2), make_key(1)},
                              {make_key(2), {}}};
    peer_sessions a = make_sessions(alice, 10, steps[0]);
    peer_sessions b = make_sessions(bob, 20, steps[0]);
    establish_session(a, alice, b, bob);
    const auto is_delivered = [&]
    {
        return std::holds_alternative<received_content>(
            b.open(*a.seal(bob, body), any_sender));
    };
    for (std::size_t i = 1; i < std::size(steps); ++i)
    {
        a.replace_keys(steps[i]);
        CHECK(is_delivered());
        b.replace_keys(steps[i]);
        CHECK(is_delivered());
    }
    a.replace_keys(steps[0]);
    CHECK(rejection_reason(b.open(*a.seal(bob, body), any_sender)) ==
          drop_reason::unknown_key);
}

TEST_CASE("the replay window accepts each sequence number once, in any order")
{
    // Guards against a shift by the bit width or more, which is undefined, and
    // against acceptance of numbers below the window.
    CHECK(rc::check(
        []
        {
            replay_window window;
            std::set<std::uint32_t> seen;
            std::uint32_t highest = 0;
            std::uint32_t next = 1000;
            const auto steps = *rc::gen::container<std::vector<int>>(
                rc::gen::inRange(-70, 70));
            for (const int step : steps)
            {
                next = static_cast<std::uint32_t>(
                    static_cast<int>(std::max(highest, 1000U)) + step);
                const bool in_window = next + replay_window::width > highest;
                RC_ASSERT(window.accept(next) ==
                          (in_window && !seen.contains(next)));
                if (in_window)
                {
                    seen.insert(next);
                }
                highest = std::max(highest, next);
            }
        }));
}

TEST_CASE("a jump by the window width clears the window")
{
    replay_window window;
    CHECK(window.accept(998));
    CHECK(window.accept(999));
    CHECK(window.accept(1000));
    CHECK(window.accept(1000 + replay_window::width));
    CHECK_FALSE(window.accept(1000));
    for (std::uint32_t i = 1; i < replay_window::width; ++i)
    {
        CHECK(window.accept(1000 + i));
    }
}

TEST_CASE("key files have one or two keys, and errors do not reveal a key")
{
    const std::string hex(64, 'a');
    const auto keys = parse_key_ring("# new key second\n7 " + hex + "\n\n8 " +
                                     std::string(64, '0') + "\n");
    REQUIRE(keys);
    CHECK(keys.value().primary.id == 7);
    CHECK(keys.value().primary.secret[31] == 0xaa);
    CHECK(keys.value().find(8) == &*keys.value().secondary);
    CHECK(keys.value().find(9) == nullptr);
    const std::string key_1 = "1 " + hex;
    const std::string key_1_again = "\n1 " + hex;
    std::string three_keys = key_1;
    three_keys += "\n2 " + hex;
    three_keys += "\n3 " + hex;
    const std::string no_hex = "1 g" + hex.substr(1);
    for (const std::string& bad : std::initializer_list<std::string>{
             "", "256 " + hex, "x " + hex, key_1 + "0", no_hex, "1", "1 aa bb",
             key_1 + key_1_again, three_keys})
    {
        CAPTURE(bad);
        const auto parsed = parse_key_ring(bad);
        REQUIRE_FALSE(parsed);
        CHECK(parsed.error().message.find("aaaa") == std::string::npos);
    }
    const auto missing = read_key_ring("/nonexistent/catkinkeel.keys");
    REQUIRE_FALSE(missing);
    CHECK(missing.error().kind == failure_kind::unavailable);
}

TEST_CASE("drops are reported at most once a minute for each reason")
{
    drop_counter drops;
    const instant start{};
    drops.record(drop_reason::bad_mac, alice);
    CHECK(drops.take_due_reports(start) ==
          std::vector{drop_report{drop_reason::bad_mac, 1, alice}});
    drops.record(drop_reason::bad_mac, alice);
    drops.record(drop_reason::bad_mac, bob);
    drops.record(drop_reason::replayed, bob);
    CHECK(drops.take_due_reports(start + 59s) ==
          std::vector{drop_report{drop_reason::replayed, 1, bob}});
    CHECK(drops.take_due_reports(start + 60s) ==
          std::vector{drop_report{drop_reason::bad_mac, 2, bob}});
    CHECK(drops.take_due_reports(start + 200s).empty());
    CHECK(drops.total(drop_reason::bad_mac) == 3);
}

TEST_CASE("the budget counts headers, refills at its rate and caps the burst")
{
    byte_budget budget;
    const instant start{10s};
    CHECK(try_spend(budget, {934}, message_priority::normal, start));
    CHECK(try_spend(budget, {934}, message_priority::normal, start));
    CHECK(budget.spent_bytes() == byte_count{2000});
    CHECK_FALSE(try_spend(budget, {34}, message_priority::normal, start));
    CHECK(budget.refused_count() == 1);
    CHECK(budget.earliest_send_time({34}, start) == start + 50ms);
    CHECK_FALSE(try_spend(budget, {34}, message_priority::normal,
                          start + 50ms - duration(1)));
    CHECK(try_spend(budget, {34}, message_priority::normal, start + 50ms));
    // After years of idle time the bucket contains no more than the burst.
    const instant later = start + std::chrono::hours(24 * 365 * 5);
    CHECK(try_spend(budget, {1934}, message_priority::normal, later));
    CHECK_FALSE(try_spend(budget, {1}, message_priority::normal, later));
}

TEST_CASE(
    "a large message is allowed with a full bucket and never blocks probes")
{
    // Guards against a message that can never be sent, and against probes that
    // are delayed by large messages, which peers would take for a failed VM.
    byte_budget budget;
    const instant start{};
    CHECK(try_spend(budget, max_message_size, message_priority::normal, start));
    CHECK(try_spend(budget, {50}, message_priority::urgent, start));
    CHECK_FALSE(try_spend(budget, {50}, message_priority::normal, start + 7s));
    CHECK(try_spend(budget, {50}, message_priority::normal, start + 10s));
    while (try_spend(budget, {50}, message_priority::urgent, start + 10s))
    {
    }
    CHECK(budget.spent_bytes().value < 60000);
}

TEST_CASE("in one minute the budget allows its rate, one burst and one message")
{
    byte_budget budget;
    for (duration at{}; at < 60s; at += 10ms)
    {
        try_spend(budget, {1000}, message_priority::normal, instant{at});
    }
    CHECK(budget.spent_bytes().value <= 120000U + 2000U + 1066U);
    CHECK(budget.spent_bytes().value >= 120000U);
}
