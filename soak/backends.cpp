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
constexpr std::uint32_t slots = 16;

std::string key_of(std::uint64_t identity)
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
                 std::uint32_t number, store_simulator& store,
                 invariant_checker& checker, const open_flows& open)
    : plan_(plan),
      number_(number),
      store_(store),
      checker_(checker),
      open_(open),
      socket_(context, to_asio<udp>(plan.target(number))),
      service_((number / 2) % service_count)
{
    receive();
}

void backend::start(bool same_identity)
{
    ++starts_;
    if (!same_identity || identity_ == 0)
    {
        identity_ = (std::uint64_t{number_ + 1} << 32U) | starts_;
    }
    running_ = true;
    draining_ = false;
    announce();
}

void backend::crash()
{
    checker_.target_ended(process());
    running_ = false;
    flows_.clear();
}

void backend::drain()
{
    draining_ = true;
    announce();
}

void backend::announce()
{
    const nlohmann::json entry{{"service", service_name(service_)},
                               {"address", to_string(plan_.target(number_))},
                               {"zone", soak_plan::data_centre(number_)},
                               {"version", "v1"},
                               {"concurrency", slots},
                               {"state", draining_ ? "draining" : "ready"},
                               {"warmup_left_ms", 0},
                               {"sequence", starts_},
                               {"born", 1767225600000 + starts_}};
    store_.put(key_of(identity_), entry.dump());
}

void backend::withdraw()
{
    store_.remove(key_of(identity_));
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
                const std::uint64_t meant =
                    boost::endian::load_big_u64(bytes.data());
                const auto packet = decode(bytes.subspan(identity_size));
                if (packet && (meant == 0 || meant == identity_))
                {
                    handle(*packet,
                           (sender_.address().to_v4().to_uint() & 255U) - 1);
                }
            }
            receive();
        });
}

void backend::handle(const segment& packet, std::uint32_t daemon)
{
    const endpoint& caller = packet.from;
    const auto found = flows_.find(caller);
    if (packet.opens)
    {
        checker_.opening_arrived(daemon, packet.to, process(), service_,
                                 soak_plan::data_centre(number_), steady_now());
        flows_.insert(caller);
        reply(packet, {.opens = true,
                       .acknowledges = true,
                       .sequence = static_cast<std::uint32_t>(starts_)});
        return;
    }
    const auto open = open_.find(caller);
    if (open != open_.end())
    {
        checker_.packet_arrived(daemon, caller, open->second, process());
    }
    if (found == flows_.end())
    {
        reply(packet, {.aborts = true});
        return;
    }
    reply(packet, {.acknowledges = true,
                   .finishes = packet.finishes || draining_,
                   .acknowledged = packet.sequence});
}

void backend::reply(const segment& to, segment answer)
{
    answer.from = to.to;
    answer.to = to.from;
    answer.token = to.token;
    const segment_bytes bytes = encode(answer);
    boost::system::error_code ignored;
    socket_.send_to(asio::buffer(bytes), to_asio<udp>(plan_.callers()), 0,
                    ignored);
}

} // namespace catkinkeel::soak
