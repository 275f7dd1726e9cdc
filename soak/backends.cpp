#include "soak/backends.hpp"

#include "catkinkeel/clock/clock.hpp"
#include "soak/asio_endpoint.hpp"

#include <boost/endian/conversion.hpp>

#include <nlohmann/json.hpp>
#include <span>

namespace catkinkeel::soak
{

namespace
{

namespace asio = boost::asio;
using asio::ip::udp;

constexpr std::size_t identity_size = 8;
constexpr std::uint32_t slots_per_target = 16;
/// Typical sizes of an answer and of one with status 500.
constexpr std::uint32_t answer_bytes = 840;
constexpr std::uint32_t error_bytes = 208;

std::string announcement_key(std::uint64_t identity)
{
    constexpr const char* digits = "0123456789abcdef";
    std::string text;
    for (int shift = 60; shift >= 0; shift -= 4)
    {
        text += digits[(identity >> static_cast<unsigned>(shift)) & 15U];
    }
    return "servers/i-" + text;
}

} // namespace

backend::backend(asio::io_context& context, const soak_plan& plan,
                 std::uint32_t index, store_simulator& store,
                 invariant_checker& checker,
                 const flow_target_map& flow_targets)
    : plan_(plan),
      index_(index),
      store_(store),
      checker_(checker),
      flow_targets_(flow_targets),
      socket_(context, to_asio_endpoint<udp>(plan.target_endpoint(index))),
      service_index_((index / 2) % service_count)
{
    socket_.set_option(packet_receive_buffer);
    receive();
}

void backend::start(bool keep_identity)
{
    ++start_count_;
    if (!keep_identity || identity_ == 0)
    {
        identity_ = (std::uint64_t{index_ + 1} << 32U) | start_count_;
    }
    running_ = true;
    draining_ = false;
    failing_ = false;
    announce();
}

void backend::crash()
{
    checker_.record_target_end(current_process(), steady_now());
    running_ = false;
    available_since_.reset();
    known_callers_.clear();
}

void backend::drain()
{
    draining_ = true;
    announce();
}

void backend::announce()
{
    const nlohmann::json entry{
        {"service", service_name(service_index_)},
        {"address", to_string(plan_.target_endpoint(index_))},
        {"zone", soak_plan::data_centre_name(index_)},
        {"version", "v1"},
        {"concurrency", slots_per_target},
        {"state", draining_ ? "draining" : "ready"},
        {"warmup_left_ms", 0},
        {"sequence", start_count_},
        {"born", 1767225600000 + start_count_}};
    store_.put(announcement_key(identity_), entry.dump());
    available_since_ = draining_ ? std::nullopt : std::optional(steady_now());
}

void backend::withdraw()
{
    store_.remove(announcement_key(identity_));
    available_since_.reset();
}

void backend::receive()
{
    socket_.async_receive_from(
        asio::buffer(buffer_), sender_,
        [this](boost::system::error_code error, std::size_t size)
        {
            const std::span bytes(buffer_.data(), size);
            if (!error && running_ && size > identity_size)
            {
                const std::uint64_t addressed_identity =
                    boost::endian::load_big_u64(bytes.data());
                const auto packet = decode(bytes.subspan(identity_size));
                if (packet && (addressed_identity == 0 ||
                               addressed_identity == identity_))
                {
                    handle_packet(*packet,
                                  (sender_.address().to_v4().to_uint() & 255U) -
                                      1);
                }
            }
            receive();
        });
}

void backend::handle_packet(const segment& packet, std::uint32_t daemon)
{
    const endpoint& caller = packet.source;
    const auto known_caller = known_callers_.find(caller);
    if (packet.opens)
    {
        checker_.record_opening_packet(
            daemon, packet.destination, current_process(), service_index_,
            soak_plan::data_centre_name(index_), steady_now());
        known_callers_.insert(caller);
        send_reply(packet,
                   {.opens = true,
                    .acknowledges = true,
                    .sequence = static_cast<std::uint32_t>(start_count_)});
        return;
    }
    const auto open_flow = flow_targets_.find(caller);
    if (open_flow != flow_targets_.end())
    {
        checker_.record_packet(daemon, caller, open_flow->second,
                               current_process());
    }
    if (known_caller == known_callers_.end())
    {
        send_reply(packet, {.aborts = true});
        return;
    }
    if (packet.data_bytes > 0 || packet.finishes)
    {
        send_reply(packet, {.acknowledges = true,
                            .finishes = packet.finishes || draining_,
                            .acknowledged_sequence = packet.next_sequence(),
                            .data_bytes = packet.finishes ? 0
                                          : failing_      ? error_bytes
                                                          : answer_bytes});
    }
}

void backend::send_reply(const segment& request, segment reply)
{
    reply.source = request.destination;
    reply.destination = request.source;
    reply.token = request.token;
    const segment_bytes bytes = encode(reply);
    boost::system::error_code ignored_error;
    socket_.send_to(asio::buffer(bytes),
                    to_asio_endpoint<udp>(plan_.caller_endpoint()), 0,
                    ignored_error);
}

} // namespace catkinkeel::soak
