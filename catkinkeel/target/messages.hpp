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

/// A VM's request for a part of the ramp limit of a cold target.
struct grant_request
{
    target_id id;
    /// The VM's expected part of the target's traffic in thousandths.
    std::uint16_t part = 0;

    friend auto operator<=>(const grant_request&,
                            const grant_request&) = default;
};

/// Requests of one process to a steward.
struct grant_requests
{
    /// Identifies the process that asks.
    std::uint64_t session = 0;
    /// When it asked, in milliseconds of its own clock.
    std::uint64_t stamp = 0;
    std::vector<grant_request> wanted;

    friend bool operator==(const grant_requests&,
                           const grant_requests&) = default;
};

/// The receiver may hold at most `limit` flows on this start of a cold target.
struct target_grant
{
    target_id id;
    std::uint64_t instance = 0;
    std::uint32_t limit = 0;

    friend auto operator<=>(const target_grant&, const target_grant&) = default;
};

/// Answer to the requests of one process. `session` and `stamp` are those of
/// the requests, so that the receiver counts the life of the grants from the
/// moment at which it asked, however late they arrive.
struct target_grants
{
    std::uint64_t session = 0;
    std::uint64_t stamp = 0;
    std::vector<target_grant> given;

    friend bool operator==(const target_grants&,
                           const target_grants&) = default;
};

/// Changes of targets' states. The changes are the same for all receivers, the
/// requests and grants are for one.
struct target_news
{
    std::vector<target_status> changes;
    grant_requests requests;
    target_grants grants;

    [[nodiscard]] bool empty() const
    {
        return changes.empty() && requests.wanted.empty() &&
               grants.given.empty();
    }

    friend bool operator==(const target_news&, const target_news&) = default;
};

} // namespace catkinkeel
