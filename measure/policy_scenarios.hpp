#pragma once

// Scenarios of measure/policy and the rows that it prints.

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "measure/policy_site.hpp"

namespace catkinkeel::measure
{

/// How the value of a row is compared with its target.
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
    bound bound_kind = bound::none;
    double target = 0;

    friend auto operator<=>(const row&, const row&) = default;

    [[nodiscard]] bool misses_target() const;
};

/// Prints `name value unit target ok|short`. For a row without a target the
/// last two columns are `-`.
void print_row(const std::string& policy, const row& printed_row);

struct run_context
{
    const policy& tested_policy;
    std::uint64_t seed = 1;
    /// Whether to print a line that starts with '#' for each broken flow.
    bool trace = false;
};

struct scenario_result
{
    std::vector<row> rows;
    /// Packets that reached a target of another service.
    std::uint64_t misdirected = 0;
};

struct scenario
{
    const char* name;
    scenario_result (*run)(const run_context&);
    /// Whether only the balancer of the decision library is measured.
    bool balancer_only = false;
};

scenario_result measure_planned_changes(const run_context& context);
scenario_result measure_vm_deaths(const run_context& context);
scenario_result measure_vm_deaths_of_36(const run_context& context);
scenario_result measure_data_centre_out_of_service(const run_context& context);
scenario_result measure_data_centre_vm_deaths(const run_context& context);
scenario_result measure_drain(const run_context& context);
scenario_result measure_balance(const run_context& context);
scenario_result measure_control_traffic(const run_context& context);
/// Share of new flows that are refused at the current load of a site.
scenario_result measure_current_load(const run_context& context);
scenario_result measure_death_at_current_rate(const run_context& context);

/// Measures the flows on a cold target with the steward rule and two other cold
/// start rules. Does not depend on the policy.
std::vector<row> measure_cold_target(std::uint64_t seed);

/// Prints the share of exceptions among new flows, one line for each epsilon of
/// the load bound.
void print_exception_curve(std::uint64_t seed);

} // namespace catkinkeel::measure
