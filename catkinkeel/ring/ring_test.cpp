#include "catkinkeel/ring/bounded_ring.hpp"

#include <catch2/catch.hpp>

#include <thread>

using namespace catkinkeel;

TEST_CASE("a full ring refuses, counts the refusal and keeps its order")
{
    bounded_ring<int> ring(2);
    CHECK(ring.try_push(1));
    CHECK(ring.try_push(2));
    CHECK_FALSE(ring.try_push(3));
    CHECK(ring.refused() == 1);
    CHECK(ring.pop() == 1);
    CHECK(ring.pop() == 2);
}

TEST_CASE("a closed ring returns its queued elements and then ends the reader")
{
    bounded_ring<int> ring(4);
    ring.try_push(7);
    ring.close();
    CHECK_FALSE(ring.push(8));
    CHECK(ring.pop() == 7);
    CHECK(ring.pop() == std::nullopt);
}

TEST_CASE("a writer waits for room instead of losing an element")
{
    constexpr int count = 1000;
    bounded_ring<int> ring(3);
    std::jthread writer(
        [&]
        {
            for (int i = 0; i < count; ++i)
            {
                ring.push(i);
            }
            ring.close();
        });
    int expected = 0;
    while (const auto element = ring.pop())
    {
        REQUIRE(*element == expected);
        ++expected;
    }
    CHECK(expected == count);
}

TEST_CASE("an empty ring is polled without a wait")
{
    // Guards against a reader that polls for each batch of packets and blocks
    // in a system call.
    bounded_ring<int> ring(2);
    CHECK_FALSE(ring.try_pop());
    CHECK(ring.try_push(7));
    CHECK(ring.try_pop() == 7);
    CHECK_FALSE(ring.try_pop());
    ring.close();
    CHECK_FALSE(ring.try_pop());
}

TEST_CASE("push_newest drops the oldest elements and never refuses a new one")
{
    // Guards against a reader that gets outdated elements because a full ring
    // dropped the newest one.
    bounded_ring<int> ring(2);
    for (int i = 1; i <= 5; ++i)
    {
        CHECK(ring.push_newest(i));
    }
    CHECK(ring.try_pop() == 4);
    CHECK(ring.try_pop() == 5);
    CHECK_FALSE(ring.try_pop());
    ring.close();
    CHECK_FALSE(ring.push_newest(6));
}
