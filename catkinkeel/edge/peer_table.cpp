#include "catkinkeel/edge/peer_table.hpp"

#include "catkinkeel/base/hash.hpp"

#include <algorithm>

namespace catkinkeel::edge
{

namespace
{

/// Order of the daemons, alike on all of them.
std::uint64_t order_of(const endpoint& notices)
{
    return hash_pair(notices.address.value, notices.port);
}

/// Keeps `count` random elements (Fisher-Yates, as far as needed).
template <class T>
void keep_random(std::vector<T>& elements, std::size_t count,
                 random_source& random)
{
    const std::size_t kept = std::min(count, elements.size());
    for (std::size_t i = 0; i < kept; ++i)
    {
        std::swap(elements[i], elements[i + random.below(elements.size() - i)]);
    }
    elements.resize(kept);
}

} // namespace

void peer_table::note(const peer_sighting& sighting)
{
    const endpoint& where = sighting.who.notices;
    if (where == self_.notices)
    {
        return;
    }
    const auto found = peers_.find(where);
    if (found != peers_.end())
    {
        if (sighting.heard > found->second.heard)
        {
            found->second = sighting;
        }
    }
    else if (peers_.size() < settings_.capacity)
    {
        peers_.emplace(where, sighting);
    }
}

void peer_table::expire(instant now)
{
    std::erase_if(peers_, [&](const auto& each)
                  { return now - each.second.heard > settings_.lifetime; });
}

reader_rank peer_table::rank() const
{
    reader_rank rank;
    const std::uint64_t own = order_of(self_.notices);
    for (const auto& [where, sighting] : peers_)
    {
        if (order_of(where) < own)
        {
            ++rank.among_all;
            rank.in_data_centre +=
                sighting.who.data_centre == self_.data_centre ? 1 : 0;
        }
    }
    return rank;
}

std::vector<peer> peer_table::pick_nearby(std::size_t count,
                                          random_source& random) const
{
    std::vector<peer> picked;
    for (const auto& [where, sighting] : peers_)
    {
        if (sighting.who.data_centre == self_.data_centre)
        {
            picked.push_back(sighting.who);
        }
    }
    keep_random(picked, count, random);
    return picked;
}

std::vector<peer> peer_table::pick_remote(std::size_t count,
                                          random_source& random) const
{
    std::map<std::string, std::vector<peer>> places;
    for (const auto& [where, sighting] : peers_)
    {
        if (sighting.who.data_centre != self_.data_centre)
        {
            places[sighting.who.data_centre].push_back(sighting.who);
        }
    }
    std::vector<peer> picked;
    for (auto& [place, peers] : places)
    {
        keep_random(peers, count, random);
        picked.insert(picked.end(), peers.begin(), peers.end());
    }
    return picked;
}

std::vector<peer_sighting> peer_table::sample(std::size_t count,
                                              random_source& random) const
{
    std::vector<peer_sighting> sightings;
    for (const auto& [where, sighting] : peers_)
    {
        sightings.push_back(sighting);
    }
    keep_random(sightings, count, random);
    return sightings;
}

} // namespace catkinkeel::edge
