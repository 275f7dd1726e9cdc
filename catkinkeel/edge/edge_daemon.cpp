#include "catkinkeel/edge/edge_daemon.hpp"

#include "catkinkeel/clock/clock.hpp"

#include <string>
#include <thread>

namespace catkinkeel::edge
{

namespace
{

/// Period at which a departing daemon checks whether packets still arrive.
constexpr duration departure_check_period = 100ms;

} // namespace

bool may_exit(const departure_settings& settings, duration since_departure,
              duration since_last_packet)
{
    return since_departure >= settings.max_forwarding_time ||
           (since_departure >= settings.min_forwarding_time &&
            since_last_packet >= settings.quiet_period);
}

edge_daemon::edge_daemon(const edge_settings& settings) : settings_(settings) {}

outcome<std::shared_ptr<edge_daemon>>
edge_daemon::start(const edge_settings& settings,
                   std::shared_ptr<metadata_source> source,
                   std::shared_ptr<const packet_codec> codec,
                   const std::shared_ptr<event_channel>& events)
{
    std::shared_ptr<edge_daemon> daemon(new edge_daemon(settings));
    daemon->events_ = events;
    daemon->metrics_ = std::make_shared<edge_metrics>();
    daemon->ready_ = std::make_shared<readiness>();
    daemon->read_results_ =
        std::make_shared<read_result_ring>(read_result_ring_size);
    daemon->views_ = std::make_shared<view_ring>(view_ring_size);
    daemon->view_board_ = std::make_shared<view_board>();

    auto socket = udp_socket::open(settings.packets);
    if (!socket)
    {
        return socket.error();
    }
    auto notice_socket = udp_socket::open(settings.peers.notice_endpoint);
    if (!notice_socket)
    {
        return notice_socket.error();
    }
    auto server = http_server::open({.readiness = settings.readiness,
                                     .readiness_path = settings.readiness_path,
                                     .metrics = settings.metrics,
                                     .control = settings.control},
                                    daemon->ready_, daemon->metrics_,
                                    daemon->view_board_);
    if (!server)
    {
        return server.error();
    }
    daemon->server_ = std::move(server).value();
    // The first read of the store takes longest, so it runs while the other
    // duties start.
    const auto peer_updates =
        std::make_shared<peer_update_ring>(peer_ring_size);
    const auto full_read_requested = std::make_shared<full_read_request>(false);
    const auto confirmations =
        std::make_shared<confirmation_ring>(peer_ring_size);
    daemon->reading_ = std::make_unique<reading_duty>(
        settings.reading, std::move(source),
        std::make_unique<snapshot_reader>(settings.snapshot_sources,
                                          settings.snapshot_timeout,
                                          settings.snapshot_transfer),
        daemon->read_results_, full_read_requested, peer_updates, confirmations,
        notice_socket.value(), events, daemon->metrics_);
    std::shared_ptr<evidence_rings> evidence;
    std::unique_ptr<evidence_exchange> exchange;
    if (settings.shares_evidence)
    {
        evidence = std::make_shared<evidence_rings>();
        exchange = std::make_unique<evidence_exchange>(
            evidence, notice_socket.value(), daemon->metrics_);
    }
    const auto daemon_counts =
        std::make_shared<daemon_count_ring>(peer_ring_size);
    daemon->peers_ = std::make_unique<peers_duty>(
        settings, notice_socket.value(), confirmations, peer_updates, evidence,
        daemon_counts, events, daemon->metrics_);
    daemon->catalog_ = std::make_unique<catalog_duty>(
        settings.catalog, daemon->read_results_, full_read_requested,
        daemon->views_, daemon->view_board_, daemon->ready_, events,
        daemon->metrics_);
    daemon->packets_ = std::make_unique<packet_duty>(
        settings, std::move(socket).value(), std::move(codec), daemon->views_,
        std::move(exchange), daemon_counts, events, daemon->metrics_);
    return daemon;
}

edge_daemon::~edge_daemon()
{
    // The reading duty may be waiting for room in this ring. Closing the ring
    // wakes it, so that its thread can be joined.
    if (read_results_)
    {
        read_results_->close();
    }
    reading_.reset();
    peers_.reset();
    catalog_.reset();
    packets_.reset();
}

void edge_daemon::depart()
{
    const instant started = boot_now();
    ready_->set_departing();
    metrics_->ready.Set(0);
    events_->report(
        event_number::departure_started,
        {field("seconds", std::to_string(in_seconds(
                              settings_.departure.max_forwarding_time)))});
    for (;;)
    {
        const instant now = boot_now();
        if (may_exit(settings_.departure, now - started,
                     now - packets_->last_packet()))
        {
            break;
        }
        std::this_thread::sleep_for(departure_check_period);
    }
    events_->report(
        event_number::shutdown_finished,
        {field("seconds", std::to_string(in_seconds(boot_now() - started)))});
}

} // namespace catkinkeel::edge
