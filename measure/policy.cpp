// Prints the measures of section 1 of the design page, one row each, for the
// decision library and two simpler policies, in virtual time. It measures and
// does not judge: the exit code is 0 also where a row is short of its target.
// How long a set takes until it is in effect everywhere is not measured here;
// the fakes give it to each VM within 2 s.
// Usage: policy [--seed N] [--only TEXT] [--trace] [--curve]

#include <tclap/CmdLine.h>

#include <array>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <string>

#include "measure/policy_rows.hpp"

using namespace catkinkeel::measure;

namespace
{

constexpr std::array<scenario, 10> scenarios{
    {{"planned changes", &measure_planned_changes},
     {"sudden death", &measure_deaths},
     {"sudden death, 36 VMs", &measure_deaths_of_36},
     {"data centre out and back", &measure_data_centre_out},
     {"VMs of a data centre die", &measure_data_centre_loss},
     {"drain", &measure_drain},
     {"load balance", &measure_balance},
     {"control traffic", &measure_control_traffic, true},
     {"load of today", &measure_todays_load},
     {"death at the rate of today", &measure_death_at_todays_rate}}};

void print_rows(std::uint64_t seed, const std::string& only, bool trace)
{
    for (const policy& subject : policies())
    {
        std::uint64_t misdirected = 0;
        for (const scenario& each : scenarios)
        {
            const bool measured =
                !each.balancer_only || &subject == &policies().front();
            if (!measured ||
                std::string(each.name).find(only) == std::string::npos)
            {
                continue;
            }
            std::printf("# %s: %s\n", subject.name, each.name);
            const scenario_result result = each.run({subject, seed, trace});
            misdirected += result.misdirected;
            for (const row& line : result.rows)
            {
                print(subject.name, line);
            }
        }
        print(subject.name,
              {"packets_to_another_service", static_cast<double>(misdirected),
               "packets", bound::at_most, 0});
    }
    if (std::string("cold target").find(only) == std::string::npos)
    {
        return;
    }
    std::printf("# cold target, by rule\n");
    for (const row& line : measure_cold_target(seed))
    {
        print("cold", line);
    }
}

} // namespace

namespace catkinkeel::measure
{

bool row::short_of_target() const
{
    switch (kind)
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

void print(const std::string& policy, const row& each)
{
    const std::string name = policy + "." + each.name;
    if (each.kind == bound::none)
    {
        std::printf("%-58s %10.6g %-7s - -\n", name.c_str(), each.value,
                    each.unit.c_str());
    }
    else
    {
        std::printf("%-58s %10.6g %-7s %s%g %s\n", name.c_str(), each.value,
                    each.unit.c_str(),
                    each.kind == bound::at_most ? "<=" : ">=", each.target,
                    each.short_of_target() ? "short" : "ok");
    }
    std::fflush(stdout);
}

} // namespace catkinkeel::measure

int main(int argc, char** argv)
{
    TCLAP::CmdLine arguments("Policy measurements in virtual time", ' ', "0.1");
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of all randomness",
                                        false, 1, "number", arguments);
    TCLAP::ValueArg<std::string> only(
        "", "only", "Run only scenarios whose name contains this", false, "",
        "text", arguments);
    TCLAP::SwitchArg trace("", "trace", "Print each broken flow", arguments);
    TCLAP::SwitchArg curve("", "curve",
                           "Print exceptions against the load bound instead",
                           arguments);
    arguments.parse(argc, argv);
    std::printf("# build/measure/policy --seed %llu%s%s%s%s\n",
                static_cast<unsigned long long>(seed.getValue()),
                only.isSet() ? " --only " : "", only.getValue().c_str(),
                trace.getValue() ? " --trace" : "",
                curve.getValue() ? " --curve" : "");
    if (curve.getValue())
    {
        print_exception_curve(seed.getValue());
        return 0;
    }
    print_rows(seed.getValue(), only.getValue(), trace.getValue());
    return 0;
}
