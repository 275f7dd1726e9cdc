#include "catkinkeel/link/internal/push_socket.hpp"

#include <nng/protocol/pipeline0/push.h>

#include <string>
#include <utility>

namespace catkinkeel::internal
{

namespace
{

constexpr nng_duration min_reconnect_delay_ms = 100;
constexpr nng_duration max_reconnect_delay_ms = 2000;

} // namespace

std::unique_ptr<push_socket> push_socket::open(const endpoint& peer,
                                               int send_queue_limit)
{
    std::unique_ptr<push_socket> opened(new push_socket);
    nng_socket& socket = opened->socket_;
    if (nng_push0_open(&socket) != 0)
    {
        return nullptr;
    }
    nng_socket_set_int(socket, NNG_OPT_SENDBUF, send_queue_limit);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, min_reconnect_delay_ms);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, max_reconnect_delay_ms);
    const std::string url = "tcp://" + to_string(peer);
    if (nng_pipe_notify(socket, NNG_PIPE_EV_ADD_PRE, handle_pipe_event,
                        opened.get()) != 0 ||
        nng_pipe_notify(socket, NNG_PIPE_EV_REM_POST, handle_pipe_event,
                        opened.get()) != 0 ||
        nng_dial(socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK) != 0)
    {
        return nullptr;
    }
    return opened;
}

push_socket::~push_socket()
{
    // No callback runs after nng_close, which waits until all pipes are
    // removed.
    nng_close(socket_);
}

bool push_socket::send(byte_view frame)
{
    const std::lock_guard lock(mutex_);
    // nng copies the bytes. If the send queue is full, nng_send fails at once.
    return state_ != connection_state::disconnected &&
           nng_send(socket_, const_cast<std::uint8_t*>(frame.data()),
                    frame.size(), NNG_FLAG_NONBLOCK) == 0;
}

bool push_socket::is_disconnected() const
{
    const std::lock_guard lock(mutex_);
    return state_ == connection_state::disconnected;
}

void push_socket::handle_pipe_event(nng_pipe pipe, nng_pipe_ev event,
                                    void* socket) noexcept
{
    auto* const self = static_cast<push_socket*>(socket);
    if (event == NNG_PIPE_EV_ADD_PRE)
    {
        self->handle_new_pipe(pipe);
    }
    else
    {
        self->handle_removed_pipe();
    }
}

// nng connects again after a disconnect. A second pipe is refused, because
// adding it to the list of ready pipes could access the freed first one.
void push_socket::handle_new_pipe(nng_pipe pipe)
{
    const std::lock_guard lock(mutex_);
    if (state_ != connection_state::connecting)
    {
        nng_pipe_close(pipe);
        return;
    }
    state_ = connection_state::connected;
}

void push_socket::handle_removed_pipe()
{
    const std::lock_guard lock(mutex_);
    state_ = connection_state::disconnected;
}

} // namespace catkinkeel::internal
