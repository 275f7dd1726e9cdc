// Control traffic of the balancers, and exceptions against the load bound.

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <vector>

#include "measure/policy_rows.hpp"

namespace catkinkeel::measure
{

namespace
{

/// Control bytes of each VM, sampled each second.
class byte_meter
{
public:
    void sample(site& s)
    {
        for (const vm_id id : s.vms())
        {
            samples_[id].push_back(s.machines->control_bytes(id));
            backlog_ =
                std::max(backlog_, s.machines->stats(id).replication_backlog);
        }
    }

    /// Bytes a second, over all VMs and the whole time.
    [[nodiscard]] double mean() const
    {
        double bytes = 0;
        double time = 0;
        for (const auto& [id, each] : samples_)
        {
            bytes += static_cast<double>(each.back() - each.front());
            time += static_cast<double>(each.size() - 1);
        }
        return time > 0 ? bytes / time : 0;
    }

    /// Bytes a second of the busiest VM in its busiest 60 s.
    [[nodiscard]] double worst_minute() const
    {
        constexpr std::size_t minute = 60;
        std::uint64_t most = 0;
        for (const auto& [id, each] : samples_)
        {
            for (std::size_t end = 1; end < each.size(); ++end)
            {
                const std::size_t begin = end > minute ? end - minute : 0;
                most = std::max(most, each[end] - each[begin]);
            }
        }
        return static_cast<double>(most) / static_cast<double>(minute);
    }

    /// Most exceptions that one VM had not yet replicated.
    [[nodiscard]] std::uint64_t worst_backlog() const
    {
        return backlog_;
    }

private:
    std::map<vm_id, std::vector<std::uint64_t>> samples_;
    std::uint64_t backlog_ = 0;
};

/// Thousands of new flows a second over all VMs.
constexpr std::uint32_t todays_rate = 300;
constexpr std::uint32_t todays_open = 20000;
constexpr double packet_part = 0.02;

/// Ended flows count against a target's connections for 10 s, so that this rate
/// does not fit 14 x 2,000; the traffic is measured without that limit.
constexpr site_size unlimited{"exlibris", 3, 2, 14, 4, 20000};

double refused_share(const site& s, std::uint64_t refused_before,
                     std::uint64_t opened_before)
{
    const auto refused =
        static_cast<double>(s.callers.counts().refused - refused_before);
    const auto opened =
        static_cast<double>(s.callers.counts().opened - opened_before);
    return 100.0 * refused / std::max(1.0, refused + opened);
}

void run_metered(site& s, byte_meter& meter, int seconds)
{
    meter.sample(s);
    for (int second = 0; second < seconds; ++second)
    {
        s.run_level(1s, todays_rate, packet_part);
        meter.sample(s);
    }
}

void add_rows(std::vector<row>& rows, const std::string& phase,
              const byte_meter& meter)
{
    rows.push_back({"control." + phase + ".mean", meter.mean(), "B/s",
                    bound::at_most, 2000});
    rows.push_back({"control." + phase + ".worst_minute", meter.worst_minute(),
                    "B/s", bound::at_most, 2000});
    rows.push_back({"control." + phase + ".worst_backlog",
                    static_cast<double>(meter.worst_backlog()), "flows"});
}

void undo_drain(site& s)
{
    s.objects.targets[3].wish = target_wish::serve;
    s.publish();
}

void drain(site& s)
{
    s.objects.targets[3].wish = target_wish::drain;
    s.publish();
}

void raise_weight(site& s)
{
    s.objects.targets[1].weight = 300;
    s.publish();
}

void join(site& s)
{
    s.machines->add_vm({199}, {1});
    s.machines->give_set({199}, s.in_effect);
}

void move(site& s)
{
    s.objects.references[0].service = {2};
    s.publish();
}

void stop(site& s)
{
    s.machines->leave({199});
}

constexpr std::array<void (*)(site&), 6> changes_in_turn{
    &drain, &undo_drain, &raise_weight, &join, &stop, &move};

} // namespace

scenario_result measure_control_traffic(const run_context& context)
{
    constexpr int steady_seconds = 120;
    constexpr int seconds_between_changes = 20;
    site s(unlimited, context.subject, {.seed = context.seed});
    s.fill(todays_open, 20s);
    s.run_level(20s, todays_rate, packet_part);
    byte_meter steady;
    run_metered(s, steady, steady_seconds);
    byte_meter changing;
    for (const auto apply : changes_in_turn)
    {
        apply(s);
        run_metered(s, changing, seconds_between_changes);
    }
    scenario_result result;
    add_rows(result.rows, "steady", steady);
    add_rows(result.rows, "changes", changing);
    const damage found = s.assess();
    result.misdirected = found.misdirected;
    result.rows.push_back({"control.changes.broken",
                           static_cast<double>(found.broken), "flows",
                           bound::at_most, 0});
    return result;
}

scenario_result measure_todays_load(const run_context& context)
{
    site s(exlibris, context.subject, {.seed = context.seed});
    s.fill(todays_open, 20s);
    const testing::caller_counts before = s.callers.counts();
    s.run_level(20s, todays_rate, packet_part);
    return {{{"todays_load.refused",
              refused_share(s, before.refused, before.opened), "%",
              bound::at_most, 0.1}},
            s.callers.counts().misdirected};
}

scenario_result measure_death_at_todays_rate(const run_context& context)
{
    site s(unlimited, context.subject, {.seed = context.seed});
    s.fill(todays_open, 20s);
    s.run_level(30s, todays_rate, packet_part);
    const instant died = s.now();
    s.machines->kill(s.vms()[s.random.below(s.vms().size())]);
    s.run_level(4s, todays_rate, packet_part);
    const damage found = s.assess(died);
    return {{{"todays_rate.death.broken_of_open",
              100.0 * static_cast<double>(found.broken) /
                  static_cast<double>(found.flows),
              "%", bound::at_most, 0.1},
             {"todays_rate.death.broken_settled",
              static_cast<double>(found.broken_settled), "flows",
              bound::at_most, 0}},
            found.misdirected};
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
        site s(unlimited, policies().front(),
               {.seed = seed, .load_epsilon = epsilon});
        s.fill(todays_open, 20s);
        s.run_level(20s, todays_rate, packet_part);
        const auto totals = [&]
        {
            balancer_stats sum;
            for (const vm_id id : s.vms())
            {
                const balancer_stats each = s.machines->stats(id);
                sum.flows_opened += each.flows_opened;
                sum.exceptions_opened += each.exceptions_opened;
            }
            return sum;
        };
        const balancer_stats before = totals();
        byte_meter meter;
        run_metered(s, meter, seconds);
        const balancer_stats after = totals();
        std::uint32_t most = 0;
        std::uint64_t all = 0;
        for (const auto& [id, flows] : s.callers.flows_by_target())
        {
            most = std::max(most, flows);
            all += flows;
        }
        std::printf(
            "%.2f %.2f %.0f %.3f %llu\n", epsilon,
            100.0 *
                static_cast<double>(after.exceptions_opened -
                                    before.exceptions_opened) /
                static_cast<double>(after.flows_opened - before.flows_opened),
            meter.mean(),
            static_cast<double>(most) * exlibris.first_targets /
                static_cast<double>(all),
            static_cast<unsigned long long>(meter.worst_backlog()));
        std::fflush(stdout);
    }
}

} // namespace catkinkeel::measure
