#include "catkinkeel/vm/internal/news_queue.hpp"

#include <algorithm>

namespace catkinkeel::internal
{

void news_queue::add(vm_id id)
{
    erase(id);
    entries_.insert(entries_.begin(), entry{id, 0});
}

void news_queue::erase(vm_id id)
{
    std::erase_if(entries_, [&](const entry& e) { return e.id == id; });
}

std::vector<vm_id> news_queue::take(std::size_t count, unsigned limit)
{
    std::ranges::stable_sort(entries_, {}, &entry::sent);
    count = std::min(count, entries_.size());
    std::vector<vm_id> taken;
    for (std::size_t i = 0; i < count; ++i)
    {
        taken.push_back(entries_[i].id);
        ++entries_[i].sent;
    }
    std::erase_if(entries_, [&](const entry& e) { return e.sent >= limit; });
    return taken;
}

} // namespace catkinkeel::internal
