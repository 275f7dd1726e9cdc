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
    return seal_frame({kind, keys_.current.id, self_, session_, ++sequence_},
                      body, {to, token}, keys_.current);
}

std::optional<byte_buffer> peer_sessions::seal(vm_id to, byte_view body)
{
    const auto token = outgoing_.find(to);
    if (token == outgoing_.end())
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
    body.put(token_for(to, session, incoming_of(to)).value,
             sizeof(session_token));
    return seal(to, frame_kind::welcome, body.bytes(), {});
}

// An epoch is never used twice in this life, so a sender that was dropped and
// became known again needs a new token as well.
peer_sessions::incoming& peer_sessions::incoming_of(vm_id from)
{
    const auto [found, added] = incoming_.try_emplace(from);
    if (added)
    {
        found->second.epoch = next_epoch_++;
    }
    return found->second;
}

session_token peer_sessions::token_for(vm_id from, session_id session,
                                       const incoming& state) const
{
    return state.session == session
               ? state.token
               : derive_token(secret_, from, session, state.epoch);
}

received_frame peer_sessions::open(byte_view bytes,
                                   const std::function<bool(vm_id)>& known)
{
    const auto parsed = parse_frame(bytes);
    if (const auto* const reason = std::get_if<drop_reason>(&parsed))
    {
        return refused_frame{*reason, std::nullopt, {}};
    }
    const frame& received = std::get<frame>(parsed);
    const frame_header& header = received.header;
    if (header.sender == self_ || !known(header.sender))
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
    incoming& state = incoming_of(header.sender);
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
    // A welcome to an earlier life of this process.
    if (session != session_)
    {
        return refused_frame{drop_reason::replayed, received.header.sender, {}};
    }
    outgoing_[received.header.sender] = token;
    return received_welcome{received.header.sender};
}

void peer_sessions::keep_only(const std::function<bool(vm_id)>& known)
{
    const auto unknown = [&](const auto& entry)
    {
        return !known(entry.first);
    };
    std::erase_if(outgoing_, unknown);
    std::erase_if(incoming_, unknown);
}

} // namespace catkinkeel
