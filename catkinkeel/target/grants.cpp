#include "catkinkeel/target/grants.hpp"

#include "catkinkeel/base/hash.hpp"

#include <algorithm>
#include <numeric>

namespace catkinkeel
{

namespace
{

std::uint32_t proportion_of(std::uint32_t amount, std::uint64_t share,
                            std::uint64_t total_share)
{
    return static_cast<std::uint32_t>(amount * share / total_share);
}

/// The amount by which the limits of requesters and steward together may rise.
/// While the target reports no more connections than the previous ramp limit,
/// this is the whole increase. Otherwise some connections belong to no limit of
/// the ledger. They may not be those of the requesters, which can still use
/// their granted limits in full, so both amounts are subtracted.
std::uint32_t distributable_limit(const grant_ledger& ledger,
                                  const ramp_step& step)
{
    if (step.reported_connections <= ledger.ramp_limit)
    {
        return step.ramp_limit - ledger.ramp_limit;
    }
    const std::uint64_t held_or_granted =
        std::uint64_t{step.reported_connections} + ledger.granted_total();
    return held_or_granted < step.ramp_limit
               ? static_cast<std::uint32_t>(step.ramp_limit - held_or_granted)
               : 0;
}

} // namespace

std::uint32_t grant_ledger::granted_total() const
{
    return std::accumulate(requesters.begin(), requesters.end(), 0U,
                           [](std::uint32_t sum, const grant_requester& each)
                           { return sum + each.limit; });
}

grant_ledger grant_ledger::reset_for_new_ramp() const
{
    grant_ledger next = *this;
    next.ramp_limit = 0;
    for (grant_requester& each : next.requesters)
    {
        each.limit = 0;
    }
    return next;
}

grant_ledger grant_ledger::after_request(grant_requester from,
                                         instant now) const
{
    grant_ledger next = *this;
    std::erase_if(next.requesters, [now](const grant_requester& each)
                  { return each.limit == 0 && !each.is_requesting(now); });
    const auto found = std::ranges::find_if(
        next.requesters, [&](const grant_requester& each)
        { return each.vm == from.vm && each.session == from.session; });
    if (found != next.requesters.end())
    {
        if (found->request_time_ms < from.request_time_ms)
        {
            from.limit = found->limit;
            *found = from;
        }
        return next;
    }
    const auto active_requesters =
        static_cast<std::size_t>(std::ranges::count_if(
            next.requesters, [now](const grant_requester& each)
            { return each.is_requesting(now); }));
    if (active_requesters < max_active_requesters &&
        next.requesters.size() < max_remembered_requesters)
    {
        next.requesters.push_back(from);
    }
    return next;
}

grant_ledger after_ramp_step(const grant_ledger& ledger, const ramp_step& step,
                             instant now)
{
    if (step.ramp_limit <= ledger.ramp_limit)
    {
        return ledger;
    }
    grant_ledger next = ledger;
    next.ramp_limit = step.ramp_limit;
    std::uint32_t remaining = distributable_limit(ledger, step);
    std::uint64_t total_share =
        std::max<std::uint64_t>(ledger.steward_share, 1);
    std::vector<grant_requester*> active_requesters;
    for (grant_requester& each : next.requesters)
    {
        if (each.is_requesting(now) && each.share_permille > 0)
        {
            active_requesters.push_back(&each);
            total_share += each.share_permille;
        }
    }
    const auto max_limit = [&](const grant_requester& of)
    {
        return proportion_of(step.capacity, of.share_permille,
                             full_share_permille);
    };
    for (grant_requester* each : active_requesters)
    {
        const std::uint32_t share_limit = std::min(
            proportion_of(step.ramp_limit, each->share_permille, total_share),
            max_limit(*each));
        const std::uint32_t increase = std::min(
            remaining, share_limit - std::min(share_limit, each->limit));
        each->limit += increase;
        remaining -= increase;
        each->grant_sent = false;
    }
    const std::uint32_t steward_share_limit =
        proportion_of(step.ramp_limit, ledger.steward_share, total_share);
    remaining -= std::min(
        remaining, steward_share_limit -
                       std::min(steward_share_limit, ledger.steward_limit()));
    // The remainder is less than one flow per recipient. Hands out single
    // flows to the steward and the requesters in turn, from a starting point
    // that changes with each step.
    const std::size_t recipient_count = active_requesters.size() + 1;
    const std::size_t start =
        hash_pair(step.seed, step.ramp_limit) % recipient_count;
    for (std::size_t i = 0; i < recipient_count && remaining > 0; ++i)
    {
        const std::size_t index = (start + i) % recipient_count;
        if (index == active_requesters.size())
        {
            --remaining;
        }
        else if (active_requesters[index]->limit <
                 max_limit(*active_requesters[index]))
        {
            ++active_requesters[index]->limit;
            --remaining;
        }
    }
    return next;
}

} // namespace catkinkeel
