#pragma once

// Sends and receives messages between VMs over nng, with one listening PULL
// socket and a PUSH socket for each connected peer.
//
// Handshake: the MAC of a message covers the session token that the receiving
// peer issued to this VM. While the token is missing, the transport queues
// messages to the peer and sends it a `hello`. The peer answers with a
// `welcome`, which contains the token, and the queued messages are sent. See
// peer_sessions.hpp for the session tokens.
//
// Example:
//   auto opened = transport::open(settings, inbox);
//   const std::shared_ptr<transport> link = opened.value();
//   link->set_peers(view);
//   link->send({peer, probe{...}}, now);
//   while (auto received = inbox->pop()) { handle(*received); }

#include "catkinkeel/base/outcome.hpp"
#include "catkinkeel/link/byte_budget.hpp"
#include "catkinkeel/link/drop.hpp"
#include "catkinkeel/link/message.hpp"
#include "catkinkeel/link/peer_sessions.hpp"
#include "catkinkeel/ring/bounded_ring.hpp"

#include <nng/nng.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace catkinkeel
{

struct transport_settings
{
    vm_id self;
    /// Port 0 selects a free port.
    endpoint listen;
    key_ring keys;
    byte_budget_settings budget;
    /// Maximum number of open connections to peers. A new connection above it
    /// closes the least recently used one.
    std::size_t max_connections = 256;
    /// Frames that nng buffers for one connection; further sends to the peer
    /// return `queue_full`.
    int send_queue_limit = 32;
    /// Maximum number of messages to one peer that are queued until its session
    /// token is received.
    std::size_t max_pending_messages = 8;
    /// Interval at which an unanswered `hello` is repeated. Also limits
    /// `welcome` frames to one per peer in each interval.
    duration handshake_interval = 500ms;
};

enum class send_result : std::uint8_t
{
    /// Passed to nng. It may still be lost.
    sent,
    /// Queued until the session token of the peer is received.
    queued,
    over_budget,
    too_large,
    unknown_peer,
    /// The send queue of the connection or the queue of messages that wait for
    /// the session token is full, or no connection could be opened.
    queue_full,
    closed
};

/// Counts since the transport was opened.
struct transport_counts
{
    std::uint64_t sent_messages = 0;
    /// Of all sent frames, with lower-layer headers.
    byte_count sent_bytes;
    std::uint64_t received_messages = 0;
    /// Of all received frames, dropped ones included, with lower-layer headers.
    byte_count received_bytes;
    /// Messages that the byte budget refused.
    std::uint64_t over_budget = 0;
    /// Messages and handshake frames that a full queue refused.
    std::uint64_t queue_full = 0;
    std::uint64_t connections_opened = 0;

    friend auto operator<=>(const transport_counts&,
                            const transport_counts&) = default;
};

/// Thread-safe. No function blocks on the network, except that `close` and the
/// destructor wait for the shutdown. A receive thread decodes the messages and
/// adds them to the inbox.
class transport
{
public:
    using inbox_ptr = std::shared_ptr<bounded_ring<peer_message>>;

    /// Starts to listen and starts the receive thread. Fails with
    /// `unavailable`.
    static outcome<std::shared_ptr<transport>>
    open(const transport_settings& settings, inbox_ptr inbox);

    ~transport();
    transport(const transport&) = delete;
    transport& operator=(const transport&) = delete;

    /// Replaces the peers by the members of the view. Messages to and from
    /// other VMs are refused.
    void set_peers(const member_view& view);
    void replace_keys(const key_ring& keys);

    send_result send(const peer_message& outgoing, instant now);

    /// Does the work that is due every `handshake_interval`: repeats the
    /// `hello` to each peer that has queued messages, and permits one more
    /// `welcome` to each peer. Call it about every 100 ms.
    void tick(instant now);
    /// Returns the drops to report, at most once a minute for each reason, and
    /// marks them as reported.
    std::vector<drop_report> take_drop_reports(instant now);

    [[nodiscard]] std::uint64_t dropped(drop_reason reason) const;
    [[nodiscard]] transport_counts counts() const;
    /// Endpoint that it listens on, with the selected port if the settings have
    /// port 0.
    [[nodiscard]] endpoint local_endpoint() const;

    /// Stops the receive thread and closes all connections, then closes the
    /// inbox. Further calls do nothing.
    void close();

private:
    struct peer_connection
    {
        nng_socket socket = NNG_SOCKET_INITIALIZER;
        /// Value of `use_counter_` at the last use.
        std::uint64_t last_used = 0;
        /// Encoded messages that are queued until the session token of the peer
        /// is received.
        std::vector<byte_buffer> pending_messages;
        /// When the last `hello` was sent, if it has not been answered.
        std::optional<instant> hello_sent_at;
    };

    transport(const transport_settings& settings, inbox_ptr inbox);
    outcome<done> listen();
    void run_receive_loop();
    void handle_frame(byte_view bytes);
    void handle_content(const received_content& content);
    void send_welcome(vm_id to, const byte_buffer& welcome);
    void send_pending(vm_id to);
    send_result enqueue_pending(peer_connection& connection, vm_id to,
                                byte_buffer body, instant now);
    void send_hello(peer_connection& connection, vm_id to, instant now);
    void send_control_frame(const peer_connection& connection,
                            const byte_buffer& bytes);
    send_result send_frame(const peer_connection& connection,
                           const byte_buffer& bytes);
    peer_connection* find_or_open_connection(vm_id id);
    void close_least_recently_used();
    void close_connection(vm_id id);
    [[nodiscard]] bool is_known_peer(vm_id id) const;

    transport_settings settings_;
    inbox_ptr inbox_;
    nng_socket pull_socket_ = NNG_SOCKET_INITIALIZER;
    endpoint local_endpoint_;
    /// File descriptor that is readable while the listening socket has a
    /// message.
    int receive_ready_fd_ = -1;
    std::atomic<bool> stopping_{false};
    std::thread receive_thread_;

    mutable std::mutex mutex_;
    bool closed_ = false;
    peer_sessions sessions_;
    byte_budget budget_;
    drop_counter drops_;
    transport_counts counts_;
    std::unordered_map<vm_id, endpoint> peers_;
    std::unordered_map<vm_id, peer_connection> connections_;
    std::uint64_t use_counter_ = 0;
    /// Peers that were sent a `welcome` since `welcomed_peers_cleared_at_`.
    std::unordered_set<vm_id> welcomed_peers_;
    instant welcomed_peers_cleared_at_;
    /// Latest time passed to `send` or `tick`. Frames of the handshake are
    /// charged to the byte budget at this time, because the receive thread,
    /// which sends `welcome` frames, is not passed a time.
    instant latest_caller_time_;
};

} // namespace catkinkeel
