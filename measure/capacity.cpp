// Measures how memory, CPU time, message sizes and transfer times grow with the
// number of targets, VMs and flows, for docs/CAPACITY.md. Prints rows of the
// form "name size value unit". Seeds are fixed; times in ms are wall-clock
// times on the machine that runs the program.
//
// Usage: capacity SUBCOMMAND   (without one, lists the subcommands)

#include "catkinkeel/base/hash.hpp"
#include "catkinkeel/data_centre/bucket_map.hpp"
#include "catkinkeel/flow/balancer.hpp"
#include "catkinkeel/target/target_registry.hpp"
#include "catkinkeel/testing/fake_balancer_group.hpp"
#include "catkinkeel/vm/membership.hpp"

#include <array>
#include <cstring>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

#include "measure/design_size.hpp"

using namespace catkinkeel;
using namespace capacity;

namespace
{

constexpr instant start_time{1000s};

published_set_ptr make_set(std::uint32_t target_count, std::uint64_t version)
{
    return std::make_shared<const published_set>(
        make_objects(target_count, version));
}

/// The set of `make_set` with the wish of the last target changed to drain.
published_set_ptr make_changed_set(std::uint32_t target_count,
                                   std::uint64_t version)
{
    published_objects objects = make_objects(target_count, version);
    objects.targets.back().wish = target_wish::drain;
    return std::make_shared<const published_set>(std::move(objects));
}

placement_plan_ptr make_plan(const published_set& set,
                             const placement_plan& previous)
{
    return std::make_shared<const placement_plan>(
        set, data_centre_group(set, {1}), previous);
}

void measure_bucket_map()
{
    const auto set = make_set(24, 1);
    for (const std::uint32_t group_size : {6U, 36U, 144U, 575U})
    {
        // The group of VM 1 is one of four regions and so a quarter of the VMs.
        const member_view view = make_view(group_size * 4);
        print_row("bucket_map.construct", group_size,
                  min_milliseconds_of(5, [&] { bucket_map map(*set, view); }),
                  "ms");
        const double bytes_before_map = heap_bytes();
        const bucket_map retained_map(*set, view);
        print_row("bucket_map.memory", group_size,
                  (heap_bytes() - bytes_before_map) / 1024, "KB");
    }
}

void measure_member_change()
{
    const auto set = make_set(24000, 1);
    const auto plan = make_plan(*set, {});
    const testing::fake_admission_limits admission_limits;
    for (const std::uint32_t group_size : {36U, 144U, 575U})
    {
        balancer core({}, {1}, {1}, 1, admission_limits);
        const member_view view = make_view(group_size * 4);
        core.apply_set(set, plan, start_time);
        core.apply_view(view, start_time);
        core.set_opening_allowed(true);
        member_view view_after_remote_death = view;
        view_after_remote_death.members.back().state = liveness::dead;
        member_view view_after_group_death = view;
        // The last VM is in another region, VM 2 in another data centre of the
        // group.
        view_after_group_death.members[1].state = liveness::dead;
        print_row(
            "apply_view.death_in_other_region", group_size,
            milliseconds_of(
                [&]
                { core.apply_view(view_after_remote_death, start_time + 1s); }),
            "ms");
        print_row(
            "apply_view.death_in_group", group_size,
            milliseconds_of(
                [&]
                { core.apply_view(view_after_group_death, start_time + 2s); }),
            "ms");
    }
}

void measure_set()
{
    for (const std::uint32_t target_count : {6000U, 12000U, 24000U})
    {
        const double bytes_before = heap_bytes();
        const auto first_set = make_set(target_count, 1);
        print_row("set.memory", target_count,
                  (heap_bytes() - bytes_before) / 1024, "KB");
        const auto changed_set = make_changed_set(target_count, 2);
        const double bytes_before_plan = heap_bytes();
        placement_plan_ptr plan;
        print_row("set.plan_first", target_count,
                  milliseconds_of([&] { plan = make_plan(*first_set, {}); }),
                  "ms");
        print_row("set.plan_memory", target_count,
                  (heap_bytes() - bytes_before_plan) / 1024, "KB");
        placement_plan_ptr changed_plan;
        print_row("set.plan_after_change", target_count,
                  milliseconds_of(
                      [&] { changed_plan = make_plan(*changed_set, *plan); }),
                  "ms");
        const testing::fake_admission_limits admission_limits;
        balancer core({}, {1}, {1}, 1, admission_limits);
        core.apply_view(make_view(2300), start_time);
        print_row("set.balancer_apply_first", target_count,
                  milliseconds_of(
                      [&] { core.apply_set(first_set, plan, start_time); }),
                  "ms");
        print_row("set.balancer_apply_change", target_count,
                  milliseconds_of(
                      [&] {
                          core.apply_set(changed_set, changed_plan,
                                         start_time + 1s);
                      }),
                  "ms");
        const double bytes_before_registry = heap_bytes();
        target_registry registry(std::make_shared<steward_rule>(), 1);
        registry.apply_steward_view(make_steward_view(2300, start_time),
                                    start_time);
        print_row(
            "set.registry_apply_first", target_count,
            milliseconds_of([&] { registry.apply_set(first_set, start_time); }),
            "ms");
        print_row("set.registry_memory", target_count,
                  (heap_bytes() - bytes_before_registry) / 1024, "KB");
        print_row("set.registry_apply_change", target_count,
                  milliseconds_of(
                      [&]
                      { registry.apply_set(changed_set, start_time + 1s); }),
                  "ms");
    }
}

void measure_stewards()
{
    const auto set = make_set(24000, 1);
    for (const std::uint32_t vm_count : {144U, 575U, 1150U, 2300U})
    {
        target_registry registry(std::make_shared<steward_rule>(), 1);
        registry.apply_set(set, start_time);
        steward_view changed_view = make_steward_view(vm_count, start_time);
        registry.apply_steward_view(changed_view, start_time);
        print_row("stewards.member_change", vm_count,
                  min_milliseconds_of(
                      6,
                      [&]
                      {
                          changed_view.possibly_alive.back().alive ^= true;
                          registry.apply_steward_view(changed_view, start_time);
                      }),
                  "ms");
        print_row(
            "stewards.no_change", vm_count,
            min_milliseconds_of(
                3,
                [&] { registry.apply_steward_view(changed_view, start_time); }),
            "ms");
        print_row(
            "registry.tick_with_walk", vm_count,
            min_milliseconds_of(1, [&] { registry.tick(start_time + 2s); }),
            "ms");
        print_row(
            "registry.tick", vm_count,
            min_milliseconds_of(3, [&] { registry.tick(start_time + 2100ms); }),
            "ms");
    }
}

/// Measures the membership and the computation of the steward views, which the
/// daemon's peers thread repeats every 500 ms.
void measure_standing()
{
    for (const std::uint32_t vm_count : {144U, 575U, 1150U, 2300U})
    {
        membership vm_membership({}, random_source(1));
        const double bytes_before = heap_bytes();
        vm_membership.start(make_view(1).members.front());
        vm_membership.apply_vm_list(make_vm_list(vm_count, start_time),
                                    start_time);
        print_row("membership.memory", vm_count,
                  (heap_bytes() - bytes_before) / 1024, "KB");
        std::size_t possibly_alive_count = 0;
        print_row("standing.steward_view", vm_count,
                  min_milliseconds_of(2,
                                      [&]
                                      {
                                          for (const member& each :
                                               vm_membership.view().members)
                                          {
                                              possibly_alive_count +=
                                                  vm_membership
                                                      .possibly_alive(
                                                          each.data_centre,
                                                          start_time + 1s)
                                                      .size();
                                          }
                                      }),
                  "ms");
        if (possibly_alive_count == 0)
        {
            std::puts("# no VM is possibly alive");
        }
        print_row(
            "membership.tick", vm_count,
            min_milliseconds_of(
                5, [&]
                { static_cast<void>(vm_membership.tick(start_time + 1s)); }),
            "ms");
    }
}

/// Measures the reads for the snapshot that the daemon's decide thread
/// publishes every second, without copying counters, reporting events and
/// publishing.
void measure_snapshot()
{
    for (const std::uint32_t target_count : {6000U, 12000U, 24000U})
    {
        const auto set = make_set(target_count, 1);
        target_registry registry(std::make_shared<steward_rule>(), 1);
        registry.apply_steward_view(make_steward_view(2300, start_time),
                                    start_time);
        registry.apply_set(set, start_time);
        balancer core({}, {1}, {1}, 1, registry);
        const member_view view = make_view(2300);
        core.apply_set(set, make_plan(*set, {}), start_time);
        core.apply_view(view, start_time);
        std::uint64_t checksum = 0;
        print_row(
            "snapshot.targets", target_count,
            min_milliseconds_of(
                5,
                [&]
                {
                    std::map<target_id, admission_limit_reason> reasons;
                    for (const target& each : set->objects().targets)
                    {
                        const auto flow_count =
                            core.open_flow_count_on(each.id);
                        const admission_limit limit =
                            registry.admission_limit_of(
                                each, core.capacity_share(each.id), flow_count,
                                start_time);
                        checksum +=
                            registry.target_state_of(each.id)->connections;
                        reasons[each.id] = limit.reason;
                    }
                }),
            "ms");
        print_row("snapshot.buckets", target_count,
                  min_milliseconds_of(
                      5,
                      [&]
                      {
                          for (std::uint32_t i = 0; i < bucket_count; ++i)
                          {
                              const bucket_id id{static_cast<std::uint16_t>(i)};
                              const auto owner = core.map().owner(id);
                              checksum +=
                                  owner ? view.find(*owner)->id.value : 0;
                              checksum +=
                                  core.map().standby(id) == vm_id{1} ? 1 : 0;
                          }
                      }),
                  "ms");
        if (checksum == 0)
        {
            std::puts("# the map has no owner");
        }
    }
}

struct subcommand
{
    const char* name;
    void (*run)();
};

constexpr std::array subcommands{
    subcommand{"bucket_map", &measure_bucket_map},
    subcommand{"member_change", &measure_member_change},
    subcommand{"set", &measure_set},
    subcommand{"stewards", &measure_stewards},
    subcommand{"standing", &measure_standing},
    subcommand{"snapshot", &measure_snapshot},
    subcommand{"flow_memory", &measure_flow_memory},
    subcommand{"exceptions", &measure_exceptions},
    subcommand{"handover", &measure_handover},
    subcommand{"messages", &measure_messages},
    subcommand{"news", &measure_updates},
    subcommand{"lists", &measure_vm_lists},
    subcommand{"documents", &measure_documents},
    subcommand{"start", &measure_daemon_start},
    subcommand{"change", &measure_set_change}};

} // namespace

int main(int argc, char** argv)
{
    for (const subcommand& each : subcommands)
    {
        if (argc > 1 && std::string_view(argv[1]) == each.name)
        {
            each.run();
            return 0;
        }
    }
    for (const subcommand& each : subcommands)
    {
        std::puts(each.name);
    }
    return 1;
}
