#pragma once

#include "catkinkeel/base/address.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/socket_base.hpp>

namespace catkinkeel::soak
{

/// For the sockets that receive packets. After the machine has stalled, the
/// timers of all flows expire at once; with the default size, the packets of
/// such a burst were lost several times in a row, which no link in use does.
inline const boost::asio::socket_base::receive_buffer_size
    packet_receive_buffer(4 * 1024 * 1024);

/// Converts an endpoint to Asio's type; `Protocol` is `tcp` or `udp`.
template <class Protocol>
typename Protocol::endpoint to_asio_endpoint(const endpoint& address)
{
    return {boost::asio::ip::address_v4(address.address.value), address.port};
}

} // namespace catkinkeel::soak
