// A data centre that leaves and returns, drains, load balance.

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <map>
#include <string>
#include <utility>

#include "measure/policy_rows.hpp"

namespace catkinkeel::measure
{

namespace
{

constexpr duration step_length = 100ms;
constexpr data_centre_id leaving_data_centre{1};
/// New flows in each step.
constexpr std::uint32_t rate = 10;

/// Callers whose openings are counted, beside those of the site.
struct fresh_callers
{
    explicit fresh_callers(site& s)
        : where(s), callers(s.watched, public_endpoint, service_of, 0x0b000000)
    {
    }

    /// Sends to all flows in each step, so that a repeated opening goes out
    /// exactly 1 s after the first.
    void run(duration time)
    {
        for (duration passed{}; passed < time; passed += step_length)
        {
            where.machines->run_for(step_length);
            callers.open(rate, std::nullopt);
            attempted += rate;
            callers.send_all();
            where.callers.send_some(0.1);
        }
    }

    [[nodiscard]] double served() const
    {
        return 100.0 * static_cast<double>(callers.counts().served_within_1s) /
               static_cast<double>(attempted);
    }

    /// Among the flows still open; a flow into the data centre may end.
    [[nodiscard]] std::uint64_t broken() const
    {
        return static_cast<std::uint64_t>(std::ranges::count_if(
            callers.flows(), &testing::open_flow::broken));
    }

    void trace(instant event) const
    {
        for (const testing::open_flow& flow : callers.flows())
        {
            if (flow.broken)
            {
                std::printf(
                    "# new flow broken: caller %08x opened %.1f s after, "
                    "target %u\n",
                    flow.facts.key.caller.address.value,
                    std::chrono::duration<double>(flow.opened_at - event)
                        .count(),
                    flow.target ? flow.target->value : 0);
            }
        }
    }

    site& where;
    testing::caller_model callers;
    std::uint64_t attempted = 0;
};

std::string name_of(const testing::packet_end& end)
{
    if (std::holds_alternative<testing::refused>(end))
    {
        return "refused";
    }
    const auto* dropped = std::get_if<testing::lost>(&end);
    if (dropped == nullptr)
    {
        return "delivered";
    }
    return dropped->reason
               ? "discard reason " +
                     std::to_string(static_cast<int>(*dropped->reason))
               : "lost on the way";
}

/// The data centre is published out of service and back 12 s later.
scenario_result measure_out_at(const run_context& context,
                               const site_size& size)
{
    constexpr std::uint64_t seeds = 3;
    double last_packet = 0;
    double served = 100;
    damage all;
    for (std::uint64_t n = 0; n < seeds; ++n)
    {
        site s(size, context.subject, {.seed = context.seed + n});
        s.fill(4000, 4s);
        fresh_callers fresh(s);
        fresh.run(2s);
        const instant published = s.now();
        instant last = published;
        const published_objects with_targets = s.objects;
        std::map<std::pair<std::int64_t, std::string>, int> lost_openings;
        bool is_out = true;
        s.watched.on_end = [&](const packet_facts& facts,
                               const testing::packet_end& end, instant at)
        {
            const auto* reached = std::get_if<testing::delivered>(&end);
            if (is_out && reached != nullptr &&
                data_centre_of(with_targets, reached->target) ==
                    leaving_data_centre)
            {
                last = std::max(last, at);
            }
            if (reached == nullptr && facts.phase == flow_phase::opening)
            {
                ++lost_openings[{(at - published) / 500ms, name_of(end)}];
            }
        };
        s.objects.data_centres[0].wish = data_centre_wish::out_of_service;
        s.publish();
        fresh.run(12s);
        is_out = false;
        const auto ended = [&](target_id id)
        {
            return data_centre_of(with_targets, id) == leaving_data_centre;
        };
        s.callers.give_up(ended);
        fresh.callers.give_up(ended);
        s.objects.data_centres[0].wish = data_centre_wish::in_service;
        s.publish();
        fresh.run(12s);
        last_packet =
            std::max(last_packet,
                     std::chrono::duration<double>(last - published).count());
        served = std::min(served, fresh.served());
        all += s.assess();
        all.misdirected += fresh.callers.counts().misdirected;
        all.broken += fresh.broken();
        if (context.trace)
        {
            s.trace("data centre out", published);
            for (const auto& [when, count] : lost_openings)
            {
                std::printf("# %s %s out, seed %s: %.1f s after publication "
                            "%d openings ended: %s\n",
                            context.subject.name, size.name,
                            std::to_string(context.seed + n).c_str(),
                            0.5 * static_cast<double>(when.first), count,
                            when.second.c_str());
            }
            fresh.trace(published);
        }
    }
    const std::string prefix = std::string(size.name) + ".data_centre_out";
    return {{{prefix + ".last_packet", last_packet, "s", bound::at_most, 3},
             {prefix + ".served_within_1s", served, "%", bound::at_least, 99.9},
             {prefix + ".broken_elsewhere", static_cast<double>(all.broken),
              "flows", bound::at_most, 0}},
            all.misdirected};
}

/// The VMs of the data centre die at once and are replaced 12 s later; its
/// targets remain.
scenario_result measure_loss_at(const run_context& context,
                                const site_size& size)
{
    site s(size, context.subject, {.seed = context.seed});
    s.fill(4000, 4s);
    fresh_callers fresh(s);
    fresh.run(2s);
    std::vector<vm_id> dead;
    for (const vm_id id : s.vms())
    {
        if (id.value / 100 == leaving_data_centre.value)
        {
            s.machines->kill(id);
            dead.push_back(id);
        }
    }
    fresh.run(12s);
    for (const vm_id id : dead)
    {
        s.machines->add_vm(id, leaving_data_centre);
        s.machines->give_set(id, s.in_effect);
    }
    fresh.run(12s);
    const damage all = s.assess();
    const std::string prefix = std::string(size.name) + ".data_centre_vms_die";
    return {{{prefix + ".served_within_1s", fresh.served(), "%",
              bound::at_least, 99.9},
             {prefix + ".broken_of_open",
              100.0 * static_cast<double>(all.broken) /
                  static_cast<double>(all.flows),
              "%"}},
            all.misdirected + fresh.callers.counts().misdirected};
}

void append(scenario_result& to, const scenario_result& from)
{
    to.rows.insert(to.rows.end(), from.rows.begin(), from.rows.end());
    to.misdirected += from.misdirected;
}

constexpr std::array<site_size, 2> todays_sites{exlibris, habimana};

} // namespace

scenario_result measure_data_centre_out(const run_context& context)
{
    scenario_result result;
    for (const site_size& size : todays_sites)
    {
        append(result, measure_out_at(context, size));
    }
    return result;
}

scenario_result measure_data_centre_loss(const run_context& context)
{
    scenario_result result;
    for (const site_size& size : todays_sites)
    {
        append(result, measure_loss_at(context, size));
    }
    return result;
}

scenario_result measure_drain(const run_context& context)
{
    constexpr std::uint64_t seeds = 3;
    constexpr duration allowed = 3s;
    std::uint64_t late = 0;
    double last_opening = 0;
    scenario_result result;
    for (std::uint64_t n = 0; n < seeds; ++n)
    {
        site s(exlibris, context.subject, {.seed = context.seed + n});
        s.fill(4000, 4s);
        const instant published = s.now();
        const target_id leaving = s.objects.targets[3].id;
        s.watched.on_end = [&](const packet_facts& facts,
                               const testing::packet_end& end, instant at)
        {
            const auto* reached = std::get_if<testing::delivered>(&end);
            if (reached != nullptr && facts.phase == flow_phase::opening &&
                reached->target == leaving)
            {
                late += at - published > allowed ? 1U : 0U;
                last_opening = std::max(
                    last_opening,
                    std::chrono::duration<double>(at - published).count());
            }
        };
        s.objects.targets[3].wish = target_wish::drain;
        s.publish();
        s.run(15s, 50);
        result.misdirected += s.assess().misdirected;
    }
    result.rows = {
        {"drain.new_flows_after_3s", static_cast<double>(late), "flows",
         bound::at_most, 0},
        {"drain.last_new_flow", last_opening, "s", bound::at_most, 3}};
    return result;
}

scenario_result measure_balance(const run_context& context)
{
    constexpr std::uint64_t seeds = 3;
    constexpr std::uint32_t flows_per_target = 1000;
    constexpr std::array<site_size, 3> sites{exlibris, habimana, large};
    scenario_result result;
    for (const site_size& size : sites)
    {
        double worst = 0;
        for (std::uint64_t n = 0; n < seeds; ++n)
        {
            site s(size, context.subject, {.seed = context.seed + n});
            s.fill(size.first_targets * flows_per_target, 10s);
            std::uint32_t most = 0;
            std::uint64_t all = 0;
            for (const auto& [id, flows] : s.callers.flows_by_target())
            {
                most = std::max(most, flows);
                all += flows;
            }
            worst =
                std::max(worst, static_cast<double>(most) * size.first_targets /
                                    static_cast<double>(all));
        }
        result.rows.push_back(
            {std::string(size.name) + ".busiest_target_to_mean", worst, "ratio",
             bound::at_most, 1.10});
    }
    return result;
}

} // namespace catkinkeel::measure
