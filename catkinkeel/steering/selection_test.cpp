#include "catkinkeel/steering/admission.hpp"
#include "catkinkeel/steering/selection.hpp"

#include <catch2/catch.hpp>

#include <vector>

using namespace catkinkeel;
using namespace catkinkeel::steering;

namespace
{

const least_cost_policy policy{selection_weights{}};

std::uint32_t chosen(const std::vector<candidate>& candidates,
                     std::uint64_t seed = 1)
{
    random_source random(seed);
    const auto position = policy.choose(candidates, random);
    REQUIRE(position);
    return candidates[*position].index;
}

} // namespace

TEST_CASE("an empty list of candidates yields no choice")
{
    random_source random(1);
    CHECK_FALSE(policy.choose({}, random));
}

TEST_CASE("a nearby target is preferred until half of its slots are in use")
{
    CHECK(chosen({{.index = 1, .slots = 2, .in_flight = 0, .nearby = true},
                  {.index = 2, .slots = 2, .in_flight = 0}}) == 1);
    CHECK(chosen({{.index = 1, .slots = 2, .in_flight = 2, .nearby = true},
                  {.index = 2, .slots = 2, .in_flight = 0}}) == 2);
}

TEST_CASE("equal candidates share the flows evenly")
{
    // Guards against all daemons choosing the first target of the list.
    const std::vector<candidate> equals{
        {.index = 0}, {.index = 1}, {.index = 2}, {.index = 3}};
    std::array<int, 4> counts{};
    random_source random(20261204);
    for (int i = 0; i < 4000; ++i)
    {
        ++counts.at(*policy.choose(equals, random));
    }
    for (const int count : counts)
    {
        CHECK(count > 850);
        CHECK(count < 1150);
    }
}

TEST_CASE("avoided targets are taken only if the others are overloaded or "
          "avoided too")
{
    // Guards against overloading the few targets that are not avoided.
    CHECK(chosen({{.index = 1, .trust = target_trust::avoided, .nearby = true},
                  {.index = 2, .slots = 2, .in_flight = 4}}) == 2);
    CHECK(chosen({{.index = 1, .trust = target_trust::avoided, .nearby = true},
                  {.index = 2, .slots = 2, .in_flight = 6}}) == 1);
    CHECK(chosen(
              {{.index = 1, .trust = target_trust::avoided},
               {.index = 2, .trust = target_trust::avoided, .in_flight = 1}}) ==
          1);
}

TEST_CASE("cold targets with a configured limit are chosen last")
{
    CHECK(chosen(
              {{.index = 1, .nearby = true, .cold = true, .cold_limited = true},
               {.index = 2, .slots = 2, .in_flight = 8}}) == 2);
}

TEST_CASE("a slow target is chosen less often, except for normal variation")
{
    CHECK(chosen({{.index = 1, .slowness = 3},
                  {.index = 2, .slots = 2, .in_flight = 1}}) == 2);
    CHECK(chosen({{.index = 1, .slowness = 1.4},
                  {.index = 2, .slots = 2, .in_flight = 1}}) == 1);
}

TEST_CASE("opening packets are dropped until a retransmission while the best "
          "target is overloaded")
{
    const admission_limits limits;
    const auto verdict =
        [&](std::uint32_t retransmission, std::uint32_t in_flight)
    {
        return admit(limits, retransmission,
                     {.slots = 2, .in_flight = in_flight});
    };
    CHECK(verdict(0, 7) == admission::start);
    CHECK(verdict(0, 8) == admission::drop);
    CHECK(verdict(1, 3) == admission::start);
    CHECK(verdict(1, 4) == admission::drop);
    CHECK(verdict(2, 8) == admission::start);
    CHECK(verdict(2, 9) == admission::refuse);
}
