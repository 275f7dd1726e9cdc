#include "catkinkeel/steering/request_progress.hpp"
#include "catkinkeel/steering/steering_samples.hpp"

#include <catch2/catch.hpp>

using namespace catkinkeel;
using namespace catkinkeel::steering;

TEST_CASE("each request of a flow begins with data and ends with an answer")
{
    // Guards against taking a flow for one request: an idle flow that counts
    // as load, and requests after the first that do not.
    request_progress progress = begin_flow({100, 500, 200}, at(1s));
    CHECK(progress.in_progress);
    request_step step = advance(progress, {300, 2500, 0}, at(1040ms));
    CHECK(step.answered_after == 40ms);
    CHECK(step.answered_bytes == 2000);
    CHECK_FALSE(step.next.in_progress);
    // The rest of the answer.
    step = advance(step.next, {300, 3500, 0}, at(1050ms));
    CHECK_FALSE(step.answered_after);
    CHECK(step.answered_bytes == 0);
    step = advance(step.next, {300, 3500, 150}, at(2s));
    CHECK(step.next.in_progress);
    step = advance(step.next, {450, 5500, 0}, at(2030ms));
    CHECK(step.answered_after == 30ms);
    // The next request acknowledges the end of the answer before.
    step = advance(step.next, {450, 5600, 150}, at(3s));
    CHECK_FALSE(step.answered_after);
    CHECK(step.next.in_progress);
    // One that is sent with the acknowledgement of an answer.
    step = advance(step.next, {600, 7600, 150}, at(3020ms));
    CHECK(step.answered_after == 20ms);
    CHECK(step.answered_bytes == 2000);
    CHECK(step.next.in_progress);
}

TEST_CASE("an upload is one request, timed from its last data")
{
    // Guards against counting the time of the transfer as work of the target.
    request_progress progress = begin_flow({0, 9, 0}, at(0s));
    for (std::uint32_t packet = 0; packet < 34; ++packet)
    {
        const request_step step =
            advance(progress, {packet * 1200, 9, 1200}, at(packet * 10ms));
        CHECK_FALSE(step.answered_after);
        progress = step.next;
        CHECK(progress.in_progress);
    }
    CHECK(advance(progress, {34 * 1200, 309, 0}, at(350ms)).answered_after ==
          20ms);
}

TEST_CASE("repeated and reordered packets change nothing")
{
    // Guards against a retransmission that counts as a further request, and
    // against numbers that wrap around.
    const request_progress begun =
        begin_flow({0xffffff00U, 0xfffffff0U, 0x80}, at(0s));
    const request_step next =
        advance(begun, {0xffffff80U, 0xfffffff0U, 0x100}, at(1ms));
    CHECK(next.next.next_sequence == 0x80);
    const request_step answered = advance(next.next, {0x80, 0x10, 0}, at(20ms));
    CHECK(answered.answered_after == 19ms);
    CHECK(answered.answered_bytes == 0x20);
    CHECK(advance(answered.next, {0xffffff80U, 0xfffffff0U, 0x100},
                  at(200ms)) == request_step{.next = answered.next});
    CHECK(advance(answered.next, {0x80, 0x10, 0}, at(210ms)) ==
          request_step{.next = answered.next});
}
