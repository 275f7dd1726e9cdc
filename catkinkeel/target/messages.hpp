#pragma once

// What stewards tell the other VMs about backend servers.

#include "catkinkeel/base/identifier.hpp"

#include <compare>
#include <cstdint>
#include <vector>

namespace catkinkeel
{

/// State of a target as its steward last read it.
struct target_status
{
    target_id id;
    /// Identifies one start of the backend server; a new one means cold.
    std::uint64_t instance = 0;
    bool draining = false;
    bool reachable = true;
    std::uint32_t connections = 0;
    std::uint32_t busy_slots = 0;
    /// Whether the steward's ramp has reached the full capacity.
    bool warm = false;
    /// Orders the reports of one steward; a lower one is stale.
    std::uint64_t sequence = 0;

    friend auto operator<=>(const target_status&,
                            const target_status&) = default;
};

/// Changes of targets' states.
struct target_news
{
    std::vector<target_status> changes;

    friend bool operator==(const target_news&, const target_news&) = default;
};

} // namespace catkinkeel
