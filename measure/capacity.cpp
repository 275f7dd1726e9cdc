// Prints slopes for docs/CAPACITY.md as rows "name size value unit". Fixed
// seeds; times are wall times on this machine.
// Usage: capacity SUBCOMMAND   (without one, lists them)

#include "catkinkeel/base/hash.hpp"
#include "catkinkeel/data_centre/bucket_map.hpp"
#include "catkinkeel/flow/balancer.hpp"
#include "catkinkeel/target/target_registry.hpp"
#include "catkinkeel/testing/fake_group.hpp"
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

constexpr instant start{1000s};

published_set_ptr make_set(std::uint32_t targets, std::uint64_t version)
{
    return std::make_shared<const published_set>(
        make_objects(targets, version));
}

/// The set with one target of the last service drained.
published_set_ptr make_changed_set(std::uint32_t targets, std::uint64_t version)
{
    published_objects objects = make_objects(targets, version);
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
    for (const std::uint32_t group : {6U, 36U, 144U, 575U})
    {
        // A quarter of the data centres, hence of the VMs, is the group.
        const member_view view = make_view(group * 4);
        print_row("bucket_map.construct", group,
                  least_milliseconds_of(5, [&] { bucket_map map(*set, view); }),
                  "ms");
        const double before = heap_bytes();
        const bucket_map kept(*set, view);
        print_row("bucket_map.memory", group, (heap_bytes() - before) / 1024,
                  "KB");
    }
}

void measure_member_change()
{
    const auto set = make_set(24000, 1);
    const auto plan = make_plan(*set, {});
    const testing::fake_admission_limits admission_limits;
    for (const std::uint32_t group : {36U, 144U, 575U})
    {
        balancer core({}, {1}, {1}, 1, admission_limits);
        const member_view view = make_view(group * 4);
        core.apply_set(set, plan, start);
        core.apply_view(view, start);
        core.set_opening_allowed(true);
        member_view lost = view;
        lost.members.back().state = liveness::dead;
        member_view other = view;
        // VM 2 is in another data centre of the group.
        other.members[1].state = liveness::dead;
        print_row("apply_view.death_in_other_region", group,
                  milliseconds_of([&] { core.apply_view(lost, start + 1s); }),
                  "ms");
        print_row("apply_view.death_in_group", group,
                  milliseconds_of([&] { core.apply_view(other, start + 2s); }),
                  "ms");
    }
}

void measure_set()
{
    for (const std::uint32_t targets : {6000U, 12000U, 24000U})
    {
        const double empty = heap_bytes();
        const auto first = make_set(targets, 1);
        print_row("set.memory", targets, (heap_bytes() - empty) / 1024, "KB");
        const auto second = make_changed_set(targets, 2);
        const double before_plan = heap_bytes();
        placement_plan_ptr plan;
        print_row("set.plan_first", targets,
                  milliseconds_of([&] { plan = make_plan(*first, {}); }), "ms");
        print_row("set.plan_memory", targets,
                  (heap_bytes() - before_plan) / 1024, "KB");
        placement_plan_ptr next;
        print_row("set.plan_after_change", targets,
                  milliseconds_of([&] { next = make_plan(*second, *plan); }),
                  "ms");
        const testing::fake_admission_limits admission_limits;
        balancer core({}, {1}, {1}, 1, admission_limits);
        core.apply_view(make_view(2300), start);
        print_row("set.balancer_apply_first", targets,
                  milliseconds_of([&] { core.apply_set(first, plan, start); }),
                  "ms");
        print_row(
            "set.balancer_apply_change", targets,
            milliseconds_of([&] { core.apply_set(second, next, start + 1s); }),
            "ms");
        const double before_registry = heap_bytes();
        target_registry registry(std::make_shared<steward_rule>(), 1);
        registry.apply_steward_view(make_stewardship(2300, start), start);
        print_row("set.registry_apply_first", targets,
                  milliseconds_of([&] { registry.apply_set(first, start); }),
                  "ms");
        print_row("set.registry_memory", targets,
                  (heap_bytes() - before_registry) / 1024, "KB");
        print_row(
            "set.registry_apply_change", targets,
            milliseconds_of([&] { registry.apply_set(second, start + 1s); }),
            "ms");
    }
}

void measure_stewards()
{
    const auto set = make_set(24000, 1);
    for (const std::uint32_t vms : {144U, 575U, 1150U, 2300U})
    {
        target_registry registry(std::make_shared<steward_rule>(), 1);
        registry.apply_set(set, start);
        steward_view changed = make_stewardship(vms, start);
        registry.apply_steward_view(changed, start);
        print_row("stewards.member_change", vms,
                  least_milliseconds_of(
                      6,
                      [&]
                      {
                          changed.possibly_alive.back().alive ^= true;
                          registry.apply_steward_view(changed, start);
                      }),
                  "ms");
        print_row("stewards.no_change", vms,
                  least_milliseconds_of(
                      3, [&] { registry.apply_steward_view(changed, start); }),
                  "ms");
        print_row("registry.tick_with_walk", vms,
                  least_milliseconds_of(1, [&] { registry.tick(start + 2s); }),
                  "ms");
        print_row(
            "registry.tick", vms,
            least_milliseconds_of(3, [&] { registry.tick(start + 2100ms); }),
            "ms");
    }
}

/// The loop of `peers_duty::publish_standing`, which runs every 500 ms.
void measure_standing()
{
    for (const std::uint32_t vms : {144U, 575U, 1150U, 2300U})
    {
        membership fleet({}, random_source(1));
        const double empty = heap_bytes();
        fleet.start(make_view(1).members.front());
        fleet.apply_vm_list(make_list(vms, start), start);
        print_row("membership.memory", vms, (heap_bytes() - empty) / 1024,
                  "KB");
        std::size_t found = 0;
        print_row("standing.steward_view", vms,
                  least_milliseconds_of(
                      2,
                      [&]
                      {
                          for (const member& each : fleet.view().members)
                          {
                              found += fleet
                                           .possibly_alive(each.data_centre,
                                                           start + 1s)
                                           .size();
                          }
                      }),
                  "ms");
        if (found == 0)
        {
            std::puts("# no VM is possibly alive");
        }
        print_row("membership.tick", vms,
                  least_milliseconds_of(
                      5, [&] { static_cast<void>(fleet.tick(start + 1s)); }),
                  "ms");
    }
}

/// What `decider::publish_snapshot` reads each second, without its copies of
/// counters, its events and its hand-over to the board.
void measure_snapshot()
{
    for (const std::uint32_t targets : {6000U, 12000U, 24000U})
    {
        const auto set = make_set(targets, 1);
        target_registry registry(std::make_shared<steward_rule>(), 1);
        registry.apply_steward_view(make_stewardship(2300, start), start);
        registry.apply_set(set, start);
        balancer core({}, {1}, {1}, 1, registry);
        const member_view view = make_view(2300);
        core.apply_set(set, make_plan(*set, {}), start);
        core.apply_view(view, start);
        std::uint64_t sum = 0;
        print_row(
            "snapshot.targets", targets,
            least_milliseconds_of(
                5,
                [&]
                {
                    std::map<target_id, admission_limit_reason> reasons;
                    for (const target& each : set->objects().targets)
                    {
                        const auto held = core.open_flow_count_on(each.id);
                        const admission_limit limit =
                            registry.admission_limit_of(
                                each, core.capacity_share(each.id), held,
                                start);
                        sum += registry.target_state_of(each.id)->connections;
                        reasons[each.id] = limit.reason;
                    }
                }),
            "ms");
        print_row("snapshot.buckets", targets,
                  least_milliseconds_of(
                      5,
                      [&]
                      {
                          for (std::uint32_t i = 0; i < bucket_count; ++i)
                          {
                              const bucket_id id{static_cast<std::uint16_t>(i)};
                              const auto owner = core.map().owner(id);
                              sum += owner ? view.find(*owner)->id.value : 0;
                              sum += core.map().standby(id) == vm_id{1} ? 1 : 0;
                          }
                      }),
                  "ms");
        if (sum == 0)
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
    subcommand{"lists", &measure_lists},
    subcommand{"documents", &measure_documents},
    subcommand{"start", &measure_start},
    subcommand{"change", &measure_change}};

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
