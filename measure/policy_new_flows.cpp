// Measures a data centre that goes out of service and returns, the death of its
// VMs, the drain of a target, and the load balance.

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <map>
#include <string>
#include <utility>

#include "measure/policy_scenarios.hpp"

namespace catkinkeel::measure
{

namespace
{

constexpr duration step_length = 100ms;
constexpr data_centre_id leaving_data_centre{1};
/// Flows opened per step of 100 ms.
constexpr std::uint32_t flows_per_step = 10;

/// Callers in addition to those of the site, to measure how many new flows
/// reach a target within 1 s.
struct new_flow_callers
{
    explicit new_flow_callers(site& s)
        : observed_site(s),
          callers(s.forwarder, public_endpoint, service_of, 0x0b000000)
    {
    }

    /// Sends a packet of each flow in every step, so that a retransmitted
    /// opening packet follows exactly 1 s after the first one.
    void run(duration time)
    {
        for (duration passed{}; passed < time; passed += step_length)
        {
            observed_site.fleet->run_for(step_length);
            callers.open(flows_per_step, std::nullopt);
            opening_count += flows_per_step;
            callers.send_on_all_flows();
            observed_site.callers.send_on_random_flows(0.1);
        }
    }

    [[nodiscard]] double served_percent() const
    {
        return 100.0 * static_cast<double>(callers.counts().served_within_1s) /
               static_cast<double>(opening_count);
    }

    /// Number of broken flows that are still open. Flows that were given up
    /// because their data centre is out of service do not count.
    [[nodiscard]] std::uint64_t broken() const
    {
        return static_cast<std::uint64_t>(std::ranges::count_if(
            callers.flows(), &testing::simulated_flow::broken));
    }

    void print_broken_flows(instant event_time) const
    {
        for (const testing::simulated_flow& flow : callers.flows())
        {
            if (flow.broken)
            {
                std::printf(
                    "# new flow broken: caller %08x opened %.1f s after, "
                    "target %u\n",
                    flow.facts.key.caller.address.value,
                    std::chrono::duration<double>(flow.first_syn_at -
                                                  event_time)
                        .count(),
                    flow.target ? flow.target->value : 0);
            }
        }
    }

    site& observed_site;
    testing::caller_model callers;
    std::uint64_t opening_count = 0;
};

std::string description_of(const testing::packet_outcome& outcome)
{
    if (std::holds_alternative<testing::refused>(outcome))
    {
        return "refused";
    }
    const auto* lost_packet = std::get_if<testing::lost>(&outcome);
    if (lost_packet == nullptr)
    {
        return "delivered";
    }
    return lost_packet->reason
               ? "discard reason " +
                     std::to_string(static_cast<int>(*lost_packet->reason))
               : "lost on the way";
}

/// Publishes the data centre as out of service, and as in service 12 s later.
scenario_result measure_out_of_service_at(const run_context& context,
                                          const site_size& size)
{
    constexpr std::uint64_t seed_count = 3;
    double last_delivery_seconds = 0;
    double served_percent = 100;
    flow_counts total;
    for (std::uint64_t n = 0; n < seed_count; ++n)
    {
        site s(size, context.tested_policy, {.seed = context.seed + n});
        s.fill(4000, 4s);
        new_flow_callers new_callers(s);
        new_callers.run(2s);
        const instant published = s.now();
        instant last_delivery = published;
        const published_objects objects_before = s.next_objects;
        std::map<std::pair<std::int64_t, std::string>, int>
            undelivered_openings;
        bool out_of_service_published = true;
        s.forwarder.on_packet_outcome =
            [&](const packet_facts& facts,
                const testing::packet_outcome& outcome, instant at)
        {
            const auto* reached = std::get_if<testing::delivered>(&outcome);
            if (out_of_service_published && reached != nullptr &&
                data_centre_of(objects_before, reached->target) ==
                    leaving_data_centre)
            {
                last_delivery = std::max(last_delivery, at);
            }
            if (reached == nullptr && facts.phase == flow_phase::opening)
            {
                ++undelivered_openings[{(at - published) / 500ms,
                                        description_of(outcome)}];
            }
        };
        s.next_objects.data_centres[0].wish = data_centre_wish::out_of_service;
        s.publish();
        new_callers.run(12s);
        out_of_service_published = false;
        const auto in_leaving_data_centre = [&](target_id id)
        {
            return data_centre_of(objects_before, id) == leaving_data_centre;
        };
        s.callers.abandon_flows(in_leaving_data_centre);
        new_callers.callers.abandon_flows(in_leaving_data_centre);
        s.next_objects.data_centres[0].wish = data_centre_wish::in_service;
        s.publish();
        new_callers.run(12s);
        last_delivery_seconds = std::max(
            last_delivery_seconds,
            std::chrono::duration<double>(last_delivery - published).count());
        served_percent = std::min(served_percent, new_callers.served_percent());
        total += s.assess();
        total.misdirected += new_callers.callers.counts().misdirected;
        total.broken += new_callers.broken();
        if (context.trace)
        {
            s.print_broken_flows("data centre out", published);
            for (const auto& [period_and_outcome, count] : undelivered_openings)
            {
                std::printf("# %s %s out, seed %s: %.1f s after publication "
                            "%d openings ended: %s\n",
                            context.tested_policy.name, size.name,
                            std::to_string(context.seed + n).c_str(),
                            0.5 * static_cast<double>(period_and_outcome.first),
                            count, period_and_outcome.second.c_str());
            }
            new_callers.print_broken_flows(published);
        }
    }
    const std::string prefix = std::string(size.name) + ".data_centre_out";
    return {{{prefix + ".last_packet", last_delivery_seconds, "s",
              bound::at_most, 3},
             {prefix + ".served_within_1s", served_percent, "%",
              bound::at_least, 99.9},
             {prefix + ".broken_elsewhere", static_cast<double>(total.broken),
              "flows", bound::at_most, 0}},
            total.misdirected};
}

/// All VMs of the data centre die at the same time and are replaced 12 s later.
/// Its targets stay in service.
scenario_result measure_vm_deaths_at(const run_context& context,
                                     const site_size& size)
{
    site s(size, context.tested_policy, {.seed = context.seed});
    s.fill(4000, 4s);
    new_flow_callers new_callers(s);
    new_callers.run(2s);
    std::vector<vm_id> killed_vms;
    for (const vm_id id : s.vms())
    {
        if (id.value / 100 == leaving_data_centre.value)
        {
            s.fleet->kill(id);
            killed_vms.push_back(id);
        }
    }
    new_callers.run(12s);
    for (const vm_id id : killed_vms)
    {
        s.fleet->add_vm(id, leaving_data_centre);
        s.fleet->apply_set(id, s.last_published_objects);
    }
    new_callers.run(12s);
    const flow_counts total = s.assess();
    const std::string prefix = std::string(size.name) + ".data_centre_vms_die";
    return {{{prefix + ".served_within_1s", new_callers.served_percent(), "%",
              bound::at_least, 99.9},
             {prefix + ".broken_of_open",
              100.0 * static_cast<double>(total.broken) /
                  static_cast<double>(total.checked_flows),
              "%"}},
            total.misdirected + new_callers.callers.counts().misdirected};
}

void append(scenario_result& to, const scenario_result& from)
{
    to.rows.insert(to.rows.end(), from.rows.begin(), from.rows.end());
    to.misdirected += from.misdirected;
}

constexpr std::array<site_size, 2> current_sites{exlibris, habimana};

} // namespace

scenario_result measure_data_centre_out_of_service(const run_context& context)
{
    scenario_result result;
    for (const site_size& size : current_sites)
    {
        append(result, measure_out_of_service_at(context, size));
    }
    return result;
}

scenario_result measure_data_centre_vm_deaths(const run_context& context)
{
    scenario_result result;
    for (const site_size& size : current_sites)
    {
        append(result, measure_vm_deaths_at(context, size));
    }
    return result;
}

scenario_result measure_drain(const run_context& context)
{
    constexpr std::uint64_t seed_count = 3;
    constexpr duration max_drain_delay = 3s;
    std::uint64_t late_openings = 0;
    double last_opening_seconds = 0;
    scenario_result result;
    for (std::uint64_t n = 0; n < seed_count; ++n)
    {
        site s(exlibris, context.tested_policy, {.seed = context.seed + n});
        s.fill(4000, 4s);
        const instant published = s.now();
        const target_id drained_target = s.next_objects.targets[3].id;
        s.forwarder.on_packet_outcome =
            [&](const packet_facts& facts,
                const testing::packet_outcome& outcome, instant at)
        {
            const auto* reached = std::get_if<testing::delivered>(&outcome);
            if (reached != nullptr && facts.phase == flow_phase::opening &&
                reached->target == drained_target)
            {
                late_openings += at - published > max_drain_delay ? 1U : 0U;
                last_opening_seconds = std::max(
                    last_opening_seconds,
                    std::chrono::duration<double>(at - published).count());
            }
        };
        s.next_objects.targets[3].wish = target_wish::drain;
        s.publish();
        s.run(15s, 50);
        result.misdirected += s.assess().misdirected;
    }
    result.rows = {
        {"drain.new_flows_after_3s", static_cast<double>(late_openings),
         "flows", bound::at_most, 0},
        {"drain.last_new_flow", last_opening_seconds, "s", bound::at_most, 3}};
    return result;
}

scenario_result measure_balance(const run_context& context)
{
    constexpr std::uint64_t seed_count = 3;
    constexpr std::uint32_t flows_per_target = 1000;
    constexpr std::array<site_size, 3> sites{exlibris, habimana, large};
    scenario_result result;
    for (const site_size& size : sites)
    {
        double max_load_ratio = 0;
        for (std::uint64_t n = 0; n < seed_count; ++n)
        {
            site s(size, context.tested_policy, {.seed = context.seed + n});
            s.fill(size.first_service_target_count * flows_per_target, 10s);
            std::uint32_t max_target_flows = 0;
            std::uint64_t total = 0;
            for (const auto& [id, flows] : s.callers.flows_by_target())
            {
                max_target_flows = std::max(max_target_flows, flows);
                total += flows;
            }
            max_load_ratio =
                std::max(max_load_ratio, static_cast<double>(max_target_flows) *
                                             size.first_service_target_count /
                                             static_cast<double>(total));
        }
        result.rows.push_back(
            {std::string(size.name) + ".busiest_target_to_mean", max_load_ratio,
             "ratio", bound::at_most, 1.10});
    }
    return result;
}

} // namespace catkinkeel::measure
