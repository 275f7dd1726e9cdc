#pragma once

// Authenticated sessions with the other VMs. A frame is accepted only if it is
// authentic, addressed to this process and not a replay.
//
// Each process chooses a random session identifier at its start. Before the
// first content frame, the sender requests a session token from the receiver
// with a `hello`, and the receiver answers with a `welcome`. The MAC of each
// content frame covers the token. The receiver derives tokens from a secret
// that it chooses at its start and from an epoch per sender, which changes with
// each new session that it accepts. Frames recorded before a restart of the
// sender or of the receiver therefore fail the MAC check, without stored
// sessions or synchronised clocks. Within a session, a sliding window rejects
// replays.
//
// Uses no sockets, threads or clocks. Not thread-safe.

#include "catkinkeel/link/envelope.hpp"
#include "catkinkeel/link/replay_window.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <variant>

namespace catkinkeel
{

/// Verified content of a peer. `body` is a view of the bytes passed to
/// `peer_sessions::open`.
struct received_content
{
    vm_id from;
    byte_view body;
};

/// A peer requests the session token that this VM issues to it. The caller
/// sends it the frame `welcome`.
struct received_hello
{
    vm_id from;
    byte_buffer welcome;
};

/// A peer sent the session token for this VM, so content for the peer can be
/// sealed from now on.
struct received_welcome
{
    vm_id from;
};

/// A frame to drop. If `welcome` is not empty, the sender may have no valid
/// token because one of the two processes restarted; the caller should then
/// send it the frame `welcome`, which contains the token.
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
    /// `session` and `secret` must be new random values at each process start.
    peer_sessions(vm_id self, const key_ring& keys, session_id session,
                  const key_bytes& secret);

    void replace_keys(const key_ring& keys);

    /// Returns nullopt if the session token has not been received from `to`
    /// yet.
    std::optional<byte_buffer> seal(vm_id to, byte_view body);
    byte_buffer seal_hello(vm_id to);

    /// Verifies a frame. Frames of senders for which `is_known` returns false
    /// are refused.
    received_frame open(byte_view bytes,
                        const std::function<bool(vm_id)>& is_known);

    /// Removes the state of all VMs for which `is_known` returns false.
    void retain_peers(const std::function<bool(vm_id)>& is_known);

private:
    /// State of the session of one sender.
    struct receive_state
    {
        /// Epoch of the token for the next session of the sender.
        std::uint64_t epoch = 0;
        std::optional<session_id> session;
        /// Token that the MAC of the frames of `session` covers.
        session_token token;
        replay_window window;
    };

    byte_buffer seal(vm_id to, frame_kind kind, byte_view body,
                     session_token token);
    byte_buffer seal_welcome(vm_id to, session_id session);
    receive_state& receive_state_of(vm_id from);
    received_frame open_content(const frame& received, byte_view bytes,
                                const link_key& key);
    received_frame open_welcome(const frame& received);
    [[nodiscard]] session_token token_for(vm_id from, session_id session,
                                          const receive_state& state) const;

    vm_id self_;
    key_ring keys_;
    session_id session_;
    key_bytes secret_;
    std::uint32_t sequence_ = 0;
    std::uint64_t next_epoch_ = 0;
    std::unordered_map<vm_id, session_token> send_tokens_;
    std::unordered_map<vm_id, receive_state> receive_states_;
};

} // namespace catkinkeel
