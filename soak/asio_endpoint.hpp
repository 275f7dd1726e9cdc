#pragma once

#include "catkinkeel/base/address.hpp"

#include <boost/asio/ip/address_v4.hpp>

namespace catkinkeel::soak
{

/// The address as Asio has it; `Protocol` is `tcp` or `udp`.
template <class Protocol>
typename Protocol::endpoint to_asio(const endpoint& address)
{
    return {boost::asio::ip::address_v4(address.address.value), address.port};
}

} // namespace catkinkeel::soak
