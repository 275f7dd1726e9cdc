#pragma once

// A PUSH socket of nng that is connected to its peer at most once.
//
// nng 1.5.2 can leave a pipe (one TCP connection of a socket) in the list of
// pipes of a PUSH socket that are ready to send, after the pipe is closed: if
// the peer closes the connection while the pipe is started or while a send
// completes, the pipe is added to the list after it was removed from it. nng
// then frees the pipe, and the next nng_send on that socket uses the freed
// memory. Neither asynchronous sends nor a single sending thread avoid this,
// because the list is changed by the threads of nng. Therefore no frame is
// passed to a socket whose pipe has been removed. nng reports the removal
// (NNG_PIPE_EV_REM_POST) before it frees the pipe, and the callback waits for a
// send in progress.

#include "catkinkeel/base/address.hpp"
#include "catkinkeel/link/codec.hpp"

#include <nng/nng.h>

#include <cstdint>
#include <memory>
#include <mutex>

namespace catkinkeel::internal
{

/// Thread-safe.
class push_socket
{
public:
    /// Starts to connect to the peer and repeats this until it succeeds once.
    /// Null if nng fails.
    static std::unique_ptr<push_socket> open(const endpoint& peer,
                                             int send_queue_limit);

    /// Closes the socket, which can block (see `close_in_background` in
    /// transport.cpp).
    ~push_socket();
    push_socket(const push_socket&) = delete;
    push_socket& operator=(const push_socket&) = delete;

    /// Returns at once: false if the send queue is full or the socket is
    /// disconnected.
    [[nodiscard]] bool send(byte_view frame);

    /// Whether the connection was established and then closed. The socket
    /// does not connect again.
    [[nodiscard]] bool is_disconnected() const;

private:
    enum class connection_state : std::uint8_t
    {
        connecting,
        connected,
        disconnected
    };

    push_socket() = default;
    static void handle_pipe_event(nng_pipe pipe, nng_pipe_ev event,
                                  void* socket) noexcept;
    void handle_new_pipe(nng_pipe pipe);
    void handle_removed_pipe();

    nng_socket socket_ = NNG_SOCKET_INITIALIZER;
    /// Held during nng_send.
    mutable std::mutex mutex_;
    connection_state state_ = connection_state::connecting;
};

} // namespace catkinkeel::internal
