// Tests of the soak itself: each invariant check must detect a violation, so
// that a soak without violations is meaningful.

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

constexpr target_process first_target{0, 1};
constexpr target_process second_target{1, 1};
const endpoint caller{{0x7f0a0301}, 10001};
const endpoint reference = soak_plan::reference_endpoint(0);

/// A checker with one reference bound to service 0, published 1 h before `now`.
struct checker_fixture
{
    checker_fixture()
    {
        checker.record_publication({{reference, 0}}, now);
        now += 1h;
    }
    void record_opening(std::uint32_t service)
    {
        checker.record_opening_packet(0, reference, first_target, service,
                                      "dc-a", now);
    }
    [[nodiscard]] std::size_t violation_count() const
    {
        return checker.violations().size();
    }
    instant now = instant{} + 1h;
    invariant_checker checker{2};
};

} // namespace

TEST_CASE("a seed determines its schedule, and schedules contain every fault")
{
    std::set<fault_kind> kinds;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        const soak_plan plan{.seed = seed, .active_time = 120s};
        const auto schedule = make_schedule(plan);
        CHECK(schedule == make_schedule(plan));
        for (const scheduled_fault& each : schedule)
        {
            kinds.insert(each.kind);
        }
    }
    CHECK(kinds.size() == fault_kind_count);
}

TEST_CASE("a plan that does not fit into its networks is rejected")
{
    CHECK(validate(soak_plan{}));
    CHECK_FALSE(validate(soak_plan{.daemon_count = 0}));
    CHECK_FALSE(validate(soak_plan{.target_count = 255}));
    CHECK_FALSE(validate(soak_plan{.flows_per_second = 0}));
    CHECK_FALSE(validate(soak_plan{.network = 0}));
    CHECK_FALSE(validate(soak_plan{.fault_kinds = fault_kind_count + 1}));
}

TEST_CASE("a decoded segment equals the encoded one")
{
    const segment packet{.source = caller,
                         .destination = reference,
                         .token = 0xdeadbeef,
                         .opens = true,
                         .finishes = true,
                         .sequence = 7,
                         .acknowledged_sequence = 2,
                         .data_bytes = 5};
    const segment_bytes bytes = encode(packet);
    CHECK(decode(bytes) == packet);
    CHECK_FALSE(decode(std::span(bytes).first(segment_size - 1)));
}

TEST_CASE("a flow at a service that is not bound to its reference is detected")
{
    checker_fixture fixture;
    fixture.record_opening(0);
    CHECK(fixture.violation_count() == 0);
    fixture.record_opening(1);
    CHECK(fixture.violation_count() == 1);
}

TEST_CASE("the former service is allowed until the new configuration must be "
          "in effect")
{
    checker_fixture fixture;
    fixture.checker.record_publication({{reference, 1}}, fixture.now);
    fixture.now += configuration_apply_limit;
    fixture.record_opening(0);
    fixture.record_opening(1);
    CHECK(fixture.violation_count() == 0);
    fixture.now += 2s;
    fixture.record_opening(0);
    CHECK(fixture.violation_count() == 1);
}

TEST_CASE(
    "a daemon that could not read the store may use the former configuration")
{
    checker_fixture fixture;
    fixture.checker.record_publication({{reference, 1}}, fixture.now);
    fixture.now += 10s;
    fixture.checker.record_daemon_fault(0, fixture.now);
    fixture.record_opening(0);
    CHECK(fixture.violation_count() == 0);
}

TEST_CASE(
    "flows opened in an evacuated data centre or while draining are detected")
{
    checker_fixture fixture;
    fixture.checker.record_evacuation("dc-a", true, fixture.now);
    fixture.now += evacuation_limit + 2s;
    fixture.record_opening(0);
    CHECK(fixture.violation_count() == 1);
    fixture.checker.record_evacuation("dc-a", false, fixture.now);
    fixture.record_opening(0);
    CHECK(fixture.violation_count() == 1);
    fixture.checker.record_draining_target(first_target, fixture.now);
    fixture.now += drain_limit + 2s;
    fixture.record_opening(0);
    CHECK(fixture.violation_count() == 2);
}

TEST_CASE("a packet at a target other than its flow's is detected")
{
    checker_fixture fixture;
    fixture.checker.record_packet(0, caller, first_target, first_target);
    CHECK(fixture.violation_count() == 0);
    fixture.checker.record_packet(0, caller, first_target, second_target);
    CHECK(fixture.violation_count() == 1);
    fixture.checker.record_target_end(first_target, fixture.now);
    fixture.checker.record_packet(0, caller, first_target, second_target);
    CHECK(fixture.violation_count() == 1);
}

TEST_CASE(
    "flows that are reset or unanswered while their target runs are detected")
{
    checker_fixture fixture;
    fixture.checker.record_flow_reset(caller, first_target);
    fixture.checker.record_unanswered_flow(caller, first_target, 8);
    CHECK(fixture.violation_count() == 2);
    fixture.checker.record_target_end(first_target, fixture.now);
    fixture.checker.record_flow_reset(caller, first_target);
    fixture.checker.record_unanswered_flow(caller, first_target, 8);
    CHECK(fixture.violation_count() == 2);
    CHECK(fixture.checker.counts().lost_with_target == 2);
}

TEST_CASE("a caller that is told of a silent target too late is detected")
{
    checker_fixture fixture;
    fixture.checker.record_daemon_start(0, fixture.now);
    fixture.now += recovery_limit;
    const auto record = [&](duration wait)
    {
        fixture.checker.record_request_ended(0, caller, first_target,
                                             fixture.now, fixture.now + wait);
    };
    record(1h);
    // The target runs.
    CHECK(fixture.violation_count() == 0);
    fixture.checker.record_target_end(first_target, fixture.now - 1s);
    record(silence_limit);
    CHECK(fixture.violation_count() == 0);
    record(silence_limit + 1ms);
    CHECK(fixture.violation_count() == 1);
    CHECK(fixture.checker.counts().requests_told == 2);
    // The daemon has no evidence of the time before its start.
    fixture.checker.record_daemon_start(0, fixture.now);
    record(1h);
    CHECK(fixture.violation_count() == 1);
}

TEST_CASE("a flow that does not open is a violation only without global faults")
{
    checker_fixture fixture;
    fixture.checker.record_global_fault(fixture.now + 1s);
    fixture.checker.record_flow_not_opened(caller, fixture.now);
    CHECK(fixture.violation_count() == 0);
    fixture.checker.record_flow_not_opened(caller, fixture.now + 1s);
    CHECK(fixture.violation_count() == 1);
}

TEST_CASE("a daemon that exits unexpectedly or too late is detected")
{
    checker_fixture fixture;
    fixture.checker.record_daemon_exit(0, 0, true, true);
    CHECK(fixture.violation_count() == 0);
    fixture.checker.record_daemon_exit(0, 139, false, true);
    fixture.checker.record_daemon_exit(0, 0, true, false);
    CHECK(fixture.violation_count() == 2);
}
