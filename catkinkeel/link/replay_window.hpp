#pragma once

// Replay protection: accepts each sequence number of a session once, in any
// order within a sliding window.

#include <cstdint>

namespace catkinkeel
{

/// Sliding window of the 64 sequence numbers up to the highest accepted one, as
/// in RFC 4303.
class replay_window
{
public:
    /// Window size in sequence numbers, one bit of `seen_` each.
    static constexpr std::uint32_t width = 64;

    /// Returns true and records `sequence` if it is within or above the window
    /// and was not accepted before. Returns false otherwise.
    bool accept(std::uint32_t sequence)
    {
        if (!initialized_ || sequence > highest_sequence_)
        {
            const std::uint32_t advance =
                initialized_ ? sequence - highest_sequence_ : width;
            seen_ = advance < width ? seen_ << advance : 0;
            seen_ |= 1U;
            highest_sequence_ = sequence;
            initialized_ = true;
            return true;
        }
        const std::uint32_t offset = highest_sequence_ - sequence;
        if (offset >= width || ((seen_ >> offset) & 1U) != 0)
        {
            return false;
        }
        seen_ |= std::uint64_t{1} << offset;
        return true;
    }

private:
    std::uint64_t seen_ = 0;
    std::uint32_t highest_sequence_ = 0;
    bool initialized_ = false;
};

} // namespace catkinkeel
