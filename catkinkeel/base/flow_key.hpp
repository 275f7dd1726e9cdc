#pragma once

// The 5-tuple of a flow, as it stands in packets from the caller.

#include "catkinkeel/base/address.hpp"

#include <compare>

namespace catkinkeel
{

/// Names one flow. `service_side` is the public endpoint the caller addressed.
struct flow_key
{
    endpoint caller;
    endpoint service_side;
    protocol transport = protocol::tcp;

    friend auto operator<=>(const flow_key&, const flow_key&) = default;
};

} // namespace catkinkeel
