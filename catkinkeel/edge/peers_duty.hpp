#pragma once

// The thread that exchanges notices with other daemons, so that one read of the
// store's newest state serves many of them, and reports about targets that may
// be faulty.

#include "catkinkeel/base/random.hpp"
#include "catkinkeel/edge/arrival_bound.hpp"
#include "catkinkeel/edge/daemon_count_ring.hpp"
#include "catkinkeel/edge/edge_metrics.hpp"
#include "catkinkeel/edge/edge_settings.hpp"
#include "catkinkeel/edge/event_channel.hpp"
#include "catkinkeel/edge/evidence_exchange.hpp"
#include "catkinkeel/edge/evidence_outbox.hpp"
#include "catkinkeel/edge/freshness.hpp"
#include "catkinkeel/edge/peer_notice.hpp"
#include "catkinkeel/edge/peer_table.hpp"
#include "catkinkeel/edge/send_budget.hpp"
#include "catkinkeel/packet/udp_socket.hpp"
#include "catkinkeel/ring/bounded_ring.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

namespace catkinkeel::edge
{

/// Last confirmation received from peers and the rank of this daemon, for the
/// reading thread.
struct peer_update
{
    std::optional<confirmation> confirmed;
    reader_rank rank;

    friend auto operator<=>(const peer_update&, const peer_update&) = default;
};

using peer_update_ring = bounded_ring<peer_update>;
using confirmation_ring = bounded_ring<confirmation>;

/// Size of the rings of the peers thread. Only the newest entries are needed.
inline constexpr std::size_t peer_ring_size = 4;

class peers_duty
{
public:
    /// `own_confirmations` carries the confirmations of this daemon's own
    /// reads; the reading thread wakes this thread by `socket->wake()`.
    /// `evidence` is null unless the daemon shares evidence about targets.
    peers_duty(const edge_settings& settings,
               std::shared_ptr<udp_socket> socket,
               std::shared_ptr<confirmation_ring> own_confirmations,
               std::shared_ptr<peer_update_ring> updates,
               std::shared_ptr<evidence_rings> evidence,
               std::shared_ptr<daemon_count_ring> daemon_counts,
               std::shared_ptr<event_channel> events,
               std::shared_ptr<edge_metrics> metrics);
    ~peers_duty();
    peers_duty(const peers_duty&) = delete;
    peers_duty& operator=(const peers_duty&) = delete;

private:
    void run();
    void handle(const received_datagram& datagram);
    void handle_evidence(const received_datagram& datagram);
    void process(const peer_notice& notice, instant arrival);
    void send_own_confirmations();
    void send_due();
    /// Sends reports about targets if the time for it has come.
    void exchange_reports();
    /// Sends a message with the reports that wait longest to as many peers as
    /// the budget allows. Returns false if it allows none, or no peer is known.
    bool send_message();
    void count_dropped_reports();
    void send(const std::vector<peer>& to, std::size_t sightings);
    void send(const std::vector<endpoint>& to, std::size_t sightings,
              bool requests_peers);
    void send_update_to_reader();
    /// Passes the number of daemons to the packet thread if it has changed.
    void send_daemon_count();

    peer_settings settings_;
    std::shared_ptr<udp_socket> socket_;
    std::shared_ptr<confirmation_ring> own_confirmations_;
    std::shared_ptr<peer_update_ring> updates_;
    std::shared_ptr<evidence_rings> evidence_;
    std::shared_ptr<daemon_count_ring> daemon_counts_;
    std::shared_ptr<event_channel> events_;
    std::shared_ptr<edge_metrics> metrics_;
    random_source random_;
    peer_table table_;
    std::optional<confirmation> confirmation_;
    reader_rank sent_rank_;
    std::uint32_t sent_daemon_count_ = 0;
    instant started_;
    instant now_;
    arrival_bound arrivals_;
    instant next_notice_;
    instant next_hello_;
    evidence_outbox outbox_;
    send_budget report_budget_;
    instant next_report_;
    std::uint64_t ring_drops_ = 0;
    std::uint64_t outbox_drops_ = 0;
    std::thread thread_;
};

} // namespace catkinkeel::edge
