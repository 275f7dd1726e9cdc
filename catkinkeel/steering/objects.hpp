#pragma once

// Platform-neutral types for the operators' configuration and the
// announcements of backend servers in the metadata store. Platform adapters
// create these values; `catalog` turns them into the view by which packets are
// steered.

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

/// Readiness of a target as the target itself announces it.
enum class announced_state : std::uint8_t
{
    ready,
    /// Keeps its open flows and must not receive new ones.
    draining
};

/// Limits on an announcement. A target with far more slots than it has would
/// always seem to be the least loaded one.
inline constexpr std::uint32_t max_target_slots = 1'000'000;
inline constexpr duration max_target_warm_up = 24h;

/// The announcement of one backend server.
struct target_announcement
{
    /// Stable name. A restarted target may keep it.
    std::string name;
    /// Number by which the target recognizes packets addressed to it.
    std::uint64_t identity = 0;
    std::string service;
    endpoint address;
    std::string data_centre;
    announced_state state = announced_state::ready;
    /// Remaining warm-up time, during which the target can't handle its full
    /// load.
    duration remaining_warm_up{};
    /// Maximum number of requests processed concurrently, from 1 to
    /// `max_target_slots`.
    std::uint32_t slots = 1;
    /// Counter that grows with each announcement; a lower value than before
    /// means that the target was restarted. 0 if it is not known.
    std::uint64_t heartbeat = 0;
    /// Start time of the target's process, Unix time in ms; 0 if the target
    /// doesn't announce it.
    std::int64_t started_ms = 0;

    friend auto operator<=>(const target_announcement&,
                            const target_announcement&) = default;
};

/// A service and its weight in the distribution of a reference's new flows.
struct weighted_service
{
    std::string name;
    std::uint32_t weight = 1;

    friend auto operator<=>(const weighted_service&,
                            const weighted_service&) = default;
};

/// Priority of references for which operators configure none, and the lowest
/// one that is told apart from others; 0 is the highest.
inline constexpr std::uint32_t lowest_priority = 15;

/// What operators state about the requests that a reference carries.
struct request_terms
{
    /// Whether a request may be repeated after it may have run.
    bool idempotent = false;
    std::uint32_t priority = lowest_priority;
    /// Time within which an answer has its full value to the caller; zero if it
    /// is not known.
    duration latency_goal{};
    /// Time after which an answer has no value; zero if it is not known.
    duration timeout{};

    friend auto operator<=>(const request_terms&,
                            const request_terms&) = default;
};

/// A public address that is bound to one service, or to several by weight.
struct reference_configuration
{
    std::string name;
    endpoint address;
    std::vector<weighted_service> services;
    request_terms terms;

    friend auto operator<=>(const reference_configuration&,
                            const reference_configuration&) = default;
};

/// Operators' configuration of one service.
struct service_configuration
{
    std::string name;
    /// Maximum rate of new flows for a cold target, in flows a second; 0 if no
    /// limit is configured.
    double max_cold_flows_per_second = 0;

    friend auto operator<=>(const service_configuration&,
                            const service_configuration&) = default;
};

/// One version of the complete configuration that operators publish.
struct published_configuration
{
    set_version version;
    std::vector<reference_configuration> references;
    std::vector<service_configuration> services;

    friend auto operator<=>(const published_configuration&,
                            const published_configuration&) = default;
};

/// A target was announced for the first time, or its announcement changed.
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

/// Operators published a configuration.
struct configuration_published
{
    published_configuration configuration;

    friend auto operator<=>(const configuration_published&,
                            const configuration_published&) = default;
};

/// Operators took a data centre out of service or put it back into service.
struct data_centre_service_changed
{
    std::string name;
    bool in_service = false;

    friend auto operator<=>(const data_centre_service_changed&,
                            const data_centre_service_changed&) = default;
};

/// An entry of the metadata store that could not be used, with the reason.
struct entry_rejected
{
    std::string key;
    std::string reason;
    /// Name of the target that the entry would announce; empty for entries of
    /// other kinds. The target is not announced any more.
    std::string target;

    friend auto operator<=>(const entry_rejected&,
                            const entry_rejected&) = default;
};

using metadata_change =
    std::variant<target_announced, target_withdrawn, configuration_published,
                 data_centre_service_changed, entry_rejected>;

/// Name of the target whose announcement `change` ends, because it was
/// withdrawn or because its entry cannot be used; empty for other changes.
[[nodiscard]] inline std::string
unannounced_target(const metadata_change& change)
{
    if (const auto* withdrawn = std::get_if<target_withdrawn>(&change))
    {
        return withdrawn->name;
    }
    const auto* rejected = std::get_if<entry_rejected>(&change);
    return rejected == nullptr ? std::string() : rejected->target;
}

/// One response of the metadata store.
struct metadata_update
{
    /// Whether `changes` lists the whole content of the store. If so, targets
    /// that it doesn't list are withdrawn, and data centres that it doesn't
    /// list as out of service are in service.
    bool complete = false;
    /// Revision of the store that includes all of `changes`.
    std::uint64_t revision = 0;
    std::vector<metadata_change> changes;

    friend auto operator<=>(const metadata_update&,
                            const metadata_update&) = default;
};

} // namespace catkinkeel::steering
