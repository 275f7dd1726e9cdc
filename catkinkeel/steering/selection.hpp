#pragma once

// Which target gets a new flow. A policy sees candidates as values and knows no
// view, packet or clock, so that the load it answers can be played in a test.

#include "catkinkeel/base/random.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/steering/target_observer.hpp"

#include <array>
#include <compare>
#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace catkinkeel::steering
{

/// One target that could get the flow.
struct candidate
{
    /// Index that the caller of the policy understands.
    std::uint32_t index = 0;
    target_trust trust = target_trust::trusted;
    std::uint32_t slots = 1;
    std::uint32_t in_flight = 0;
    /// In the daemon's own data centre.
    bool nearby = false;
    bool cold = false;
    /// A limit of new flows is stated for cold targets and the target is cold.
    bool cold_limited = false;
    /// Exchange time over the mean of the candidates; 1 if unknown.
    double slowness = 1;

    friend auto operator<=>(const candidate&, const candidate&) = default;
};

/// How much each disadvantage counts; 1 is a fully occupied target.
struct selection_weights
{
    double load = 1;
    /// Another data centre adds a few ms and priced bytes. Half a target's
    /// slots in use nearby weigh as much.
    double distance = 0.5;
    /// A cold target works at about 60 % of its speed.
    double coldness = 0.7;
    double slowness = 0.5;
    /// An avoided target is taken before others have three times as many flows
    /// as slots: targets refuse work long before that is noticed as silence,
    /// and many avoided targets at once mean that the signal is wrong.
    double avoidance = 3;
    /// A target on trial costs the caller a repeated opening packet if it
    /// still does not answer.
    double trial = 0.25;

    friend auto operator<=>(const selection_weights&,
                            const selection_weights&) = default;
};

/// One term of a candidate's cost.
struct cost_term
{
    std::string_view name;
    double selection_weights::*weight;
    double (*measure)(const candidate&);
};

std::span<const cost_term> cost_terms();

/// Chooses among candidates. Implementations hold no state but settings.
class selection_policy
{
public:
    virtual ~selection_policy() = default;

    /// Position in `candidates`; empty only if there are none.
    [[nodiscard]] virtual std::optional<std::size_t>
    choose(std::span<const candidate> candidates,
           random_source& random) const = 0;
};

/// The cheapest candidate by the sum of `cost_terms`, a random one of equals. A
/// cold target with a stated limit is taken only if there is no other. No
/// candidate is excluded, so that a service is never refused because all of its
/// targets are doubted together.
class least_cost_policy : public selection_policy
{
public:
    explicit least_cost_policy(selection_weights weights) : weights_(weights) {}

    [[nodiscard]] std::optional<std::size_t>
    choose(std::span<const candidate> candidates,
           random_source& random) const override;

    [[nodiscard]] double cost_of(const candidate& one) const;

private:
    selection_weights weights_;
};

} // namespace catkinkeel::steering
