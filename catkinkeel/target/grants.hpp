#pragma once

// How the steward of a cold target shares its ramp limit with other VMs.
//
// What was granted to a process stays allotted to it until the ramp restarts,
// whether or not the grant has expired: flows placed under it may outlive it,
// and the news of a withdrawal may be lost. Only what a step of the ramp adds
// is divided. So the sum of all limits never exceeds the ramp limit, whatever
// happens to the messages.

#include "catkinkeel/base/identifier.hpp"
#include "catkinkeel/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace catkinkeel
{

/// A grant lapses this long after its request, on the clock of the process that
/// asked. Less than a new steward waits (`steward_bounds::listed_for`) even
/// with clocks whose rates differ by 1 %.
inline constexpr duration grant_life = 10s;
/// Three requests in a row may be lost before a grant lapses.
inline constexpr duration request_period = 3s;
/// A process that has not asked for this long gets no part of further steps.
inline constexpr duration request_life = 8s;
/// More would exceed the 2 KB/s of control traffic: each costs the steward
/// about 80 bytes in `request_period`.
inline constexpr std::size_t most_claimants = 32;
/// Processes to which a book remembers grants, over all restarts of VMs.
inline constexpr std::size_t most_remembered_claimants = 256;
/// Stewards that are asked, in each period; 12 letters of 250 bytes are 1 KB/s.
inline constexpr std::size_t most_request_letters = 12;
inline constexpr std::size_t most_requests_in_letter = 16;
/// `grant_request::part` of a VM that expects all traffic.
inline constexpr std::uint16_t whole_part = 1000;

/// Tells which part of a target's traffic this VM expects.
class traffic_demand
{
public:
    virtual ~traffic_demand() = default;

    /// In [0, 1]; the parts of all VMs sum to at most 1.
    [[nodiscard]] virtual double part_of(target_id id) const = 0;
};

/// A process that asked for grants on one target.
struct claimant
{
    vm_id vm;
    std::uint64_t session = 0;
    /// Of its latest request, on its clock.
    std::uint64_t stamp = 0;
    std::uint16_t part = 0;
    instant asked;
    /// Flows that it may hold.
    std::uint32_t limit = 0;
    /// Whether it was told its limit since it asked and since the last step.
    bool answered = false;

    friend bool operator==(const claimant&, const claimant&) = default;

    [[nodiscard]] bool asks(instant now) const
    {
        return now - asked <= request_life;
    }
};

/// The division of one cold target's ramp limit.
struct grant_book
{
    /// Ramp limit that was divided, 0 before the first step.
    std::uint32_t limit = 0;
    /// The steward's own expected part in thousandths.
    std::uint16_t own_part = whole_part;
    std::vector<claimant> claimants;

    friend bool operator==(const grant_book&, const grant_book&) = default;

    [[nodiscard]] std::uint32_t given() const;
    /// Flows that the steward itself may hold.
    [[nodiscard]] std::uint32_t own() const
    {
        return limit - given();
    }
    /// The ramp begins anew; requests are kept.
    [[nodiscard]] grant_book without_grants() const;
    /// A request has arrived. A later request of the same process replaces it;
    /// an earlier one is ignored.
    [[nodiscard]] grant_book with_request(claimant from, instant now) const;
};

/// What a division depends on.
struct ramp_step
{
    /// The ramp limit on all flows.
    std::uint32_t limit = 0;
    std::uint32_t capacity = 0;
    /// Connections that the target reports.
    std::uint32_t carried = 0;
    /// Chooses who gets single flows where the step is too small to divide.
    std::uint64_t seed = 0;
};

/// Divides what the step adds to the limit in proportion to the parts. Limits
/// never shrink. A limit is at most the claimant's part of the capacity, so
/// that limits and the shares of a warm target together stay below it.
/// Connections that the limit so far does not explain are not divided.
grant_book with_step(const grant_book& book, const ramp_step& step,
                     instant now);

/// A grant as its receiver holds it.
struct held_grant
{
    std::uint64_t instance = 0;
    std::uint32_t limit = 0;
    /// When this VM asked for it.
    instant asked;

    friend bool operator==(const held_grant&, const held_grant&) = default;

    /// 0 once it has lapsed or for another start of the target.
    [[nodiscard]] std::uint32_t limit_at(std::optional<std::uint64_t> present,
                                         instant now) const
    {
        return present == instance && now - asked < grant_life ? limit : 0;
    }
};

} // namespace catkinkeel
