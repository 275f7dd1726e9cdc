#include "catkinkeel/target/steward.hpp"

#include "catkinkeel/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace catkinkeel
{

namespace
{

// Makes these ranks independent of other rendezvous hashes.
constexpr std::uint64_t rank_salt = 0x73746577617264ULL;

template <class Predicate>
std::optional<vm_id> highest_ranked(target_id for_target,
                                    std::span<const possibly_alive_vm> vms,
                                    Predicate is_eligible)
{
    std::optional<std::pair<std::uint64_t, vm_id>> best;
    const std::uint64_t seed = hash_pair(rank_salt, for_target.value);
    for (const possibly_alive_vm& each : vms)
    {
        if (is_eligible(each))
        {
            const std::pair rank(hash_pair(seed, each.id.value), each.id);
            best = best ? std::max(*best, rank) : rank;
        }
    }
    return best ? std::optional(best->second) : std::nullopt;
}

bool is_recent(std::optional<instant> recorded_at, duration limit, instant now)
{
    return recorded_at && now - *recorded_at <= limit;
}

template <class Predicate>
bool all_others(const steward_view& view, Predicate holds)
{
    return std::ranges::all_of(view.possibly_alive,
                               [&](const possibly_alive_vm& each)
                               {
                                   return each.id == view.self ||
                                          each.data_centre !=
                                              view.data_centre ||
                                          holds(each);
                               });
}

bool listed_long_enough(const steward_view& view, const steward_bounds& bounds)
{
    return view.list_as_of && view.listed_since &&
           *view.list_as_of - *view.listed_since >= bounds.min_listed_duration;
}

} // namespace

std::optional<vm_id> steward_of(target_id for_target,
                                data_centre_id data_centre,
                                std::span<const possibly_alive_vm> vms)
{
    return highest_ranked(for_target, vms,
                          [data_centre](const possibly_alive_vm& vm)
                          { return vm.data_centre == data_centre; });
}

std::optional<vm_id> poller_of(target_id for_target, data_centre_id data_centre,
                               std::span<const possibly_alive_vm> vms)
{
    return highest_ranked(for_target, vms,
                          [data_centre](const possibly_alive_vm& vm) {
                              return vm.data_centre == data_centre && vm.alive;
                          });
}

bool may_act_by_either_condition(const steward_view& view,
                                 const steward_bounds& bounds, instant now)
{
    const bool view_complete =
        is_recent(view.list_as_of, bounds.max_list_age, now) ||
        all_others(
            view, [&](const possibly_alive_vm& vm)
            { return is_recent(vm.last_received, bounds.max_list_age, now); });
    return view_complete &&
           (listed_long_enough(view, bounds) ||
            all_others(view, [](const possibly_alive_vm& vm)
                       { return vm.last_acknowledged.has_value(); }));
}

bool may_act_as_steward(const steward_view& view, const steward_bounds& bounds,
                        instant now)
{
    return is_recent(view.list_as_of, bounds.max_list_age, now) &&
           listed_long_enough(view, bounds);
}

double steward_rule::ramp_share(const target& for_target,
                                std::optional<vm_id> steward,
                                const steward_view& view, instant now) const
{
    return for_target.data_centre == view.data_centre && steward == view.self &&
                   may_act_(view, bounds_, now)
               ? 1.0
               : 0.0;
}

} // namespace catkinkeel
