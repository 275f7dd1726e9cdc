#include "catkinkeel/edge/peers_duty.hpp"

#include "catkinkeel/clock/clock.hpp"

#include <algorithm>
#include <utility>

namespace catkinkeel::edge
{

namespace
{

/// Peers of the own data centre that get each newer confirmation.
constexpr std::size_t nearby_fan_out = 3;
/// Peers of each other data centre that get an own confirmation. Bytes between
/// data centres are dear; two, so that one dead peer hides nothing.
constexpr std::size_t remote_fan_out = 2;
/// Sightings in a usual notice; about 30 bytes each.
constexpr std::size_t usual_sightings = 4;
/// A confirmation that is newer by less is not passed on.
constexpr duration worth_passing = 100ms;

} // namespace

peers_duty::peers_duty(const edge_settings& settings,
                       std::shared_ptr<udp_socket> socket,
                       std::shared_ptr<confirmation_ring> own,
                       std::shared_ptr<peer_news_ring> out,
                       std::shared_ptr<edge_metrics> metrics)
    : settings_(settings.peers),
      socket_(std::move(socket)),
      own_(std::move(own)),
      out_(std::move(out)),
      metrics_(std::move(metrics)),
      random_(wall_nanoseconds()),
      table_({settings.peers.notices, settings.data_centre},
             settings.peers.table),
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
        const receive_status status =
            socket_->receive(batch, std::max(next - now_, duration::zero()));
        if (status == receive_status::stopped)
        {
            return;
        }
        now_ = boot_now();
        if (status == receive_status::received)
        {
            for (const received_datagram& datagram : batch.datagrams())
            {
                handle(datagram);
            }
        }
        spread_own();
        table_.expire(now_);
        tell_reader();
    }
}

void peers_duty::handle(const received_datagram& datagram)
{
    if (datagram.payload.bytes.empty())
    {
        return;
    }
    const auto notice = decode_notice(datagram.payload.bytes, now_);
    // The sender's address is what its datagrams come from, so one daemon
    // cannot speak for another.
    if (!notice || notice.value().sender.notices != datagram.from)
    {
        metrics_->notices_rejected.Increment();
        return;
    }
    metrics_->notices_received.Increment();
    take(notice.value());
}

void peers_duty::take(const peer_notice& notice)
{
    table_.note({notice.sender, now_});
    for (const peer_sighting& each : notice.sightings)
    {
        table_.note(each);
    }
    const bool newer =
        notice.confirmed &&
        (!known_ || notice.confirmed->at > known_->at + worth_passing);
    if (newer)
    {
        known_ = notice.confirmed;
        send(table_.pick_nearby(nearby_fan_out, random_), usual_sightings);
        out_->push_newest({known_, table_.rank()});
    }
    if (notice.wants_peers)
    {
        send({notice.sender.notices}, most_sightings, false);
    }
}

void peers_duty::spread_own()
{
    bool any = false;
    while (const auto own = own_->try_pop())
    {
        if (!known_ || own->at > known_->at)
        {
            known_ = own;
            any = true;
        }
    }
    if (any)
    {
        send(table_.pick_nearby(nearby_fan_out, random_), usual_sightings);
        send(table_.pick_remote(remote_fan_out, random_), usual_sightings);
    }
}

void peers_duty::send_due()
{
    if (now_ >= next_notice_)
    {
        next_notice_ = now_ + settings_.notice_period;
        send(table_.pick_nearby(1, random_), usual_sightings);
    }
    if (now_ >= next_hello_)
    {
        next_hello_ = now_ + (table_.size() == 0 ? settings_.hello_alone
                                                 : settings_.hello_period);
        send(settings_.seeds, usual_sightings, true);
    }
}

void peers_duty::send(const std::vector<peer>& to, std::size_t sightings)
{
    std::vector<endpoint> addresses;
    addresses.reserve(to.size());
    for (const peer& each : to)
    {
        addresses.push_back(each.notices);
    }
    send(addresses, sightings, false);
}

void peers_duty::send(const std::vector<endpoint>& to, std::size_t sightings,
                      bool wants_peers)
{
    const std::vector<std::byte> bytes =
        encode_notice({.sender = table_.self(),
                       .wants_peers = wants_peers,
                       .confirmed = known_,
                       .sightings = table_.sample(sightings, random_)},
                      now_);
    std::vector<outgoing> datagrams;
    for (const endpoint& each : to)
    {
        if (each != table_.self().notices)
        {
            datagrams.push_back({.to = each, .packet = {bytes}});
        }
    }
    metrics_->notices_sent.Increment(static_cast<double>(datagrams.size()));
    socket_->send(datagrams);
}

void peers_duty::tell_reader()
{
    const reader_rank rank = table_.rank();
    metrics_->peers.Set(static_cast<double>(table_.size()));
    if (rank != told_)
    {
        told_ = rank;
        out_->push_newest({known_, rank});
    }
}

} // namespace catkinkeel::edge
