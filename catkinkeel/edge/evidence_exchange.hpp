#pragma once

// The packet thread's side of the exchange of evidence about targets with other
// daemons: two rings that join it to the peers thread.

#include "catkinkeel/base/time.hpp"
#include "catkinkeel/edge/edge_metrics.hpp"
#include "catkinkeel/packet/udp_socket.hpp"
#include "catkinkeel/ring/bounded_ring.hpp"
#include "catkinkeel/steering/target_evidence.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace catkinkeel::edge
{

/// Shortest time between two messages of a daemon, unless one is not enough for
/// the reports at hand.
inline constexpr duration report_period = 100ms;

/// Sizes of the rings: 32 and 40 bytes for each element. The ring of received
/// reports fills only while the daemon receives no packets.
inline constexpr std::size_t own_report_ring_size = 256;
inline constexpr std::size_t received_report_ring_size = 512;

/// If a ring is full, its oldest element is overwritten.
struct evidence_rings
{
    /// From the packet thread to the peers thread.
    bounded_ring<steering::target_report> own{own_report_ring_size};
    /// From the peers thread to the packet thread.
    bounded_ring<steering::peer_report> received{received_report_ring_size};
};

/// Used by the packet thread. Allocates nothing while there is no evidence.
class evidence_exchange
{
public:
    /// `notice_socket` is the socket on which the peers thread waits.
    evidence_exchange(std::shared_ptr<evidence_rings> rings,
                      std::shared_ptr<udp_socket> notice_socket,
                      std::shared_ptr<edge_metrics> metrics);

    /// Records the reports of peers that have arrived, some of them if there
    /// are very many. To be called once for each batch of packets.
    void record_received(steering::evidence_pool& evidence, instant now);

    /// Passes changed own evidence to the peers thread and wakes it, unless it
    /// was woken within the last `report_period`; then it looks by itself in
    /// time.
    void pass_own(steering::evidence_pool& evidence, instant now);

private:
    std::shared_ptr<evidence_rings> rings_;
    std::shared_ptr<udp_socket> notice_socket_;
    std::shared_ptr<edge_metrics> metrics_;
    instant next_wake_;
};

} // namespace catkinkeel::edge
