#include "catkinkeel/link/byte_budget.hpp"

#include <algorithm>

namespace catkinkeel
{

namespace
{

constexpr std::int64_t fraction = 1'000'000'000;

std::int64_t scaled(byte_count bytes)
{
    return static_cast<std::int64_t>(bytes.value) * fraction;
}

} // namespace

std::int64_t byte_budget::level_at(instant now) const
{
    const std::int64_t full = scaled(terms_.burst);
    if (!filled_at_)
    {
        return full;
    }
    const std::int64_t elapsed =
        std::max(now - *filled_at_, duration(0)).count();
    const auto rate = static_cast<std::int64_t>(terms_.per_second.value);
    // Avoids an overflow after a long idle time.
    if (elapsed >= (full - level_) / std::max<std::int64_t>(rate, 1))
    {
        return rate == 0 ? level_ : full;
    }
    return level_ + elapsed * rate;
}

std::int64_t byte_budget::needed(byte_count payload) const
{
    return std::min(scaled(payload + header_cost), scaled(terms_.burst));
}

bool byte_budget::allows(byte_count payload, message_priority priority,
                         instant now)
{
    const std::int64_t level = level_at(now);
    const bool allowed = priority == message_priority::urgent
                             ? level > -scaled(terms_.urgent_debt)
                             : level >= needed(payload);
    refused_ += allowed ? 0 : 1;
    return allowed;
}

void byte_budget::spend(byte_count payload, instant now)
{
    const byte_count cost = payload + header_cost;
    level_ = level_at(now) - scaled(cost);
    filled_at_ = filled_at_ ? std::max(now, *filled_at_) : now;
    spent_ = spent_ + cost;
}

instant byte_budget::earliest(byte_count payload, instant now) const
{
    const std::int64_t missing = needed(payload) - level_at(now);
    const auto rate = std::max<std::int64_t>(
        static_cast<std::int64_t>(terms_.per_second.value), 1);
    return missing <= 0 ? now : now + duration((missing + rate - 1) / rate);
}

} // namespace catkinkeel
