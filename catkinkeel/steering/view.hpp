#pragma once

// What a daemon believes at one moment: references, the services that each may
// reach, and the targets with their standing. A view is built once and never
// changed; the packet thread replaces it as a whole.

#include "catkinkeel/base/address.hpp"
#include "catkinkeel/base/identifier.hpp"
#include "catkinkeel/base/time.hpp"
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

/// Whether a target gets new flows, and why not.
enum class target_standing : std::uint8_t
{
    open,
    draining,
    /// Its data centre is out of service.
    data_centre_out,
    /// Its announcement is gone. It stays known while its flows may live.
    withdrawn,
    /// Another known target has its token and started earlier.
    token_taken
};

std::string_view to_string(target_standing standing);

/// One life of a target.
struct view_target
{
    /// Number of this life in this process.
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
    /// The target is cold before this moment.
    instant cold_until;

    friend auto operator<=>(const view_target&, const view_target&) = default;
};

struct weighted_choice
{
    service_id service;
    std::uint32_t weight = 1;

    friend auto operator<=>(const weighted_choice&,
                            const weighted_choice&) = default;
};

struct view_reference
{
    std::string name;
    endpoint address;
    /// Services of new flows. Empty for a reference that was removed.
    std::vector<weighted_choice> choices;
    /// Services that its open flows may have, sorted: those of `choices` and
    /// those named before, while flows of that time may be open.
    std::vector<service_id> permitted;

    friend auto operator<=>(const view_reference&,
                            const view_reference&) = default;
};

struct view_service
{
    std::string name;
    /// 0 if no limit is stated.
    double cold_flows_per_second = 0;

    friend auto operator<=>(const view_service&, const view_service&) = default;
};

/// The parts that a view is built from.
struct view_parts
{
    set_version version;
    /// Revision of the metadata store that the view reflects.
    std::uint64_t revision = 0;
    /// When the store last confirmed the view.
    instant confirmed;
    /// The process has not lived as long as a flow may, so references may have
    /// named services that it does not know of.
    bool former_services_unknown = false;
    std::vector<view_reference> references;
    std::vector<view_target> targets;
    /// By `service_id`.
    std::vector<view_service> services;
    /// Names by `data_centre_id`.
    std::vector<std::string> data_centres;
    /// Names of the data centres that are out of service.
    std::vector<std::string> closed;

    friend auto operator<=>(const view_parts&, const view_parts&) = default;
};

/// Immutable; safe to read from any thread. Comparable by its parts.
class steering_view
{
public:
    steering_view() = default;

    /// Of targets that share a token, only the one that started first (by name
    /// if they started together) keeps the standing `open`. All daemons that
    /// know the same targets choose the same one.
    explicit steering_view(view_parts parts);

    [[nodiscard]] const view_parts& parts() const
    {
        return parts_;
    }

    /// Null if no reference has this address. O(log references).
    [[nodiscard]] const view_reference*
    find_reference(const endpoint& address) const;

    /// The target that a packet of `reference` with `token` belongs to; null if
    /// there is none. A token invented by a client reaches only services that
    /// the reference permits. O(log targets).
    [[nodiscard]] const view_target*
    find_target(const view_reference& reference, flow_token token) const;

    /// Indices into `parts().targets` of the targets of `service` that get new
    /// flows.
    [[nodiscard]] std::span<const std::uint32_t>
    open_targets(service_id service) const;

    /// Null if the id is not in the view.
    [[nodiscard]] const view_target* find_target(target_id id) const;

    friend bool operator==(const steering_view& a, const steering_view& b)
    {
        return a.parts_ == b.parts_;
    }

private:
    struct token_row
    {
        flow_token token;
        std::uint32_t target = 0;
    };

    void index_tokens();
    void index_open_targets();

    view_parts parts_;
    std::map<endpoint, std::uint32_t> references_;
    /// Sorted by token, then start, then name.
    std::vector<token_row> tokens_;
    std::map<target_id, std::uint32_t> ids_;
    /// By `service_id`.
    std::vector<std::vector<std::uint32_t>> open_;
};

} // namespace catkinkeel::steering
