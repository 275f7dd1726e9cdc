#pragma once

// A UDP socket that receives and sends in batches.

#include "catkinkeel/base/address.hpp"
#include "catkinkeel/base/outcome.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/packet/outgoing.hpp"
#include "catkinkeel/packet/packet_batch.hpp"

#include <array>
#include <atomic>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

namespace catkinkeel
{

/// Requested size of each kernel buffer. It absorbs about 2 ms at a million
/// packets a second; the kernel may grant less.
inline constexpr int socket_buffer_bytes = 4 * 1024 * 1024;

/// How long a send waits for room in the kernel's buffer, once for a call.
/// Longer than this, packets are better dropped than delayed.
inline constexpr duration longest_send_wait = 2ms;

/// Pause after an unexpected receive error, so that a lasting error does not
/// occupy the thread.
inline constexpr duration receive_error_pause = 10ms;

enum class receive_status : std::uint8_t
{
    /// The batch holds at least one datagram.
    received,
    timed_out,
    /// `stop` was called; every later receive gives this too.
    stopped
};

/// Counts of one socket since it was opened.
struct socket_counts
{
    std::uint64_t received = 0;
    /// Received datagrams longer than `packet_capacity`; they were cut.
    std::uint64_t cut = 0;
    /// Datagrams that the kernel dropped because its receive buffer was full.
    std::uint64_t receive_overflow = 0;
    /// Unexpected errors of the receive call.
    std::uint64_t receive_errors = 0;
    std::uint64_t sent = 0;
    /// Datagrams not sent because the kernel's buffer stayed full.
    std::uint64_t dropped_no_room = 0;
    /// Datagrams that the kernel refused, e.g. too long or without a route.
    std::uint64_t dropped_unsendable = 0;
    /// Reports that an earlier datagram met a closed port (ECONNREFUSED).
    std::uint64_t port_closed = 0;

    friend auto operator<=>(const socket_counts&,
                            const socket_counts&) = default;
};

struct socket_count_row
{
    std::string_view name;
    std::uint64_t socket_counts::*value;
};

/// Every count with its name in metrics.
inline constexpr std::array socket_count_rows{
    socket_count_row{"received", &socket_counts::received},
    socket_count_row{"cut", &socket_counts::cut},
    socket_count_row{"receive_overflow", &socket_counts::receive_overflow},
    socket_count_row{"receive_errors", &socket_counts::receive_errors},
    socket_count_row{"sent", &socket_counts::sent},
    socket_count_row{"dropped_no_room", &socket_counts::dropped_no_room},
    socket_count_row{"dropped_unsendable", &socket_counts::dropped_unsendable},
    socket_count_row{"port_closed", &socket_counts::port_closed},
};

/// The counts of datagrams that were lost here.
inline constexpr std::array socket_drop_rows{
    socket_count_row{"receive_overflow", &socket_counts::receive_overflow},
    socket_count_row{"dropped_no_room", &socket_counts::dropped_no_room},
    socket_count_row{"dropped_unsendable", &socket_counts::dropped_unsendable},
};

/// An open socket, closed with its last owner. One thread may receive while
/// another sends; `stop`, `local` and `counts` may be called by any thread.
class udp_socket
{
    /// Restricts construction to `open`.
    struct descriptors
    {
        int socket = -1;
    };

public:
    /// Binds a socket; port 0 takes a free port. Fails with `unavailable` and
    /// the system's reason.
    static outcome<std::shared_ptr<udp_socket>> open(const endpoint& local);

    explicit udp_socket(const descriptors& opened) : opened_(opened) {}
    udp_socket(const udp_socket&) = delete;
    udp_socket& operator=(const udp_socket&) = delete;
    ~udp_socket();

    /// The bound address, with the port that was taken.
    [[nodiscard]] endpoint local() const;

    /// Replaces the content of `batch` by the datagrams that have arrived,
    /// waiting in the kernel for the first one. Errors are counted and end
    /// neither the call nor the socket.
    receive_status receive(packet_batch& batch, duration timeout);

    /// Sends `datagrams` in order and returns how many the kernel took. After a
    /// partial send it goes on with the rest. A datagram that the kernel
    /// refuses is counted and skipped. When the kernel's buffer is full it
    /// waits once, up to `longest_send_wait`; what then finds no room is
    /// dropped and counted. ECONNREFUSED is about an earlier datagram: it is
    /// counted and the send is repeated once for each datagram.
    std::size_t send(std::span<const outgoing> datagrams);

    /// Lets a waiting receive return, with an empty datagram in its batch or
    /// timed out. May be called by any thread.
    void wake() const;

    /// Ends the present and all later receives.
    void stop();

    [[nodiscard]] socket_counts counts() const;

private:
    using counter = std::atomic<std::uint64_t>;

    /// Takes what has arrived, waiting for the first datagram; returns 0 or
    /// the error number.
    int receive_arrived(packet_batch& batch, duration wait);
    /// Sets how long the kernel waits, if it is another time than before.
    void limit_wait(duration wait);
    /// Sends up to `batch_capacity` datagrams; returns how many the kernel
    /// took, or the negative error number of the first.
    int send_some(std::span<const outgoing> datagrams) const;

    descriptors opened_;
    /// Only the receiving thread uses it.
    std::chrono::microseconds wait_limit_{};
    std::atomic<bool> stopped_{false};
    counter received_{0};
    counter cut_{0};
    counter receive_errors_{0};
    counter sent_{0};
    counter dropped_no_room_{0};
    counter dropped_unsendable_{0};
    counter port_closed_{0};
};

} // namespace catkinkeel
