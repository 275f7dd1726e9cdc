#pragma once

// Limit on how often one event is logged. The state is a value that is replaced
// and time is passed in.

#include "catkinkeel/base/time.hpp"

#include <compare>
#include <cstdint>
#include <optional>

namespace catkinkeel
{

/// What is remembered of one event number.
struct repeat_state
{
    /// When the event was last logged; empty before the first time.
    std::optional<instant> logged;
    /// Occurrences that were not logged since.
    std::uint64_t suppressed = 0;

    friend auto operator<=>(const repeat_state&, const repeat_state&) = default;
};

/// The state after one more occurrence and whether to log it.
struct repeat_step
{
    repeat_state next;
    bool log = false;
    /// With `log`: occurrences left out since the last logged one.
    std::uint64_t suppressed = 0;

    friend auto operator<=>(const repeat_step&, const repeat_step&) = default;
};

/// Logs the first occurrence, and later ones once `period` has passed since the
/// last logged one. A period of 0 logs every occurrence.
inline repeat_step step_repeat(const repeat_state& state, duration period,
                               instant now)
{
    if (state.logged && now - *state.logged < period)
    {
        return {.next = {state.logged, state.suppressed + 1}};
    }
    return {.next = {now, 0}, .log = true, .suppressed = state.suppressed};
}

} // namespace catkinkeel
