// The soak's own checks: a check that cannot fail proves nothing.

#include "catkinkeel/base/random.hpp"
#include "soak/invariant_checker.hpp"
#include "soak/schedule.hpp"
#include "soak/segment.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace catkinkeel;
using namespace catkinkeel::soak;

namespace
{

constexpr target_process first{0, 1};
constexpr target_process second{1, 1};
const endpoint caller{{0x7f0a0301}, 10001};
const endpoint reference = soak_plan::reference(0);

/// A checker with one reference to service 0, some time after the start.
struct watched
{
    watched()
    {
        checker.published({{reference, 0}}, now);
        now += 1h;
    }
    void open_at(std::uint32_t service)
    {
        checker.opening_arrived(0, reference, first, service, "dc-a", now);
    }
    [[nodiscard]] std::size_t broken() const
    {
        return checker.violations().size();
    }
    instant now = instant{} + 1h;
    invariant_checker checker{2};
};

} // namespace

TEST_CASE("a seed repeats its schedule, and schedules have every fault")
{
    std::set<fault> seen;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        const soak_plan plan{.seed = seed, .length = 120s};
        const auto schedule = make_schedule(plan);
        CHECK(schedule == make_schedule(plan));
        for (const scheduled_fault& each : schedule)
        {
            seen.insert(each.kind);
        }
    }
    CHECK(seen.size() == fault_count);
}

TEST_CASE("a plan that does not fit into its networks is refused")
{
    CHECK(check(soak_plan{}));
    CHECK_FALSE(check(soak_plan{.daemons = 0}));
    CHECK_FALSE(check(soak_plan{.targets = 255}));
    CHECK_FALSE(check(soak_plan{.rate = 0}));
    CHECK_FALSE(check(soak_plan{.network = 0}));
}

TEST_CASE("a segment is read as it was written")
{
    const segment packet{.from = caller,
                         .to = reference,
                         .token = 0xdeadbeef,
                         .opens = true,
                         .finishes = true,
                         .sequence = 7,
                         .acknowledged = 2};
    const segment_bytes bytes = encode(packet);
    CHECK(decode(bytes) == packet);
    CHECK_FALSE(decode(std::span(bytes).first(segment_size - 1)));
}

TEST_CASE("a flow at a service that its reference does not name is noticed")
{
    watched w;
    w.open_at(0);
    CHECK(w.broken() == 0);
    w.open_at(1);
    CHECK(w.broken() == 1);
}

TEST_CASE("the former service is allowed until the new set must be in force")
{
    watched w;
    w.checker.published({{reference, 1}}, w.now);
    w.now += terms_bound;
    w.open_at(0);
    w.open_at(1);
    CHECK(w.broken() == 0);
    w.now += 2s;
    w.open_at(0);
    CHECK(w.broken() == 1);
}

TEST_CASE("a daemon that was cut off may use the former set")
{
    watched w;
    w.checker.published({{reference, 1}}, w.now);
    w.now += 10s;
    w.checker.disturbed(0, w.now);
    w.open_at(0);
    CHECK(w.broken() == 0);
}

TEST_CASE("flows opened in an evacuated data centre or while draining are seen")
{
    watched w;
    w.checker.evacuated("dc-a", true, w.now);
    w.now += evacuation_bound + 2s;
    w.open_at(0);
    CHECK(w.broken() == 1);
    w.checker.evacuated("dc-a", false, w.now);
    w.open_at(0);
    CHECK(w.broken() == 1);
    w.checker.draining(first, w.now);
    w.now += drain_bound + 2s;
    w.open_at(0);
    CHECK(w.broken() == 2);
}

TEST_CASE("a packet at another target than its flow's is noticed")
{
    watched w;
    w.checker.packet_arrived(0, caller, first, first);
    CHECK(w.broken() == 0);
    w.checker.packet_arrived(0, caller, first, second);
    CHECK(w.broken() == 1);
    w.checker.target_ended(first);
    w.checker.packet_arrived(0, caller, first, second);
    CHECK(w.broken() == 1);
}

TEST_CASE("flows that are reset or silent while their target lives are noticed")
{
    watched w;
    w.checker.reset(caller, first);
    w.checker.silent(caller, first, 8);
    CHECK(w.broken() == 2);
    w.checker.target_ended(first);
    w.checker.reset(caller, first);
    w.checker.silent(caller, first, 8);
    CHECK(w.broken() == 2);
    CHECK(w.checker.counts().lost_with_target == 2);
}

TEST_CASE("a flow that does not open counts as broken in calm times only")
{
    watched w;
    w.checker.troubled(w.now + 1s);
    w.checker.not_opened(caller, w.now);
    CHECK(w.broken() == 0);
    w.checker.not_opened(caller, w.now + 1s);
    CHECK(w.broken() == 1);
}

TEST_CASE("a daemon that ends by itself or too late is noticed")
{
    watched w;
    w.checker.exited(0, 0, true, true);
    CHECK(w.broken() == 0);
    w.checker.exited(0, 139, false, true);
    w.checker.exited(0, 0, true, false);
    CHECK(w.broken() == 2);
}
