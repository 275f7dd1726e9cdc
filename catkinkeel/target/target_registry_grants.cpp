// Grant requests and grants of the target registry.

#include "catkinkeel/base/hash.hpp"
#include "catkinkeel/target/target_registry.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>
#include <utility>

namespace catkinkeel
{

namespace
{

constexpr std::uint64_t request_order_salt = 0x6772616e74ULL;

/// Milliseconds, rounded down so that the value is never later than the
/// request.
std::uint64_t to_stamp(instant now)
{
    return static_cast<std::uint64_t>(
        std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch())
            .count());
}

instant to_instant(std::uint64_t request_time_ms)
{
    return instant(
        std::chrono::milliseconds(static_cast<std::int64_t>(request_time_ms)));
}

std::uint16_t to_permille(double share)
{
    return static_cast<std::uint16_t>(
        std::floor(full_share_permille * std::clamp(share, 0.0, 1.0)));
}

} // namespace

/// Share of the ramp limit that this VM may use as steward; 0 on other VMs and
/// after a pause of the process.
double target_registry::own_ramp_share(const entry& target_entry,
                                       instant now) const
{
    const std::optional<ramp>& steward_ramp =
        target_entry.observed_state.steward_ramp;
    return steward_ramp && now - steward_ramp->confirmed_at <=
                               ramp::max_confirmation_gap
               ? rule_->ramp_share(target_entry.definition,
                                   target_entry.steward, view_, now)
               : 0.0;
}

void target_registry::divide_ramp(target_id id, entry& each, instant now)
{
    if (!each.observed_state.steward_ramp ||
        each.observed_state.steward_ramp->step == 0)
    {
        if (each.ledger.ramp_limit > 0)
        {
            each.ledger = each.ledger.reset_for_new_ramp();
        }
        return;
    }
    const std::uint32_t ramp_limit =
        each.observed_state.steward_ramp->limit(each.definition.connections);
    const auto limit = static_cast<std::uint32_t>(std::floor(
        ramp_limit * std::clamp(own_ramp_share(each, now), 0.0, 1.0)));
    each.ledger = after_ramp_step(
        each.ledger,
        {.ramp_limit = limit,
         .capacity = each.definition.connections,
         .reported_connections = each.observed_state.connections,
         .seed = id.value},
        now);
}

void target_registry::apply_requests(vm_id from, const grant_requests& requests,
                                     instant now)
{
    for (const grant_request& request : requests.entries)
    {
        const auto found = entries_.find(request.id);
        if (found == entries_.end() || !polled_here(found->second) ||
            found->second.observed_state.warm ||
            request.share_permille > full_share_permille)
        {
            continue;
        }
        grant_ledger& ledger = found->second.ledger;
        ledger =
            ledger.after_request({.vm = from,
                                  .session = requests.session,
                                  .request_time_ms = requests.request_time_ms,
                                  .share_permille = request.share_permille,
                                  .requested_at = now},
                                 now);
    }
}

void target_registry::apply_grants(const target_grants& grants, instant now)
{
    if (grants.session != session_ || grants.request_time_ms > to_stamp(now))
    {
        return;
    }
    const instant requested_at = to_instant(grants.request_time_ms);
    for (const target_grant& grant : grants.entries)
    {
        const auto found = entries_.find(grant.id);
        if (found == entries_.end() ||
            (found->second.grant &&
             requested_at < found->second.grant->requested_at))
        {
            continue;
        }
        found->second.grant =
            received_grant{grant.instance, grant.limit, requested_at};
    }
}

std::map<vm_id, target_update>
target_registry::take_grant_updates(const traffic_demand& demand, instant now)
{
    std::map<vm_id, target_update> updates;
    if (!last_request_ || now - *last_request_ >= request_period)
    {
        last_request_ = now;
        take_requests(demand, now, updates);
    }
    take_grants(now, updates);
    return updates;
}

void target_registry::take_requests(
    const traffic_demand& demand, instant now,
    std::map<vm_id, target_update>& updates_by_vm)
{
    std::map<vm_id, std::vector<grant_request>> requests_by_steward;
    for (auto& [id, each] : entries_)
    {
        if (!each.data_centre_in_service || each.observed_state.warm ||
            !each.steward || each.definition.wish != target_wish::serve ||
            each.observed_state.state == report_state::draining)
        {
            continue;
        }
        const std::uint16_t share = to_permille(demand.expected_share(id));
        if (each.steward == view_.self)
        {
            each.ledger.steward_share = share;
        }
        else if (share > 0)
        {
            requests_by_steward[*each.steward].push_back({id, share});
        }
    }
    // Selects the same stewards in each period, since a grant expires unless
    // it is requested again.
    std::vector<vm_id> order;
    std::ranges::transform(requests_by_steward, std::back_inserter(order),
                           [](const auto& item) { return item.first; });
    const std::uint64_t seed = hash_pair(request_order_salt, view_.self.value);
    std::ranges::sort(order, {},
                      [seed](vm_id vm) { return hash_pair(seed, vm.value); });
    order.resize(std::min(order.size(), max_request_messages));
    for (const vm_id steward : order)
    {
        std::vector<grant_request>& list = requests_by_steward[steward];
        std::ranges::sort(list);
        list.resize(std::min(list.size(), max_requests_per_message));
        updates_by_vm[steward].requests = {session_, to_stamp(now),
                                           std::move(list)};
    }
}

void target_registry::take_grants(instant now,
                                  std::map<vm_id, target_update>& updates_by_vm)
{
    for (const target_id id : polled_targets_)
    {
        entry& each = entries_.at(id);
        if (each.ledger.ramp_limit == 0 || !each.observed_state.instance ||
            own_ramp_share(each, now) <= 0.0)
        {
            continue;
        }
        for (grant_requester& requester : each.ledger.requesters)
        {
            target_grants& grants = updates_by_vm[requester.vm].grants;
            const bool other_process =
                !grants.entries.empty() && grants.session != requester.session;
            if (requester.grant_sent || requester.limit == 0 ||
                !requester.is_requesting(now) || other_process)
            {
                continue;
            }
            // All grants of a message expire with the earliest of their
            // requests.
            grants.request_time_ms = grants.entries.empty()
                                         ? requester.request_time_ms
                                         : std::min(grants.request_time_ms,
                                                    requester.request_time_ms);
            grants.session = requester.session;
            grants.entries.push_back(
                {id, *each.observed_state.instance, requester.limit});
            requester.grant_sent = true;
        }
    }
}

} // namespace catkinkeel
