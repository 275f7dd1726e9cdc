#pragma once

// Which VMs' states are still to be passed on, and how often each has been.

#include "catkinkeel/base/identifier.hpp"

#include <cstddef>
#include <vector>

namespace catkinkeel::internal
{

/// News are named by their VM; the content is read when it is sent, so that
/// only the latest state travels.
class news_queue
{
public:
    /// Queues the VM's state anew, however often it was sent before.
    void add(vm_id id);
    void erase(vm_id id);

    /// The `count` least often sent, each counted as sent once more. One that
    /// was sent `limit` times leaves the queue.
    std::vector<vm_id> take(std::size_t count, unsigned limit);

    [[nodiscard]] std::size_t size() const
    {
        return entries_.size();
    }

private:
    struct entry
    {
        vm_id id;
        unsigned sent = 0;
    };

    std::vector<entry> entries_;
};

} // namespace catkinkeel::internal
