#include "catkinkeel/link/peer_sessions.hpp"

#include "catkinkeel/link/internal/byte_block.hpp"

namespace catkinkeel
{

peer_sessions::peer_sessions(vm_id self, const key_ring& keys,
                             session_id session, const key_bytes& secret)
    : self_(self), keys_(keys), session_(session), secret_(secret)
{
}

void peer_sessions::replace_keys(const key_ring& keys)
{
    keys_ = keys;
}

byte_buffer peer_sessions::seal(vm_id to, frame_kind kind, byte_view body,
                                session_token token)
{
    return seal_frame({kind, keys_.primary.id, self_, session_, ++sequence_},
                      body, {to, token}, keys_.primary);
}

std::optional<byte_buffer> peer_sessions::seal(vm_id to, byte_view body)
{
    const auto token = send_tokens_.find(to);
    if (token == send_tokens_.end())
    {
        return std::nullopt;
    }
    return seal(to, frame_kind::content, body, token->second);
}

byte_buffer peer_sessions::seal_hello(vm_id to)
{
    return seal(to, frame_kind::hello, {}, {});
}

byte_buffer peer_sessions::seal_welcome(vm_id to, session_id session)
{
    internal::block_writer body;
    body.put(session.value, sizeof session.value);
    body.put(token_for(to, session, receive_state_of(to)).value,
             sizeof(session_token));
    return seal(to, frame_kind::welcome, body.bytes(), {});
}

// A process never uses an epoch twice, so a sender that was removed and added
// again needs a new token, too.
peer_sessions::receive_state& peer_sessions::receive_state_of(vm_id from)
{
    const auto [found, added] = receive_states_.try_emplace(from);
    if (added)
    {
        found->second.epoch = next_epoch_++;
    }
    return found->second;
}

session_token peer_sessions::token_for(vm_id from, session_id session,
                                       const receive_state& state) const
{
    return state.session == session
               ? state.token
               : derive_token(secret_, from, session, state.epoch);
}

received_frame peer_sessions::open(byte_view bytes,
                                   const std::function<bool(vm_id)>& is_known)
{
    const auto parsed = parse_frame(bytes);
    if (const auto* const reason = std::get_if<drop_reason>(&parsed))
    {
        return refused_frame{*reason, std::nullopt, {}};
    }
    const frame& received = std::get<frame>(parsed);
    const frame_header& header = received.header;
    if (header.sender == self_ || !is_known(header.sender))
    {
        return refused_frame{drop_reason::unknown_sender, header.sender, {}};
    }
    const link_key* const key = keys_.find(header.key_id);
    if (key == nullptr)
    {
        return refused_frame{drop_reason::unknown_key, header.sender, {}};
    }
    if (header.kind == frame_kind::content)
    {
        return open_content(received, bytes, *key);
    }
    if (!verify_frame(bytes, {self_, {}}, *key))
    {
        return refused_frame{drop_reason::bad_mac, header.sender, {}};
    }
    if (header.kind == frame_kind::hello)
    {
        return received_hello{header.sender,
                              seal_welcome(header.sender, header.session)};
    }
    return open_welcome(received);
}

received_frame peer_sessions::open_content(const frame& received,
                                           byte_view bytes, const link_key& key)
{
    const frame_header& header = received.header;
    receive_state& state = receive_state_of(header.sender);
    const session_token token = token_for(header.sender, header.session, state);
    if (!verify_frame(bytes, {self_, token}, key))
    {
        return refused_frame{drop_reason::bad_mac, header.sender,
                             seal_welcome(header.sender, header.session)};
    }
    if (state.session != header.session)
    {
        state = {next_epoch_++, header.session, token, {}};
    }
    if (!state.window.accept(header.sequence))
    {
        return refused_frame{drop_reason::replayed, header.sender, {}};
    }
    return received_content{header.sender, received.body};
}

received_frame peer_sessions::open_welcome(const frame& received)
{
    internal::block_reader body(received.body);
    session_id session;
    session_token token;
    if (!body.get(session.value) || !body.get(token.value) || !body.at_end())
    {
        return refused_frame{
            drop_reason::malformed, received.header.sender, {}};
    }
    // A welcome for a session from before a restart of this process.
    if (session != session_)
    {
        return refused_frame{drop_reason::replayed, received.header.sender, {}};
    }
    send_tokens_[received.header.sender] = token;
    return received_welcome{received.header.sender};
}

void peer_sessions::retain_peers(const std::function<bool(vm_id)>& is_known)
{
    const auto is_unknown = [&](const auto& entry)
    {
        return !is_known(entry.first);
    };
    std::erase_if(send_tokens_, is_unknown);
    std::erase_if(receive_states_, is_unknown);
}

} // namespace catkinkeel
