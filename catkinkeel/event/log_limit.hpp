#pragma once

// Rate limit for log lines of one event number. The state is an immutable value
// that is replaced, and the time is passed in.

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
    std::optional<instant> logged;
    /// Number of occurrences since then that were not logged.
    std::uint64_t suppressed = 0;

    friend auto operator<=>(const log_limit_state&,
                            const log_limit_state&) = default;
};

/// Decision for one occurrence: the next state and whether to log it.
struct log_limit_decision
{
    log_limit_state next;
    bool log = false;
    /// If `log` is true: number of occurrences suppressed since the last logged
    /// one.
    std::uint64_t suppressed = 0;

    friend auto operator<=>(const log_limit_decision&,
                            const log_limit_decision&) = default;
};

/// Logs the first occurrence, and later ones once `period` has passed since the
/// last logged one. A period of 0 logs every occurrence.
inline log_limit_decision apply_log_limit(const log_limit_state& state,
                                          duration period, instant now)
{
    if (state.logged && now - *state.logged < period)
    {
        return {.next = {state.logged, state.suppressed + 1}};
    }
    return {.next = {now, 0}, .log = true, .suppressed = state.suppressed};
}

} // namespace catkinkeel
