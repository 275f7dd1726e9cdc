// Measures the quality goals of section 1 of the design page in virtual time,
// for the balancer of the decision library and two simpler policies. Prints one
// row per goal. The exit status is 0 even if a value misses its goal. The time
// until a set is in effect on all VMs is not measured: the simulation gives a
// set to each VM within 2 s.
//
// Usage: policy [--seed N] [--only TEXT] [--trace] [--curve]

#include <tclap/CmdLine.h>

#include <array>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <string>

#include "measure/policy_scenarios.hpp"

using namespace catkinkeel::measure;

namespace
{

constexpr std::array<scenario, 10> scenarios{
    {{"planned changes", &measure_planned_changes},
     {"sudden death", &measure_vm_deaths},
     {"sudden death, 36 VMs", &measure_vm_deaths_of_36},
     {"data centre out and back", &measure_data_centre_out_of_service},
     {"VMs of a data centre die", &measure_data_centre_vm_deaths},
     {"drain", &measure_drain},
     {"load balance", &measure_balance},
     {"control traffic", &measure_control_traffic, true},
     {"load of today", &measure_current_load},
     {"death at the rate of today", &measure_death_at_current_rate}}};

void print_rows(std::uint64_t seed, const std::string& name_filter, bool trace)
{
    for (const policy& tested_policy : policies())
    {
        std::uint64_t misdirected = 0;
        for (const scenario& each : scenarios)
        {
            const bool applicable =
                !each.balancer_only || &tested_policy == &policies().front();
            if (!applicable ||
                std::string(each.name).find(name_filter) == std::string::npos)
            {
                continue;
            }
            std::printf("# %s: %s\n", tested_policy.name, each.name);
            const scenario_result result =
                each.run({tested_policy, seed, trace});
            misdirected += result.misdirected;
            for (const row& result_row : result.rows)
            {
                print_row(tested_policy.name, result_row);
            }
        }
        print_row(tested_policy.name, {"packets_to_another_service",
                                       static_cast<double>(misdirected),
                                       "packets", bound::at_most, 0});
    }
    if (std::string("cold target").find(name_filter) == std::string::npos)
    {
        return;
    }
    std::printf("# cold target, by rule\n");
    for (const row& result_row : measure_cold_target(seed))
    {
        print_row("cold", result_row);
    }
}

} // namespace

namespace catkinkeel::measure
{

bool row::misses_target() const
{
    switch (bound_kind)
    {
    case bound::none:
        return false;
    case bound::at_most:
        return !(value <= target);
    case bound::at_least:
        return !(value >= target);
    }
    return false;
}

void print_row(const std::string& policy, const row& printed_row)
{
    const std::string name = policy + "." + printed_row.name;
    if (printed_row.bound_kind == bound::none)
    {
        std::printf("%-58s %10.6g %-7s - -\n", name.c_str(), printed_row.value,
                    printed_row.unit.c_str());
    }
    else
    {
        std::printf("%-58s %10.6g %-7s %s%g %s\n", name.c_str(),
                    printed_row.value, printed_row.unit.c_str(),
                    printed_row.bound_kind == bound::at_most ? "<=" : ">=",
                    printed_row.target,
                    printed_row.misses_target() ? "short" : "ok");
    }
    std::fflush(stdout);
}

} // namespace catkinkeel::measure

int main(int argc, char** argv)
{
    TCLAP::CmdLine arguments("Policy measurements in virtual time", ' ', "0.1");
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of all randomness",
                                        false, 1, "number", arguments);
    TCLAP::ValueArg<std::string> name_filter(
        "", "only", "Run only scenarios whose name contains this", false, "",
        "text", arguments);
    TCLAP::SwitchArg trace("", "trace", "Print each broken flow", arguments);
    TCLAP::SwitchArg curve("", "curve",
                           "Print exceptions against the load bound instead",
                           arguments);
    arguments.parse(argc, argv);
    std::printf(
        "# build/measure/policy --seed %llu%s%s%s%s\n",
        static_cast<unsigned long long>(seed.getValue()),
        name_filter.isSet() ? " --only " : "", name_filter.getValue().c_str(),
        trace.getValue() ? " --trace" : "", curve.getValue() ? " --curve" : "");
    if (curve.getValue())
    {
        print_exception_curve(seed.getValue());
        return 0;
    }
    print_rows(seed.getValue(), name_filter.getValue(), trace.getValue());
    return 0;
}
