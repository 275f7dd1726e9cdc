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

/// Send times of the opening packet and its retransmissions, relative to the
/// first transmission.
constexpr std::array<duration, 3> opening_send_offsets{0ms, 200ms, 600ms};
/// A flow without a reply this long after its first opening packet failed to
/// open.
constexpr duration opening_timeout = 1400ms;
/// Delay of the first retransmission of a packet in an open flow, doubled up to
/// `max_retransmission_delay`.
constexpr duration initial_retransmission_delay = 200ms;
constexpr duration max_retransmission_delay = 1600ms;
constexpr std::uint32_t max_retransmissions = 8;
/// Minimum number of unanswered packets to running daemons for reporting a flow
/// as unanswered. Fewer prove no fault, since a daemon may have been stopped
/// with a packet in its queue.
constexpr std::uint32_t min_delivered_packets_to_report = 4;
/// Longest time from a reply to the next packet of a flow.
constexpr duration max_packet_delay = 1500ms;
constexpr std::uint32_t request_bytes = 100;
constexpr duration min_flow_duration = 500ms;
/// Random addition to `min_flow_duration`.
constexpr duration max_extra_flow_duration = 25s;
constexpr std::uint16_t min_caller_port = 10000;

const reference_terms& terms_of(const endpoint& reference)
{
    return terms_by_reference.at(
        reference.address.value -
        soak_plan::reference_endpoint(0).address.value);
}

/// Uniform in [0, `max_duration`).
duration random_duration(random_source& random, duration max_duration)
{
    return duration(static_cast<duration::rep>(
        random.unit() * static_cast<double>(max_duration.count())));
}

} // namespace

/// One flow. The handlers of its timer keep the object alive until it has
/// ended.
class caller_flow : public std::enable_shared_from_this<caller_flow>
{
public:
    caller_flow(caller_simulator& callers, const endpoint& caller,
                const endpoint& reference)
        : callers_(callers),
          caller_(caller),
          reference_(reference),
          start_time_(steady_now()),
          close_time_(
              start_time_ + min_flow_duration +
              random_duration(callers.random_, max_extra_flow_duration)),
          timer_(callers.context_)
    {
    }

    void start()
    {
        send_opening_packet();
    }

    void handle_packet(const segment& packet, const udp::endpoint& sender)
    {
        if (packet.aborts)
        {
            handle_reset(packet);
            return;
        }
        if (packet.opens)
        {
            handle_opening_reply(packet, sender);
            return;
        }
        token_ = packet.token;
        if (!target_ || !awaiting_reply_ ||
            packet.acknowledged_sequence != next_packet().next_sequence())
        {
            return;
        }
        sequence_ = packet.acknowledged_sequence;
        received_ += packet.data_bytes;
        awaiting_reply_ = false;
        if (closing_)
        {
            callers_.checker_.record_flow_finished();
            end_flow();
            return;
        }
        closing_ = packet.finishes || steady_now() >= close_time_;
        if (!closing_)
        {
            segment acknowledgement = next_packet();
            acknowledgement.data_bytes = 0;
            callers_.send(acknowledgement);
        }
        schedule_next_packet(
            closing_ ? duration{}
                     : random_duration(callers_.random_, max_packet_delay));
    }

private:
    /// The packet whose reply is awaited, or the next one.
    [[nodiscard]] segment next_packet() const
    {
        return {.source = caller_,
                .destination = reference_,
                .token = token_,
                .acknowledges = true,
                .finishes = closing_,
                .sequence = sequence_,
                .acknowledged_sequence = received_,
                .data_bytes = closing_ ? 0 : request_bytes};
    }

    /// The caller learns that there is no answer.
    void record_request_ended()
    {
        if (awaiting_reply_ && !closing_ && sole_daemon_ &&
            terms_of(reference_).idempotent &&
            // With few open flows, daemons can't tell whether others live.
            !callers_.stopping_ && callers_.has_targets_since_(request_time_))
        {
            callers_.checker_.record_request_ended(
                *sole_daemon_, caller_, *target_, request_time_, steady_now());
        }
    }

    void handle_reset(const segment& packet)
    {
        record_request_ended();
        if (!target_)
        {
            callers_.checker_.record_flow_refused();
        }
        else if (!packet.has_checksum)
        {
            callers_.checker_.record_flow_reset(caller_, *target_);
        }
        else
        {
            // The reset came from a target that doesn't know the flow. That
            // target has already reported the packet to the checker.
            callers_.checker_.record_unanswered_flow(caller_, *target_, 1);
        }
        end_flow();
    }

    void handle_opening_reply(const segment& packet,
                              const udp::endpoint& sender)
    {
        if (target_)
        {
            return;
        }
        const std::uint32_t index =
            (sender.address().to_v4().to_uint() & 255U) - 1;
        target_ = target_process{index, packet.sequence};
        token_ = packet.token;
        callers_.flow_targets_[caller_] = *target_;
        callers_.checker_.record_flow_opened();
        schedule_next_packet({});
    }

    void send_opening_packet()
    {
        segment packet{.source = caller_,
                       .destination = reference_,
                       .opens = true,
                       .acknowledged_sequence = opening_packets_sent_};
        callers_.send(packet);
        ++opening_packets_sent_;
        const bool is_last =
            opening_packets_sent_ == opening_send_offsets.size();
        timer_.expires_at(asio::steady_timer::time_point(
            (start_time_ +
             (is_last ? opening_timeout
                      : opening_send_offsets.at(opening_packets_sent_)))
                .time_since_epoch()));
        timer_.async_wait(
            [self = shared_from_this(), is_last](error_code error)
            {
                if (error || self->target_ || self->ended_)
                {
                    return;
                }
                if (is_last)
                {
                    self->callers_.checker_.record_flow_not_opened(
                        self->caller_, self->start_time_);
                    self->end_flow();
                    return;
                }
                self->send_opening_packet();
            });
    }

    void schedule_next_packet(duration delay)
    {
        timer_.expires_after(delay);
        timer_.async_wait(
            [self = shared_from_this()](error_code error)
            {
                if (!error && !self->ended_)
                {
                    self->request_time_ = steady_now();
                    self->retransmissions_ = 0;
                    self->delivered_packets_ = 0;
                    self->awaiting_reply_ = true;
                    self->send_packet();
                }
            });
    }

    void send_packet()
    {
        const auto daemon = callers_.send(next_packet());
        delivered_packets_ += daemon ? 1U : 0U;
        if (retransmissions_ == 0)
        {
            sole_daemon_ = daemon;
        }
        else if (sole_daemon_ != daemon)
        {
            sole_daemon_.reset();
        }
        timer_.expires_after(
            std::min(initial_retransmission_delay * (1U << retransmissions_),
                     max_retransmission_delay));
        timer_.async_wait(
            [self = shared_from_this()](error_code error)
            {
                if (!error && self->awaiting_reply_ && !self->ended_)
                {
                    self->retransmit();
                }
            });
    }

    void retransmit()
    {
        if (++retransmissions_ <= max_retransmissions)
        {
            send_packet();
            return;
        }
        record_request_ended();
        if (delivered_packets_ >= min_delivered_packets_to_report)
        {
            callers_.checker_.record_unanswered_flow(caller_, *target_,
                                                     delivered_packets_);
        }
        end_flow();
    }

    void end_flow()
    {
        ended_ = true;
        timer_.cancel();
        callers_.remove_flow(caller_);
    }

    caller_simulator& callers_;
    endpoint caller_;
    endpoint reference_;
    instant start_time_;
    instant close_time_;
    asio::steady_timer timer_;
    std::optional<target_process> target_;
    std::uint32_t token_ = 0;
    std::uint32_t opening_packets_sent_ = 0;
    /// Numbers of the next byte to be sent and received; opening packets count
    /// as one.
    std::uint32_t sequence_ = 1;
    std::uint32_t received_ = 1;
    /// When the current packet was first sent.
    instant request_time_{};
    /// The daemon that received all copies of the current packet and ran in
    /// rotation at each; empty if there is none.
    std::optional<std::uint32_t> sole_daemon_;
    std::uint32_t retransmissions_ = 0;
    /// Transmissions of the current packet that were sent to running daemons in
    /// rotation.
    std::uint32_t delivered_packets_ = 0;
    bool awaiting_reply_ = false;
    bool closing_ = false;
    bool ended_ = false;
};

caller_simulator::caller_simulator(
    asio::io_context& context, const soak_plan& plan,
    const router& packet_router, invariant_checker& checker,
    std::function<bool(std::uint32_t)> is_daemon_running,
    std::function<bool(instant)> has_targets_since)
    : context_(context),
      plan_(plan),
      router_(packet_router),
      checker_(checker),
      is_daemon_running_(std::move(is_daemon_running)),
      has_targets_since_(std::move(has_targets_since)),
      random_(plan.seed + 1),
      socket_(context, to_asio_endpoint<udp>(plan.caller_endpoint())),
      timer_(context),
      next_caller_port_(min_caller_port)
{
    socket_.set_option(packet_receive_buffer);
    receive();
}

caller_simulator::~caller_simulator() = default;

void caller_simulator::start()
{
    open_next_flow();
}

void caller_simulator::stop()
{
    stopping_ = true;
}

void caller_simulator::open_next_flow()
{
    if (stopping_)
    {
        return;
    }
    next_caller_port_ =
        std::max<std::uint16_t>(next_caller_port_ + 1, min_caller_port);
    const endpoint caller{plan_.caller_endpoint().address, next_caller_port_};
    if (!references_.empty() && !flows_.contains(caller))
    {
        const auto flow = std::make_shared<caller_flow>(
            *this, caller, references_[random_.below(references_.size())]);
        flows_.emplace(caller, flow);
        flow->start();
    }
    // Independent callers arrive as a Poisson process.
    const double mean = 1.0 / plan_.flows_per_second;
    timer_.expires_after(std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(-mean * std::log(1 - random_.unit()))));
    timer_.async_wait([this](error_code) { open_next_flow(); });
}

std::optional<std::uint32_t> caller_simulator::send(const segment& packet)
{
    const auto daemon =
        router_.choose_daemon(packet.source, packet.destination);
    if (!daemon)
    {
        return std::nullopt;
    }
    const segment_bytes bytes = encode(packet);
    error_code ignored_error;
    socket_.send_to(asio::buffer(bytes),
                    to_asio_endpoint<udp>(plan_.packet_endpoint(*daemon)), 0,
                    ignored_error);
    return is_daemon_running_(*daemon) && router_.in_rotation(*daemon)
               ? daemon
               : std::nullopt;
}

void caller_simulator::receive()
{
    socket_.async_receive_from(
        asio::buffer(buffer_), sender_,
        [this](error_code error, std::size_t size)
        {
            const auto packet = decode(std::span(buffer_.data(), size));
            if (!error && packet)
            {
                const auto found = flows_.find(packet->destination);
                if (found != flows_.end())
                {
                    const auto flow = found->second;
                    flow->handle_packet(*packet, sender_);
                }
            }
            receive();
        });
}

void caller_simulator::remove_flow(const endpoint& caller)
{
    flows_.erase(caller);
    flow_targets_.erase(caller);
}

} // namespace catkinkeel::soak
