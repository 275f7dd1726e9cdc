#pragma once

// Selects the target of a new flow. A policy sees candidates only as values and
// depends on no view, packet or clock, so that tests can simulate any load.

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

/// A target that is eligible for a new flow.
struct candidate
{
    /// Opaque to the policy; identifies the target for its caller.
    std::uint32_t index = 0;
    target_trust trust = target_trust::trusted;
    std::uint32_t slots = 1;
    /// Flows with a request at work, and other open flows.
    std::uint32_t in_flight = 0;
    std::uint32_t idle_flows = 0;
    /// Whether it is in the daemon's own data centre.
    bool nearby = false;
    bool cold = false;
    /// Whether it is cold and its service limits new flows to cold targets.
    bool cold_limited = false;
    /// Exchange time divided by the mean of all candidates; 1 if unknown.
    double slowness = 1;
    /// Number of the service's eligible targets for which it stands; above 1 if
    /// only a sample of them are candidates.
    double represents = 1;

    friend auto operator<=>(const candidate&, const candidate&) = default;
};

/// Weights of the cost terms. A cost of 1 equals that of a target with all
/// slots in use.
struct selection_weights
{
    double load = 1;
    /// Load of an idle flow relative to one at work. Callers that keep flows
    /// open send requests of 30 to 50 ms about every half second, so an idle
    /// flow will be at work for a tenth of its time.
    double idle_flow = 0.1;
    /// A target in another data centre costs a few ms and billed traffic, as
    /// much as a nearby target with half of its slots in use.
    double distance = 0.5;
    /// A cold target works at about 60 % of its speed.
    double coldness = 0.7;
    double slowness = 0.5;
    /// An avoided target is selected once all others have three times as many
    /// flows as slots. Overloaded targets refuse work long before they stop
    /// answering, and if many targets are avoided at once, the observation is
    /// probably wrong.
    double avoidance = 3;
    /// If a target on trial still doesn't answer, its caller has to retransmit
    /// the opening packet.
    double trial = 0.25;

    friend auto operator<=>(const selection_weights&,
                            const selection_weights&) = default;
};

/// One term of a candidate's cost: a weight and the value that it multiplies.
struct cost_term
{
    std::string_view name;
    double selection_weights::*weight;
    double (*evaluate)(const candidate&);
};

std::span<const cost_term> cost_terms();

/// Chooses among candidates. Implementations hold no state except settings.
class selection_policy
{
public:
    virtual ~selection_policy() = default;

    /// Returns a position in `candidates`; empty only if there are none.
    [[nodiscard]] virtual std::optional<std::size_t>
    choose(std::span<const candidate> candidates,
           random_source& random) const = 0;
};

/// Chooses the candidate with the lowest sum of `cost_terms`, at random among
/// equals. A `cold_limited` target is chosen only if there is no other. No
/// candidate is excluded, so that flows are not refused when all targets of a
/// service are suspected at once.
class least_cost_policy : public selection_policy
{
public:
    explicit least_cost_policy(selection_weights weights) : weights_(weights) {}

    [[nodiscard]] std::optional<std::size_t>
    choose(std::span<const candidate> candidates,
           random_source& random) const override;

    [[nodiscard]] double cost_of(const candidate& option) const;

private:
    selection_weights weights_;
};

} // namespace catkinkeel::steering
