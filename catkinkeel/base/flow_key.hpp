#pragma once

// The 5-tuple of a flow, in the direction from the caller to the service.

#include "catkinkeel/base/address.hpp"

#include <compare>

namespace catkinkeel
{

/// Identifies one flow. `service_side` is the public endpoint that the caller
/// sends to.
struct flow_key
{
    endpoint caller;
    endpoint service_side;
    protocol transport = protocol::tcp;

    friend auto operator<=>(const flow_key&, const flow_key&) = default;
};

} // namespace catkinkeel
