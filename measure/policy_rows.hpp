#pragma once

// Rows of measure/policy and the table of what it measures.

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "measure/policy_site.hpp"

namespace catkinkeel::measure
{

enum class bound : std::uint8_t
{
    none,
    at_most,
    at_least
};

struct row
{
    std::string name;
    double value = 0;
    std::string unit;
    bound kind = bound::none;
    double target = 0;

    friend auto operator<=>(const row&, const row&) = default;

    [[nodiscard]] bool short_of_target() const;
};

/// `name value unit target ok|short`; without a target, `-` stands for both.
void print(const std::string& policy, const row& each);

struct run_context
{
    const policy& subject;
    std::uint64_t seed = 1;
    /// Prints each broken flow on a line that begins with '#'.
    bool trace = false;
};

struct scenario_result
{
    std::vector<row> rows;
    std::uint64_t misdirected = 0;
};

struct scenario
{
    const char* name;
    scenario_result (*run)(const run_context&);
    /// Whether it measures something that only the balancer has.
    bool balancer_only = false;
};

scenario_result measure_planned_changes(const run_context& context);
scenario_result measure_deaths(const run_context& context);
scenario_result measure_deaths_of_36(const run_context& context);
scenario_result measure_data_centre_out(const run_context& context);
scenario_result measure_data_centre_loss(const run_context& context);
scenario_result measure_drain(const run_context& context);
scenario_result measure_balance(const run_context& context);
scenario_result measure_control_traffic(const run_context& context);
/// Share of new flows refused at the rate and connections of today.
scenario_result measure_todays_load(const run_context& context);
scenario_result measure_death_at_todays_rate(const run_context& context);

/// Flows that several target registries place on a cold target, under the
/// steward rule and two others; does not depend on the policy.
std::vector<row> measure_cold_target(std::uint64_t seed);

/// Exceptions against the load bound, one line for each epsilon.
void print_exception_curve(std::uint64_t seed);

} // namespace catkinkeel::measure
