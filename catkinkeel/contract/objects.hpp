#pragma once

// The objects that operators publish. Each has a stable identifier separate
// from its name, so renaming or moving an object never changes the service or
// target to which a flow belongs. An object's "wish" is its desired
// administrative state, as requested by operators.

#include "catkinkeel/base/address.hpp"
#include "catkinkeel/base/identifier.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace catkinkeel
{

/// A named service, reached through references and provided by targets.
struct service
{
    service_id id;
    std::string name;
    /// Maximum rate of new flows. 0 means no limit.
    std::uint32_t new_flows_per_second = 0;
    /// Maximum rate of new flows from the callers of one /24 network. 0 means
    /// no limit.
    std::uint32_t new_flows_per_second_per_network = 0;

    friend auto operator<=>(const service&, const service&) = default;
};

/// The state that operators request for a target. A target in `drain` keeps its
/// established flows and gets no new ones.
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
    /// Endpoint that receives the flows.
    endpoint address;
    /// Endpoint from which the target's load report is read over HTTP.
    endpoint report;
    /// Share of new flows relative to the service's other targets, 1 to 1000.
    std::uint16_t weight = 100;
    target_wish wish = target_wish::serve;
    /// Requests that it processes concurrently, 1 to 10,000.
    std::uint32_t slots = 2;
    /// Connections that it can keep open, 1 to 1,000,000.
    std::uint32_t connections = 2000;

    friend auto operator<=>(const target&, const target&) = default;
};

/// The state that operators request for a data centre: whether it may receive
/// packets.
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

/// A listener: binds a public endpoint (address, port and protocol) to a
/// service. Moving the reference to another service affects new flows only.
struct reference
{
    reference_id id;
    endpoint public_endpoint;
    protocol transport = protocol::tcp;
    service_id service;

    friend auto operator<=>(const reference&, const reference&) = default;
};

} // namespace catkinkeel
