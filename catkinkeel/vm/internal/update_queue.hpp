#pragma once

// Queue of the VMs whose states are to be gossiped, with the number of times
// that each was sent.

#include "catkinkeel/base/identifier.hpp"

#include <cstddef>
#include <vector>

namespace catkinkeel::internal
{

/// Holds identifiers only. The state of a VM is read when it is sent, so that
/// always the latest one is sent.
class update_queue
{
public:
    /// Queues the VM's state and resets the number of times it was sent.
    void add(vm_id id);
    void erase(vm_id id);

    /// Returns the `count` VMs sent least often and counts each as sent once
    /// more. A VM sent `max_transmissions` times leaves the queue.
    std::vector<vm_id> take_least_sent(std::size_t count,
                                       unsigned max_transmissions);

    [[nodiscard]] std::size_t size() const
    {
        return entries_.size();
    }

private:
    struct entry
    {
        vm_id id;
        unsigned transmissions = 0;
    };

    std::vector<entry> entries_;
};

} // namespace catkinkeel::internal
