#pragma once

// The thread that exchanges notices with other daemons, so that one read of the
// store's newest state serves many of them.

#include "catkinkeel/base/random.hpp"
#include "catkinkeel/edge/edge_metrics.hpp"
#include "catkinkeel/edge/edge_settings.hpp"
#include "catkinkeel/edge/freshness.hpp"
#include "catkinkeel/edge/peer_notice.hpp"
#include "catkinkeel/edge/peer_table.hpp"
#include "catkinkeel/packet/udp_socket.hpp"
#include "catkinkeel/ring/bounded_ring.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

namespace catkinkeel::edge
{

/// What the peers' thread tells the reading thread.
struct peer_news
{
    std::optional<confirmation> confirmed;
    reader_rank rank;

    friend auto operator<=>(const peer_news&, const peer_news&) = default;
};

using peer_news_ring = bounded_ring<peer_news>;
using confirmation_ring = bounded_ring<confirmation>;

/// Entries of the rings between reading and peers; only the newest matter.
inline constexpr std::size_t peer_ring_size = 4;

class peers_duty
{
public:
    /// `own` brings what this daemon's reads confirm; the reader wakes this
    /// thread by `socket->wake()`.
    peers_duty(const edge_settings& settings,
               std::shared_ptr<udp_socket> socket,
               std::shared_ptr<confirmation_ring> own,
               std::shared_ptr<peer_news_ring> out,
               std::shared_ptr<edge_metrics> metrics);
    ~peers_duty();
    peers_duty(const peers_duty&) = delete;
    peers_duty& operator=(const peers_duty&) = delete;

private:
    void run();
    void handle(const received_datagram& datagram);
    void take(const peer_notice& notice);
    void spread_own();
    void send_due();
    void send(const std::vector<peer>& to, std::size_t sightings);
    void send(const std::vector<endpoint>& to, std::size_t sightings,
              bool wants_peers);
    void tell_reader();

    peer_settings settings_;
    std::shared_ptr<udp_socket> socket_;
    std::shared_ptr<confirmation_ring> own_;
    std::shared_ptr<peer_news_ring> out_;
    std::shared_ptr<edge_metrics> metrics_;
    random_source random_;
    peer_table table_;
    std::optional<confirmation> known_;
    reader_rank told_;
    instant now_;
    instant next_notice_;
    instant next_hello_;
    std::thread thread_;
};

} // namespace catkinkeel::edge
