#include "catkinkeel/edge/peers_duty.hpp"

#include "catkinkeel/clock/clock.hpp"
#include "catkinkeel/edge/duty_step.hpp"

#include <algorithm>
#include <utility>

namespace catkinkeel::edge
{

namespace
{

/// Number of peers in this daemon's data centre that receive each newer
/// confirmation.
constexpr std::size_t nearby_fan_out = 3;
/// Number of peers in each other data centre that receive the confirmations of
/// this daemon's own reads. Traffic between data centres is costly; two suffice
/// to reach a data centre if one of the peers is dead.
constexpr std::size_t remote_fan_out = 2;
/// Number of sightings in a notice, unless the receiver requested peers; about
/// 30 bytes each.
constexpr std::size_t default_notice_sightings = 4;
/// A received confirmation that is newer by less is not passed on.
constexpr duration min_confirmation_advance = 100ms;
/// Longest wait for a datagram. A notice counts as up to this much older than
/// it is, since it may have waited in the socket of a suspended process.
constexpr duration max_receive_wait = 100ms;

/// Returns `notice` without its confirmation, whose age is unknown if the time
/// of arrival is.
peer_notice without_confirmation(peer_notice notice)
{
    notice.confirmed.reset();
    return notice;
}

} // namespace

peers_duty::peers_duty(const edge_settings& settings,
                       std::shared_ptr<udp_socket> socket,
                       std::shared_ptr<confirmation_ring> own_confirmations,
                       std::shared_ptr<peer_update_ring> updates,
                       std::shared_ptr<event_channel> events,
                       std::shared_ptr<edge_metrics> metrics)
    : settings_(settings.peers),
      socket_(std::move(socket)),
      own_confirmations_(std::move(own_confirmations)),
      updates_(std::move(updates)),
      events_(std::move(events)),
      metrics_(std::move(metrics)),
      random_(wall_nanoseconds()),
      table_({settings.peers.notice_endpoint, settings.data_centre},
             settings.peers.table),
      arrivals_(max_receive_wait),
      thread_([this] { run(); })
{
}

peers_duty::~peers_duty()
{
    socket_->stop();
    thread_.join();
}

void peers_duty::run()
{
    packet_batch batch;
    now_ = boot_now();
    next_notice_ = now_ + settings_.notice_period;
    next_hello_ = now_;
    for (;;)
    {
        send_due();
        const instant next = std::min(next_notice_, next_hello_);
        now_ = boot_now();
        const instant started = now_;
        const receive_status status = socket_->receive(
            batch, std::clamp(next - now_, duration::zero(), max_receive_wait));
        if (status == receive_status::stopped)
        {
            return;
        }
        now_ = boot_now();
        arrivals_.record(started, now_,
                         batch.datagrams().size() < batch_capacity);
        if (status == receive_status::timed_out && now_ < next)
        {
            continue;
        }
        if (status == receive_status::received)
        {
            for (const received_datagram& datagram : batch.datagrams())
            {
                run_duty_step("peers", *events_, *metrics_,
                              [&] { handle(datagram); });
            }
        }
        send_own_confirmations();
        table_.expire(now_);
        send_update_to_reader();
    }
}

void peers_duty::handle(const received_datagram& datagram)
{
    if (datagram.payload.bytes.empty())
    {
        return;
    }
    const std::optional<instant>& earliest_arrival = arrivals_.earliest();
    const instant arrival = earliest_arrival.value_or(now_);
    auto notice = decode_notice(datagram.payload.bytes, arrival);
    // The sender in the notice must match the source address of the datagram,
    // so that a daemon cannot send notices in another's name.
    if (!notice || notice.value().sender.notice_endpoint != datagram.from)
    {
        metrics_->notices_rejected.Increment();
        return;
    }
    metrics_->notices_received.Increment();
    if (!earliest_arrival)
    {
        metrics_->notices_undated.Increment();
        notice = without_confirmation(std::move(notice).value());
    }
    process(notice.value(), arrival);
}

void peers_duty::process(const peer_notice& notice, instant arrival)
{
    table_.record({notice.sender, arrival});
    for (const peer_sighting& each : notice.sightings)
    {
        table_.record(each);
    }
    const bool newer =
        notice.confirmed && supersedes(*notice.confirmed, confirmation_) &&
        (!confirmation_ ||
         notice.confirmed->at > confirmation_->at + min_confirmation_advance);
    if (newer)
    {
        confirmation_ = notice.confirmed;
        send(table_.pick_nearby(nearby_fan_out, random_),
             default_notice_sightings);
        updates_->push_newest({confirmation_, table_.rank()});
    }
    if (notice.requests_peers)
    {
        send({notice.sender.notice_endpoint}, max_notice_sightings, false);
    }
}

void peers_duty::send_own_confirmations()
{
    bool updated = false;
    while (const auto own_confirmation = own_confirmations_->try_pop())
    {
        if (!confirmation_ || own_confirmation->at > confirmation_->at)
        {
            confirmation_ = own_confirmation;
            updated = true;
        }
    }
    if (updated)
    {
        send(table_.pick_nearby(nearby_fan_out, random_),
             default_notice_sightings);
        send(table_.pick_remote(remote_fan_out, random_),
             default_notice_sightings);
    }
}

void peers_duty::send_due()
{
    if (now_ >= next_notice_)
    {
        next_notice_ = now_ + settings_.notice_period;
        send(table_.pick_nearby(1, random_), default_notice_sightings);
    }
    if (now_ >= next_hello_)
    {
        next_hello_ = now_ + (table_.size() == 0 ? settings_.hello_period_alone
                                                 : settings_.hello_period);
        send(settings_.seeds, default_notice_sightings, true);
    }
}

void peers_duty::send(const std::vector<peer>& to, std::size_t sightings)
{
    std::vector<endpoint> addresses;
    addresses.reserve(to.size());
    for (const peer& each : to)
    {
        addresses.push_back(each.notice_endpoint);
    }
    send(addresses, sightings, false);
}

void peers_duty::send(const std::vector<endpoint>& to, std::size_t sightings,
                      bool requests_peers)
{
    const std::vector<std::byte> bytes =
        encode_notice({.sender = table_.self(),
                       .requests_peers = requests_peers,
                       .confirmed = confirmation_,
                       .sightings = table_.sample(sightings, random_)},
                      boot_now());
    std::vector<outgoing_datagram> datagrams;
    for (const endpoint& each : to)
    {
        if (each != table_.self().notice_endpoint)
        {
            datagrams.push_back({.to = each, .packet = {bytes}});
        }
    }
    metrics_->notices_sent.Increment(static_cast<double>(datagrams.size()));
    socket_->send(datagrams);
}

void peers_duty::send_update_to_reader()
{
    const reader_rank rank = table_.rank();
    metrics_->peers.Set(static_cast<double>(table_.size()));
    if (rank != sent_rank_)
    {
        sent_rank_ = rank;
        updates_->push_newest({confirmation_, rank});
    }
}

} // namespace catkinkeel::edge
