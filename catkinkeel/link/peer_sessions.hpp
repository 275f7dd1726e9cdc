#pragma once

// Authenticated sessions with the other VMs: which frames are genuine, made
// for this process, and new.
//
// A process names its life by a random session. Before a sender's first content
// a `hello` asks the receiver for a token, and a `welcome` gives it; the MAC of
// each later frame covers the token. The receiver derives tokens from a secret
// of its own life and an epoch of the sender that changes with each session it
// accepts. So frames recorded before a restart of the sender or of the receiver
// fail the MAC, without stored sessions or synchronised clocks. Within a
// session a sliding window refuses replays.
//
// No socket, thread or clock. Not safe for use by two threads at once.

#include "catkinkeel/link/envelope.hpp"
#include "catkinkeel/link/replay_window.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <variant>

namespace catkinkeel
{

/// Authentic content of a peer. `body` refers to the frame's bytes.
struct received_content
{
    vm_id from;
    byte_view body;
};

/// A peer asked for a token: send it `welcome`.
struct received_hello
{
    vm_id from;
    byte_buffer welcome;
};

/// A peer gave its token: content for it can be sealed now.
struct received_welcome
{
    vm_id from;
};

/// A frame to drop. With `welcome`, the sender may lack the present token (one
/// of the two restarted) and can be told it.
struct refused_frame
{
    drop_reason reason = drop_reason::malformed;
    std::optional<vm_id> claimed_sender;
    byte_buffer welcome;
};

using received_frame = std::variant<received_content, received_hello,
                                    received_welcome, refused_frame>;

class peer_sessions
{
public:
    /// `session` and `secret` must be new random values for each life.
    peer_sessions(vm_id self, const key_ring& keys, session_id session,
                  const key_bytes& secret);

    void replace_keys(const key_ring& keys);

    /// Empty if the receiver's token is not known yet.
    std::optional<byte_buffer> seal(vm_id to, byte_view body);
    byte_buffer seal_hello(vm_id to);

    /// Verifies a frame. `known` tells which senders are expected.
    received_frame open(byte_view bytes,
                        const std::function<bool(vm_id)>& known);

    /// Drops the state of all other VMs.
    void keep_only(const std::function<bool(vm_id)>& known);

private:
    struct incoming
    {
        /// Epoch of the token that a new session of the sender must cover.
        std::uint64_t epoch = 0;
        std::optional<session_id> session;
        /// Token that the frames of `session` cover.
        session_token token;
        replay_window window;
    };

    byte_buffer seal(vm_id to, frame_kind kind, byte_view body,
                     session_token token);
    byte_buffer seal_welcome(vm_id to, session_id session);
    incoming& incoming_of(vm_id from);
    received_frame open_content(const frame& received, byte_view bytes,
                                const link_key& key);
    received_frame open_welcome(const frame& received);
    [[nodiscard]] session_token token_for(vm_id from, session_id session,
                                          const incoming& state) const;

    vm_id self_;
    key_ring keys_;
    session_id session_;
    key_bytes secret_;
    std::uint32_t sequence_ = 0;
    std::uint64_t next_epoch_ = 0;
    std::unordered_map<vm_id, session_token> outgoing_;
    std::unordered_map<vm_id, incoming> incoming_;
};

} // namespace catkinkeel
