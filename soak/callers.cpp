#include "soak/callers.hpp"

#include "catkinkeel/clock/clock.hpp"
#include "soak/asio_endpoint.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <span>
#include <utility>

namespace catkinkeel::soak
{

namespace
{

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

/// Times after the first opening packet at which its copies are sent.
constexpr std::array<duration, 3> copies{0ms, 200ms, 600ms};
constexpr duration opening_time = 1400ms;
constexpr duration first_repetition = 200ms;
constexpr duration longest_repetition = 1600ms;
constexpr std::uint32_t most_repetitions = 8;
/// Fewer unanswered packets at daemons that live prove no fault: one may have
/// been stopped with the packet in its queue.
constexpr std::uint32_t enough_attempts = 4;
constexpr duration longest_pause = 1500ms;
constexpr duration shortest_life = 500ms;
constexpr duration longest_life = 25s;
constexpr std::uint16_t first_port = 10000;

duration part_of(random_source& random, duration whole)
{
    return duration(static_cast<duration::rep>(
        random.unit() * static_cast<double>(whole.count())));
}

} // namespace

/// One flow. Its timer and its packets keep it alive until it has ended.
class caller_flow : public std::enable_shared_from_this<caller_flow>
{
public:
    caller_flow(caller_site& site, const endpoint& caller,
                const endpoint& reference)
        : site_(site),
          caller_(caller),
          reference_(reference),
          began_(steady_now()),
          ends_(began_ + shortest_life + part_of(site.random_, longest_life)),
          timer_(site.context_)
    {
    }

    void start()
    {
        send_copy();
    }

    void handle(const segment& packet, const udp::endpoint& sender)
    {
        if (packet.aborts)
        {
            handle_reset(packet);
            return;
        }
        if (packet.opens)
        {
            handle_opened(packet, sender);
            return;
        }
        token_ = packet.token;
        if (!target_ || packet.acknowledged != sequence_ || !waiting_)
        {
            return;
        }
        waiting_ = false;
        if (closing_)
        {
            site_.checker_.finished();
            end();
            return;
        }
        closing_ = packet.finishes || steady_now() >= ends_;
        send_after(closing_ ? duration{}
                            : part_of(site_.random_, longest_pause));
    }

private:
    void handle_reset(const segment& packet)
    {
        if (!target_)
        {
            site_.checker_.refused();
        }
        else if (!packet.from_an_end)
        {
            site_.checker_.reset(caller_, *target_);
        }
        else
        {
            // A target that does not know the flow; it told the checker of the
            // packet.
            site_.checker_.silent(caller_, *target_, 1);
        }
        end();
    }

    void handle_opened(const segment& packet, const udp::endpoint& sender)
    {
        if (target_)
        {
            return;
        }
        const std::uint32_t number =
            (sender.address().to_v4().to_uint() & 255U) - 1;
        target_ = target_process{number, packet.sequence};
        token_ = packet.token;
        site_.open_[caller_] = *target_;
        site_.checker_.opened();
        send_after({});
    }

    void send_copy()
    {
        segment packet{.from = caller_,
                       .to = reference_,
                       .opens = true,
                       .acknowledged = copy_};
        site_.send(packet);
        ++copy_;
        const bool last = copy_ == copies.size();
        timer_.expires_at(asio::steady_timer::time_point(
            (began_ + (last ? opening_time : copies.at(copy_)))
                .time_since_epoch()));
        timer_.async_wait(
            [self = shared_from_this(), last](error_code error)
            {
                if (error || self->target_ || self->ended_)
                {
                    return;
                }
                if (last)
                {
                    self->site_.checker_.not_opened(self->caller_,
                                                    self->began_);
                    self->end();
                    return;
                }
                self->send_copy();
            });
    }

    void send_after(duration pause)
    {
        timer_.expires_after(pause);
        timer_.async_wait(
            [self = shared_from_this()](error_code error)
            {
                if (!error && !self->ended_)
                {
                    ++self->sequence_;
                    self->repetitions_ = 0;
                    self->attempts_ = 0;
                    self->waiting_ = true;
                    self->send_packet();
                }
            });
    }

    void send_packet()
    {
        const bool reached = site_.send({.from = caller_,
                                         .to = reference_,
                                         .token = token_,
                                         .acknowledges = true,
                                         .finishes = closing_,
                                         .sequence = sequence_});
        attempts_ += reached ? 1U : 0U;
        timer_.expires_after(std::min(first_repetition * (1U << repetitions_),
                                      longest_repetition));
        timer_.async_wait(
            [self = shared_from_this()](error_code error)
            {
                if (!error && self->waiting_ && !self->ended_)
                {
                    self->repeat();
                }
            });
    }

    void repeat()
    {
        if (++repetitions_ <= most_repetitions)
        {
            send_packet();
            return;
        }
        if (attempts_ >= enough_attempts)
        {
            site_.checker_.silent(caller_, *target_, attempts_);
        }
        end();
    }

    void end()
    {
        ended_ = true;
        timer_.cancel();
        site_.forget(caller_);
    }

    caller_site& site_;
    endpoint caller_;
    endpoint reference_;
    instant began_;
    instant ends_;
    asio::steady_timer timer_;
    std::optional<target_process> target_;
    std::uint32_t token_ = 0;
    std::uint32_t copy_ = 0;
    std::uint32_t sequence_ = 0;
    std::uint32_t repetitions_ = 0;
    /// Packets since the last answer that daemons which live got.
    std::uint32_t attempts_ = 0;
    bool waiting_ = false;
    bool closing_ = false;
    bool ended_ = false;
};

caller_site::caller_site(asio::io_context& context, const soak_plan& plan,
                         const router& routers, invariant_checker& checker,
                         std::function<bool(std::uint32_t)> lives)
    : context_(context),
      plan_(plan),
      routers_(routers),
      checker_(checker),
      lives_(std::move(lives)),
      random_(plan.seed + 1),
      socket_(context, to_asio<udp>(plan.callers())),
      timer_(context),
      next_port_(first_port)
{
    receive();
}

caller_site::~caller_site() = default;

void caller_site::start()
{
    open_next();
}

void caller_site::stop()
{
    stopping_ = true;
}

void caller_site::open_next()
{
    if (stopping_)
    {
        return;
    }
    next_port_ = std::max<std::uint16_t>(next_port_ + 1, first_port);
    const endpoint caller{plan_.callers().address, next_port_};
    if (!references_.empty() && !flows_.contains(caller))
    {
        const auto flow = std::make_shared<caller_flow>(
            *this, caller, references_[random_.below(references_.size())]);
        flows_.emplace(caller, flow);
        flow->start();
    }
    // Arrivals of many independent callers.
    const double mean = 1.0 / plan_.rate;
    timer_.expires_after(std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(-mean * std::log(1 - random_.unit()))));
    timer_.async_wait([this](error_code) { open_next(); });
}

bool caller_site::send(const segment& packet)
{
    const auto daemon = routers_.choose(packet.from, packet.to);
    if (!daemon)
    {
        return false;
    }
    const segment_bytes bytes = encode(packet);
    error_code ignored;
    socket_.send_to(asio::buffer(bytes), to_asio<udp>(plan_.packets(*daemon)),
                    0, ignored);
    return lives_(*daemon) && routers_.in_rotation(*daemon);
}

void caller_site::receive()
{
    socket_.async_receive_from(asio::buffer(buffer_), sender_,
                               [this](error_code error, std::size_t size)
                               {
                                   const auto packet =
                                       decode(std::span(buffer_.data(), size));
                                   if (!error && packet)
                                   {
                                       const auto found =
                                           flows_.find(packet->to);
                                       if (found != flows_.end())
                                       {
                                           const auto flow = found->second;
                                           flow->handle(*packet, sender_);
                                       }
                                   }
                                   receive();
                               });
}

void caller_site::forget(const endpoint& caller)
{
    flows_.erase(caller);
    open_.erase(caller);
}

} // namespace catkinkeel::soak
