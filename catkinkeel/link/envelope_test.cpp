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

peer_sessions make_vm(vm_id id, std::uint64_t life,
                      const key_ring& keys = {make_key(1), {}})
{
    key_bytes secret{};
    secret.fill(static_cast<std::uint8_t>(life + id.value));
    return {id, keys, {life}, secret};
}

bool anyone(vm_id)
{
    return true;
}

drop_reason refusal(const received_frame& frame)
{
    REQUIRE(std::holds_alternative<refused_frame>(frame));
    return std::get<refused_frame>(frame).reason;
}

/// Makes `from` able to seal for `to`.
void introduce(peer_sessions& from, vm_id from_id, peer_sessions& to,
               vm_id to_id)
{
    const auto hello = to.open(from.seal_hello(to_id), anyone);
    REQUIRE(std::holds_alternative<received_hello>(hello));
    CHECK(std::get<received_hello>(hello).from == from_id);
    const auto welcome =
        from.open(std::get<received_hello>(hello).welcome, anyone);
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

TEST_CASE("content opens once, with its sender and body")
{
    peer_sessions a = make_vm(alice, 10);
    peer_sessions b = make_vm(bob, 20);
    CHECK_FALSE(a.seal(bob, body));
    introduce(a, alice, b, bob);
    const byte_buffer sealed = *a.seal(bob, body);
    CHECK(sealed.size() == body.size() + envelope_size);
    const auto opened = b.open(sealed, anyone);
    REQUIRE(std::holds_alternative<received_content>(opened));
    const auto& content = std::get<received_content>(opened);
    CHECK(content.from == alice);
    CHECK(byte_buffer(content.body.begin(), content.body.end()) == body);
    CHECK(refusal(b.open(sealed, anyone)) == drop_reason::replayed);
}

TEST_CASE("frames of a sender's former life are refused after its restart")
{
    // Guards against replay of recorded claims or leaves after a restart.
    peer_sessions b = make_vm(bob, 20);
    peer_sessions former = make_vm(alice, 10);
    introduce(former, alice, b, bob);
    const byte_buffer old = *former.seal(bob, body);
    const byte_buffer unseen = *former.seal(bob, body);
    REQUIRE(std::holds_alternative<received_content>(b.open(old, anyone)));
    peer_sessions present = make_vm(alice, 11);
    introduce(present, alice, b, bob);
    REQUIRE(std::holds_alternative<received_content>(
        b.open(*present.seal(bob, body), anyone)));
    CHECK(refusal(b.open(old, anyone)) == drop_reason::bad_mac);
    CHECK(refusal(b.open(unseen, anyone)) == drop_reason::bad_mac);
    CHECK(std::holds_alternative<received_content>(
        b.open(*present.seal(bob, body), anyone)));
}

TEST_CASE("a receiver that restarts refuses old frames and tells its token")
{
    // Guards against replay to a receiver without memory, and against a sender
    // that never learns that its receiver restarted.
    peer_sessions a = make_vm(alice, 10);
    peer_sessions former = make_vm(bob, 20);
    introduce(a, alice, former, bob);
    const byte_buffer old = *a.seal(bob, body);
    peer_sessions present = make_vm(bob, 21);
    const auto refused = present.open(old, anyone);
    CHECK(refusal(refused) == drop_reason::bad_mac);
    REQUIRE(std::holds_alternative<received_welcome>(
        a.open(std::get<refused_frame>(refused).welcome, anyone)));
    CHECK(std::holds_alternative<received_content>(
        present.open(*a.seal(bob, body), anyone)));
    CHECK(refusal(present.open(old, anyone)) == drop_reason::bad_mac);
}

TEST_CASE("a peer that was forgotten needs a new token")
{
    peer_sessions a = make_vm(alice, 10);
    peer_sessions b = make_vm(bob, 20);
    introduce(a, alice, b, bob);
    const byte_buffer old = *a.seal(bob, body);
    REQUIRE(std::holds_alternative<received_content>(b.open(old, anyone)));
    b.keep_only([](vm_id id) { return id == carol; });
    CHECK(refusal(b.open(old, anyone)) == drop_reason::bad_mac);
}

TEST_CASE("each defect of a frame has its own reason")
{
    peer_sessions a = make_vm(alice, 10);
    peer_sessions b = make_vm(bob, 20);
    peer_sessions c = make_vm(carol, 30);
    introduce(a, alice, b, bob);
    const byte_buffer sealed = *a.seal(bob, body);
    const auto with = [&](std::size_t at, std::uint8_t value)
    {
        byte_buffer changed = sealed;
        changed.at(at) = value;
        return changed;
    };
    const auto nobody = [](vm_id)
    {
        return false;
    };
    CHECK(refusal(b.open(byte_buffer(max_message_size.value + 1), anyone)) ==
          drop_reason::oversized);
    CHECK(refusal(b.open(byte_buffer(envelope_size - 1, 1), anyone)) ==
          drop_reason::malformed);
    CHECK(refusal(b.open(with(0, 9), anyone)) == drop_reason::unknown_format);
    CHECK(refusal(b.open(with(1, 7), anyone)) == drop_reason::malformed);
    CHECK(refusal(b.open(with(2, 7), anyone)) == drop_reason::unknown_key);
    CHECK(refusal(b.open(sealed, nobody)) == drop_reason::unknown_sender);
    CHECK(refusal(a.open(sealed, anyone)) == drop_reason::unknown_sender);
    // Made for another receiver.
    CHECK(refusal(c.open(sealed, anyone)) == drop_reason::bad_mac);
    for (std::size_t at = 3; at < sealed.size(); ++at)
    {
        const auto damaged = b.open(
            with(at, static_cast<std::uint8_t>(sealed[at] ^ 1U)), anyone);
        CHECK(refusal(damaged) == drop_reason::bad_mac);
    }
    CHECK(std::holds_alternative<received_content>(b.open(sealed, anyone)));
}

TEST_CASE("a key change loses no frame when it follows the documented steps")
{
    const key_ring steps[] = {{make_key(1), {}},
                              {make_key(1), make_key(2)},
                              {make_key(2), make_key(1)},
                              {make_key(2), {}}};
    peer_sessions a = make_vm(alice, 10, steps[0]);
    peer_sessions b = make_vm(bob, 20, steps[0]);
    introduce(a, alice, b, bob);
    const auto arrives = [&]
    {
        return std::holds_alternative<received_content>(
            b.open(*a.seal(bob, body), anyone));
    };
    for (std::size_t i = 1; i < std::size(steps); ++i)
    {
        a.replace_keys(steps[i]);
        CHECK(arrives());
        b.replace_keys(steps[i]);
        CHECK(arrives());
    }
    a.replace_keys(steps[0]);
    CHECK(refusal(b.open(*a.seal(bob, body), anyone)) ==
          drop_reason::unknown_key);
}

TEST_CASE("the replay window accepts each number once, whatever the order")
{
    // Guards against shifts by the width and against numbers below the window.
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

TEST_CASE("a jump by the window's width forgets all earlier numbers")
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

TEST_CASE("key files hold one or two keys and name the bad line")
{
    const std::string hex(64, 'a');
    const auto keys = parse_key_ring("# new key second\n7 " + hex + "\n\n8 " +
                                     std::string(64, '0') + "\n");
    REQUIRE(keys);
    CHECK(keys.value().current.id == 7);
    CHECK(keys.value().current.secret[31] == 0xaa);
    CHECK(keys.value().find(8) == &*keys.value().other);
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

TEST_CASE("drops are reported once a minute for each reason")
{
    drop_log drops;
    const instant start{};
    drops.count(drop_reason::bad_mac, alice);
    CHECK(drops.due(start) ==
          std::vector{drop_report{drop_reason::bad_mac, 1, alice}});
    drops.count(drop_reason::bad_mac, alice);
    drops.count(drop_reason::bad_mac, bob);
    drops.count(drop_reason::replayed, bob);
    CHECK(drops.due(start + 59s) ==
          std::vector{drop_report{drop_reason::replayed, 1, bob}});
    CHECK(drops.due(start + 60s) ==
          std::vector{drop_report{drop_reason::bad_mac, 2, bob}});
    CHECK(drops.due(start + 200s).empty());
    CHECK(drops.total(drop_reason::bad_mac) == 3);
}

TEST_CASE("the budget counts headers, refills at its rate and caps the burst")
{
    byte_budget budget;
    const instant start{10s};
    CHECK(try_spend(budget, {934}, message_priority::normal, start));
    CHECK(try_spend(budget, {934}, message_priority::normal, start));
    CHECK(budget.spent() == byte_count{2000});
    CHECK_FALSE(try_spend(budget, {34}, message_priority::normal, start));
    CHECK(budget.refused() == 1);
    CHECK(budget.earliest({34}, start) == start + 50ms);
    CHECK_FALSE(try_spend(budget, {34}, message_priority::normal,
                          start + 50ms - duration(1)));
    CHECK(try_spend(budget, {34}, message_priority::normal, start + 50ms));
    // Years of idle time save no more than the burst.
    const instant later = start + std::chrono::hours(24 * 365 * 5);
    CHECK(try_spend(budget, {1934}, message_priority::normal, later));
    CHECK_FALSE(try_spend(budget, {1}, message_priority::normal, later));
}

TEST_CASE("a large message passes with a full bucket and never stops probes")
{
    // Guards against a message that can never be sent and against probes that
    // wait behind bulk, which would look like a death.
    byte_budget budget;
    const instant start{};
    CHECK(try_spend(budget, max_message_size, message_priority::normal, start));
    CHECK(try_spend(budget, {50}, message_priority::urgent, start));
    CHECK_FALSE(try_spend(budget, {50}, message_priority::normal, start + 7s));
    CHECK(try_spend(budget, {50}, message_priority::normal, start + 10s));
    while (try_spend(budget, {50}, message_priority::urgent, start + 10s))
    {
    }
    CHECK(budget.spent().value < 60000);
}

TEST_CASE("over any minute the budget holds with one burst and one message")
{
    byte_budget budget;
    for (duration at{}; at < 60s; at += 10ms)
    {
        try_spend(budget, {1000}, message_priority::normal, instant{at});
    }
    CHECK(budget.spent().value <= 120000U + 2000U + 1066U);
    CHECK(budget.spent().value >= 120000U);
}
