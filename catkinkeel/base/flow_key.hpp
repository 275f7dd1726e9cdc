#pragma once

// The 5-tuple of a flow, in the direction from the caller to the service.

#include "catkinkeel/base/address.hpp"

#include <compare>

namespace catkinkeel
{

/// Identifies one flow.
struct flow_key
{
    /// The client's address and port.
    endpoint caller;
    /// The public endpoint of the service, to which the caller sends.
    endpoint service_side;
    protocol transport = protocol::tcp;

    friend auto operator<=>(const flow_key&, const flow_key&) = default;
};

} // namespace catkinkeel
