#pragma once

// One VM's view of the entry VMs of the fleet.

#include "catkinkeel/base/address.hpp"
#include "catkinkeel/base/identifier.hpp"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <vector>

namespace catkinkeel
{

/// State of a VM in the view of this VM. `left` means that it shut down
/// gracefully.
enum class liveness : std::uint8_t
{
    alive,
    suspect,
    dead,
    left
};

/// One entry VM.
struct member
{
    vm_id id;
    data_centre_id data_centre;
    /// Receives messages of its peers (nng over TCP).
    endpoint control;
    /// Receives encapsulated packets (UDP).
    endpoint packets;
    std::uint32_t incarnation = 0;
    liveness state = liveness::alive;
    /// Whether it is on the platform's VM list.
    bool listed = false;

    friend auto operator<=>(const member&, const member&) = default;

    /// Whether the VM is eligible to own buckets. A suspect keeps its buckets
    /// until it is declared dead.
    [[nodiscard]] bool may_own_buckets() const
    {
        return state == liveness::alive || state == liveness::suspect;
    }
};

/// All members that the VM `self` has on record, itself included, ordered by
/// identifier.
struct member_view
{
    vm_id self;
    /// Incremented with each change of the view; not comparable between VMs.
    std::uint64_t revision = 0;
    std::vector<member> members;

    friend bool operator==(const member_view&, const member_view&) = default;

    /// Null if the VM is unknown.
    [[nodiscard]] const member* find(vm_id id) const
    {
        const auto found =
            std::ranges::lower_bound(members, id, {}, &member::id);
        return found != members.end() && found->id == id ? &*found : nullptr;
    }
};

} // namespace catkinkeel
