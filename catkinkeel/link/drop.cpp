#include "catkinkeel/link/drop.hpp"

namespace catkinkeel
{

namespace
{

constexpr std::array<std::string_view, drop_reason_count> names{
    "oversized",    "malformed",      "unknown_format",
    "unknown_type", "unknown_sender", "unknown_key",
    "bad_mac",      "replayed",       "ring_full"};

} // namespace

std::string_view to_string(drop_reason reason)
{
    return names.at(static_cast<std::size_t>(reason));
}

void drop_log::count(drop_reason reason, std::optional<vm_id> claimed_sender)
{
    entry& counted = entries_.at(static_cast<std::size_t>(reason));
    ++counted.total;
    counted.claimed_sender = claimed_sender;
}

std::vector<drop_report> drop_log::due(instant now)
{
    std::vector<drop_report> reports;
    for (std::size_t i = 0; i < entries_.size(); ++i)
    {
        entry& each = entries_.at(i);
        if (each.total == each.reported ||
            (each.last_report && now - *each.last_report < period_))
        {
            continue;
        }
        reports.push_back({static_cast<drop_reason>(i),
                           each.total - each.reported, each.claimed_sender});
        each.reported = each.total;
        each.last_report = now;
    }
    return reports;
}

std::uint64_t drop_log::total(drop_reason reason) const
{
    return entries_.at(static_cast<std::size_t>(reason)).total;
}

} // namespace catkinkeel
