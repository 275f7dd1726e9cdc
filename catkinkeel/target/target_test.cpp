#include "catkinkeel/target/target_registry.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace catkinkeel;

namespace
{

constexpr target_id test_target{7};
constexpr target_id other_target{8};
constexpr std::uint32_t capacity = 2000;

published_set_ptr make_set(std::uint64_t version,
                           target_wish wish = target_wish::serve,
                           data_centre_wish zone = data_centre_wish::in_service)
{
    const target first{
        .id = test_target, .service = {1}, .data_centre = {1}, .wish = wish};
    target second = first;
    second.id = other_target;
    second.wish = target_wish::serve;
    return std::make_shared<const published_set>(published_objects{
        .version = {version},
        .services = {{.id = {1}, .name = "orderdesk"}},
        .data_centres = {{.id = {1}, .name = "zilina-a", .wish = zone}},
        .targets = {first, second}});
}

/// One registry on a virtual clock. VM 1 is the only VM of data centre 1; VM 9
/// is in data centre 2.
struct single_vm
{
    vm_id self{1};
    target_registry targets{std::make_shared<steward_rule>(), 1};
    published_set_ptr set = make_set(1);
    instant now{1000s};
    load_report report{5, report_state::ready, 0, 0};
    std::uint32_t held_flows = 0;

    explicit single_vm(vm_id id = {1}) : self(id)
    {
        targets.apply_set(set, now);
        refresh_view();
    }
    void refresh_view()
    {
        targets.apply_steward_view(
            {self,
             {static_cast<std::uint16_t>(self == vm_id{1} ? 1 : 2)},
             {{.id = {1}, .data_centre = {1}, .alive = true},
              {.id = {8}, .data_centre = {2}, .alive = true},
              {.id = {9}, .data_centre = {2}, .alive = true}},
             now,
             instant{0s}},
            now);
    }
    admission_limit admission(double share = 1.0) const
    {
        return targets.admission_limit_of(*set->find_target(test_target), share,
                                          held_flows, now);
    }
    /// Advances time by `seconds`, with a report each second, or a failed poll
    /// if `unresponsive`.
    void run(int seconds, bool unresponsive = false)
    {
        for (int tick = 0; tick < 10 * seconds; ++tick)
        {
            now += 100ms;
            refresh_view();
            targets.tick(now);
            if (tick % 10 != 9)
            {
                continue;
            }
            targets.apply_report(test_target,
                                 unresponsive ? outcome<load_report>(failure{
                                                    failure_kind::timeout, ""})
                                              : outcome<load_report>(report),
                                 held_flows, now);
            targets.apply_report(other_target, load_report{6}, 0, now);
        }
    }
    void warm_up()
    {
        for (int i = 0;
             i < 14 && admission().reason != admission_limit_reason::warm; ++i)
        {
            run(5);
        }
    }
};

} // namespace

TEST_CASE("a cold target is ramped up step by step and not ahead of time")
{
    single_vm vm;
    vm.run(4);
    CHECK(vm.admission() ==
          admission_limit{0, admission_limit_reason::ramping});
    vm.run(2);
    CHECK(vm.admission().limit == 2);
    vm.run(6);
    CHECK(vm.admission().limit == 4);
    vm.warm_up();
    CHECK(vm.admission() ==
          admission_limit{capacity, admission_limit_reason::warm});
    CHECK(vm.admission(0.25).limit == 500);
    CHECK(vm.now - instant{1000s} >= 55s);
}

TEST_CASE(
    "a target that reports itself cold does not become warm by time alone")
{
    single_vm vm;
    vm.report.state = report_state::cold;
    vm.run(90);
    CHECK(vm.admission().reason == admission_limit_reason::ramping);
}

TEST_CASE("a cold start without warning takes effect with the first report")
{
    single_vm vm;
    SECTION("by a new instance")
    {
        vm.warm_up();
        vm.report.instance = 6;
    }
    SECTION("by its state")
    {
        vm.warm_up();
        vm.report.state = report_state::cold;
    }
    SECTION("in the middle of a ramp")
    {
        vm.run(30);
        vm.report.instance = 6;
    }
    vm.run(1);
    CHECK(vm.admission().limit == 0);
    vm.run(6);
    CHECK(vm.admission() ==
          admission_limit{2, admission_limit_reason::ramping});
}

TEST_CASE("a report of too few connections raises no limit")
{
    single_vm vm;
    vm.run(12);
    REQUIRE(vm.admission().limit == 4);
    vm.held_flows = 4;
    vm.report.connections = 4;
    vm.run(1);
    vm.report.connections = 0;
    vm.run(20);
    CHECK(vm.admission().limit == 4);
}

TEST_CASE("a report of too many connections stops placement and ends no ramp")
{
    single_vm vm;
    vm.run(7);
    vm.report.connections = 1500;
    vm.run(1);
    CHECK(vm.admission().limit == 0);
    vm.run(20);
    CHECK(vm.admission().reason == admission_limit_reason::ramping);
    CHECK(vm.admission().limit == 0);
}

TEST_CASE("a target that is loaded at the first poll does not stay cold")
{
    single_vm vm;
    vm.held_flows = 600;
    vm.report.connections = 600;
    vm.run(50);
    CHECK(vm.admission().limit == 512);
    vm.warm_up();
    CHECK(vm.admission().reason == admission_limit_reason::warm);
}

TEST_CASE("leftover flows and a report of too many connections skip no steps")
{
    single_vm vm;
    vm.held_flows = 8;
    vm.report.connections = 8;
    vm.run(2);
    vm.report.instance = 6;
    vm.run(8);
    CHECK(vm.admission().limit == 2);
    vm.run(5);
    CHECK(vm.admission().limit == 4);
}

TEST_CASE("a reported load rises at once and falls step by step")
{
    single_vm vm;
    vm.warm_up();
    vm.report.connections = capacity;
    vm.run(1);
    CHECK(vm.admission() ==
          admission_limit{0, admission_limit_reason::saturated});
    vm.report.connections = 0;
    vm.run(1);
    CHECK(vm.admission().limit == capacity / 8);
    vm.run(1);
    CHECK(vm.admission().limit == capacity / 4);
}

TEST_CASE("missing reports lower confidence to its minimum, not the limits of "
          "all targets to 0")
{
    single_vm vm;
    vm.warm_up();
    vm.run(2, true);
    CHECK(vm.admission().limit == capacity);
    vm.run(2, true);
    CHECK(vm.admission().limit == capacity / 2);
    vm.run(20, true);
    CHECK(vm.admission() ==
          admission_limit{capacity / 8, admission_limit_reason::unreachable});
    vm.run(1);
    CHECK(vm.admission().limit < capacity / 2);
    vm.run(20);
    CHECK(vm.admission().limit == capacity);
}

TEST_CASE("draining, published or reported, takes effect at once")
{
    single_vm vm;
    vm.warm_up();
    SECTION("published")
    {
        const target before = *vm.set->find_target(test_target);
        vm.set = make_set(2, target_wish::drain);
        vm.targets.apply_set(vm.set, vm.now);
        CHECK(vm.admission() ==
              admission_limit{0, admission_limit_reason::draining});
        // Flow placement may still use the previous set.
        CHECK(vm.targets.admission_limit_of(before, 1.0, 0, vm.now).limit == 0);
        vm.targets.apply_set(make_set(1), vm.now);
        CHECK(vm.admission().limit == 0);
    }
    SECTION("reported, and raised step by step afterwards")
    {
        vm.report.state = report_state::draining;
        vm.run(1);
        CHECK(vm.admission() ==
              admission_limit{0, admission_limit_reason::draining});
        vm.report.state = report_state::ready;
        vm.run(1);
        CHECK(vm.admission().limit == capacity / 8);
    }
}

TEST_CASE("the targets of a data centre that returns to service are cold")
{
    single_vm vm;
    vm.warm_up();
    vm.set = make_set(2, target_wish::serve, data_centre_wish::out_of_service);
    vm.targets.apply_set(vm.set, vm.now);
    CHECK(vm.admission().limit == 0);
    vm.run(10);
    vm.set = make_set(3);
    vm.targets.apply_set(vm.set, vm.now);
    vm.run(1);
    CHECK(vm.admission() ==
          admission_limit{0, admission_limit_reason::ramping});
}

TEST_CASE("a restarted steward learns from others that a target is warm")
{
    single_vm before;
    single_vm other({9});
    before.warm_up();
    other.targets.apply_update({1}, before.targets.update_for({9}), other.now);
    REQUIRE(other.admission().reason == admission_limit_reason::warm);

    single_vm after;
    after.run(1);
    CHECK(std::ranges::none_of(after.targets.take_updates(after.now).changes,
                               [](const target_status& status)
                               { return status.id == test_target; }));
    CHECK(after.admission().limit == 0);
    const target_update update = other.targets.update_for({1});
    SECTION("with the same instance")
    {
        after.targets.apply_update({9}, update, after.now);
        CHECK(after.admission().reason == admission_limit_reason::warm);
    }
    SECTION("but not if the target has restarted as well")
    {
        after.report.instance = 6;
        after.run(1);
        after.targets.apply_update({9}, update, after.now);
        CHECK(after.admission().reason == admission_limit_reason::ramping);
    }
}

TEST_CASE("stale updates and updates from unrelated VMs make no target warm")
{
    single_vm vm({9});
    const target_status warm{
        .id = test_target, .instance = 5, .warm = true, .sequence = 10};
    target_status cold = warm;
    cold.instance = 6;
    cold.warm = false;
    cold.sequence = 11;
    vm.targets.apply_update({3}, {{warm}}, vm.now);
    CHECK(vm.admission().limit == 0);
    vm.targets.apply_update({1}, {{cold}}, vm.now);
    vm.targets.apply_update({1}, {{warm}}, vm.now);
    CHECK(vm.admission() ==
          admission_limit{0, admission_limit_reason::cold_not_steward});
    // VM 8 does not poll the target in this VM's view.
    vm.targets.apply_update({8}, {{warm}}, vm.now);
    CHECK(vm.admission() ==
          admission_limit{0, admission_limit_reason::cold_not_steward});
}

TEST_CASE("a steward that was paused starts its ramp again")
{
    single_vm vm;
    vm.run(12);
    REQUIRE(vm.admission().limit == 4);
    vm.now += 2s;
    vm.refresh_view();
    CHECK(vm.admission().limit == 0);
    vm.targets.tick(vm.now);
    vm.run(4);
    CHECK(vm.admission().limit == 0);
}

TEST_CASE("small load changes cost a few bytes a second of updates")
{
    single_vm vm;
    vm.warm_up();
    std::size_t changes = 0;
    for (std::uint32_t second = 0; second < 600; ++second)
    {
        vm.report.connections = 700 + 37 * (second % 7);
        vm.run(1);
        changes += vm.targets.take_updates(vm.now).changes.size();
    }
    CHECK(changes > 0);
    CHECK(changes <= 90);
}

TEST_CASE("each target is polled once in a period, not all at the same moment")
{
    published_objects objects = make_set(1)->objects();
    objects.targets.clear();
    for (std::uint32_t id = 1; id <= 100; ++id)
    {
        objects.targets.push_back(
            {.id = {id}, .service = {1}, .data_centre = {1}});
    }
    single_vm vm;
    vm.targets.apply_set(std::make_shared<const published_set>(objects),
                         vm.now);
    (void)vm.targets.targets_to_poll(vm.now);
    std::size_t total = 0;
    std::size_t busiest = 0;
    for (int tick = 0; tick < 100; ++tick)
    {
        vm.now += 100ms;
        const std::size_t due = vm.targets.targets_to_poll(vm.now).size();
        total += due;
        busiest = std::max(busiest, due);
    }
    CHECK(total == 1000);
    CHECK(busiest <= 25);
}

TEST_CASE("a VM that an outdated list does not name is no second steward")
{
    // VMs 1 and 2 reach each other but not the platform. VM 3 was listed after
    // their last list and reaches only the platform.
    const instant now{1000s};
    const possibly_alive_vm one{{1}, {1}, true, now, now};
    const possibly_alive_vm two{{2}, {1}, true, now, now};
    const possibly_alive_vm three{{3}, {1}, true};
    const steward_view outdated_view{
        {1}, {1}, {one, two}, now - 600s, now - 900s};
    const steward_view current_view{
        {3}, {1}, {one, two, three}, now, now - 40s};
    CHECK(may_act_by_either_condition(outdated_view, {}, now));
    CHECK(may_act_by_either_condition(current_view, {}, now));
    CHECK_FALSE(may_act_as_steward(outdated_view, {}, now));
    CHECK(may_act_as_steward(current_view, {}, now));
    steward_view short_run_view = current_view;
    short_run_view.listed_since = now - 34s;
    CHECK_FALSE(may_act_as_steward(short_run_view, {}, now + 5s));
    CHECK_FALSE(may_act_as_steward(current_view, {}, now + 31s));
}
