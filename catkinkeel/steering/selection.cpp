#include "catkinkeel/steering/selection.hpp"

#include <algorithm>
#include <utility>

namespace catkinkeel::steering
{

namespace
{

/// A target that is slower than this counts no worse, so that one slow request
/// does not empty it for long.
constexpr double most_slowness = 4;
/// Exchange times vary by a factor of 1.5 without any fault.
constexpr double usual_slowness = 1.5;

double load_of(const candidate& one)
{
    return static_cast<double>(one.in_flight) / one.slots;
}

double distance_of(const candidate& one)
{
    return one.nearby ? 0 : 1;
}

double coldness_of(const candidate& one)
{
    return one.cold ? 1 : 0;
}

double slowness_of(const candidate& one)
{
    return std::clamp(one.slowness - usual_slowness, 0.0, most_slowness);
}

double trial_of(const candidate& one)
{
    return one.trust == target_trust::on_trial ? 1 : 0;
}

double avoidance_of(const candidate& one)
{
    return one.trust == target_trust::avoided ? 1 : 0;
}

constexpr std::array terms{
    cost_term{"load", &selection_weights::load, &load_of},
    cost_term{"distance", &selection_weights::distance, &distance_of},
    cost_term{"coldness", &selection_weights::coldness, &coldness_of},
    cost_term{"slowness", &selection_weights::slowness, &slowness_of},
    cost_term{"avoidance", &selection_weights::avoidance, &avoidance_of},
    cost_term{"trial", &selection_weights::trial, &trial_of},
};

} // namespace

std::span<const cost_term> cost_terms()
{
    return terms;
}

double least_cost_policy::cost_of(const candidate& one) const
{
    double sum = 0;
    for (const cost_term& term : terms)
    {
        sum += weights_.*term.weight * term.measure(one);
    }
    return sum;
}

std::optional<std::size_t>
least_cost_policy::choose(std::span<const candidate> candidates,
                          random_source& random) const
{
    std::optional<std::size_t> best;
    std::pair<bool, double> best_rank;
    std::uint64_t equals = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        const std::pair rank(candidates[i].cold_limited,
                             cost_of(candidates[i]));
        if (!best || rank < best_rank)
        {
            best = i;
            best_rank = rank;
            equals = 1;
        }
        else if (rank == best_rank && random.below(++equals) == 0)
        {
            best = i;
        }
    }
    return best;
}

} // namespace catkinkeel::steering
