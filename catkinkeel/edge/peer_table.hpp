#pragma once

// The peers of a daemon that were seen recently. The table has no influence on
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

/// Address and data centre of a daemon.
struct peer
{
    /// UDP address at which the daemon receives notices.
    endpoint notice_endpoint;
    std::string data_centre;

    friend auto operator<=>(const peer&, const peer&) = default;
};

/// A peer and the last time at which any daemon received a notice from it.
struct peer_sighting
{
    peer daemon;
    instant seen_at;

    friend auto operator<=>(const peer_sighting&,
                            const peer_sighting&) = default;
};

struct peer_table_settings
{
    /// Maximum number of peers. At the design size a data centre has 144
    /// daemons.
    std::size_t capacity = 256;
    /// Age of its last sighting at which a peer is removed. Sightings spread
    /// within about 5 s in a site of 82 daemons.
    duration lifetime = 10s;

    friend auto operator<=>(const peer_table_settings&,
                            const peer_table_settings&) = default;
};

/// Not thread-safe.
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

    /// Adds the peer, or updates it if the sighting is later than the stored
    /// one. Ignores this daemon itself, and new peers while the table is full.
    void record(const peer_sighting& sighting);

    /// Removes the peers whose last sighting is older than the lifetime.
    void expire(instant now);

    [[nodiscard]] std::size_t size() const
    {
        return peers_.size();
    }

    [[nodiscard]] reader_rank rank() const;

    /// Returns up to `count` random peers of this daemon's data centre.
    [[nodiscard]] std::vector<peer> pick_nearby(std::size_t count,
                                                random_source& random) const;

    /// Returns up to `count` random peers of each other data centre.
    [[nodiscard]] std::vector<peer> pick_remote(std::size_t count,
                                                random_source& random) const;

    /// Returns up to `count` random sightings from all data centres.
    [[nodiscard]] std::vector<peer_sighting>
    sample(std::size_t count, random_source& random) const;

private:
    peer self_;
    peer_table_settings settings_;
    std::map<endpoint, peer_sighting> peers_;
};

} // namespace catkinkeel::edge
