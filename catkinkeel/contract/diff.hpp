#pragma once

// The differences between two published sets and their effect on flows.

#include "catkinkeel/contract/published_set.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace catkinkeel
{

/// An object that is in both sets with different contents.
template <class Object>
struct changed_object
{
    Object before;
    Object after;

    friend bool operator==(const changed_object&,
                           const changed_object&) = default;
};

/// Changes of the objects of one kind, which are matched by identifier. Each
/// list is ordered by identifier.
template <class Object>
struct object_changes
{
    std::vector<Object> added;
    std::vector<Object> removed;
    std::vector<changed_object<Object>> changed;

    [[nodiscard]] bool empty() const
    {
        return added.empty() && removed.empty() && changed.empty();
    }

    friend bool operator==(const object_changes&,
                           const object_changes&) = default;
};

/// A public endpoint that is now bound to another service. The identifier of
/// its reference may have changed too.
struct moved_reference
{
    reference_id id;
    endpoint public_endpoint;
    protocol transport = protocol::tcp;
    service_id before;
    service_id after;

    friend auto operator<=>(const moved_reference&,
                            const moved_reference&) = default;
};

struct weight_change
{
    target_id id;
    std::uint16_t before = 0;
    std::uint16_t after = 0;

    friend auto operator<=>(const weight_change&,
                            const weight_change&) = default;
};

/// The differences between two sets. The lists after the four `object_changes`
/// show the same changes grouped by their effect on flows; each is ordered by
/// identifier.
struct set_diff
{
    set_version from;
    set_version to;
    /// Publisher of the version `to`; may be empty.
    std::string published_by;

    object_changes<service> services;
    object_changes<data_centre> data_centres;
    object_changes<target> targets;
    object_changes<reference> references;

    std::vector<moved_reference> moved_references;
    /// Targets whose requested state changed to `drain`.
    std::vector<target_id> drained;
    /// Targets whose requested state changed back to `serve`.
    std::vector<target_id> drain_cancelled;
    /// Targets whose identifier now denotes another address or service. Flows
    /// of the former backend server must not reach the new one (R2).
    std::vector<target_id> replaced;
    std::vector<weight_change> weights;
    std::vector<data_centre_id> removed_from_service;
    std::vector<data_centre_id> returned_to_service;

    /// Names of the services and data centres of both sets, for `describe`. An
    /// object in both sets has its name in the later set.
    std::map<service_id, std::string> service_names;
    std::map<data_centre_id, std::string> data_centre_names;

    /// Whether the sets hold the same objects.
    [[nodiscard]] bool empty() const
    {
        return services.empty() && data_centres.empty() && targets.empty() &&
               references.empty();
    }

    friend bool operator==(const set_diff&, const set_diff&) = default;
};

/// Compares two sets, of which `to` is the later one.
set_diff diff_sets(const published_set& from, const published_set& to);

/// Describes each change in one line for operators, with its effect on
/// established and on new flows. Empty if nothing changes.
std::vector<std::string> describe(const set_diff& diff);

} // namespace catkinkeel
