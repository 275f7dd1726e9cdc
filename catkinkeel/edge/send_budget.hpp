#pragma once

// Limits the bytes per second of one kind of message.

#include "catkinkeel/base/time.hpp"

#include <algorithm>
#include <compare>
#include <cstddef>

namespace catkinkeel::edge
{

struct send_budget_settings
{
    double bytes_per_second = 500;
    /// Bytes that can be sent at once after a time without messages.
    double burst = 16'000;

    friend auto operator<=>(const send_budget_settings&,
                            const send_budget_settings&) = default;
};

/// Token bucket, full at the start. Not thread-safe.
class send_budget
{
public:
    send_budget(send_budget_settings settings, instant now)
        : settings_(settings), bytes_(settings.burst), refilled_at_(now)
    {
    }

    /// Takes up to `wanted` datagrams of `size` bytes each from the bucket.
    /// Returns how many may be sent.
    std::size_t take(std::size_t wanted, std::size_t size, instant now)
    {
        // `now` does not go back, but a refill must never take bytes away.
        const duration passed = std::max(now - refilled_at_, duration::zero());
        bytes_ = std::min(settings_.burst, bytes_ + settings_.bytes_per_second *
                                                        in_seconds(passed));
        refilled_at_ = now;
        const auto affordable =
            static_cast<std::size_t>(bytes_ / static_cast<double>(size));
        const std::size_t taken = std::min(wanted, affordable);
        bytes_ -= static_cast<double>(taken * size);
        return taken;
    }

private:
    send_budget_settings settings_;
    double bytes_;
    instant refilled_at_;
};

} // namespace catkinkeel::edge
