#include "catkinkeel/steering/selection.hpp"

#include <algorithm>
#include <utility>

namespace catkinkeel::steering
{

namespace
{

/// Cap of the slowness above `tolerated_slowness`, so that one slow request
/// does not keep new flows away from a target for long.
constexpr double max_slowness_excess = 4;
/// Exchange times vary by a factor of 1.5 without any fault.
constexpr double tolerated_slowness = 1.5;

double load_of(const candidate& option)
{
    return static_cast<double>(option.in_flight) / option.slots;
}

double idle_load_of(const candidate& option)
{
    return static_cast<double>(option.idle_flows) / option.slots;
}

double distance_of(const candidate& option)
{
    return option.nearby ? 0 : 1;
}

double coldness_of(const candidate& option)
{
    return option.cold ? 1 : 0;
}

double slowness_of(const candidate& option)
{
    return std::clamp(option.slowness - tolerated_slowness, 0.0,
                      max_slowness_excess);
}

double trial_of(const candidate& option)
{
    return option.trust == target_trust::on_trial ? 1 : 0;
}

double avoidance_of(const candidate& option)
{
    return option.trust == target_trust::avoided ? 1 : 0;
}

constexpr std::array cost_term_table{
    cost_term{"load", &selection_weights::load, &load_of},
    cost_term{"idle_flow", &selection_weights::idle_flow, &idle_load_of},
    cost_term{"distance", &selection_weights::distance, &distance_of},
    cost_term{"coldness", &selection_weights::coldness, &coldness_of},
    cost_term{"slowness", &selection_weights::slowness, &slowness_of},
    cost_term{"avoidance", &selection_weights::avoidance, &avoidance_of},
    cost_term{"trial", &selection_weights::trial, &trial_of},
};

} // namespace

std::span<const cost_term> cost_terms()
{
    return cost_term_table;
}

double least_cost_policy::cost_of(const candidate& option) const
{
    double sum = 0;
    for (const cost_term& cost : cost_term_table)
    {
        sum += weights_.*cost.weight * cost.evaluate(option);
    }
    return sum;
}

std::optional<std::size_t>
least_cost_policy::choose(std::span<const candidate> candidates,
                          random_source& random) const
{
    std::optional<std::size_t> best;
    std::pair<bool, double> best_rank;
    std::uint64_t equal_count = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        const std::pair rank(candidates[i].cold_limited,
                             cost_of(candidates[i]));
        if (!best || rank < best_rank)
        {
            best = i;
            best_rank = rank;
            equal_count = 1;
        }
        else if (rank == best_rank && random.below(++equal_count) == 0)
        {
            best = i;
        }
    }
    return best;
}

} // namespace catkinkeel::steering
