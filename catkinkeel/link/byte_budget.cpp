#include "catkinkeel/link/byte_budget.hpp"

#include <algorithm>

namespace catkinkeel
{

namespace
{

// Units of the bucket level: one billionth of a byte.
constexpr std::int64_t units_per_byte = 1'000'000'000;

std::int64_t to_units(byte_count bytes)
{
    return static_cast<std::int64_t>(bytes.value) * units_per_byte;
}

} // namespace

std::int64_t byte_budget::level_at(instant now) const
{
    const std::int64_t full_level = to_units(settings_.burst);
    if (!level_updated_at_)
    {
        return full_level;
    }
    const std::int64_t elapsed =
        std::max(now - *level_updated_at_, duration(0)).count();
    const auto rate =
        static_cast<std::int64_t>(settings_.bytes_per_second.value);
    // The product below would overflow after a long idle time.
    if (elapsed >= (full_level - level_) / std::max<std::int64_t>(rate, 1))
    {
        return rate == 0 ? level_ : full_level;
    }
    return level_ + elapsed * rate;
}

std::int64_t byte_budget::required_level(byte_count payload) const
{
    return std::min(to_units(payload + header_overhead),
                    to_units(settings_.burst));
}

bool byte_budget::allows(byte_count payload, message_priority priority,
                         instant now)
{
    const std::int64_t level = level_at(now);
    const bool allowed = priority == message_priority::urgent
                             ? level > -to_units(settings_.max_urgent_debt)
                             : level >= required_level(payload);
    refused_count_ += allowed ? 0 : 1;
    return allowed;
}

void byte_budget::spend(byte_count payload, instant now)
{
    const byte_count cost = payload + header_overhead;
    level_ = level_at(now) - to_units(cost);
    level_updated_at_ =
        level_updated_at_ ? std::max(now, *level_updated_at_) : now;
    spent_bytes_ = spent_bytes_ + cost;
}

instant byte_budget::earliest_send_time(byte_count payload, instant now) const
{
    const std::int64_t deficit = required_level(payload) - level_at(now);
    const auto rate = std::max<std::int64_t>(
        static_cast<std::int64_t>(settings_.bytes_per_second.value), 1);
    return deficit <= 0 ? now : now + duration((deficit + rate - 1) / rate);
}

} // namespace catkinkeel
