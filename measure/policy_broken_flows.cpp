// Counts the flows that break at planned changes and at sudden deaths of VMs.

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <string>

#include "measure/policy_scenarios.hpp"

namespace catkinkeel::measure
{

namespace
{

struct change
{
    const char* name;
    /// Returns the leaving VM, if the change makes one leave.
    std::optional<vm_id> (*apply)(site&);
};

std::optional<vm_id> move_reference(site& s)
{
    s.next_objects.references[0].service = {2};
    s.publish();
    return std::nullopt;
}

std::optional<vm_id> drain_target(site& s)
{
    s.next_objects.targets[3].wish = target_wish::drain;
    s.publish();
    return std::nullopt;
}

std::optional<vm_id> change_weight(site& s)
{
    s.next_objects.targets[1].weight = 300;
    s.publish();
    return std::nullopt;
}

std::optional<vm_id> add_target(site& s)
{
    s.next_objects.targets.push_back(
        {.id = {90}, .service = {1}, .data_centre = {2}});
    s.publish();
    return std::nullopt;
}

std::optional<vm_id> join_vm(site& s)
{
    constexpr vm_id joining_vm{199};
    s.fleet->add_vm(joining_vm, {1});
    s.fleet->apply_set(joining_vm, s.last_published_objects);
    return std::nullopt;
}

std::optional<vm_id> stop_vm(site& s)
{
    constexpr vm_id leaving_vm{201};
    s.fleet->leave(leaving_vm);
    return leaving_vm;
}

constexpr std::array<change, 6> changes{{{"move", &move_reference},
                                         {"drain", &drain_target},
                                         {"weight", &change_weight},
                                         {"add", &add_target},
                                         {"join", &join_vm},
                                         {"stop", &stop_vm}}};

constexpr std::uint64_t seeds_per_change = 3;

/// Applies `first`, and `second` up to 3 s later unless it is the same change.
flow_counts measure_change_pair(const run_context& context, const change& first,
                                const change& second, std::uint64_t seed)
{
    constexpr std::uint32_t initial_flows = 3000;
    constexpr std::uint32_t flows_per_step = 20;
    site s(exlibris, context.tested_policy, {.seed = seed});
    s.fill(initial_flows, 3s);
    s.run(2s, flows_per_step);
    const instant change_time = s.now();
    std::optional<vm_id> leaving_vm = first.apply(s);
    if (first.apply != second.apply)
    {
        s.run(s.random.below(30) * 100ms, flows_per_step);
        const std::optional<vm_id> second_leaving_vm = second.apply(s);
        leaving_vm = leaving_vm ? leaving_vm : second_leaving_vm;
    }
    s.run(8s, flows_per_step);
    if (leaving_vm)
    {
        s.finish_leaving(*leaving_vm, flows_per_step);
        s.run(3s, flows_per_step);
    }
    const flow_counts assessed = s.assess();
    if (context.trace)
    {
        const std::string label = std::string(context.tested_policy.name) +
                                  " " + first.name + "+" + second.name +
                                  " seed " + std::to_string(seed);
        s.print_broken_flows(label.c_str(), change_time);
    }
    return assessed;
}

/// A change that is applied before a VM dies, and the time between them.
struct prior_change
{
    const char* name;
    std::optional<vm_id> (*apply)(site&);
    duration min_wait;
    duration max_wait;
};

constexpr std::array<prior_change, 4> prior_changes{
    {{"death", nullptr, 0s, 0s},
     {"death_after_drain", &drain_target, 0s, 20s},
     {"death_after_move", &move_reference, 0s, 20s},
     {"death_60s_after_move", &move_reference, 60s, 60s}}};

struct death_load
{
    site_size size;
    std::uint32_t open_flow_count;
    /// Flows opened per step of 100 ms.
    std::uint32_t flows_per_step;
    std::uint64_t seed_count;
};

scenario_result measure_vm_deaths_at(const run_context& context,
                                     const death_load& load)
{
    scenario_result result;
    for (const prior_change& prior : prior_changes)
    {
        flow_counts total;
        double max_broken_percent = 0;
        for (std::uint64_t n = 0; n < load.seed_count; ++n)
        {
            const std::uint64_t seed = context.seed + n;
            site s(load.size, context.tested_policy, {.seed = seed});
            s.fill(load.open_flow_count, 30s);
            s.run_at_constant_load(10s, load.flows_per_step, 0.02);
            if (prior.apply != nullptr)
            {
                prior.apply(s);
                const duration wait_range = prior.max_wait - prior.min_wait;
                s.run_at_constant_load(prior.min_wait +
                                           std::chrono::duration_cast<duration>(
                                               s.random.unit() * wait_range),
                                       load.flows_per_step, 0.02);
            }
            const instant death_time = s.now();
            s.fleet->kill(s.vms()[s.random.below(s.vms().size())]);
            s.run_at_constant_load(8s, load.flows_per_step, 0.02);
            const flow_counts assessed = s.assess(death_time);
            total += assessed;
            max_broken_percent =
                std::max(max_broken_percent,
                         100.0 * static_cast<double>(assessed.broken) /
                             static_cast<double>(assessed.checked_flows));
            if (context.trace)
            {
                const std::string label =
                    std::string(context.tested_policy.name) + " " + prior.name +
                    " seed " + std::to_string(seed);
                s.print_broken_flows(label.c_str(), death_time);
            }
        }
        const std::string prefix =
            std::string(load.size.name) + "." + prior.name;
        result.rows.push_back({prefix + ".broken_of_open",
                               100.0 * static_cast<double>(total.broken) /
                                   static_cast<double>(total.checked_flows),
                               "%", bound::at_most, 0.1});
        result.rows.push_back({prefix + ".broken_of_open_worst_seed",
                               max_broken_percent, "%", bound::at_most, 0.1});
        result.rows.push_back({prefix + ".broken_settled",
                               static_cast<double>(total.broken_settled),
                               "flows", bound::at_most, 0});
        result.rows.push_back({prefix + ".of_these_dropped",
                               static_cast<double>(total.stalled), "flows"});
        result.misdirected += total.misdirected;
    }
    return result;
}

} // namespace

scenario_result measure_planned_changes(const run_context& context)
{
    scenario_result result;
    std::uint64_t total_broken = 0;
    std::uint64_t max_broken = 0;
    std::uint64_t total_refused = 0;
    for (std::size_t first_index = 0; first_index < changes.size();
         ++first_index)
    {
        for (std::size_t second_index = first_index;
             second_index < changes.size(); ++second_index)
        {
            flow_counts total;
            for (std::uint64_t n = 0; n < seeds_per_change; ++n)
            {
                total += measure_change_pair(context, changes[first_index],
                                             changes[second_index],
                                             context.seed + n);
            }
            total_broken += total.broken;
            max_broken = std::max(max_broken, total.broken);
            total_refused += total.refused;
            result.misdirected += total.misdirected;
            const std::string name =
                first_index == second_index
                    ? std::string(changes[first_index].name)
                    : std::string(changes[first_index].name) + "+" +
                          changes[second_index].name;
            result.rows.push_back({"change." + name + ".broken",
                                   static_cast<double>(total.broken), "flows",
                                   bound::at_most, 0});
            if (first_index == second_index)
            {
                result.rows.push_back({"change." + name + ".new_flows_refused",
                                       static_cast<double>(total.refused),
                                       "flows"});
            }
        }
    }
    result.rows.push_back({"change.sum.broken",
                           static_cast<double>(total_broken), "flows",
                           bound::at_most, 0});
    result.rows.push_back({"change.worst.broken",
                           static_cast<double>(max_broken), "flows",
                           bound::at_most, 0});
    result.rows.push_back({"change.sum.new_flows_refused",
                           static_cast<double>(total_refused), "flows"});
    return result;
}

scenario_result measure_vm_deaths(const run_context& context)
{
    // Twice the usual connection limit, since 30,000 flows exceed 14 targets x
    // 2,000 connections.
    site_size size = exlibris;
    size.target_connection_limit = 4000;
    return measure_vm_deaths_at(context, {size, 30000, 20, 4});
}

scenario_result measure_vm_deaths_of_36(const run_context& context)
{
    return measure_vm_deaths_at(context, {large, 30000, 20, 1});
}

} // namespace catkinkeel::measure
