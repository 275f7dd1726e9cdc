#pragma once

// Carries messages between VMs over nng: one listening PULL socket and a PUSH
// socket to each peer in use.
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
    /// Port 0 takes a free one.
    endpoint listen;
    key_ring keys;
    budget_terms budget;
    /// Connections to peers kept open; the least recently used is closed.
    std::size_t max_dialers = 256;
    /// Frames that wait in one connection before sends to it are refused.
    int send_queue = 32;
    /// Messages to one peer that wait for its token.
    std::size_t max_held = 8;
    /// Time after which an unanswered hello is repeated. Also the shortest
    /// time between two welcomes to one peer.
    duration hello_period = 500ms;
};

enum class send_result : std::uint8_t
{
    /// Handed to nng. It may still be lost.
    sent,
    /// Waits for the peer's token.
    held,
    over_budget,
    too_large,
    unknown_peer,
    /// The connection's or the peer's queue is full.
    queue_full,
    closed
};

/// Counts since the transport was opened.
struct transport_counts
{
    std::uint64_t sent_messages = 0;
    byte_count sent_bytes;
    std::uint64_t received_messages = 0;
    /// Of all frames, with their headers.
    byte_count received_bytes;
    std::uint64_t over_budget = 0;
    std::uint64_t queue_full = 0;
    std::uint64_t dialers_opened = 0;

    friend auto operator<=>(const transport_counts&,
                            const transport_counts&) = default;
};

/// All functions may be called by any thread; none blocks on the network. A
/// receive thread of its own decodes messages and adds them to the inbox.
class transport
{
public:
    using inbox_ptr = std::shared_ptr<bounded_ring<peer_message>>;

    /// Listens and starts the receive thread. Fails with `unavailable`.
    static outcome<std::shared_ptr<transport>>
    open(const transport_settings& settings, inbox_ptr inbox);

    ~transport();
    transport(const transport&) = delete;
    transport& operator=(const transport&) = delete;

    /// Members of the view are the known senders and receivers.
    void set_peers(const member_view& view);
    void replace_keys(const key_ring& keys);

    send_result send(const peer_message& outgoing, instant now);

    /// Repeats unanswered hellos. Call every 100 ms or so.
    void tick(instant now);
    /// Drops to report, each reason at most once a minute.
    std::vector<drop_report> due_reports(instant now);

    [[nodiscard]] std::uint64_t dropped(drop_reason reason) const;
    [[nodiscard]] transport_counts counts() const;
    /// Where it listens, with the port chosen for port 0.
    [[nodiscard]] endpoint listening() const;

    /// Ends the receive thread and all connections, then closes the inbox.
    /// Further calls do nothing.
    void close();

private:
    struct peer_line
    {
        nng_socket socket = NNG_SOCKET_INITIALIZER;
        std::uint64_t last_used = 0;
        /// Encoded messages that wait for the peer's token.
        std::vector<byte_buffer> held;
        std::optional<instant> hello_at;
    };

    transport(const transport_settings& settings, inbox_ptr inbox);
    outcome<done> listen();
    void receive();
    void accept(byte_view bytes);
    void accept_content(const received_content& content);
    void send_welcome(vm_id to, const byte_buffer& welcome);
    void flush_held(vm_id to);
    send_result hold(peer_line& line, vm_id to, byte_buffer body, instant now);
    void say_hello(peer_line& line, vm_id to, instant now);
    void push_urgent(const peer_line& line, const byte_buffer& bytes);
    send_result push(const peer_line& line, const byte_buffer& bytes);
    peer_line* line_to(vm_id id);
    void close_least_used();
    void close_line(vm_id id);
    [[nodiscard]] bool known(vm_id id) const;

    transport_settings settings_;
    inbox_ptr inbox_;
    nng_socket pull_ = NNG_SOCKET_INITIALIZER;
    endpoint listening_;
    /// Readable while the listening socket has a message.
    int receivable_ = -1;
    std::atomic<bool> stopping_{false};
    std::thread receiver_;

    mutable std::mutex mutex_;
    bool closed_ = false;
    peer_sessions sessions_;
    byte_budget budget_;
    drop_log drops_;
    transport_counts counts_;
    std::unordered_map<vm_id, endpoint> peers_;
    std::unordered_map<vm_id, peer_line> lines_;
    std::uint64_t uses_ = 0;
    /// Peers that got a welcome since `welcomes_reset_`.
    std::unordered_set<vm_id> welcomed_;
    instant welcomes_reset_;
    /// Latest time passed in; the receive thread charges its sends at it.
    instant now_;
};

} // namespace catkinkeel
