// Requests for grants and grants of the target registry.

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

constexpr std::uint64_t letter_salt = 0x6772616e74ULL;

/// Milliseconds, rounded down: a stamp is never later than the request.
std::uint64_t stamp_of(instant now)
{
    return static_cast<std::uint64_t>(
        std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch())
            .count());
}

instant moment_of(std::uint64_t stamp)
{
    return instant(std::chrono::milliseconds(static_cast<std::int64_t>(stamp)));
}

std::uint16_t thousandths(double part)
{
    return static_cast<std::uint16_t>(
        std::floor(whole_part * std::clamp(part, 0.0, 1.0)));
}

} // namespace

/// The steward's part of the ramp limit, 0 for other VMs and after a pause.
double target_registry::acting_part(const entry& from, instant now) const
{
    const std::optional<ramp>& tenure = from.known.tenure;
    return tenure && now - tenure->confirmed <= ramp::longest_gap
               ? rule_->part(from.published, from.steward, view_, now)
               : 0.0;
}

void target_registry::divide_ramp(target_id id, entry& each, instant now)
{
    if (!each.known.tenure || each.known.tenure->step == 0)
    {
        if (each.book.limit > 0)
        {
            each.book = each.book.without_grants();
        }
        return;
    }
    const std::uint32_t whole =
        each.known.tenure->limit(each.published.connections);
    const auto limit = static_cast<std::uint32_t>(
        std::floor(whole * std::clamp(acting_part(each, now), 0.0, 1.0)));
    each.book = with_step(each.book,
                          {.limit = limit,
                           .capacity = each.published.connections,
                           .carried = each.known.connections,
                           .seed = id.value},
                          now);
}

void target_registry::apply_requests(vm_id from, const grant_requests& requests,
                                     instant now)
{
    for (const grant_request& wanted : requests.wanted)
    {
        const auto found = entries_.find(wanted.id);
        if (found == entries_.end() || !polled_here(found->second) ||
            found->second.known.warm || wanted.part > whole_part)
        {
            continue;
        }
        grant_book& book = found->second.book;
        book = book.with_request({.vm = from,
                                  .session = requests.session,
                                  .stamp = requests.stamp,
                                  .part = wanted.part,
                                  .asked = now},
                                 now);
    }
}

void target_registry::apply_grants(const target_grants& grants, instant now)
{
    if (grants.session != session_ || grants.stamp > stamp_of(now))
    {
        return;
    }
    const instant asked = moment_of(grants.stamp);
    for (const target_grant& given : grants.given)
    {
        const auto found = entries_.find(given.id);
        if (found == entries_.end() ||
            (found->second.grant && asked < found->second.grant->asked))
        {
            continue;
        }
        found->second.grant = held_grant{given.instance, given.limit, asked};
    }
}

std::map<vm_id, target_news>
target_registry::take_grant_news(const traffic_demand& demand, instant now)
{
    std::map<vm_id, target_news> letters;
    if (!requested_ || now - *requested_ >= request_period)
    {
        requested_ = now;
        take_requests(demand, now, letters);
    }
    take_grants(now, letters);
    return letters;
}

void target_registry::take_requests(const traffic_demand& demand, instant now,
                                    std::map<vm_id, target_news>& into)
{
    std::map<vm_id, std::vector<grant_request>> wanted;
    for (auto& [id, each] : entries_)
    {
        if (!each.open || each.known.warm || !each.steward ||
            each.published.wish != target_wish::serve ||
            each.known.state == report_state::draining)
        {
            continue;
        }
        const std::uint16_t part = thousandths(demand.part_of(id));
        if (each.steward == view_.self)
        {
            each.book.own_part = part;
        }
        else if (part > 0)
        {
            wanted[*each.steward].push_back({id, part});
        }
    }
    // Always the same stewards, as a grant lapses when it is not asked for.
    std::vector<vm_id> order;
    std::ranges::transform(wanted, std::back_inserter(order),
                           [](const auto& item) { return item.first; });
    const std::uint64_t seed = hash_pair(letter_salt, view_.self.value);
    std::ranges::sort(order, {},
                      [seed](vm_id vm) { return hash_pair(seed, vm.value); });
    order.resize(std::min(order.size(), most_request_letters));
    for (const vm_id steward : order)
    {
        std::vector<grant_request>& list = wanted[steward];
        std::ranges::sort(list);
        list.resize(std::min(list.size(), most_requests_in_letter));
        into[steward].requests = {session_, stamp_of(now), std::move(list)};
    }
}

void target_registry::take_grants(instant now,
                                  std::map<vm_id, target_news>& into)
{
    for (const target_id id : polled_)
    {
        entry& each = entries_.at(id);
        if (each.book.limit == 0 || !each.known.instance ||
            acting_part(each, now) <= 0.0)
        {
            continue;
        }
        for (claimant& to : each.book.claimants)
        {
            target_grants& grants = into[to.vm].grants;
            const bool other_process =
                !grants.given.empty() && grants.session != to.session;
            if (to.answered || to.limit == 0 || !to.asks(now) || other_process)
            {
                continue;
            }
            // All grants of a letter lapse with the earliest request.
            grants.stamp = grants.given.empty()
                               ? to.stamp
                               : std::min(grants.stamp, to.stamp);
            grants.session = to.session;
            grants.given.push_back({id, *each.known.instance, to.limit});
            to.answered = true;
        }
    }
}

} // namespace catkinkeel
