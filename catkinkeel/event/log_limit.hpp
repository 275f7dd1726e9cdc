#pragma once

// Rate limit for log lines of one event number, as a pure function: it gets the
// current state and time and returns the new state.

#include "catkinkeel/base/time.hpp"

#include <compare>
#include <cstdint>
#include <optional>

namespace catkinkeel
{

/// Rate-limit state of one event number.
struct log_limit_state
{
    /// Time of the last logged occurrence; empty before the first.
    std::optional<instant> last_logged_at;
    /// Number of occurrences since `last_logged_at` that were not logged.
    std::uint64_t suppressed = 0;

    friend auto operator<=>(const log_limit_state&,
                            const log_limit_state&) = default;
};

/// Decision for one occurrence of the event.
struct log_limit_decision
{
    log_limit_state new_state;
    bool should_log = false;
    /// Number of occurrences suppressed since the last logged one; 0 if
    /// `should_log` is false.
    std::uint64_t suppressed = 0;

    friend auto operator<=>(const log_limit_decision&,
                            const log_limit_decision&) = default;
};

/// Allows the first occurrence to be logged, and a later one if the last logged
/// one is at least `min_interval` ago. An interval of 0 allows all.
inline log_limit_decision apply_log_limit(const log_limit_state& state,
                                          duration min_interval, instant now)
{
    if (state.last_logged_at && now - *state.last_logged_at < min_interval)
    {
        return {.new_state = {state.last_logged_at, state.suppressed + 1}};
    }
    return {.new_state = {now, 0},
            .should_log = true,
            .suppressed = state.suppressed};
}

} // namespace catkinkeel
