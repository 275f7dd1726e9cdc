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

// Larger than the largest message, so that an oversized one is counted here;
// nng closes the connection above it.
constexpr std::size_t receive_limit = 65536;
constexpr nng_duration shortest_reconnect_ms = 100;
constexpr nng_duration longest_reconnect_ms = 2000;

std::string url_of(const endpoint& where)
{
    return "tcp://" + to_string(where);
}

failure unavailable(const std::string& what, int error)
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

/// How long a closing transport waits for its receive thread at most.
constexpr int stop_check_ms = 200;
/// How long it waits for its sockets to be closed.
constexpr duration longest_close = 2s;

/// Closes sockets on a thread of their own that nobody waits for: nng_close of
/// nng 1.5.2 was seen to wait for ever, one of nng's timer threads with it.
std::future<void> close_in_background(std::vector<nng_socket> sockets)
{
    std::promise<void> closed;
    std::future<void> done = closed.get_future();
    std::thread(
        [closing = std::move(sockets), finished = std::move(closed)]() mutable
        {
            for (const nng_socket each : closing)
            {
                nng_close(each);
            }
            finished.set_value();
        })
        .detach();
    return done;
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
    const auto listening = opened->listen();
    if (!listening)
    {
        return listening.error();
    }
    return opened;
}

transport::transport(const transport_settings& settings, inbox_ptr inbox)
    : settings_(settings),
      inbox_(std::move(inbox)),
      listening_(settings.listen),
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
    if (const int error = nng_pull0_open(&pull_); error != 0)
    {
        return unavailable("cannot open a socket", error);
    }
    nng_socket_set_size(pull_, NNG_OPT_RECVMAXSZ, receive_limit);
    nng_listener listener = NNG_LISTENER_INITIALIZER;
    int error =
        nng_listener_create(&listener, pull_, url_of(settings_.listen).c_str());
    if (error == 0)
    {
        error = nng_listener_start(listener, 0);
    }
    if (error == 0)
    {
        error = nng_socket_get_int(pull_, NNG_OPT_RECVFD, &receivable_);
    }
    int port = settings_.listen.port;
    if (error == 0)
    {
        error = nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port);
    }
    if (error != 0)
    {
        return unavailable("cannot listen on " + to_string(settings_.listen),
                           error);
    }
    listening_.port = static_cast<std::uint16_t>(port);
    receiver_ = std::thread([this] { receive(); });
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
    if (receiver_.joinable())
    {
        receiver_.join();
    }
    {
        const std::lock_guard lock(mutex_);
        std::vector<nng_socket> sockets;
        for (const auto& [id, line] : lines_)
        {
            sockets.push_back(line.socket);
        }
        sockets.push_back(pull_);
        // So that the address can be bound again, in all but the rare case.
        close_in_background(std::move(sockets)).wait_for(longest_close);
        lines_.clear();
    }
    inbox_->close();
}

void transport::set_peers(const member_view& view)
{
    const std::lock_guard lock(mutex_);
    std::unordered_map<vm_id, endpoint> next;
    for (const member& each : view.members)
    {
        if (each.id != settings_.self)
        {
            next.emplace(each.id, each.control);
        }
    }
    std::vector<vm_id> outdated;
    for (const auto& [id, line] : lines_)
    {
        const auto found = next.find(id);
        if (found == next.end() || found->second != peers_.at(id))
        {
            outdated.push_back(id);
        }
    }
    std::ranges::for_each(outdated, [&](vm_id id) { close_line(id); });
    peers_ = std::move(next);
    sessions_.keep_only([&](vm_id id) { return known(id); });
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
    now_ = std::max(now_, now);
    if (closed_)
    {
        return send_result::closed;
    }
    if (size > max_message_size)
    {
        return send_result::too_large;
    }
    if (!known(outgoing.peer))
    {
        return send_result::unknown_peer;
    }
    if (!budget_.allows(size, priority_of(outgoing.content), now))
    {
        ++counts_.over_budget;
        return send_result::over_budget;
    }
    peer_line* const line = line_to(outgoing.peer);
    if (line == nullptr)
    {
        return send_result::queue_full;
    }
    const auto sealed = sessions_.seal(outgoing.peer, body);
    const send_result result =
        sealed ? push(*line, *sealed)
               : hold(*line, outgoing.peer, std::move(body), now);
    // A message that a full queue refused costs nothing, or an unreachable
    // peer would use up the budget of the others.
    if (result == send_result::sent || result == send_result::held)
    {
        budget_.spend(size, now);
    }
    return result;
}

send_result transport::hold(peer_line& line, vm_id to, byte_buffer body,
                            instant now)
{
    if (!line.hello_at)
    {
        say_hello(line, to, now);
    }
    if (line.held.size() >= settings_.max_held)
    {
        ++counts_.queue_full;
        return send_result::queue_full;
    }
    line.held.push_back(std::move(body));
    return send_result::held;
}

void transport::say_hello(peer_line& line, vm_id to, instant now)
{
    line.hello_at = now;
    push_urgent(line, sessions_.seal_hello(to));
}

// Sends a frame that carries no message, if the budget allows.
void transport::push_urgent(const peer_line& line, const byte_buffer& bytes)
{
    const byte_count size{bytes.size()};
    if (budget_.allows(size, message_priority::urgent, now_) &&
        push(line, bytes) == send_result::sent)
    {
        budget_.spend(size, now_);
    }
}

void transport::tick(instant now)
{
    const std::lock_guard lock(mutex_);
    now_ = std::max(now_, now);
    if (now - welcomes_reset_ >= settings_.hello_period)
    {
        welcomes_reset_ = now;
        welcomed_.clear();
    }
    for (auto& [id, line] : lines_)
    {
        if (!line.held.empty() &&
            (!line.hello_at || now - *line.hello_at >= settings_.hello_period))
        {
            say_hello(line, id, now);
        }
    }
}

std::vector<drop_report> transport::due_reports(instant now)
{
    const std::lock_guard lock(mutex_);
    return drops_.due(now);
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

endpoint transport::listening() const
{
    return listening_;
}

void transport::receive()
{
    // Waits in the kernel and not in nng, whose close does not always wake a
    // waiting receive (see `close_in_background`).
    pollfd waiting{receivable_, POLLIN, 0};
    while (!stopping_)
    {
        if (poll(&waiting, 1, stop_check_ms) <= 0)
        {
            continue;
        }
        nng_msg* received = nullptr;
        while (!stopping_ &&
               nng_recvmsg(pull_, &received, NNG_FLAG_NONBLOCK) == 0)
        {
            accept({static_cast<const std::uint8_t*>(nng_msg_body(received)),
                    nng_msg_len(received)});
            nng_msg_free(received);
        }
    }
}

void transport::accept(byte_view bytes)
{
    const std::lock_guard lock(mutex_);
    counts_.received_bytes =
        counts_.received_bytes + byte_count{bytes.size()} + header_cost;
    const received_frame opened =
        sessions_.open(bytes, [&](vm_id id) { return known(id); });
    if (const auto* const content = std::get_if<received_content>(&opened))
    {
        accept_content(*content);
    }
    else if (const auto* const hello = std::get_if<received_hello>(&opened))
    {
        send_welcome(hello->from, hello->welcome);
    }
    else if (const auto* const welcome = std::get_if<received_welcome>(&opened))
    {
        flush_held(welcome->from);
    }
    else if (const auto* const refused = std::get_if<refused_frame>(&opened))
    {
        drops_.count(refused->reason, refused->claimed_sender);
        if (!refused->welcome.empty())
        {
            send_welcome(*refused->claimed_sender, refused->welcome);
        }
    }
}

void transport::accept_content(const received_content& content)
{
    auto decoded = decode_message(content.body);
    if (const auto* const reason = std::get_if<drop_reason>(&decoded))
    {
        drops_.count(*reason, content.from);
        return;
    }
    if (!inbox_->try_push(
            {content.from, std::get<message>(std::move(decoded))}))
    {
        drops_.count(drop_reason::ring_full, content.from);
        return;
    }
    ++counts_.received_messages;
}

// Bounded for each peer, so that forged frames cannot make this VM send much.
void transport::send_welcome(vm_id to, const byte_buffer& welcome)
{
    if (closed_ || !welcomed_.insert(to).second)
    {
        return;
    }
    if (peer_line* const line = line_to(to))
    {
        push_urgent(*line, welcome);
    }
}

void transport::flush_held(vm_id to)
{
    const auto line = lines_.find(to);
    if (line == lines_.end())
    {
        return;
    }
    line->second.hello_at.reset();
    for (const byte_buffer& body : std::exchange(line->second.held, {}))
    {
        if (const auto sealed = sessions_.seal(to, body))
        {
            push(line->second, *sealed);
        }
    }
}

send_result transport::push(const peer_line& line, const byte_buffer& bytes)
{
    // nng copies the bytes; without a free place it refuses at once.
    const int error =
        nng_send(line.socket, const_cast<std::uint8_t*>(bytes.data()),
                 bytes.size(), NNG_FLAG_NONBLOCK);
    if (error != 0)
    {
        ++counts_.queue_full;
        return send_result::queue_full;
    }
    ++counts_.sent_messages;
    counts_.sent_bytes =
        counts_.sent_bytes + byte_count{bytes.size()} + header_cost;
    return send_result::sent;
}

transport::peer_line* transport::line_to(vm_id id)
{
    const auto found = lines_.find(id);
    if (found != lines_.end())
    {
        found->second.last_used = ++uses_;
        return &found->second;
    }
    if (lines_.size() >= settings_.max_dialers)
    {
        close_least_used();
    }
    peer_line line;
    line.last_used = ++uses_;
    if (nng_push0_open(&line.socket) != 0)
    {
        return nullptr;
    }
    nng_socket_set_int(line.socket, NNG_OPT_SENDBUF, settings_.send_queue);
    nng_socket_set_ms(line.socket, NNG_OPT_RECONNMINT, shortest_reconnect_ms);
    nng_socket_set_ms(line.socket, NNG_OPT_RECONNMAXT, longest_reconnect_ms);
    if (nng_dial(line.socket, url_of(peers_.at(id)).c_str(), nullptr,
                 NNG_FLAG_NONBLOCK) != 0)
    {
        nng_close(line.socket);
        return nullptr;
    }
    ++counts_.dialers_opened;
    return &lines_.emplace(id, std::move(line)).first->second;
}

void transport::close_least_used()
{
    const auto least = std::ranges::min_element(
        lines_, {}, [](const auto& entry) { return entry.second.last_used; });
    if (least != lines_.end())
    {
        close_line(least->first);
    }
}

void transport::close_line(vm_id id)
{
    const auto line = lines_.extract(id);
    if (!line.empty())
    {
        close_in_background({line.mapped().socket});
    }
}

bool transport::known(vm_id id) const
{
    return peers_.contains(id);
}

} // namespace catkinkeel
