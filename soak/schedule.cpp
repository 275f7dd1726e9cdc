#include "soak/schedule.hpp"

#include "catkinkeel/base/random.hpp"

#include <algorithm>
#include <array>

namespace catkinkeel::soak
{

namespace
{

/// Daemons and targets start in this time.
constexpr duration warm_up = 4s;
/// Longer than the recovery, so that calm times are checked.
constexpr duration calm = 16s;
constexpr std::uint64_t most_in_series = 4;
constexpr duration series_spread = 4s;
constexpr duration longest_fault = 8s;

duration up_to(random_source& random, duration longest)
{
    return duration(static_cast<duration::rep>(
        random.unit() * static_cast<double>(longest.count())));
}

} // namespace

std::string_view to_string(fault kind)
{
    constexpr std::array<std::string_view, fault_count> names{
        "stop_daemon",       "kill_daemon",
        "kill_all_daemons",  "pause_daemon",
        "reload_daemon",     "delay_store",
        "reset_store",       "silence_store",
        "cut_answers",       "silence_store_for_all",
        "lose_history",      "crash_target",
        "drain_target",      "withdraw_entry",
        "damage_entry",      "move_reference",
        "publish_reference", "withdraw_reference",
        "evacuate"};
    return names.at(static_cast<std::size_t>(kind));
}

std::vector<scheduled_fault> make_schedule(const soak_plan& plan)
{
    random_source random(plan.seed);
    std::vector<scheduled_fault> faults;
    duration begin = warm_up;
    while (begin < plan.length)
    {
        const std::uint64_t count = 1 + random.below(most_in_series);
        duration end = begin;
        for (std::uint64_t i = 0; i < count; ++i)
        {
            const scheduled_fault each{
                .at = begin + up_to(random, series_spread),
                .kind = static_cast<fault>(random.below(fault_count)),
                .subject = static_cast<std::uint32_t>(random.below(1U << 16U)),
                .length = 200ms + up_to(random, longest_fault)};
            faults.push_back(each);
            end = std::max(end, each.at + each.length);
        }
        begin = end + calm;
    }
    std::ranges::sort(faults);
    return faults;
}

} // namespace catkinkeel::soak
