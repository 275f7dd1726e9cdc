#include "soak/schedule.hpp"

#include "catkinkeel/base/random.hpp"

#include <algorithm>
#include <array>

namespace catkinkeel::soak
{

namespace
{

/// Time for daemons and targets to start, before the first fault.
constexpr duration startup_time = 4s;
/// Time without faults between two series. Exceeds `recovery_limit`, so that
/// the invariants that hold only without faults are checked, too.
constexpr duration quiet_period = 16s;
constexpr std::uint64_t max_faults_per_series = 4;
/// The faults of a series start within this time.
constexpr duration series_start_window = 4s;
/// Added to the shortest duration of a fault, 200 ms.
constexpr duration max_extra_fault_duration = 8s;

/// Uniform in [0, `max_duration`).
duration random_duration(random_source& random, duration max_duration)
{
    return duration(static_cast<duration::rep>(
        random.unit() * static_cast<double>(max_duration.count())));
}

} // namespace

std::string_view to_string(fault_kind kind)
{
    constexpr std::array<std::string_view, fault_kind_count> names{
        "stop_daemon",       "kill_daemon",
        "kill_all_daemons",  "pause_daemon",
        "reload_daemon",     "delay_store",
        "reset_store",       "silence_store",
        "cut_answers",       "silence_store_for_all",
        "lose_history",      "crash_target",
        "drain_target",      "withdraw_entry",
        "damage_entry",      "move_reference",
        "publish_reference", "withdraw_reference",
        "evacuate",          "fail_answers",
        "silence_target"};
    return names.at(static_cast<std::size_t>(kind));
}

std::vector<scheduled_fault> make_schedule(const soak_plan& plan)
{
    random_source random(plan.seed);
    std::vector<scheduled_fault> faults;
    duration series_start = startup_time;
    while (series_start < plan.active_time)
    {
        const std::uint64_t count = 1 + random.below(max_faults_per_series);
        duration series_end = series_start;
        for (std::uint64_t i = 0; i < count; ++i)
        {
            const scheduled_fault next_fault{
                .start_offset =
                    series_start + random_duration(random, series_start_window),
                .kind = static_cast<fault_kind>(random.below(plan.fault_kinds)),
                .random_index =
                    static_cast<std::uint32_t>(random.below(1U << 16U)),
                .fault_duration =
                    200ms + random_duration(random, max_extra_fault_duration)};
            faults.push_back(next_fault);
            series_end = std::max(series_end, next_fault.start_offset +
                                                  next_fault.fault_duration);
        }
        series_start = series_end + quiet_period;
    }
    std::ranges::sort(faults);
    return faults;
}

} // namespace catkinkeel::soak
