#include "catkinkeel/event/audit_trail.hpp"

#include <algorithm>
#include <utility>

namespace catkinkeel
{

audit_trail::audit_trail(std::size_t capacity)
    : capacity_(std::max<std::size_t>(capacity, 1))
{
}

bool audit_trail::add(event_record event, change_origin origin)
{
    const event_definition* definition = find_event(event.number);
    if (definition == nullptr || definition->change == change_kind::none)
    {
        return false;
    }
    const std::scoped_lock lock(mutex_);
    if (entries_.size() == capacity_)
    {
        entries_.pop_front();
    }
    entries_.push_back({++last_sequence_, std::move(event), std::move(origin)});
    return true;
}

std::vector<audit_entry> audit_trail::entries(std::uint64_t after,
                                              std::size_t limit) const
{
    const std::scoped_lock lock(mutex_);
    const auto first =
        std::ranges::upper_bound(entries_, after, {}, &audit_entry::sequence);
    const auto count = std::min(
        limit, static_cast<std::size_t>(std::distance(first, entries_.end())));
    return {entries_.end() - static_cast<std::ptrdiff_t>(count),
            entries_.end()};
}

std::uint64_t audit_trail::dropped() const
{
    const std::scoped_lock lock(mutex_);
    return last_sequence_ - entries_.size();
}

} // namespace catkinkeel
