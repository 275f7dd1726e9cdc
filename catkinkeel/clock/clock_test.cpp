#include "catkinkeel/clock/clock.hpp"

#include <catch2/catch.hpp>

using namespace catkinkeel;

TEST_CASE("the monotonic clocks never go backwards")
{
    // Guards against a clock that can be set back, which would make elapsed
    // times negative and timeouts late.
    instant steady = steady_now();
    instant boot = boot_now();
    for (int i = 0; i < 1000; ++i)
    {
        const instant later_steady = steady_now();
        const instant later_boot = boot_now();
        CHECK(later_steady >= steady);
        CHECK(later_boot >= boot);
        steady = later_steady;
        boot = later_boot;
    }
}

TEST_CASE("wall_nanoseconds and wall_now read the same clock")
{
    // Guards against a wrong clock, epoch or unit in one of the two functions.
    const auto before = wall_now();
    const auto nanoseconds = std::chrono::nanoseconds(wall_nanoseconds());
    const auto after = wall_now();
    const auto nanoseconds_as_wall_time =
        std::chrono::floor<std::chrono::milliseconds>(
            std::chrono::sys_time<std::chrono::nanoseconds>(nanoseconds));
    CHECK(nanoseconds_as_wall_time >= before);
    CHECK(nanoseconds_as_wall_time <= after);
}
