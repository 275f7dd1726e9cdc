#pragma once

// A published set: an immutable snapshot of the configuration, with all objects
// that operators published at one version. A set is built and replaced as a
// whole, so a partly updated set is never in effect.
//
// Example:
//   published_set set({.version = {7}, .services = ..., .targets = ...});
//   const reference* found = set.find_reference(public_endpoint,
//   protocol::tcp);

#include "catkinkeel/base/flow_key.hpp"
#include "catkinkeel/contract/objects.hpp"

#include <compare>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace catkinkeel
{

/// The objects of a set as read from its documents, without look-up tables.
struct published_objects
{
    set_version version;
    /// Who published this version, for the audit trail; may be empty.
    std::string published_by;
    std::vector<service> services;
    std::vector<data_centre> data_centres;
    std::vector<target> targets;
    std::vector<reference> references;

    friend bool operator==(const published_objects&,
                           const published_objects&) = default;
};

/// Immutable set with look-up tables. Safe to read from any thread. Look-ups
/// take O(1) on average, or O(log n) for services and data centres; returned
/// pointers and spans are valid as long as the set.
class published_set
{
public:
    /// Sorts the objects by identifier and builds the look-up tables. Does not
    /// validate: a set that is to take effect must have passed `check_objects`.
    /// If several objects of an invalid set have the same key, a look-up
    /// returns any one of them.
    explicit published_set(published_objects objects);

    [[nodiscard]] set_version version() const
    {
        return objects_.version;
    }
    [[nodiscard]] const published_objects& objects() const
    {
        return objects_;
    }

    // The `find_` functions return null if there is no such object.

    [[nodiscard]] const service* find_service(service_id id) const;
    [[nodiscard]] const target* find_target(target_id id) const;
    [[nodiscard]] const data_centre* find_data_centre(data_centre_id id) const;
    [[nodiscard]] const reference*
    find_reference(const endpoint& public_endpoint, protocol transport) const;

    /// Targets of a service, ordered by identifier. Empty if the service has no
    /// targets or does not exist.
    [[nodiscard]] std::span<const target> targets_of(service_id id) const;

    /// Whether operators want the data centre to be in service. False for a
    /// data centre that is not in the set.
    [[nodiscard]] bool in_service(data_centre_id id) const;

    friend bool operator==(const published_set& a, const published_set& b)
    {
        return a.objects_ == b.objects_;
    }

private:
    /// Consecutive positions in `objects_.targets`.
    struct range
    {
        std::size_t first = 0;
        std::size_t count = 0;
    };

    published_objects objects_;
    std::unordered_map<service_id, range> targets_by_service_;
    /// Positions in `objects_.targets`.
    std::unordered_map<target_id, std::size_t> targets_by_id_;
    /// Positions in `objects_.references`, keyed by address, port and protocol
    /// packed into 64 bits (`endpoint_key`).
    std::unordered_map<std::uint64_t, std::size_t> references_by_endpoint_;
};

/// A set shared by the threads that read it.
using published_set_ptr = std::shared_ptr<const published_set>;

} // namespace catkinkeel
