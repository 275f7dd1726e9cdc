#include "catkinkeel/edge/peer_table.hpp"

#include "catkinkeel/base/hash.hpp"
#include "catkinkeel/base/random_choice.hpp"

#include <algorithm>

namespace catkinkeel::edge
{

namespace
{

/// Hash by which daemons are ordered; the same on all of them.
std::uint64_t order_hash(const endpoint& notice_endpoint)
{
    return hash_pair(notice_endpoint.address.value, notice_endpoint.port);
}

} // namespace

void peer_table::record(const peer_sighting& sighting)
{
    const endpoint& peer_endpoint = sighting.daemon.notice_endpoint;
    if (peer_endpoint == self_.notice_endpoint)
    {
        return;
    }
    const auto found = peers_.find(peer_endpoint);
    if (found != peers_.end())
    {
        if (sighting.seen_at > found->second.seen_at)
        {
            found->second = sighting;
        }
    }
    else if (peers_.size() < settings_.capacity)
    {
        peers_.emplace(peer_endpoint, sighting);
    }
}

void peer_table::expire(instant now)
{
    std::erase_if(peers_, [&](const auto& each)
                  { return now - each.second.seen_at > settings_.lifetime; });
}

reader_rank peer_table::rank() const
{
    reader_rank rank;
    const std::uint64_t own_hash = order_hash(self_.notice_endpoint);
    for (const auto& [peer_endpoint, sighting] : peers_)
    {
        if (order_hash(peer_endpoint) < own_hash)
        {
            ++rank.among_all;
            rank.in_data_centre +=
                sighting.daemon.data_centre == self_.data_centre ? 1 : 0;
        }
    }
    return rank;
}

std::vector<peer> peer_table::pick_nearby(std::size_t count,
                                          random_source& random) const
{
    std::vector<peer> picked;
    for (const auto& [peer_endpoint, sighting] : peers_)
    {
        if (sighting.daemon.data_centre == self_.data_centre)
        {
            picked.push_back(sighting.daemon);
        }
    }
    keep_random(picked, count, random);
    return picked;
}

std::vector<peer> peer_table::pick_remote(std::size_t count,
                                          random_source& random) const
{
    std::map<std::string, std::vector<peer>> peers_by_data_centre;
    for (const auto& [peer_endpoint, sighting] : peers_)
    {
        if (sighting.daemon.data_centre != self_.data_centre)
        {
            peers_by_data_centre[sighting.daemon.data_centre].push_back(
                sighting.daemon);
        }
    }
    std::vector<peer> picked;
    for (auto& [data_centre_name, peers] : peers_by_data_centre)
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
    for (const auto& [peer_endpoint, sighting] : peers_)
    {
        sightings.push_back(sighting);
    }
    keep_random(sightings, count, random);
    return sightings;
}

} // namespace catkinkeel::edge
