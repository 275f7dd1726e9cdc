#pragma once

// The platform's list of entry VMs as one immutable value. The list lags behind
// the fleet: it introduces VMs and confirms removals, but absence from it does
// not mean that a VM is dead.

#include "catkinkeel/base/address.hpp"
#include "catkinkeel/base/identifier.hpp"
#include "catkinkeel/base/time.hpp"

#include <compare>
#include <cstdint>
#include <vector>

namespace catkinkeel
{

/// State of a VM according to the platform.
enum class listed_vm_state : std::uint8_t
{
    live,
    leaving
};

/// One entry of the platform's list.
struct listed_vm
{
    vm_id id;
    data_centre_id data_centre;
    endpoint control;
    endpoint packets;
    listed_vm_state state = listed_vm_state::live;

    friend auto operator<=>(const listed_vm&, const listed_vm&) = default;
};

/// The whole list, ordered by identifier, and the time at which it was read.
struct vm_list
{
    instant read_at;
    std::vector<listed_vm> vms;

    friend bool operator==(const vm_list&, const vm_list&) = default;
};

} // namespace catkinkeel
