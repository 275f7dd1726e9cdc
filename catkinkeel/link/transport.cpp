#include "catkinkeel/link/transport.hpp"

#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <sodium.h>

#include <algorithm>
#include <future>
#include <poll.h>
#include <string>
#include <utility>

namespace catkinkeel
{

namespace
{

// Larger than the maximum message size, so that this class can count an
// oversized message; above this limit nng closes the connection.
constexpr std::size_t max_receive_size_bytes = 65536;
constexpr nng_duration min_reconnect_delay_ms = 100;
constexpr nng_duration max_reconnect_delay_ms = 2000;

std::string url_of(const endpoint& address)
{
    return "tcp://" + to_string(address);
}

failure socket_failure(const std::string& what, int error)
{
    return {failure_kind::unavailable, what + ": " + nng_strerror(error)};
}

template <class T>
T random_value()
{
    T value;
    randombytes_buf(&value, sizeof value);
    return value;
}

/// Timeout of poll() in the receive thread, which limits the time until that
/// thread notices that the transport is being closed.
constexpr int receive_poll_timeout_ms = 200;
/// Maximum time that `transport::close` waits for its sockets to be closed.
constexpr duration close_timeout = 2s;

/// Closes sockets on a detached thread, because nng_close of nng 1.5.2 can
/// block forever together with one of the timer threads of nng. The future
/// becomes ready when all sockets are closed.
std::future<void> close_in_background(std::vector<nng_socket> sockets)
{
    std::promise<void> closed_promise;
    std::future<void> all_closed = closed_promise.get_future();
    std::thread(
        [sockets_to_close = std::move(sockets),
         all_closed_promise = std::move(closed_promise)]() mutable
        {
            for (const nng_socket each : sockets_to_close)
            {
                nng_close(each);
            }
            all_closed_promise.set_value();
        })
        .detach();
    return all_closed;
}

} // namespace

outcome<std::shared_ptr<transport>>
transport::open(const transport_settings& settings, inbox_ptr inbox)
{
    if (sodium_init() < 0)
    {
        return failure{failure_kind::unavailable,
                       "libsodium has no source of randomness"};
    }
    const std::shared_ptr<transport> opened(
        new transport(settings, std::move(inbox)));
    const auto listen_result = opened->listen();
    if (!listen_result)
    {
        return listen_result.error();
    }
    return opened;
}

transport::transport(const transport_settings& settings, inbox_ptr inbox)
    : settings_(settings),
      inbox_(std::move(inbox)),
      local_endpoint_(settings.listen),
      sessions_(settings.self, settings.keys,
                session_id{random_value<std::uint64_t>()},
                random_value<key_bytes>()),
      budget_(settings.budget)
{
}

transport::~transport()
{
    close();
}

outcome<done> transport::listen()
{
    if (const int error = nng_pull0_open(&pull_socket_); error != 0)
    {
        return socket_failure("cannot open a socket", error);
    }
    nng_socket_set_size(pull_socket_, NNG_OPT_RECVMAXSZ,
                        max_receive_size_bytes);
    nng_listener listener = NNG_LISTENER_INITIALIZER;
    int error = nng_listener_create(&listener, pull_socket_,
                                    url_of(settings_.listen).c_str());
    if (error == 0)
    {
        error = nng_listener_start(listener, 0);
    }
    if (error == 0)
    {
        error = nng_socket_get_int(pull_socket_, NNG_OPT_RECVFD,
                                   &receive_ready_fd_);
    }
    int port = settings_.listen.port;
    if (error == 0)
    {
        error = nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port);
    }
    if (error != 0)
    {
        return socket_failure("cannot listen on " + to_string(settings_.listen),
                              error);
    }
    local_endpoint_.port = static_cast<std::uint16_t>(port);
    receive_thread_ = std::thread([this] { run_receive_loop(); });
    return done{};
}

void transport::close()
{
    stopping_ = true;
    {
        const std::lock_guard lock(mutex_);
        if (closed_)
        {
            return;
        }
        closed_ = true;
    }
    if (receive_thread_.joinable())
    {
        receive_thread_.join();
    }
    {
        const std::lock_guard lock(mutex_);
        std::vector<nng_socket> sockets;
        for (const auto& [id, connection] : connections_)
        {
            sockets.push_back(connection.socket);
        }
        sockets.push_back(pull_socket_);
        // Waits so that the caller can bind the address again. Only if
        // nng_close blocks does this return with sockets still open.
        close_in_background(std::move(sockets)).wait_for(close_timeout);
        connections_.clear();
    }
    inbox_->close();
}

void transport::set_peers(const member_view& view)
{
    const std::lock_guard lock(mutex_);
    std::unordered_map<vm_id, endpoint> new_peers;
    for (const member& each : view.members)
    {
        if (each.id != settings_.self)
        {
            new_peers.emplace(each.id, each.control);
        }
    }
    std::vector<vm_id> outdated;
    for (const auto& [id, connection] : connections_)
    {
        const auto found = new_peers.find(id);
        if (found == new_peers.end() || found->second != peers_.at(id))
        {
            outdated.push_back(id);
        }
    }
    std::ranges::for_each(outdated, [&](vm_id id) { close_connection(id); });
    peers_ = std::move(new_peers);
    sessions_.retain_peers([&](vm_id id) { return is_known_peer(id); });
}

void transport::replace_keys(const key_ring& keys)
{
    const std::lock_guard lock(mutex_);
    sessions_.replace_keys(keys);
}

send_result transport::send(const peer_message& outgoing, instant now)
{
    byte_buffer body = encode_message(outgoing.content);
    const byte_count size{body.size() + envelope_size};
    const std::lock_guard lock(mutex_);
    latest_caller_time_ = std::max(latest_caller_time_, now);
    if (closed_)
    {
        return send_result::closed;
    }
    if (size > max_message_size)
    {
        return send_result::too_large;
    }
    if (!is_known_peer(outgoing.peer))
    {
        return send_result::unknown_peer;
    }
    if (!budget_.allows(size, priority_of(outgoing.content), now))
    {
        ++counts_.over_budget;
        return send_result::over_budget;
    }
    peer_connection* const connection = find_or_open_connection(outgoing.peer);
    if (connection == nullptr)
    {
        return send_result::queue_full;
    }
    const auto sealed = sessions_.seal(outgoing.peer, body);
    const send_result result =
        sealed
            ? send_frame(*connection, *sealed)
            : enqueue_pending(*connection, outgoing.peer, std::move(body), now);
    // A message that a full queue refused is not charged, or else an
    // unreachable peer would use up the budget of the others.
    if (result == send_result::sent || result == send_result::queued)
    {
        budget_.spend(size, now);
    }
    return result;
}

send_result transport::enqueue_pending(peer_connection& connection, vm_id to,
                                       byte_buffer body, instant now)
{
    if (!connection.hello_sent_at)
    {
        send_hello(connection, to, now);
    }
    if (connection.pending_messages.size() >= settings_.max_pending_messages)
    {
        ++counts_.queue_full;
        return send_result::queue_full;
    }
    connection.pending_messages.push_back(std::move(body));
    return send_result::queued;
}

void transport::send_hello(peer_connection& connection, vm_id to, instant now)
{
    connection.hello_sent_at = now;
    send_control_frame(connection, sessions_.seal_hello(to));
}

// Sends a hello or a welcome, with the priority of an urgent message. A frame
// that exceeds the budget is dropped.
void transport::send_control_frame(const peer_connection& connection,
                                   const byte_buffer& bytes)
{
    const byte_count size{bytes.size()};
    if (budget_.allows(size, message_priority::urgent, latest_caller_time_) &&
        send_frame(connection, bytes) == send_result::sent)
    {
        budget_.spend(size, latest_caller_time_);
    }
}

void transport::tick(instant now)
{
    const std::lock_guard lock(mutex_);
    latest_caller_time_ = std::max(latest_caller_time_, now);
    if (now - welcomed_peers_cleared_at_ >= settings_.handshake_interval)
    {
        welcomed_peers_cleared_at_ = now;
        welcomed_peers_.clear();
    }
    for (auto& [id, connection] : connections_)
    {
        if (!connection.pending_messages.empty() &&
            (!connection.hello_sent_at ||
             now - *connection.hello_sent_at >= settings_.handshake_interval))
        {
            send_hello(connection, id, now);
        }
    }
}

std::vector<drop_report> transport::take_drop_reports(instant now)
{
    const std::lock_guard lock(mutex_);
    return drops_.take_due_reports(now);
}

std::uint64_t transport::dropped(drop_reason reason) const
{
    const std::lock_guard lock(mutex_);
    return drops_.total(reason);
}

transport_counts transport::counts() const
{
    const std::lock_guard lock(mutex_);
    return counts_;
}

endpoint transport::local_endpoint() const
{
    return local_endpoint_;
}

void transport::run_receive_loop()
{
    // Waits in poll() and not in nng, because closing an nng socket does not
    // always wake a blocked receive (see `close_in_background`).
    pollfd poll_entry{receive_ready_fd_, POLLIN, 0};
    while (!stopping_)
    {
        if (poll(&poll_entry, 1, receive_poll_timeout_ms) <= 0)
        {
            continue;
        }
        nng_msg* received = nullptr;
        while (!stopping_ &&
               nng_recvmsg(pull_socket_, &received, NNG_FLAG_NONBLOCK) == 0)
        {
            handle_frame(
                {static_cast<const std::uint8_t*>(nng_msg_body(received)),
                 nng_msg_len(received)});
            nng_msg_free(received);
        }
    }
}

void transport::handle_frame(byte_view bytes)
{
    const std::lock_guard lock(mutex_);
    counts_.received_bytes =
        counts_.received_bytes + byte_count{bytes.size()} + header_overhead;
    const received_frame opened =
        sessions_.open(bytes, [&](vm_id id) { return is_known_peer(id); });
    if (const auto* const content = std::get_if<received_content>(&opened))
    {
        handle_content(*content);
    }
    else if (const auto* const hello = std::get_if<received_hello>(&opened))
    {
        send_welcome(hello->from, hello->welcome);
    }
    else if (const auto* const welcome = std::get_if<received_welcome>(&opened))
    {
        send_pending(welcome->from);
    }
    else if (const auto* const refused = std::get_if<refused_frame>(&opened))
    {
        drops_.record(refused->reason, refused->claimed_sender);
        if (!refused->welcome.empty())
        {
            send_welcome(*refused->claimed_sender, refused->welcome);
        }
    }
}

void transport::handle_content(const received_content& content)
{
    auto decoded = decode_message(content.body);
    if (const auto* const reason = std::get_if<drop_reason>(&decoded))
    {
        drops_.record(*reason, content.from);
        return;
    }
    if (!inbox_->try_push(
            {content.from, std::get<message>(std::move(decoded))}))
    {
        drops_.record(drop_reason::ring_full, content.from);
        return;
    }
    ++counts_.received_messages;
}

// At most one welcome per peer and handshake interval, so that forged frames
// cannot cause much traffic.
void transport::send_welcome(vm_id to, const byte_buffer& welcome)
{
    if (closed_ || !welcomed_peers_.insert(to).second)
    {
        return;
    }
    if (peer_connection* const connection = find_or_open_connection(to))
    {
        send_control_frame(*connection, welcome);
    }
}

void transport::send_pending(vm_id to)
{
    const auto connection = connections_.find(to);
    if (connection == connections_.end())
    {
        return;
    }
    connection->second.hello_sent_at.reset();
    for (const byte_buffer& body :
         std::exchange(connection->second.pending_messages, {}))
    {
        if (const auto sealed = sessions_.seal(to, body))
        {
            send_frame(connection->second, *sealed);
        }
    }
}

send_result transport::send_frame(const peer_connection& connection,
                                  const byte_buffer& bytes)
{
    // nng copies the bytes. If the send queue is full, nng_send fails at once.
    const int error =
        nng_send(connection.socket, const_cast<std::uint8_t*>(bytes.data()),
                 bytes.size(), NNG_FLAG_NONBLOCK);
    if (error != 0)
    {
        ++counts_.queue_full;
        return send_result::queue_full;
    }
    ++counts_.sent_messages;
    counts_.sent_bytes =
        counts_.sent_bytes + byte_count{bytes.size()} + header_overhead;
    return send_result::sent;
}

transport::peer_connection* transport::find_or_open_connection(vm_id id)
{
    const auto found = connections_.find(id);
    if (found != connections_.end())
    {
        found->second.last_used = ++use_counter_;
        return &found->second;
    }
    if (connections_.size() >= settings_.max_connections)
    {
        close_least_recently_used();
    }
    peer_connection connection;
    connection.last_used = ++use_counter_;
    if (nng_push0_open(&connection.socket) != 0)
    {
        return nullptr;
    }
    nng_socket_set_int(connection.socket, NNG_OPT_SENDBUF,
                       settings_.send_queue_limit);
    nng_socket_set_ms(connection.socket, NNG_OPT_RECONNMINT,
                      min_reconnect_delay_ms);
    nng_socket_set_ms(connection.socket, NNG_OPT_RECONNMAXT,
                      max_reconnect_delay_ms);
    if (nng_dial(connection.socket, url_of(peers_.at(id)).c_str(), nullptr,
                 NNG_FLAG_NONBLOCK) != 0)
    {
        nng_close(connection.socket);
        return nullptr;
    }
    ++counts_.connections_opened;
    return &connections_.emplace(id, std::move(connection)).first->second;
}

void transport::close_least_recently_used()
{
    const auto least_recently_used = std::ranges::min_element(
        connections_, {},
        [](const auto& entry) { return entry.second.last_used; });
    if (least_recently_used != connections_.end())
    {
        close_connection(least_recently_used->first);
    }
}

void transport::close_connection(vm_id id)
{
    const auto connection = connections_.extract(id);
    if (!connection.empty())
    {
        close_in_background({connection.mapped().socket});
    }
}

bool transport::is_known_peer(vm_id id) const
{
    return peers_.contains(id);
}

} // namespace catkinkeel
