#include "catkinkeel/edge/edge_daemon.hpp"

#include "catkinkeel/clock/clock.hpp"

#include <string>
#include <thread>

namespace catkinkeel::edge
{

namespace
{

/// How often a departing daemon looks whether packets still come.
constexpr duration departure_check = 100ms;

} // namespace

bool may_end(const departure_settings& settings, duration since,
             duration since_last_packet)
{
    return since >= settings.at_most ||
           (since >= settings.at_least && since_last_packet >= settings.quiet);
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
    daemon->readings_ = std::make_shared<reading_ring>(reading_ring_size);
    daemon->views_ = std::make_shared<view_ring>(view_ring_size);
    daemon->board_ = std::make_shared<view_board>();

    auto socket = udp_socket::open(settings.packets);
    if (!socket)
    {
        return socket.error();
    }
    auto notices = udp_socket::open(settings.peers.notices);
    if (!notices)
    {
        return notices.error();
    }
    auto server =
        http_server::open({.readiness = settings.readiness,
                           .readiness_path = settings.readiness_path,
                           .metrics = settings.metrics,
                           .control = settings.control},
                          daemon->ready_, daemon->metrics_, daemon->board_);
    if (!server)
    {
        return server.error();
    }
    daemon->server_ = std::move(server).value();
    // The read takes longest, so it is under way while the rest starts.
    const auto news = std::make_shared<peer_news_ring>(peer_ring_size);
    const auto confirmed = std::make_shared<confirmation_ring>(peer_ring_size);
    daemon->reading_ = std::make_unique<reading_duty>(
        settings.reading, std::move(source),
        std::make_unique<snapshot_reader>(settings.snapshot_sources,
                                          settings.snapshot_timeout),
        daemon->readings_, news, confirmed, notices.value(), events,
        daemon->metrics_);
    daemon->peers_ = std::make_unique<peers_duty>(
        settings, notices.value(), confirmed, news, daemon->metrics_);
    daemon->catalog_ = std::make_unique<catalog_duty>(
        settings.catalog, daemon->readings_, daemon->views_, daemon->board_,
        daemon->ready_, events, daemon->metrics_);
    daemon->packets_ = std::make_unique<packet_duty>(
        settings, std::move(socket).value(), std::move(codec), daemon->views_,
        events, daemon->metrics_);
    return daemon;
}

edge_daemon::~edge_daemon()
{
    // A duty that waits for room in a ring must not outlive its reader.
    if (readings_)
    {
        readings_->close();
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
    events_->report(event_number::departure_started,
                    {field("seconds", std::to_string(in_seconds(
                                          settings_.departure.at_most)))});
    for (;;)
    {
        const instant now = boot_now();
        if (may_end(settings_.departure, now - started,
                    now - packets_->last_packet()))
        {
            break;
        }
        std::this_thread::sleep_for(departure_check);
    }
    events_->report(
        event_number::shutdown_finished,
        {field("seconds", std::to_string(in_seconds(boot_now() - started)))});
}

} // namespace catkinkeel::edge
