// Measures the control traffic of the balancers, and the share of exceptions as
// a function of the load bound.

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <vector>

#include "measure/policy_scenarios.hpp"

namespace catkinkeel::measure
{

namespace
{

/// Samples the control bytes that each VM has sent, once per second.
class control_traffic_meter
{
public:
    void add_sample(site& s)
    {
        for (const vm_id id : s.vms())
        {
            samples_[id].push_back(s.fleet->control_bytes(id));
            max_backlog_ =
                std::max(max_backlog_, s.fleet->stats(id).replication_backlog);
        }
    }

    /// Mean bytes per second of a VM, over all VMs and samples.
    [[nodiscard]] double mean_rate() const
    {
        double bytes = 0;
        double vm_seconds = 0;
        for (const auto& [id, each] : samples_)
        {
            bytes += static_cast<double>(each.back() - each.front());
            vm_seconds += static_cast<double>(each.size() - 1);
        }
        return vm_seconds > 0 ? bytes / vm_seconds : 0;
    }

    /// Bytes per second of one VM, maximum over all VMs and spans of 60 s.
    [[nodiscard]] double max_minute_rate() const
    {
        constexpr std::size_t minute = 60;
        std::uint64_t max_bytes = 0;
        for (const auto& [id, each] : samples_)
        {
            for (std::size_t end = 1; end < each.size(); ++end)
            {
                const std::size_t begin = end > minute ? end - minute : 0;
                max_bytes = std::max(max_bytes, each[end] - each[begin]);
            }
        }
        return static_cast<double>(max_bytes) / static_cast<double>(minute);
    }

    /// Maximum number of exceptions that a VM had not yet replicated.
    [[nodiscard]] std::uint64_t max_backlog() const
    {
        return max_backlog_;
    }

private:
    std::map<vm_id, std::vector<std::uint64_t>> samples_;
    std::uint64_t max_backlog_ = 0;
};

/// The current load of a site: flows opened per step of 100 ms, that is, 3,000
/// per second over all VMs.
constexpr std::uint32_t current_flows_per_step = 300;
constexpr std::uint32_t current_open_flows = 20000;
constexpr double packet_fraction = 0.02;

/// As `exlibris`, but with ten times its connection limit, so that the limit of
/// 14 targets x 2,000 connections does not affect the measurement.
constexpr site_size exlibris_without_limit{"exlibris", 3, 2, 14, 4, 20000};

double refused_percent(const site& s, std::uint64_t initial_refused,
                       std::uint64_t initial_opened)
{
    const auto refused =
        static_cast<double>(s.callers.counts().refused - initial_refused);
    const auto opened =
        static_cast<double>(s.callers.counts().opened - initial_opened);
    return 100.0 * refused / std::max(1.0, refused + opened);
}

void run_and_sample(site& s, control_traffic_meter& traffic_meter, int seconds)
{
    traffic_meter.add_sample(s);
    for (int second = 0; second < seconds; ++second)
    {
        s.run_at_constant_load(1s, current_flows_per_step, packet_fraction);
        traffic_meter.add_sample(s);
    }
}

void add_rows(std::vector<row>& rows, const std::string& phase,
              const control_traffic_meter& traffic_meter)
{
    rows.push_back({"control." + phase + ".mean", traffic_meter.mean_rate(),
                    "B/s", bound::at_most, 2000});
    rows.push_back({"control." + phase + ".worst_minute",
                    traffic_meter.max_minute_rate(), "B/s", bound::at_most,
                    2000});
    rows.push_back({"control." + phase + ".worst_backlog",
                    static_cast<double>(traffic_meter.max_backlog()), "flows"});
}

void undo_drain(site& s)
{
    s.next_objects.targets[3].wish = target_wish::serve;
    s.publish();
}

void drain_target(site& s)
{
    s.next_objects.targets[3].wish = target_wish::drain;
    s.publish();
}

void raise_weight(site& s)
{
    s.next_objects.targets[1].weight = 300;
    s.publish();
}

void join_vm(site& s)
{
    s.fleet->add_vm({199}, {1});
    s.fleet->apply_set({199}, s.last_published_objects);
}

void move_reference(site& s)
{
    s.next_objects.references[0].service = {2};
    s.publish();
}

void stop_vm(site& s)
{
    s.fleet->leave({199});
}

constexpr std::array<void (*)(site&), 6> traffic_changes{
    &drain_target, &undo_drain, &raise_weight,
    &join_vm,      &stop_vm,    &move_reference};

} // namespace

scenario_result measure_control_traffic(const run_context& context)
{
    constexpr int steady_seconds = 120;
    constexpr int seconds_between_changes = 20;
    site s(exlibris_without_limit, context.tested_policy,
           {.seed = context.seed});
    s.fill(current_open_flows, 20s);
    s.run_at_constant_load(20s, current_flows_per_step, packet_fraction);
    control_traffic_meter steady;
    run_and_sample(s, steady, steady_seconds);
    control_traffic_meter changing;
    for (const auto apply : traffic_changes)
    {
        apply(s);
        run_and_sample(s, changing, seconds_between_changes);
    }
    scenario_result result;
    add_rows(result.rows, "steady", steady);
    add_rows(result.rows, "changes", changing);
    const flow_counts assessed = s.assess();
    result.misdirected = assessed.misdirected;
    result.rows.push_back({"control.changes.broken",
                           static_cast<double>(assessed.broken), "flows",
                           bound::at_most, 0});
    return result;
}

scenario_result measure_current_load(const run_context& context)
{
    site s(exlibris, context.tested_policy, {.seed = context.seed});
    s.fill(current_open_flows, 20s);
    const testing::caller_counts before = s.callers.counts();
    s.run_at_constant_load(20s, current_flows_per_step, packet_fraction);
    return {{{"todays_load.refused",
              refused_percent(s, before.refused, before.opened), "%",
              bound::at_most, 0.1}},
            s.callers.counts().misdirected};
}

scenario_result measure_death_at_current_rate(const run_context& context)
{
    site s(exlibris_without_limit, context.tested_policy,
           {.seed = context.seed});
    s.fill(current_open_flows, 20s);
    s.run_at_constant_load(30s, current_flows_per_step, packet_fraction);
    const instant death_time = s.now();
    s.fleet->kill(s.vms()[s.random.below(s.vms().size())]);
    s.run_at_constant_load(4s, current_flows_per_step, packet_fraction);
    const flow_counts assessed = s.assess(death_time);
    return {{{"todays_rate.death.broken_of_open",
              100.0 * static_cast<double>(assessed.broken) /
                  static_cast<double>(assessed.checked_flows),
              "%", bound::at_most, 0.1},
             {"todays_rate.death.broken_settled",
              static_cast<double>(assessed.broken_settled), "flows",
              bound::at_most, 0}},
            assessed.misdirected};
}

void print_exception_curve(std::uint64_t seed)
{
    constexpr std::array<double, 11> epsilons{0.02, 0.03, 0.05, 0.07, 0.1, 0.13,
                                              0.16, 0.2,  0.3,  0.4,  0.5};
    constexpr int seconds = 60;
    std::printf("# epsilon  exceptions of new flows (%%)  control B/s of a VM"
                "  busiest target to mean  worst backlog (flows)\n");
    for (const double epsilon : epsilons)
    {
        site s(exlibris_without_limit, policies().front(),
               {.seed = seed, .load_epsilon = epsilon});
        s.fill(current_open_flows, 20s);
        s.run_at_constant_load(20s, current_flows_per_step, packet_fraction);
        const auto totals = [&]
        {
            balancer_stats sum;
            for (const vm_id id : s.vms())
            {
                const balancer_stats each = s.fleet->stats(id);
                sum.flows_opened += each.flows_opened;
                sum.exceptions_opened += each.exceptions_opened;
            }
            return sum;
        };
        const balancer_stats before = totals();
        control_traffic_meter traffic_meter;
        run_and_sample(s, traffic_meter, seconds);
        const balancer_stats after = totals();
        std::uint32_t max_target_flows = 0;
        std::uint64_t total_flows = 0;
        for (const auto& [id, flows] : s.callers.flows_by_target())
        {
            max_target_flows = std::max(max_target_flows, flows);
            total_flows += flows;
        }
        std::printf(
            "%.2f %.2f %.0f %.3f %llu\n", epsilon,
            100.0 *
                static_cast<double>(after.exceptions_opened -
                                    before.exceptions_opened) /
                static_cast<double>(after.flows_opened - before.flows_opened),
            traffic_meter.mean_rate(),
            static_cast<double>(max_target_flows) *
                exlibris.first_service_target_count /
                static_cast<double>(total_flows),
            static_cast<unsigned long long>(traffic_meter.max_backlog()));
        std::fflush(stdout);
    }
}

} // namespace catkinkeel::measure
