#pragma once

// What a platform publishes and what its backend servers announce, in the
// project's own words. Adapters make these values; `catalog` turns them into
// the view that packets are steered by.

#include "catkinkeel/base/address.hpp"
#include "catkinkeel/base/identifier.hpp"
#include "catkinkeel/base/time.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace catkinkeel::steering
{

/// What a target says of its own readiness.
enum class announced_state : std::uint8_t
{
    ready,
    /// It keeps its flows and is to get no new ones.
    draining
};

/// One backend server as it announces itself.
struct target_announcement
{
    /// Stable name. A target that starts again may keep it.
    std::string name;
    /// The number by which a target recognizes packets that are meant for it.
    std::uint64_t identity = 0;
    std::string service;
    endpoint address;
    std::string data_centre;
    announced_state state = announced_state::ready;
    /// How much longer the target bears less than its full load.
    duration warm_up_left{};
    /// Requests that it works on at a time; at least 1.
    std::uint32_t slots = 1;
    /// Grows with each announcement of one life; a lower value than before
    /// means another life. 0 if it is not known.
    std::uint64_t heartbeat = 0;
    /// Start of this life, Unix time in ms; 0 if the target does not say it.
    std::int64_t started_ms = 0;

    friend auto operator<=>(const target_announcement&,
                            const target_announcement&) = default;
};

/// A service and its share of a reference's new flows.
struct weighted_service
{
    std::string name;
    std::uint32_t weight = 1;

    friend auto operator<=>(const weighted_service&,
                            const weighted_service&) = default;
};

/// A public address bound to one service or, by weights, to several.
struct reference_terms
{
    std::string name;
    endpoint address;
    std::vector<weighted_service> services;

    friend auto operator<=>(const reference_terms&,
                            const reference_terms&) = default;
};

struct service_terms
{
    std::string name;
    /// New flows a second that a cold target bears; 0 if no limit is stated.
    double cold_flows_per_second = 0;

    friend auto operator<=>(const service_terms&,
                            const service_terms&) = default;
};

/// One version of everything that operators publish.
struct published_terms
{
    set_version version;
    std::vector<reference_terms> references;
    std::vector<service_terms> services;

    friend auto operator<=>(const published_terms&,
                            const published_terms&) = default;
};

/// A target announced itself, for the first time or again.
struct target_announced
{
    target_announcement target;

    friend auto operator<=>(const target_announced&,
                            const target_announced&) = default;
};

/// The announcement of a target was removed or has expired.
struct target_withdrawn
{
    std::string name;

    friend auto operator<=>(const target_withdrawn&,
                            const target_withdrawn&) = default;
};

struct terms_published
{
    published_terms terms;

    friend auto operator<=>(const terms_published&,
                            const terms_published&) = default;
};

/// Operators take a data centre's targets out of service, or back.
struct data_centre_switched
{
    std::string name;
    bool in_service = false;

    friend auto operator<=>(const data_centre_switched&,
                            const data_centre_switched&) = default;
};

/// An entry that names nothing usable.
struct entry_rejected
{
    std::string key;
    std::string reason;

    friend auto operator<=>(const entry_rejected&,
                            const entry_rejected&) = default;
};

using metadata_change =
    std::variant<target_announced, target_withdrawn, terms_published,
                 data_centre_switched, entry_rejected>;

/// One answer of the metadata store.
struct metadata_update
{
    /// Whether `changes` is everything that the store holds; targets and closed
    /// data centres that it does not name are gone then.
    bool complete = false;
    /// Revision of the store up to which the changes reach.
    std::uint64_t revision = 0;
    std::vector<metadata_change> changes;

    friend auto operator<=>(const metadata_update&,
                            const metadata_update&) = default;
};

} // namespace catkinkeel::steering
