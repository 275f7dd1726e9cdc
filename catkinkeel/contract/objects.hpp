#pragma once

// The objects that operators publish. Each has a stable identifier apart from
// its name, so a rename or a move never changes what a flow belongs to.

#include "catkinkeel/base/address.hpp"
#include "catkinkeel/base/identifier.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace catkinkeel
{

/// A named service. Limits of 0 mean no limit.
struct service
{
    service_id id;
    std::string name;
    std::uint32_t new_flows_per_second = 0;
    /// New flows a second that one caller /24 network may open.
    std::uint32_t new_flows_per_second_per_network = 0;

    friend auto operator<=>(const service&, const service&) = default;
};

/// What the operators want of a target.
enum class target_wish : std::uint8_t
{
    serve,
    drain
};

/// One backend server endpoint of a service.
struct target
{
    target_id id;
    service_id service;
    data_centre_id data_centre;
    endpoint address;
    /// Where its load report is read over HTTP.
    endpoint report;
    /// Share of new flows relative to the service's other targets, 1 to 1000.
    std::uint16_t weight = 100;
    target_wish wish = target_wish::serve;
    /// Requests it works on at once.
    std::uint32_t slots = 2;
    /// Connections it can hold open.
    std::uint32_t connections = 2000;

    friend auto operator<=>(const target&, const target&) = default;
};

/// Whether a data centre may receive packets.
enum class data_centre_wish : std::uint8_t
{
    in_service,
    out_of_service
};

/// A failure zone with its own entry VMs and backend servers.
struct data_centre
{
    data_centre_id id;
    std::string name;
    region_id region;
    data_centre_wish wish = data_centre_wish::in_service;

    friend auto operator<=>(const data_centre&, const data_centre&) = default;
};

/// Ties a public endpoint to a service. Moving it to another service affects
/// new flows only.
struct reference
{
    reference_id id;
    endpoint public_endpoint;
    protocol transport = protocol::tcp;
    service_id service;

    friend auto operator<=>(const reference&, const reference&) = default;
};

} // namespace catkinkeel
