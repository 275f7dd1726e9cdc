#pragma once

// Division of a cold target's ramp limit between its steward and other VMs.
//
// A limit granted to a process stays allotted to it until the ramp restarts,
// whether or not the grant has expired: flows placed under it may outlive it,
// and a message that withdraws it may be lost. Only the increase of each ramp
// step is divided. So the sum of all limits never exceeds the ramp limit,
// whatever messages are lost.

#include "catkinkeel/base/identifier.hpp"
#include "catkinkeel/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace catkinkeel
{

/// A grant expires this long after its request, on the clock of the requesting
/// process.
/// This is less than a new steward waits
/// (`steward_bounds::min_listed_duration`), even with clocks whose rates
/// differ by 1 %.
inline constexpr duration grant_lifetime = 10s;
/// Three consecutive requests may be lost before a grant expires.
inline constexpr duration request_period = 3s;
/// A process that has sent no request for this long gets no share of further
/// steps.
inline constexpr duration request_lifetime = 8s;
/// More requesters would exceed the 2 KB/s of control traffic: each costs the
/// steward about 80 bytes per `request_period`.
inline constexpr std::size_t max_active_requesters = 32;
/// Processes whose grants a ledger keeps, including former processes of
/// restarted VMs.
inline constexpr std::size_t max_remembered_requesters = 256;
/// Stewards to which requests are sent in each period; 12 messages of 250
/// bytes are 1 KB/s.
inline constexpr std::size_t max_request_messages = 12;
inline constexpr std::size_t max_requests_per_message = 16;
/// `grant_request::share_permille` of a VM that expects all traffic of the
/// target.
inline constexpr std::uint16_t full_share_permille = 1000;

/// Provides the share of each target's traffic that this VM expects.
class traffic_demand
{
public:
    virtual ~traffic_demand() = default;

    /// In [0, 1]; the shares of all VMs sum to at most 1.
    [[nodiscard]] virtual double expected_share(target_id id) const = 0;
};

/// A process that requested grants on one target.
struct grant_requester
{
    vm_id vm;
    std::uint64_t session = 0;
    /// Time of its latest request in milliseconds on its own clock.
    std::uint64_t request_time_ms = 0;
    std::uint16_t share_permille = 0;
    instant requested_at;
    /// Its granted limit: the number of flows that it may hold.
    std::uint32_t limit = 0;
    /// Whether its limit was sent to it after its latest request and after the
    /// last ramp step.
    bool grant_sent = false;

    friend bool operator==(const grant_requester&,
                           const grant_requester&) = default;

    [[nodiscard]] bool is_requesting(instant now) const
    {
        return now - requested_at <= request_lifetime;
    }
};

/// Division of one cold target's ramp limit.
struct grant_ledger
{
    /// Ramp limit divided so far, 0 before the first step.
    std::uint32_t ramp_limit = 0;
    /// Share of the traffic that the steward itself expects, in thousandths.
    std::uint16_t steward_share = full_share_permille;
    std::vector<grant_requester> requesters;

    friend bool operator==(const grant_ledger&, const grant_ledger&) = default;

    [[nodiscard]] std::uint32_t granted_total() const;
    /// Number of flows that the steward itself may hold.
    [[nodiscard]] std::uint32_t steward_limit() const
    {
        return ramp_limit - granted_total();
    }
    /// The ledger after a restart of the ramp: all limits are 0, requests are
    /// kept.
    [[nodiscard]] grant_ledger reset_for_new_ramp() const;
    /// The ledger after a request. A later request of the same process
    /// replaces the previous one; an earlier request is ignored.
    [[nodiscard]] grant_ledger after_request(grant_requester from,
                                             instant now) const;
};

/// Inputs to the division of one ramp step.
struct ramp_step
{
    /// Limit on the flows of all VMs together.
    std::uint32_t ramp_limit = 0;
    std::uint32_t capacity = 0;
    /// Number of connections that the target reports.
    std::uint32_t reported_connections = 0;
    /// Seed that selects who gets the single flows that remain after the
    /// proportional division.
    std::uint64_t seed = 0;
};

/// Divides the increase of the ramp limit in proportion to the expected
/// shares. Limits never shrink. A limit is at most the requester's share of
/// the capacity, so that these limits and the shares of VMs that use the
/// target as warm together stay below the capacity. If the target reports more
/// connections than the previous limit, only the part of the new limit above
/// those connections and the limits already granted is divided.
grant_ledger after_ramp_step(const grant_ledger& ledger, const ramp_step& step,
                             instant now);

/// A grant that this VM received.
struct received_grant
{
    std::uint64_t instance = 0;
    std::uint32_t limit = 0;
    /// When this VM sent the request.
    instant requested_at;

    friend bool operator==(const received_grant&,
                           const received_grant&) = default;

    /// The limit, or 0 if the grant has expired or is for another instance of
    /// the target.
    [[nodiscard]] std::uint32_t
    usable_limit(std::optional<std::uint64_t> current_instance,
                 instant now) const
    {
        return current_instance == instance &&
                       now - requested_at < grant_lifetime
                   ? limit
                   : 0;
    }
};

} // namespace catkinkeel
