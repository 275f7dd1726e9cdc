#include "catkinkeel/target/grants.hpp"

#include "catkinkeel/base/hash.hpp"

#include <algorithm>
#include <numeric>

namespace catkinkeel
{

namespace
{

std::uint32_t part_of(std::uint32_t whole, std::uint64_t part,
                      std::uint64_t total)
{
    return static_cast<std::uint32_t>(whole * part / total);
}

/// What may be added to the limits of claimants and steward together.
std::uint32_t addition(const grant_book& book, const ramp_step& step)
{
    if (step.carried <= book.limit)
    {
        return step.limit - book.limit;
    }
    const std::uint64_t taken = std::uint64_t{step.carried} + book.given();
    return taken < step.limit ? static_cast<std::uint32_t>(step.limit - taken)
                              : 0;
}

} // namespace

std::uint32_t grant_book::given() const
{
    return std::accumulate(claimants.begin(), claimants.end(), 0U,
                           [](std::uint32_t sum, const claimant& each)
                           { return sum + each.limit; });
}

grant_book grant_book::without_grants() const
{
    grant_book next = *this;
    next.limit = 0;
    for (claimant& each : next.claimants)
    {
        each.limit = 0;
    }
    return next;
}

grant_book grant_book::with_request(claimant from, instant now) const
{
    grant_book next = *this;
    std::erase_if(next.claimants, [now](const claimant& each)
                  { return each.limit == 0 && !each.asks(now); });
    const auto found = std::ranges::find_if(
        next.claimants, [&](const claimant& each)
        { return each.vm == from.vm && each.session == from.session; });
    if (found != next.claimants.end())
    {
        if (found->stamp < from.stamp)
        {
            from.limit = found->limit;
            *found = from;
        }
        return next;
    }
    const auto asking = static_cast<std::size_t>(
        std::ranges::count_if(next.claimants, [now](const claimant& each)
                              { return each.asks(now); }));
    if (asking < most_claimants &&
        next.claimants.size() < most_remembered_claimants)
    {
        next.claimants.push_back(from);
    }
    return next;
}

grant_book with_step(const grant_book& book, const ramp_step& step, instant now)
{
    if (step.limit <= book.limit)
    {
        return book;
    }
    grant_book next = book;
    next.limit = step.limit;
    std::uint32_t left = addition(book, step);
    std::uint64_t total = std::max<std::uint64_t>(book.own_part, 1);
    std::vector<claimant*> asking;
    for (claimant& each : next.claimants)
    {
        if (each.asks(now) && each.part > 0)
        {
            asking.push_back(&each);
            total += each.part;
        }
    }
    const auto most = [&](const claimant& of)
    {
        return part_of(step.capacity, of.part, whole_part);
    };
    for (claimant* each : asking)
    {
        const std::uint32_t wanted =
            std::min(part_of(step.limit, each->part, total), most(*each));
        const std::uint32_t more =
            std::min(left, wanted - std::min(wanted, each->limit));
        each->limit += more;
        left -= more;
        each->answered = false;
    }
    const std::uint32_t own = part_of(step.limit, book.own_part, total);
    left -= std::min(left, own - std::min(own, book.own()));
    // The rest is less than one flow each: single flows, from a place in the
    // circle of the steward and the claimants that changes with each step.
    const std::size_t circle = asking.size() + 1;
    const std::size_t first = hash_pair(step.seed, step.limit) % circle;
    for (std::size_t i = 0; i < circle && left > 0; ++i)
    {
        const std::size_t at = (first + i) % circle;
        if (at == asking.size())
        {
            --left;
        }
        else if (asking[at]->limit < most(*asking[at]))
        {
            ++asking[at]->limit;
            --left;
        }
    }
    return next;
}

} // namespace catkinkeel
