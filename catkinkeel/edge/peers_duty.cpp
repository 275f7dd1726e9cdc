#include "catkinkeel/edge/peers_duty.hpp"

#include "catkinkeel/base/random_choice.hpp"
#include "catkinkeel/clock/clock.hpp"
#include "catkinkeel/edge/duty_step.hpp"
#include "catkinkeel/edge/evidence_message.hpp"

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

/// Number of peers that receive a message with reports: in this daemon's data
/// centre, whose daemons mostly use the same targets, and in each other one. In
/// a site of 60 daemons in three data centres these are 20 of 59.
constexpr std::size_t nearby_report_fan_out = 16;
constexpr std::size_t remote_report_fan_out = 2;
/// Headers of IPv4 and UDP, charged for each datagram with reports.
constexpr std::size_t datagram_header_bytes = 28;

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
                       std::shared_ptr<evidence_rings> evidence,
                       std::shared_ptr<daemon_count_ring> daemon_counts,
                       std::shared_ptr<event_channel> events,
                       std::shared_ptr<edge_metrics> metrics)
    : settings_(settings.peers),
      socket_(std::move(socket)),
      own_confirmations_(std::move(own_confirmations)),
      updates_(std::move(updates)),
      evidence_(std::move(evidence)),
      daemon_counts_(std::move(daemon_counts)),
      events_(std::move(events)),
      metrics_(std::move(metrics)),
      random_(wall_nanoseconds()),
      table_({settings.peers.notice_endpoint, settings.data_centre},
             settings.peers.table),
      started_(boot_now()),
      arrivals_(max_receive_wait),
      report_budget_({}, started_),
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
        instant next = std::min(next_notice_, next_hello_);
        if (!outbox_.empty())
        {
            next = std::min(next, next_report_);
        }
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
        send_daemon_count();
    }
}

void peers_duty::handle(const received_datagram& datagram)
{
    if (datagram.payload.bytes.empty())
    {
        return;
    }
    if (evidence_ && is_evidence(datagram.payload.bytes))
    {
        handle_evidence(datagram);
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

void peers_duty::handle_evidence(const received_datagram& datagram)
{
    const std::optional<instant>& arrival = arrivals_.earliest();
    const auto message =
        decode_evidence(datagram.payload.bytes, arrival.value_or(now_));
    // The same check of the sender as for notices. A message in this daemon's
    // own name would count its observations twice.
    if (!message || message.value().sender.notice_endpoint != datagram.from ||
        datagram.from == table_.self().notice_endpoint)
    {
        metrics_->evidence_messages_rejected.Increment();
        return;
    }
    const std::vector<steering::target_report>& reports =
        message.value().reports;
    const auto count = static_cast<double>(reports.size());
    metrics_->evidence_reports_received.Increment(count);
    if (!arrival)
    {
        metrics_->evidence_reports_dropped(report_drop_reason::undated)
            .Increment(count);
        return;
    }
    for (const steering::target_report& each : reports)
    {
        evidence_->received.push_newest({datagram.from, each});
    }
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
    if (evidence_)
    {
        run_duty_step("peers", *events_, *metrics_,
                      [&] { exchange_reports(); });
    }
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

void peers_duty::exchange_reports()
{
    while (const auto report = evidence_->own.try_pop())
    {
        outbox_.add(*report);
    }
    outbox_.expire(now_);
    if (!outbox_.empty() && now_ >= next_report_)
    {
        // Also if nothing can be sent, so that the thread does not spin.
        next_report_ = now_ + report_period;
        while (!outbox_.empty() && send_message())
        {
        }
    }
    count_dropped_reports();
}

bool peers_duty::send_message()
{
    const std::vector<steering::target_report> reports =
        outbox_.first(max_message_reports);
    const std::vector<std::byte> bytes =
        encode_evidence({table_.self(), reports}, boot_now());
    const std::size_t size = bytes.size() + datagram_header_bytes;
    std::vector<peer> to = table_.pick_nearby(nearby_report_fan_out, random_);
    const std::vector<peer> remote =
        table_.pick_remote(remote_report_fan_out, random_);
    to.insert(to.end(), remote.begin(), remote.end());
    keep_random(to, report_budget_.take(to.size(), size, now_), random_);
    if (to.empty())
    {
        return false;
    }
    std::vector<outgoing_datagram> datagrams;
    datagrams.reserve(to.size());
    for (const peer& each : to)
    {
        datagrams.push_back({.to = each.notice_endpoint, .packet = {bytes}});
    }
    outbox_.remove_first(reports.size());
    socket_->send(datagrams);
    metrics_->evidence_reports_sent.Increment(
        static_cast<double>(to.size() * reports.size()));
    metrics_->evidence_bytes_sent.Increment(
        static_cast<double>(to.size() * size));
    return true;
}

void peers_duty::count_dropped_reports()
{
    const auto count_new = [&](report_drop_reason reason, std::uint64_t dropped,
                               std::uint64_t& counted)
    {
        if (dropped > counted)
        {
            metrics_->evidence_reports_dropped(reason).Increment(
                static_cast<double>(dropped - counted));
            counted = dropped;
        }
    };
    count_new(report_drop_reason::ring_full,
              evidence_->own.overwritten() + evidence_->received.overwritten(),
              ring_drops_);
    count_new(report_drop_reason::not_sent, outbox_.dropped(), outbox_drops_);
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

void peers_duty::send_daemon_count()
{
    const auto count = static_cast<std::uint32_t>(table_.size() + 1);
    // A full table does not tell how many daemons there are.
    if (count != sent_daemon_count_ &&
        table_.size() < settings_.table.capacity &&
        now_ - started_ >= settings_.discovery_time)
    {
        sent_daemon_count_ = count;
        daemon_counts_->push_newest(count);
    }
}

} // namespace catkinkeel::edge
