#pragma once

// A UDP socket that receives and sends in batches.

#include "catkinkeel/base/address.hpp"
#include "catkinkeel/base/outcome.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/packet/encapsulation.hpp"
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

/// Requested size of the kernel's receive and send buffers. It holds the
/// packets of about 2 ms at a million packets per second; the kernel may grant
/// less.
inline constexpr int socket_buffer_bytes = 4 * 1024 * 1024;

/// Maximum time for which a call of `send` waits for space in the kernel's
/// buffer. After a longer delay it is better to drop packets.
inline constexpr duration max_send_wait = 2ms;

/// Delay after an unexpected receive error, so that a persistent error does not
/// make the thread spin.
inline constexpr duration receive_error_delay = 10ms;

enum class receive_status : std::uint8_t
{
    /// The batch contains at least one datagram.
    received,
    timed_out,
    /// `stop` was called; every later receive returns this as well.
    stopped
};

/// Counters of one socket since it was opened.
struct socket_counts
{
    std::uint64_t received = 0;
    /// Received datagrams longer than `datagram_buffer_size`, which were cut to
    /// it.
    std::uint64_t oversized = 0;
    /// Datagrams that the kernel dropped because its receive buffer was full.
    std::uint64_t receive_overflow = 0;
    /// Unexpected errors of the receive call.
    std::uint64_t receive_errors = 0;
    std::uint64_t sent = 0;
    /// Datagrams not sent because the kernel's buffer stayed full.
    std::uint64_t dropped_no_room = 0;
    /// Datagrams that the kernel rejected, for example because they were too
    /// long or had no route.
    std::uint64_t dropped_unsendable = 0;
    /// Reports that an earlier datagram was sent to a closed port
    /// (ECONNREFUSED).
    std::uint64_t port_closed = 0;

    friend auto operator<=>(const socket_counts&,
                            const socket_counts&) = default;
};

struct socket_count_row
{
    std::string_view name;
    std::uint64_t socket_counts::*value;
};

/// All counters with their names in metrics.
inline constexpr std::array socket_count_rows{
    socket_count_row{"received", &socket_counts::received},
    socket_count_row{"cut", &socket_counts::oversized},
    socket_count_row{"receive_overflow", &socket_counts::receive_overflow},
    socket_count_row{"receive_errors", &socket_counts::receive_errors},
    socket_count_row{"sent", &socket_counts::sent},
    socket_count_row{"dropped_no_room", &socket_counts::dropped_no_room},
    socket_count_row{"dropped_unsendable", &socket_counts::dropped_unsendable},
    socket_count_row{"port_closed", &socket_counts::port_closed},
};

/// The counters of datagrams that were dropped on this VM.
inline constexpr std::array socket_drop_rows{
    socket_count_row{"receive_overflow", &socket_counts::receive_overflow},
    socket_count_row{"dropped_no_room", &socket_counts::dropped_no_room},
    socket_count_row{"dropped_unsendable", &socket_counts::dropped_unsendable},
};

/// An open socket, closed by its destructor. One thread may receive while
/// another one sends; `stop`, `wake`, `local` and `counts` are safe to call
/// from any thread.
class udp_socket
{
    /// A private type, so that only `open` can call the constructor.
    struct descriptors
    {
        int socket = -1;
    };

public:
    /// Opens a socket bound to `local`; port 0 selects a free port. Fails with
    /// `unavailable` and the error text of the system.
    static outcome<std::shared_ptr<udp_socket>> open(const endpoint& local);

    explicit udp_socket(const descriptors& opened) : descriptors_(opened) {}
    udp_socket(const udp_socket&) = delete;
    udp_socket& operator=(const udp_socket&) = delete;
    ~udp_socket();

    /// Returns the bound address, including the port that the kernel selected.
    [[nodiscard]] endpoint local() const;

    /// Replaces the content of `batch` by the datagrams queued in the kernel.
    /// Waits in the kernel for the first one for up to `timeout`. Errors are
    /// counted; the call goes on and the socket stays usable.
    receive_status receive(packet_batch& batch, duration timeout);

    /// Sends `datagrams` in order and returns how many the kernel accepted.
    /// After a partial send it continues with the rest. A datagram that the
    /// kernel rejects is counted and skipped. If the kernel's buffer is full,
    /// the call waits once for up to `max_send_wait`; if the buffer is full
    /// again, the remaining datagrams are dropped and counted. ECONNREFUSED
    /// refers to an earlier datagram: it is counted and the send is retried
    /// once per datagram.
    std::size_t send(std::span<const outgoing_datagram> datagrams);

    /// Makes a waiting receive return by sending an empty datagram to the
    /// socket itself; the batch then contains that datagram. If it is lost, the
    /// receive waits until its timeout.
    void wake() const;

    /// Ends the current and all later receives.
    void stop();

    [[nodiscard]] socket_counts counts() const;

private:
    using counter = std::atomic<std::uint64_t>;

    /// Receives the queued datagrams, waiting for the first one; returns 0 or
    /// the error number.
    int receive_queued(packet_batch& batch, duration max_wait);
    /// Sets the receive timeout in the kernel, unless it is set already.
    void set_receive_timeout(duration max_wait);
    /// Sends up to `batch_capacity` datagrams; returns how many the kernel
    /// accepted, or the negated error number for the first datagram.
    int send_batch(std::span<const outgoing_datagram> datagrams) const;

    descriptors descriptors_;
    /// Used by the receiving thread only.
    std::chrono::microseconds receive_timeout_{};
    std::atomic<bool> stopped_{false};
    counter received_{0};
    counter oversized_{0};
    counter receive_errors_{0};
    counter sent_{0};
    counter dropped_no_room_{0};
    counter dropped_unsendable_{0};
    counter port_closed_{0};
};

} // namespace catkinkeel
