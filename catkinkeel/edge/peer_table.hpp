#pragma once

// The daemons that this one has heard of lately. It decides nothing about
// flows: a wrong entry costs a datagram, a missing one a read of the store.

#include "catkinkeel/base/address.hpp"
#include "catkinkeel/base/random.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/edge/freshness.hpp"

#include <compare>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace catkinkeel::edge
{

/// A daemon as others reach it.
struct peer
{
    /// UDP, notices.
    endpoint notices;
    std::string data_centre;

    friend auto operator<=>(const peer&, const peer&) = default;
};

/// A peer and when anybody heard from it.
struct peer_sighting
{
    peer who;
    instant heard;

    friend auto operator<=>(const peer_sighting&,
                            const peer_sighting&) = default;
};

struct peer_table_settings
{
    /// Peers kept at most. At the design size a data centre has 144 daemons.
    std::size_t capacity = 256;
    /// A peer of which nobody has heard for so long is forgotten. Sightings
    /// spread within about 5 s in a site of 82 daemons.
    duration lifetime = 10s;

    friend auto operator<=>(const peer_table_settings&,
                            const peer_table_settings&) = default;
};

/// Not safe for use by two threads at once.
class peer_table
{
public:
    peer_table(peer self, peer_table_settings settings)
        : self_(std::move(self)), settings_(settings)
    {
    }

    [[nodiscard]] const peer& self() const
    {
        return self_;
    }

    /// Keeps the later of two sightings. Ignores this daemon itself, and new
    /// peers while the table is full.
    void note(const peer_sighting& sighting);

    void expire(instant now);

    [[nodiscard]] std::size_t size() const
    {
        return peers_.size();
    }

    [[nodiscard]] reader_rank rank() const;

    /// Up to `count` random peers of the own data centre.
    [[nodiscard]] std::vector<peer> pick_nearby(std::size_t count,
                                                random_source& random) const;

    /// Up to `count` random peers of each other data centre.
    [[nodiscard]] std::vector<peer> pick_remote(std::size_t count,
                                                random_source& random) const;

    /// Up to `count` random sightings, of any data centre.
    [[nodiscard]] std::vector<peer_sighting>
    sample(std::size_t count, random_source& random) const;

private:
    peer self_;
    peer_table_settings settings_;
    std::map<endpoint, peer_sighting> peers_;
};

} // namespace catkinkeel::edge
