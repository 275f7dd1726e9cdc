// Planned changes and sudden deaths: how many flows break.

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <string>

#include "measure/policy_rows.hpp"

namespace catkinkeel::measure
{

namespace
{

struct change
{
    const char* name;
    /// Returns the VM that leaves, if one does.
    std::optional<vm_id> (*apply)(site&);
};

std::optional<vm_id> move_reference(site& s)
{
    s.objects.references[0].service = {2};
    s.publish();
    return std::nullopt;
}

std::optional<vm_id> drain_target(site& s)
{
    s.objects.targets[3].wish = target_wish::drain;
    s.publish();
    return std::nullopt;
}

std::optional<vm_id> change_weight(site& s)
{
    s.objects.targets[1].weight = 300;
    s.publish();
    return std::nullopt;
}

std::optional<vm_id> add_target(site& s)
{
    s.objects.targets.push_back(
        {.id = {90}, .service = {1}, .data_centre = {2}});
    s.publish();
    return std::nullopt;
}

std::optional<vm_id> join_vm(site& s)
{
    constexpr vm_id joiner{199};
    s.machines->add_vm(joiner, {1});
    s.machines->give_set(joiner, s.in_effect);
    return std::nullopt;
}

std::optional<vm_id> stop_vm(site& s)
{
    constexpr vm_id leaver{201};
    s.machines->leave(leaver);
    return leaver;
}

constexpr std::array<change, 6> changes{{{"move", &move_reference},
                                         {"drain", &drain_target},
                                         {"weight", &change_weight},
                                         {"add", &add_target},
                                         {"join", &join_vm},
                                         {"stop", &stop_vm}}};

constexpr std::uint64_t seeds_per_change = 3;

/// `second` follows `first` after up to 3 s; equal ones are done once.
damage measure_change(const run_context& context, const change& first,
                      const change& second, std::uint64_t seed)
{
    constexpr std::uint32_t open_at_first = 3000;
    constexpr std::uint32_t rate = 20;
    site s(exlibris, context.subject, {.seed = seed});
    s.fill(open_at_first, 3s);
    s.run(2s, rate);
    const instant changed = s.now();
    std::optional<vm_id> leaver = first.apply(s);
    if (first.apply != second.apply)
    {
        s.run(s.random.below(30) * 100ms, rate);
        const std::optional<vm_id> other = second.apply(s);
        leaver = leaver ? leaver : other;
    }
    s.run(8s, rate);
    if (leaver)
    {
        s.finish_leaving(*leaver, rate);
        s.run(3s, rate);
    }
    const damage found = s.assess();
    if (context.trace)
    {
        const std::string what = std::string(context.subject.name) + " " +
                                 first.name + "+" + second.name + " seed " +
                                 std::to_string(seed);
        s.trace(what.c_str(), changed);
    }
    return found;
}

/// What happens before a VM dies.
struct prelude
{
    const char* name;
    std::optional<vm_id> (*apply)(site&);
    duration shortest_wait;
    duration longest_wait;
};

constexpr std::array<prelude, 4> preludes{
    {{"death", nullptr, 0s, 0s},
     {"death_after_drain", &drain_target, 0s, 20s},
     {"death_after_move", &move_reference, 0s, 20s},
     {"death_60s_after_move", &move_reference, 60s, 60s}}};

struct death_load
{
    site_size size;
    std::uint32_t open;
    /// New flows in each 100 ms.
    std::uint32_t rate;
    std::uint64_t seeds;
};

scenario_result measure_deaths_at(const run_context& context,
                                  const death_load& load)
{
    scenario_result result;
    for (const prelude& before : preludes)
    {
        damage all;
        double worst = 0;
        for (std::uint64_t n = 0; n < load.seeds; ++n)
        {
            const std::uint64_t seed = context.seed + n;
            site s(load.size, context.subject, {.seed = seed});
            s.fill(load.open, 30s);
            s.run_level(10s, load.rate, 0.02);
            if (before.apply != nullptr)
            {
                before.apply(s);
                const duration spread =
                    before.longest_wait - before.shortest_wait;
                s.run_level(before.shortest_wait +
                                std::chrono::duration_cast<duration>(
                                    s.random.unit() * spread),
                            load.rate, 0.02);
            }
            const instant died = s.now();
            s.machines->kill(s.vms()[s.random.below(s.vms().size())]);
            s.run_level(8s, load.rate, 0.02);
            const damage found = s.assess(died);
            all += found;
            worst = std::max(worst, 100.0 * static_cast<double>(found.broken) /
                                        static_cast<double>(found.flows));
            if (context.trace)
            {
                const std::string what = std::string(context.subject.name) +
                                         " " + before.name + " seed " +
                                         std::to_string(seed);
                s.trace(what.c_str(), died);
            }
        }
        const std::string prefix =
            std::string(load.size.name) + "." + before.name;
        result.rows.push_back({prefix + ".broken_of_open",
                               100.0 * static_cast<double>(all.broken) /
                                   static_cast<double>(all.flows),
                               "%", bound::at_most, 0.1});
        result.rows.push_back({prefix + ".broken_of_open_worst_seed", worst,
                               "%", bound::at_most, 0.1});
        result.rows.push_back({prefix + ".broken_settled",
                               static_cast<double>(all.broken_settled), "flows",
                               bound::at_most, 0});
        result.rows.push_back({prefix + ".of_these_dropped",
                               static_cast<double>(all.stalled), "flows"});
        result.misdirected += all.misdirected;
    }
    return result;
}

} // namespace

scenario_result measure_planned_changes(const run_context& context)
{
    scenario_result result;
    std::uint64_t sum = 0;
    std::uint64_t worst = 0;
    std::uint64_t refused = 0;
    for (std::size_t a = 0; a < changes.size(); ++a)
    {
        for (std::size_t b = a; b < changes.size(); ++b)
        {
            damage all;
            for (std::uint64_t n = 0; n < seeds_per_change; ++n)
            {
                all += measure_change(context, changes[a], changes[b],
                                      context.seed + n);
            }
            sum += all.broken;
            worst = std::max(worst, all.broken);
            refused += all.refused;
            result.misdirected += all.misdirected;
            const std::string name =
                a == b ? std::string(changes[a].name)
                       : std::string(changes[a].name) + "+" + changes[b].name;
            result.rows.push_back({"change." + name + ".broken",
                                   static_cast<double>(all.broken), "flows",
                                   bound::at_most, 0});
            if (a == b)
            {
                result.rows.push_back({"change." + name + ".new_flows_refused",
                                       static_cast<double>(all.refused),
                                       "flows"});
            }
        }
    }
    result.rows.push_back({"change.sum.broken", static_cast<double>(sum),
                           "flows", bound::at_most, 0});
    result.rows.push_back({"change.worst.broken", static_cast<double>(worst),
                           "flows", bound::at_most, 0});
    result.rows.push_back({"change.sum.new_flows_refused",
                           static_cast<double>(refused), "flows"});
    return result;
}

scenario_result measure_deaths(const run_context& context)
{
    // Twice the connections of today's targets, since 30,000 flows do not fit
    // 14 x 2,000.
    site_size size = exlibris;
    size.connections = 4000;
    return measure_deaths_at(context, {size, 30000, 20, 4});
}

scenario_result measure_deaths_of_36(const run_context& context)
{
    return measure_deaths_at(context, {large, 30000, 20, 1});
}

} // namespace catkinkeel::measure
