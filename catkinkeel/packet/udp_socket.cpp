#include "catkinkeel/packet/udp_socket.hpp"

#include "catkinkeel/packet/internal/packet_batch_storage.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <ctime>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>
#include <system_error>
#include <unistd.h>

namespace catkinkeel
{

namespace
{

/// Limits of one wait in the kernel. SO_RCVTIMEO interprets zero as no timeout.
constexpr duration min_receive_timeout = 1us;
constexpr duration max_receive_timeout = 2s;

/// Encapsulation header and packet.
constexpr std::size_t vectors_per_datagram = 2;

using clock = std::chrono::steady_clock;

sockaddr_in socket_address(const endpoint& value)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(value.port);
    address.sin_addr.s_addr = htonl(value.address.value);
    return address;
}

endpoint endpoint_of(const sockaddr_in& address)
{
    return {{ntohl(address.sin_addr.s_addr)}, ntohs(address.sin_port)};
}

failure system_failure(const std::string& operation, int error)
{
    return {failure_kind::unavailable,
            operation + ": " + std::system_category().message(error)};
}

/// Waits until a descriptor is ready, a signal arrives or `max_wait` elapses.
void poll_for(std::span<pollfd> descriptors, duration max_wait)
{
    max_wait = std::max(max_wait, duration::zero());
    const auto whole_seconds =
        std::chrono::floor<std::chrono::seconds>(max_wait);
    const timespec ppoll_timeout{.tv_sec = whole_seconds.count(),
                                 .tv_nsec = (max_wait - whole_seconds).count()};
    ::ppoll(descriptors.data(), descriptors.size(), &ppoll_timeout, nullptr);
}

} // namespace

outcome<std::shared_ptr<udp_socket>> udp_socket::open(const endpoint& local)
{
    const int descriptor = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
    {
        return system_failure("UDP socket", errno);
    }
    auto new_socket =
        std::make_shared<udp_socket>(descriptors{.socket = descriptor});
    // Errors are ignored: a smaller buffer only drops packets earlier.
    for (const int option : {SO_RCVBUF, SO_SNDBUF})
    {
        ::setsockopt(descriptor, SOL_SOCKET, option, &socket_buffer_bytes,
                     sizeof(socket_buffer_bytes));
    }
    const sockaddr_in address = socket_address(local);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
               sizeof(address)) != 0)
    {
        return system_failure("bind UDP " + to_string(local), errno);
    }
    return new_socket;
}

udp_socket::~udp_socket()
{
    ::close(descriptors_.socket);
}

endpoint udp_socket::local() const
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    ::getsockname(descriptors_.socket, reinterpret_cast<sockaddr*>(&address),
                  &size);
    return endpoint_of(address);
}

void udp_socket::set_receive_timeout(duration max_wait)
{
    const auto rounded =
        std::chrono::ceil<std::chrono::microseconds>(std::clamp<duration>(
            max_wait, min_receive_timeout, max_receive_timeout));
    if (rounded == receive_timeout_)
    {
        return;
    }
    receive_timeout_ = rounded;
    const auto seconds = std::chrono::floor<std::chrono::seconds>(rounded);
    const timeval kernel_timeout{.tv_sec = seconds.count(),
                                 .tv_usec = (rounded - seconds).count()};
    ::setsockopt(descriptors_.socket, SOL_SOCKET, SO_RCVTIMEO, &kernel_timeout,
                 sizeof(kernel_timeout));
}

int udp_socket::receive_queued(packet_batch& batch, duration max_wait)
{
    set_receive_timeout(max_wait);
    packet_batch::storage& storage = *batch.storage_;
    // The last receive overwrote the address lengths of its datagrams.
    for (std::size_t i = 0; i < storage.size; ++i)
    {
        storage.headers[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
    storage.size = 0;
    const int count = ::recvmmsg(descriptors_.socket, storage.headers.data(),
                                 batch_capacity, MSG_WAITFORONE, nullptr);
    if (count < 0)
    {
        return errno;
    }
    storage.size = static_cast<std::size_t>(count);
    for (std::size_t i = 0; i < storage.size; ++i)
    {
        const mmsghdr& header = storage.headers[i];
        storage.datagrams[i] = {
            endpoint_of(storage.senders[i]),
            {std::span(storage.buffers[i]).first(header.msg_len)}};
        if ((header.msg_hdr.msg_flags & MSG_TRUNC) != 0)
        {
            oversized_.fetch_add(1, std::memory_order_relaxed);
        }
    }
    received_.fetch_add(storage.size, std::memory_order_relaxed);
    return 0;
}

receive_status udp_socket::receive(packet_batch& batch, duration timeout)
{
    const auto start = clock::now();
    duration time_left = timeout;
    for (;;)
    {
        if (stopped_.load(std::memory_order_acquire))
        {
            return receive_status::stopped;
        }
        const int error = receive_queued(batch, time_left);
        if (stopped_.load(std::memory_order_acquire))
        {
            return receive_status::stopped;
        }
        if (error == 0)
        {
            return receive_status::received;
        }
        if (error == ECONNREFUSED)
        {
            port_closed_.fetch_add(1, std::memory_order_relaxed);
        }
        else if (error != EAGAIN && error != EINTR)
        {
            receive_errors_.fetch_add(1, std::memory_order_relaxed);
            poll_for({}, std::min(time_left, receive_error_delay));
        }
        time_left = timeout - (clock::now() - start);
        if (time_left <= duration::zero())
        {
            return receive_status::timed_out;
        }
    }
}

int udp_socket::send_batch(std::span<const outgoing_datagram> datagrams) const
{
    std::array<mmsghdr, batch_capacity> headers;
    std::array<std::array<iovec, vectors_per_datagram>, batch_capacity> vectors;
    std::array<sockaddr_in, batch_capacity> addresses;
    const std::size_t count = std::min(datagrams.size(), batch_capacity);
    for (std::size_t i = 0; i < count; ++i)
    {
        const outgoing_datagram& datagram = datagrams[i];
        addresses[i] = socket_address(datagram.to);
        // `iovec` has a pointer to non-const, but sending does not write
        // through it.
        const iovec header{.iov_base =
                               const_cast<std::byte*>(datagram.header.data()),
                           .iov_len = datagram.header_size};
        const iovec packet{
            .iov_base = const_cast<std::byte*>(datagram.packet.bytes.data()),
            .iov_len = datagram.packet.bytes.size()};
        const bool without_header = datagram.header_size == 0;
        vectors[i] = without_header ? std::array{packet, header}
                                    : std::array{header, packet};
        headers[i] = {.msg_hdr = {.msg_name = &addresses[i],
                                  .msg_namelen = sizeof(sockaddr_in),
                                  .msg_iov = vectors[i].data(),
                                  .msg_iovlen = without_header ? 1U : 2U,
                                  .msg_control = nullptr,
                                  .msg_controllen = 0,
                                  .msg_flags = 0},
                      .msg_len = 0};
    }
    const int sent = ::sendmmsg(descriptors_.socket, headers.data(),
                                static_cast<unsigned>(count), MSG_DONTWAIT);
    return sent < 0 ? -errno : sent;
}

std::size_t udp_socket::send(std::span<const outgoing_datagram> datagrams)
{
    std::size_t sent = 0;
    bool waited_for_buffer = false;
    bool retried = false;
    while (!datagrams.empty())
    {
        const int result = send_batch(datagrams);
        if (result >= 0)
        {
            sent += static_cast<std::size_t>(result);
            retried = false;
            datagrams = datagrams.subspan(static_cast<std::size_t>(result));
        }
        else if (result == -ECONNREFUSED && !retried)
        {
            port_closed_.fetch_add(1, std::memory_order_relaxed);
            retried = true;
        }
        else if (result == -EAGAIN || result == -ENOBUFS)
        {
            if (waited_for_buffer)
            {
                dropped_no_room_.fetch_add(datagrams.size(),
                                           std::memory_order_relaxed);
                break;
            }
            waited_for_buffer = true;
            std::array writable{pollfd{
                .fd = descriptors_.socket, .events = POLLOUT, .revents = 0}};
            poll_for(writable, max_send_wait);
        }
        else if (result != -EINTR)
        {
            dropped_unsendable_.fetch_add(1, std::memory_order_relaxed);
            retried = false;
            datagrams = datagrams.subspan(1);
        }
    }
    sent_.fetch_add(sent, std::memory_order_relaxed);
    return sent;
}

void udp_socket::stop()
{
    stopped_.store(true, std::memory_order_release);
    // If the datagram of `wake` is lost, a waiting receive returns after at
    // most `max_receive_timeout`.
    wake();
}

void udp_socket::wake() const
{
    const sockaddr_in own_address = socket_address(local());
    ::sendto(descriptors_.socket, nullptr, 0, MSG_DONTWAIT,
             reinterpret_cast<const sockaddr*>(&own_address),
             sizeof(own_address));
}

socket_counts udp_socket::counts() const
{
    std::array<std::uint32_t, SK_MEMINFO_VARS> memory{};
    socklen_t size = sizeof(memory);
    ::getsockopt(descriptors_.socket, SOL_SOCKET, SO_MEMINFO, memory.data(),
                 &size);
    return {.received = received_.load(std::memory_order_relaxed),
            .oversized = oversized_.load(std::memory_order_relaxed),
            .receive_overflow = memory[SK_MEMINFO_DROPS],
            .receive_errors = receive_errors_.load(std::memory_order_relaxed),
            .sent = sent_.load(std::memory_order_relaxed),
            .dropped_no_room = dropped_no_room_.load(std::memory_order_relaxed),
            .dropped_unsendable =
                dropped_unsendable_.load(std::memory_order_relaxed),
            .port_closed = port_closed_.load(std::memory_order_relaxed)};
}

} // namespace catkinkeel
