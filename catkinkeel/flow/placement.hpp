#pragma once

// Target selection for new flows. Placement tables are pure functions of the
// published set, so all VMs compute the same tables without exchanging
// messages.
//
// Example:
//   const placement_plan plan(set, data_centre_group(set, own), {});
//   if (const placement_table_ptr table = plan.table(service, home))
//       std::optional<target_id> target = choose_target(*table, hash);

#include "catkinkeel/contract/published_set.hpp"
#include "catkinkeel/flow/messages.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace catkinkeel
{

/// Targets of one service with effective weights, for the buckets of one home
/// data centre; ordered by target.
struct placement_table
{
    service_id service;
    std::vector<weighted_target> targets;

    friend auto operator<=>(const placement_table&,
                            const placement_table&) = default;
};

using placement_table_ptr = std::shared_ptr<const placement_table>;

/// Selects the target of a flow with this `hash_flow` by weighted rendezvous
/// hashing. Uses only integer arithmetic, so that every build gets the same
/// result. Nullopt if the table is empty. O(targets).
std::optional<target_id> choose_target(const placement_table& table,
                                       std::uint64_t hash);

/// Computes the table of a service for one home data centre. Targets in the
/// home data centre get as many of its flows as their weight allows; the rest
/// goes to data centres with spare capacity. If every home data centre has an
/// equal share of the flows, targets of equal weight have equal expected load.
placement_table make_placement_table(const published_set& set,
                                     service_id service, data_centre_id home,
                                     std::span<const data_centre> group);

/// The tables of a whole set for one group of data centres. Immutable.
class placement_plan
{
public:
    /// An empty plan.
    placement_plan() = default;

    /// Tables equal to those of `previous` are shared with it, so that changed
    /// tables can be found by comparing pointers. O(targets x data centres).
    placement_plan(const published_set& set, std::vector<data_centre> group,
                   const placement_plan& previous);

    /// Null if the service is not in the set or has no target for new flows.
    [[nodiscard]] placement_table_ptr table(service_id service,
                                            data_centre_id home) const;

    [[nodiscard]] const std::vector<data_centre>& group() const
    {
        return group_;
    }

private:
    std::vector<data_centre> group_;
    std::unordered_map<std::uint64_t, placement_table_ptr> tables_;
};

using placement_plan_ptr = std::shared_ptr<const placement_plan>;

} // namespace catkinkeel
