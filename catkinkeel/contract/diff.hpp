#pragma once

// What changes between two published sets, and what it means for flows.

#include "catkinkeel/contract/published_set.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace catkinkeel
{

/// An object that stands in both sets and differs.
template <class Object>
struct changed_object
{
    Object before;
    Object after;

    friend bool operator==(const changed_object&,
                           const changed_object&) = default;
};

/// Objects of one kind, matched by identifier, each list ordered by it.
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

/// A public endpoint that goes to another service, whether or not the
/// identifier of its reference stayed.
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

/// The difference of two sets. The lists below the four `object_changes` are
/// views of the same changes by their effect on flows; each is ordered by
/// identifier.
struct set_diff
{
    set_version from;
    set_version to;
    std::string published_by;

    object_changes<service> services;
    object_changes<data_centre> data_centres;
    object_changes<target> targets;
    object_changes<reference> references;

    std::vector<moved_reference> moved_references;
    std::vector<target_id> drained;
    std::vector<target_id> undrained;
    /// Targets whose identifier now names another address or service. Flows of
    /// the former backend server must not reach the latter (R2).
    std::vector<target_id> replaced;
    std::vector<weight_change> weights;
    std::vector<data_centre_id> taken_out;
    std::vector<data_centre_id> brought_in;

    /// Names of the services and data centres in either set, the later one's
    /// if both have it, for `describe`.
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

set_diff diff_sets(const published_set& from, const published_set& to);

/// One line for each change in the users' terms, with what it does to
/// established and to new flows. Empty if nothing changes.
std::vector<std::string> describe(const set_diff& diff);

} // namespace catkinkeel
