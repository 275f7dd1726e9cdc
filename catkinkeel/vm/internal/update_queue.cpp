#include "catkinkeel/vm/internal/update_queue.hpp"

#include <algorithm>

namespace catkinkeel::internal
{

void update_queue::add(vm_id id)
{
    erase(id);
    entries_.insert(entries_.begin(), entry{id, 0});
}

void update_queue::erase(vm_id id)
{
    std::erase_if(entries_, [&](const entry& e) { return e.id == id; });
}

std::vector<vm_id> update_queue::take_least_sent(std::size_t count,
                                                 unsigned max_transmissions)
{
    std::ranges::stable_sort(entries_, {}, &entry::transmissions);
    count = std::min(count, entries_.size());
    std::vector<vm_id> taken;
    for (std::size_t i = 0; i < count; ++i)
    {
        taken.push_back(entries_[i].id);
        ++entries_[i].transmissions;
    }
    std::erase_if(entries_, [&](const entry& e)
                  { return e.transmissions >= max_transmissions; });
    return taken;
}

} // namespace catkinkeel::internal
