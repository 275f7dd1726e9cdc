#pragma once

// A configuration document as operators wrote it, for checks before it is
// published. It includes what the daemon ignores or replaces by a default.

#include "catkinkeel/steering/objects.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace catkinkeel::steering
{

/// How a document states a field that the daemon can do without.
enum class field_state : std::uint8_t
{
    absent,
    /// The value has another type, is out of range or is unknown. The daemon
    /// uses the default.
    unusable,
    valid
};

struct stated_duration
{
    field_state state = field_state::absent;
    /// Zero unless the state is `valid`.
    duration value{};

    friend auto operator<=>(const stated_duration&,
                            const stated_duration&) = default;
};

/// What a document states about a reference beyond `reference_configuration`.
struct reference_statement
{
    field_state kind_state = field_state::absent;
    /// Kind of the requests as it is written; empty if it is not a string.
    std::string kind;
    /// Unusable also if it is above `lowest_priority`.
    field_state priority = field_state::absent;
    field_state latency_goal = field_state::absent;
    field_state timeout = field_state::absent;

    friend auto operator<=>(const reference_statement&,
                            const reference_statement&) = default;
};

/// What a document states about a service beyond `service_configuration`.
struct service_statement
{
    field_state max_cold_flows = field_state::absent;
    stated_duration warm_up;

    friend auto operator<=>(const service_statement&,
                            const service_statement&) = default;
};

/// A part of a document that makes the daemon reject the whole document.
struct rejected_part
{
    /// Kind, position from 1 and name, as far as known; empty for the document.
    std::string object;
    std::string reason;

    friend auto operator<=>(const rejected_part&,
                            const rejected_part&) = default;
};

/// A configuration document with all its faults.
struct configuration_draft
{
    /// Everything that could be parsed, as the daemon parses it.
    published_configuration configuration;
    /// One for each of `configuration.references`, in the same order.
    std::vector<reference_statement> references;
    /// One for each of `configuration.services`, in the same order.
    std::vector<service_statement> services;
    /// Time for which a flow may be idle.
    stated_duration idle_timeout;
    std::vector<rejected_part> rejected;

    friend auto operator<=>(const configuration_draft&,
                            const configuration_draft&) = default;
};

/// Names that the document uses for objects and fields. Messages to operators
/// use them; only the adapter of a platform knows them.
struct document_names
{
    std::string_view reference;
    std::string_view kind;
    /// The kinds that exist, separated by commas.
    std::string_view kinds;
    std::string_view latency_goal;
    std::string_view timeout;
    std::string_view max_cold_flows;
    std::string_view warm_up;
    std::string_view idle_timeout;

    friend auto operator<=>(const document_names&,
                            const document_names&) = default;
};

} // namespace catkinkeel::steering
