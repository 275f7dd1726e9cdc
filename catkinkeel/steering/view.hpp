#pragma once

// A daemon's view of the system at one moment: references, the services that
// each may reach, and the targets with their standing. A view is immutable; the
// packet thread replaces it as a whole.

#include "catkinkeel/base/address.hpp"
#include "catkinkeel/base/identifier.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/steering/objects.hpp"
#include "catkinkeel/steering/token.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace catkinkeel::steering
{

/// Whether a target receives new flows, or the reason why it doesn't.
enum class target_standing : std::uint8_t
{
    open,
    draining,
    /// Its data centre is out of service.
    data_centre_out,
    /// Its announcement was removed or has expired. It stays in the view while
    /// its flows may be open.
    withdrawn,
    /// Another target in the view has the same token and started earlier.
    token_taken
};

std::string_view to_string(target_standing standing);

/// One target from its start to its next restart.
struct view_target
{
    /// Assigned by this process; a restarted target gets a new one.
    target_id id;
    std::string name;
    std::uint64_t identity = 0;
    flow_token token;
    std::int64_t started_ms = 0;
    service_id service;
    data_centre_id data_centre;
    endpoint address;
    std::uint32_t slots = 1;
    target_standing standing = target_standing::open;
    /// End of the target's warm-up.
    instant cold_until;

    friend auto operator<=>(const view_target&, const view_target&) = default;
};

struct weighted_service_id
{
    service_id service;
    std::uint32_t weight = 1;

    friend auto operator<=>(const weighted_service_id&,
                            const weighted_service_id&) = default;
};

struct view_reference
{
    std::string name;
    endpoint address;
    /// Services that receive new flows. Empty for a removed reference.
    std::vector<weighted_service_id> weighted_services;
    /// Services that open flows of the reference may belong to, sorted: those
    /// of `weighted_services`, and those of former versions while their flows
    /// may be open.
    std::vector<service_id> permitted_services;
    /// The defaults for a removed reference.
    request_terms terms;

    friend auto operator<=>(const view_reference&,
                            const view_reference&) = default;
};

struct view_service
{
    std::string name;
    /// 0 if no limit is configured.
    double max_cold_flows_per_second = 0;

    friend auto operator<=>(const view_service&, const view_service&) = default;
};

/// The data from which a view is built.
struct view_data
{
    set_version version;
    /// Revision of the metadata store that the view reflects.
    std::uint64_t revision = 0;
    /// When the metadata store last confirmed that the view is up to date.
    instant confirmed_at;
    /// The process has run for less than the maximum lifetime of a flow, so
    /// open flows may belong to services that it has never seen configured.
    bool former_services_unknown = false;
    std::vector<view_reference> references;
    std::vector<view_target> targets;
    /// Indexed by `service_id`.
    std::vector<view_service> services;
    /// Names, indexed by `data_centre_id`.
    std::vector<std::string> data_centres;
    /// Names of the data centres that are out of service.
    std::vector<std::string> out_of_service_data_centres;

    friend auto operator<=>(const view_data&, const view_data&) = default;
};

/// `count` consecutive positions.
struct position_range
{
    std::size_t first = 0;
    std::size_t count = 0;

    friend auto operator<=>(const position_range&,
                            const position_range&) = default;
};

/// Indexes a view for lookups by address, token and id. Immutable; safe to read
/// from any thread.
class steering_view
{
public:
    steering_view() = default;

    /// If several targets share a token, only the one that started first (the
    /// first by name for equal start times) keeps the standing `open`. All
    /// daemons with the same targets choose the same one.
    explicit steering_view(view_data parts);

    [[nodiscard]] const view_data& parts() const
    {
        return parts_;
    }

    /// Returns null if no reference has this address. O(log references).
    [[nodiscard]] const view_reference*
    find_reference(const endpoint& address) const;

    /// Returns the target of a packet to `reference` with `token`; null if
    /// there is none. A token forged by a client reaches only services that the
    /// reference permits. O(log targets).
    [[nodiscard]] const view_target*
    find_target(const view_reference& reference, flow_token token) const;

    /// Returns indices into `parts().targets` of the targets of `service` that
    /// receive new flows. If there are more than `max_candidates`
    /// (candidate_sampling.hpp), they are ordered by data centre, otherwise as
    /// in `parts().targets`.
    [[nodiscard]] std::span<const std::uint32_t>
    eligible_targets(service_id service) const;

    /// Returns where the targets of `data_centre` are in `eligible_targets`;
    /// empty if these are not ordered by data centre.
    [[nodiscard]] position_range
    eligible_range(service_id service, data_centre_id data_centre) const;

    /// Returns null if the id is not in the view.
    [[nodiscard]] const view_target* find_target(target_id id) const;

    friend bool operator==(const steering_view& a, const steering_view& b)
    {
        return a.parts_ == b.parts_;
    }

private:
    struct token_entry
    {
        flow_token token;
        std::uint32_t target = 0;
    };

    struct eligible_index
    {
        std::vector<std::uint32_t> targets;
        /// If `targets` is ordered by data centre: where each data centre
        /// begins, and the end of the last one. Indexed by `data_centre_id`.
        std::vector<std::uint32_t> data_centre_begins;
    };

    void index_tokens();
    void index_eligible_targets();
    void order_by_data_centre(eligible_index& index) const;

    view_data parts_;
    std::map<endpoint, std::uint32_t> reference_indices_;
    /// Sorted by token, then start time, then name.
    std::vector<token_entry> token_entries_;
    std::map<target_id, std::uint32_t> target_indices_;
    /// Indexed by `service_id`.
    std::vector<eligible_index> eligible_by_service_;
};

} // namespace catkinkeel::steering
