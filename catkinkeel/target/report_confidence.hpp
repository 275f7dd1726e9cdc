#pragma once

// Confidence in the reports of a warm target, and the ramp of a cold one. Both
// are immutable values that are replaced when reports arrive or are missing.

#include "catkinkeel/base/time.hpp"

#include <algorithm>
#include <compare>
#include <cstdint>

namespace catkinkeel
{

/// Scales the published capacity of a target by 1/8, 1/4, 1/2 or 1. The
/// minimum is not 0, because missing reports alone must not take a whole
/// service out of use.
struct report_confidence
{
    static constexpr std::uint8_t min_level = 0;
    static constexpr std::uint8_t max_level = 3;
    /// One lost poll of 1 s is common on a lossy link, three in a row are not.
    static constexpr duration lowering_period = 3s;
    static constexpr duration raising_period = 5s;

    std::uint8_t level = max_level;
    instant changed_at;

    friend auto operator<=>(const report_confidence&,
                            const report_confidence&) = default;

    [[nodiscard]] double capacity_factor() const
    {
        return 1.0 / static_cast<double>(1U << (max_level - level));
    }
    /// One level lower if the last change was at least 3 s ago, otherwise
    /// unchanged.
    [[nodiscard]] report_confidence lowered(instant now) const
    {
        return level == min_level || now - changed_at < lowering_period
                   ? *this
                   : report_confidence{static_cast<std::uint8_t>(level - 1),
                                       now};
    }
    /// One level higher if the last change was at least 5 s ago, otherwise
    /// unchanged.
    [[nodiscard]] report_confidence raised(instant now) const
    {
        return level == max_level || now - changed_at < raising_period
                   ? *this
                   : report_confidence{static_cast<std::uint8_t>(level + 1),
                                       now};
    }
};

/// Progress of a cold target's ramp while this VM is its steward. The limit is
/// 0 for one period, then 2, 4, 8... The first period without flows keeps the
/// sum over successive stewards below one ramp that began with the first of
/// them, and gives the update about a cold start time to reach the other VMs.
struct ramp
{
    static constexpr duration period = 5s;
    /// A longer gap between confirmations means that the process was paused,
    /// and another VM may have been the steward in the meantime.
    static constexpr duration max_confirmation_gap = 1s;

    /// Number of steps taken; 0 during the first period.
    std::uint32_t step = 0;
    instant last_step_at;
    /// When the steward rule last allowed this VM to act.
    instant confirmed_at;

    friend auto operator<=>(const ramp&, const ramp&) = default;

    [[nodiscard]] std::uint32_t limit(std::uint32_t capacity) const
    {
        return step == 0 ? 0
                         : static_cast<std::uint32_t>(std::min<std::uint64_t>(
                               capacity, 1ULL << std::min(step, 32U)));
    }
    [[nodiscard]] bool due(instant now) const
    {
        return now - last_step_at >= period;
    }
    /// The ramp after its next step; the caller checks `due` first. A report
    /// of many connections never skips steps, not even if this VM holds as
    /// many flows: they may be left over from the previous instance.
    [[nodiscard]] ramp advanced(instant now) const
    {
        return {step + 1, now, confirmed_at};
    }
};

} // namespace catkinkeel
