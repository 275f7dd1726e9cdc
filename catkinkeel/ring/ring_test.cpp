#include "catkinkeel/ring/bounded_ring.hpp"

#include <catch2/catch.hpp>

#include <thread>

using namespace catkinkeel;

TEST_CASE("try_push on a full ring returns false and leaves the ring unchanged")
{
    // Guards against a full ring that loses or reorders queued elements, and
    // against a refused element that is missing from the count.
    bounded_ring<int> ring(2);
    CHECK(ring.try_push(1));
    CHECK(ring.try_push(2));
    CHECK_FALSE(ring.try_push(3));
    CHECK(ring.refused() == 1);
    CHECK(ring.pop() == 1);
    CHECK(ring.pop() == 2);
}

TEST_CASE("pop on a closed ring returns the queued elements and then nullopt")
{
    // Guards against elements lost at shutdown, and against a reader that
    // blocks forever on a closed ring.
    bounded_ring<int> ring(4);
    ring.try_push(7);
    ring.close();
    CHECK_FALSE(ring.push(8));
    CHECK(ring.pop() == 7);
    CHECK(ring.pop() == std::nullopt);
}

TEST_CASE("push waits while the ring is full and loses no element")
{
    // Guards against lost or reordered elements, and against lost wake-ups,
    // when the writer is faster than the reader.
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

TEST_CASE("try_pop on an empty ring returns at once")
{
    // Guards against a `try_pop` that waits: a thread that polls the ring
    // between batches of packets would stop handling packets.
    bounded_ring<int> ring(2);
    CHECK_FALSE(ring.try_pop());
    CHECK(ring.try_push(7));
    CHECK(ring.try_pop() == 7);
    CHECK_FALSE(ring.try_pop());
    ring.close();
    CHECK_FALSE(ring.try_pop());
}

TEST_CASE("push_newest on a full ring overwrites the oldest element")
{
    // Guards against a reader that gets outdated elements because the newest
    // one was discarded instead of the oldest.
    bounded_ring<int> ring(2);
    for (int i = 1; i <= 5; ++i)
    {
        CHECK(ring.push_newest(i));
    }
    CHECK(ring.overwritten() == 3);
    CHECK(ring.try_pop() == 4);
    CHECK(ring.try_pop() == 5);
    CHECK_FALSE(ring.try_pop());
    ring.close();
    CHECK_FALSE(ring.push_newest(6));
}
