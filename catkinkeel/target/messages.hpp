#pragma once

// Messages about backend servers that VMs exchange: states of targets,
// requests for grants, and grants.

#include "catkinkeel/base/identifier.hpp"

#include <compare>
#include <cstdint>
#include <vector>

namespace catkinkeel
{

/// State of a target as the VM that polls it last read it.
struct target_status
{
    target_id id;
    /// Identifies one start of the backend server. A target with a new value
    /// is cold.
    std::uint64_t instance = 0;
    bool draining = false;
    bool reachable = true;
    std::uint32_t connections = 0;
    std::uint32_t busy_slots = 0;
    /// Whether the steward's ramp has reached the full capacity of the target.
    bool warm = false;
    /// Orders the statuses from one sender; a lower number is stale.
    std::uint64_t sequence = 0;

    friend auto operator<=>(const target_status&,
                            const target_status&) = default;
};

/// A VM's request for a share of the ramp limit of a cold target.
struct grant_request
{
    target_id id;
    /// Share of the target's traffic that the VM expects, in thousandths.
    std::uint16_t share_permille = 0;

    friend auto operator<=>(const grant_request&,
                            const grant_request&) = default;
};

/// Grant requests of one process to a steward.
struct grant_requests
{
    /// Identifies the requesting process.
    std::uint64_t session = 0;
    /// Time of the request in milliseconds on the clock of the requesting
    /// process.
    std::uint64_t request_time_ms = 0;
    std::vector<grant_request> entries;

    friend bool operator==(const grant_requests&,
                           const grant_requests&) = default;
};

/// Allows the receiver at most `limit` flows on this instance of a cold
/// target.
struct target_grant
{
    target_id id;
    std::uint64_t instance = 0;
    std::uint32_t limit = 0;

    friend auto operator<=>(const target_grant&, const target_grant&) = default;
};

/// Response to the requests of one process. `session` and `request_time_ms` are
/// copied from the requests, so that the receiver counts the lifetime of the
/// grants from the time of its request, however late they arrive.
struct target_grants
{
    std::uint64_t session = 0;
    std::uint64_t request_time_ms = 0;
    std::vector<target_grant> entries;

    friend bool operator==(const target_grants&,
                           const target_grants&) = default;
};

/// An update to a peer. The status changes are the same for all receivers; the
/// requests and grants are for one receiver.
struct target_update
{
    std::vector<target_status> changes;
    grant_requests requests;
    target_grants grants;

    [[nodiscard]] bool empty() const
    {
        return changes.empty() && requests.entries.empty() &&
               grants.entries.empty();
    }

    friend bool operator==(const target_update&,
                           const target_update&) = default;
};

} // namespace catkinkeel
