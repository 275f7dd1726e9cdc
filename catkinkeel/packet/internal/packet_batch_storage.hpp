#pragma once

#include "catkinkeel/packet/packet_batch.hpp"

#include <array>
#include <cstddef>
#include <netinet/in.h>
#include <sys/socket.h>

namespace catkinkeel
{

/// Buffers for `recvmmsg` and the message headers that point to them.
struct packet_batch::storage
{
    std::array<mmsghdr, batch_capacity> headers;
    std::array<iovec, batch_capacity> vectors;
    std::array<sockaddr_in, batch_capacity> senders;
    std::array<received_datagram, batch_capacity> datagrams;
    std::size_t size = 0;
    std::array<std::array<std::byte, datagram_buffer_size>, batch_capacity>
        buffers;
};

} // namespace catkinkeel
