#pragma once

// How far a warm target is trusted, and how far a cold one has been ramped up.
// Both are values that are replaced as reports arrive or stay away.

#include "catkinkeel/base/time.hpp"

#include <algorithm>
#include <compare>
#include <cstdint>

namespace catkinkeel
{

/// Trust is 1/8, 1/4, 1/2 or 1 of the published capacity. The lowest is not 0:
/// a fault of the reports alone must not take a whole service away.
struct trust
{
    static constexpr std::uint8_t lowest = 0;
    static constexpr std::uint8_t full = 3;
    /// One lost poll of 1 s is common on a lossy link, three are not.
    static constexpr duration lowering_period = 3s;
    static constexpr duration raising_period = 5s;

    std::uint8_t level = full;
    instant changed;

    friend auto operator<=>(const trust&, const trust&) = default;

    [[nodiscard]] double factor() const
    {
        return 1.0 / static_cast<double>(1U << (full - level));
    }
    /// One step lower, if the last step is 3 s ago.
    [[nodiscard]] trust lowered(instant now) const
    {
        return level == lowest || now - changed < lowering_period
                   ? *this
                   : trust{static_cast<std::uint8_t>(level - 1), now};
    }
    /// One step higher, if the last step is 5 s ago.
    [[nodiscard]] trust raised(instant now) const
    {
        return level == full || now - changed < raising_period
                   ? *this
                   : trust{static_cast<std::uint8_t>(level + 1), now};
    }
};

/// The time for which this VM has been the steward of a cold target. The limit
/// is 0 for one period, then 2, 4, 8... The first period keeps the sum over
/// successive stewards below one ramp that began with the first of them, and
/// gives the news of a cold start time to reach the other VMs.
struct ramp
{
    static constexpr duration period = 5s;
    /// A gap that is longer means that the process was paused, and another VM
    /// may have been steward meanwhile.
    static constexpr duration longest_gap = 1s;

    /// Number of limits passed, 0 while waiting.
    std::uint32_t step = 0;
    instant stepped;
    /// When the steward rule last held.
    instant confirmed;

    friend auto operator<=>(const ramp&, const ramp&) = default;

    [[nodiscard]] std::uint32_t limit(std::uint32_t capacity) const
    {
        return step == 0 ? 0
                         : static_cast<std::uint32_t>(std::min<std::uint64_t>(
                               capacity, 1ULL << std::min(step, 32U)));
    }
    [[nodiscard]] bool due(instant now) const
    {
        return now - stepped >= period;
    }
    /// The next step. Only when it is due. A report of many connections never
    /// skips steps, not even together with flows that this VM holds: they may
    /// be left over from the instance before.
    [[nodiscard]] ramp advanced(instant now) const
    {
        return {step + 1, now, confirmed};
    }
};

} // namespace catkinkeel
