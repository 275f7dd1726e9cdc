#include "catkinkeel/clock/clock.hpp"

#include <catch2/catch.hpp>

using namespace catkinkeel;

TEST_CASE("the monotonic clocks never go backwards")
{
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

TEST_CASE("the UTC time has the same value in milliseconds and nanoseconds")
{
    const auto before = wall_now();
    const auto nanoseconds = std::chrono::nanoseconds(wall_nanoseconds());
    const auto after = wall_now();
    const auto between = std::chrono::floor<std::chrono::milliseconds>(
        std::chrono::sys_time<std::chrono::nanoseconds>(nanoseconds));
    CHECK(between >= before);
    CHECK(between <= after);
}
