#pragma once

// An edge daemon: the duties that steer flows by their token, joined by rings.
//
//   peers <-> reading -> catalogue -> packets -> log
//
// Example:
//   auto daemon = edge_daemon::start(settings, source, codec, events);
//   if (!daemon) { report(daemon.error().message); }
//   ... wait for a signal ...
//   daemon.value()->depart();

#include "catkinkeel/base/outcome.hpp"
#include "catkinkeel/edge/catalog_duty.hpp"
#include "catkinkeel/edge/edge_settings.hpp"
#include "catkinkeel/edge/event_channel.hpp"
#include "catkinkeel/edge/http_server.hpp"
#include "catkinkeel/edge/metadata_source.hpp"
#include "catkinkeel/edge/packet_codec.hpp"
#include "catkinkeel/edge/packet_duty.hpp"
#include "catkinkeel/edge/peers_duty.hpp"
#include "catkinkeel/edge/reading_duty.hpp"

#include <memory>

namespace catkinkeel::edge
{

/// Whether the process may exit, given the time since the daemon stopped being
/// ready and the time since the last packet.
[[nodiscard]] bool may_exit(const departure_settings& settings,
                            duration since_departure,
                            duration since_last_packet);

class edge_daemon
{
public:
    /// Fails with `unavailable` if an address cannot be bound.
    static outcome<std::shared_ptr<edge_daemon>>
    start(const edge_settings& settings,
          std::shared_ptr<metadata_source> source,
          std::shared_ptr<const packet_codec> codec,
          const std::shared_ptr<event_channel>& events);

    ~edge_daemon();
    edge_daemon(const edge_daemon&) = delete;
    edge_daemon& operator=(const edge_daemon&) = delete;

    /// Reports the daemon as not ready, forwards packets until the routers have
    /// stopped sending them, and returns when the process may exit.
    void depart();

private:
    explicit edge_daemon(const edge_settings& settings);

    edge_settings settings_;
    std::shared_ptr<event_channel> events_;
    std::shared_ptr<edge_metrics> metrics_;
    std::shared_ptr<readiness> ready_;
    std::shared_ptr<read_result_ring> read_results_;
    std::shared_ptr<view_ring> views_;
    std::shared_ptr<view_board> view_board_;
    std::shared_ptr<http_server> server_;
    std::unique_ptr<packet_duty> packets_;
    std::unique_ptr<catalog_duty> catalog_;
    std::unique_ptr<peers_duty> peers_;
    std::unique_ptr<reading_duty> reading_;
};

} // namespace catkinkeel::edge
