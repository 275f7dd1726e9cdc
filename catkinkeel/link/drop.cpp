#include "catkinkeel/link/drop.hpp"

namespace catkinkeel
{

namespace
{

constexpr std::array<std::string_view, drop_reason_count> reason_names{
    "oversized",    "malformed",      "unknown_format",
    "unknown_type", "unknown_sender", "unknown_key",
    "bad_mac",      "replayed",       "ring_full"};

} // namespace

std::string_view to_string(drop_reason reason)
{
    return reason_names.at(static_cast<std::size_t>(reason));
}

void drop_counter::record(drop_reason reason,
                          std::optional<vm_id> claimed_sender)
{
    reason_state& dropped_reason =
        reason_states_.at(static_cast<std::size_t>(reason));
    ++dropped_reason.total;
    dropped_reason.claimed_sender = claimed_sender;
}

std::vector<drop_report> drop_counter::take_due_reports(instant now)
{
    std::vector<drop_report> reports;
    for (std::size_t i = 0; i < reason_states_.size(); ++i)
    {
        reason_state& state = reason_states_.at(i);
        if (state.total == state.reported ||
            (state.last_report_at &&
             now - *state.last_report_at < report_interval_))
        {
            continue;
        }
        reports.push_back({static_cast<drop_reason>(i),
                           state.total - state.reported, state.claimed_sender});
        state.reported = state.total;
        state.last_report_at = now;
    }
    return reports;
}

std::uint64_t drop_counter::total(drop_reason reason) const
{
    return reason_states_.at(static_cast<std::size_t>(reason)).total;
}

} // namespace catkinkeel
