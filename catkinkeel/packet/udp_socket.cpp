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

/// Bounds of one wait in the kernel. Zero would stand for no limit there.
constexpr duration shortest_wait = 1us;
constexpr duration longest_wait = 2s;

/// Two parts of an outgoing datagram: header and packet.
constexpr std::size_t parts_per_datagram = 2;

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

failure system_failure(const std::string& what, int error)
{
    return {failure_kind::unavailable,
            what + ": " + std::system_category().message(error)};
}

/// Waits until a descriptor is ready, a signal arrives or `wait` has passed.
void poll_for(std::span<pollfd> descriptors, duration wait)
{
    wait = std::max(wait, duration::zero());
    const auto whole = std::chrono::floor<std::chrono::seconds>(wait);
    const timespec limit{.tv_sec = whole.count(),
                         .tv_nsec = (wait - whole).count()};
    ::ppoll(descriptors.data(), descriptors.size(), &limit, nullptr);
}

} // namespace

outcome<std::shared_ptr<udp_socket>> udp_socket::open(const endpoint& local)
{
    const int descriptor = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
    {
        return system_failure("UDP socket", errno);
    }
    auto opened =
        std::make_shared<udp_socket>(descriptors{.socket = descriptor});
    // A smaller buffer only loses packets earlier, so a refusal is no failure.
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
    return opened;
}

udp_socket::~udp_socket()
{
    ::close(opened_.socket);
}

endpoint udp_socket::local() const
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    ::getsockname(opened_.socket, reinterpret_cast<sockaddr*>(&address), &size);
    return endpoint_of(address);
}

void udp_socket::limit_wait(duration wait)
{
    const auto whole = std::chrono::ceil<std::chrono::microseconds>(
        std::clamp<duration>(wait, shortest_wait, longest_wait));
    if (whole == wait_limit_)
    {
        return;
    }
    wait_limit_ = whole;
    const auto seconds = std::chrono::floor<std::chrono::seconds>(whole);
    const timeval limit{.tv_sec = seconds.count(),
                        .tv_usec = (whole - seconds).count()};
    ::setsockopt(opened_.socket, SOL_SOCKET, SO_RCVTIMEO, &limit,
                 sizeof(limit));
}

int udp_socket::receive_arrived(packet_batch& batch, duration wait)
{
    limit_wait(wait);
    packet_batch::storage& storage = *batch.storage_;
    // The kernel overwrote the name lengths of the datagrams it stored.
    for (std::size_t i = 0; i < storage.size; ++i)
    {
        storage.headers[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
    storage.size = 0;
    const int count = ::recvmmsg(opened_.socket, storage.headers.data(),
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
            cut_.fetch_add(1, std::memory_order_relaxed);
        }
    }
    received_.fetch_add(storage.size, std::memory_order_relaxed);
    return 0;
}

receive_status udp_socket::receive(packet_batch& batch, duration timeout)
{
    const auto start = clock::now();
    duration left = timeout;
    for (;;)
    {
        if (stopped_.load(std::memory_order_acquire))
        {
            return receive_status::stopped;
        }
        const int error = receive_arrived(batch, left);
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
            poll_for({}, std::min(left, receive_error_pause));
        }
        left = timeout - (clock::now() - start);
        if (left <= duration::zero())
        {
            return receive_status::timed_out;
        }
    }
}

int udp_socket::send_some(std::span<const outgoing> datagrams) const
{
    std::array<mmsghdr, batch_capacity> headers;
    std::array<std::array<iovec, parts_per_datagram>, batch_capacity> vectors;
    std::array<sockaddr_in, batch_capacity> addresses;
    const std::size_t count = std::min(datagrams.size(), batch_capacity);
    for (std::size_t i = 0; i < count; ++i)
    {
        const outgoing& datagram = datagrams[i];
        addresses[i] = socket_address(datagram.to);
        // The interface of the system takes no pointer to const, but does not
        // write through it.
        const iovec header{.iov_base =
                               const_cast<std::byte*>(datagram.header.data()),
                           .iov_len = datagram.header_size};
        const iovec packet{
            .iov_base = const_cast<std::byte*>(datagram.packet.bytes.data()),
            .iov_len = datagram.packet.bytes.size()};
        const bool direct = datagram.header_size == 0;
        vectors[i] =
            direct ? std::array{packet, header} : std::array{header, packet};
        headers[i] = {.msg_hdr = {.msg_name = &addresses[i],
                                  .msg_namelen = sizeof(sockaddr_in),
                                  .msg_iov = vectors[i].data(),
                                  .msg_iovlen = direct ? 1U : 2U,
                                  .msg_control = nullptr,
                                  .msg_controllen = 0,
                                  .msg_flags = 0},
                      .msg_len = 0};
    }
    const int sent = ::sendmmsg(opened_.socket, headers.data(),
                                static_cast<unsigned>(count), MSG_DONTWAIT);
    return sent < 0 ? -errno : sent;
}

std::size_t udp_socket::send(std::span<const outgoing> datagrams)
{
    std::size_t sent = 0;
    bool waited = false;
    bool repeated = false;
    while (!datagrams.empty())
    {
        const int result = send_some(datagrams);
        if (result >= 0)
        {
            sent += static_cast<std::size_t>(result);
            repeated = false;
            datagrams = datagrams.subspan(static_cast<std::size_t>(result));
        }
        else if (result == -ECONNREFUSED && !repeated)
        {
            port_closed_.fetch_add(1, std::memory_order_relaxed);
            repeated = true;
        }
        else if (result == -EAGAIN || result == -ENOBUFS)
        {
            if (waited)
            {
                dropped_no_room_.fetch_add(datagrams.size(),
                                           std::memory_order_relaxed);
                break;
            }
            waited = true;
            std::array room{
                pollfd{.fd = opened_.socket, .events = POLLOUT, .revents = 0}};
            poll_for(room, longest_send_wait);
        }
        else if (result != -EINTR)
        {
            dropped_unsendable_.fetch_add(1, std::memory_order_relaxed);
            repeated = false;
            datagrams = datagrams.subspan(1);
        }
    }
    sent_.fetch_add(sent, std::memory_order_relaxed);
    return sent;
}

void udp_socket::stop()
{
    stopped_.store(true, std::memory_order_release);
    // If the datagram is lost, the receiver ends after `longest_wait`.
    wake();
}

void udp_socket::wake() const
{
    const sockaddr_in own = socket_address(local());
    ::sendto(opened_.socket, nullptr, 0, MSG_DONTWAIT,
             reinterpret_cast<const sockaddr*>(&own), sizeof(own));
}

socket_counts udp_socket::counts() const
{
    std::array<std::uint32_t, SK_MEMINFO_VARS> memory{};
    socklen_t size = sizeof(memory);
    ::getsockopt(opened_.socket, SOL_SOCKET, SO_MEMINFO, memory.data(), &size);
    return {.received = received_.load(std::memory_order_relaxed),
            .cut = cut_.load(std::memory_order_relaxed),
            .receive_overflow = memory[SK_MEMINFO_DROPS],
            .receive_errors = receive_errors_.load(std::memory_order_relaxed),
            .sent = sent_.load(std::memory_order_relaxed),
            .dropped_no_room = dropped_no_room_.load(std::memory_order_relaxed),
            .dropped_unsendable =
                dropped_unsendable_.load(std::memory_order_relaxed),
            .port_closed = port_closed_.load(std::memory_order_relaxed)};
}

} // namespace catkinkeel
