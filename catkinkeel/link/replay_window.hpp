#pragma once

// Accepts each sequence number of a session once, in any order within a window.

#include <cstdint>

namespace catkinkeel
{

/// Sliding window of 64 numbers below the highest seen, as in RFC 4303.
class replay_window
{
public:
    static constexpr std::uint32_t width = 64;

    /// Whether the number is new; then it is remembered. Numbers below the
    /// window are refused.
    bool accept(std::uint32_t sequence)
    {
        if (!any_ || sequence > highest_)
        {
            const std::uint32_t advance = any_ ? sequence - highest_ : width;
            seen_ = advance < width ? seen_ << advance : 0;
            seen_ |= 1U;
            highest_ = sequence;
            any_ = true;
            return true;
        }
        const std::uint32_t behind = highest_ - sequence;
        if (behind >= width || ((seen_ >> behind) & 1U) != 0)
        {
            return false;
        }
        seen_ |= std::uint64_t{1} << behind;
        return true;
    }

private:
    std::uint64_t seen_ = 0;
    std::uint32_t highest_ = 0;
    bool any_ = false;
};

} // namespace catkinkeel
