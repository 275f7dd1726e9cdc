#include "catkinkeel/target/steward.hpp"

#include "catkinkeel/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace catkinkeel
{

namespace
{

// Keeps the ranks apart from those of other rendezvous choices.
constexpr std::uint64_t rank_salt = 0x73746577617264ULL;

template <class Predicate>
std::optional<vm_id> first_ranked(target_id which,
                                  std::span<const possibly_alive_vm> vms,
                                  Predicate counts)
{
    std::optional<std::pair<std::uint64_t, vm_id>> best;
    const std::uint64_t seed = hash_pair(rank_salt, which.value);
    for (const possibly_alive_vm& each : vms)
    {
        if (counts(each))
        {
            const std::pair rank(hash_pair(seed, each.id.value), each.id);
            best = best ? std::max(*best, rank) : rank;
        }
    }
    return best ? std::optional(best->second) : std::nullopt;
}

bool within(std::optional<instant> moment, duration limit, instant now)
{
    return moment && now - *moment <= limit;
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

bool listed_for_long(const steward_view& view, const steward_bounds& bounds)
{
    return view.list_as_of && view.listed_since &&
           *view.list_as_of - *view.listed_since >= bounds.listed_for;
}

} // namespace

std::optional<vm_id> steward_of(target_id which, data_centre_id zone,
                                std::span<const possibly_alive_vm> vms)
{
    return first_ranked(which, vms,
                        [zone](const possibly_alive_vm& vm)
                        { return vm.data_centre == zone; });
}

std::optional<vm_id> poller_of(target_id which, data_centre_id zone,
                               std::span<const possibly_alive_vm> vms)
{
    return first_ranked(which, vms,
                        [zone](const possibly_alive_vm& vm)
                        { return vm.data_centre == zone && vm.alive; });
}

bool may_act_by_either_condition(const steward_view& view,
                                 const steward_bounds& bounds, instant now)
{
    const bool knows_all =
        within(view.list_as_of, bounds.list_age, now) ||
        all_others(view, [&](const possibly_alive_vm& vm)
                   { return within(vm.heard, bounds.list_age, now); });
    return knows_all && (listed_for_long(view, bounds) ||
                         all_others(view, [](const possibly_alive_vm& vm)
                                    { return vm.acknowledged.has_value(); }));
}

bool may_act_as_steward(const steward_view& view, const steward_bounds& bounds,
                        instant now)
{
    return within(view.list_as_of, bounds.list_age, now) &&
           listed_for_long(view, bounds);
}

double steward_rule::part(const target& which, std::optional<vm_id> steward,
                          const steward_view& view, instant now) const
{
    return which.data_centre == view.data_centre && steward == view.self &&
                   may_act_(view, bounds_, now)
               ? 1.0
               : 0.0;
}

} // namespace catkinkeel
