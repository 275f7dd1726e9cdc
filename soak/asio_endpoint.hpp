#pragma once

#include "catkinkeel/base/address.hpp"

#include <boost/asio/ip/address_v4.hpp>

namespace catkinkeel::soak
{

/// Converts an endpoint to Asio's type; `Protocol` is `tcp` or `udp`.
template <class Protocol>
typename Protocol::endpoint to_asio_endpoint(const endpoint& address)
{
    return {boost::asio::ip::address_v4(address.address.value), address.port};
}

} // namespace catkinkeel::soak
