#pragma once

// Entry VMs of the fleet as one VM sees them.

#include "catkinkeel/base/address.hpp"
#include "catkinkeel/base/identifier.hpp"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <vector>

namespace catkinkeel
{

/// What this VM believes of another. `left` is a graceful departure.
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
    /// Where it receives messages of its peers (nng over TCP).
    endpoint control;
    /// Where it receives encapsulated packets (UDP).
    endpoint packets;
    std::uint32_t incarnation = 0;
    liveness state = liveness::alive;
    /// Whether the platform's list names it.
    bool listed = false;

    friend auto operator<=>(const member&, const member&) = default;

    /// A suspect still owns its buckets until it is declared dead.
    [[nodiscard]] bool may_own() const
    {
        return state == liveness::alive || state == liveness::suspect;
    }
};

/// All members known to `self`, which is one of them, ordered by identifier.
struct member_view
{
    vm_id self;
    /// Grows with each change of this VM's view; not comparable between VMs.
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
