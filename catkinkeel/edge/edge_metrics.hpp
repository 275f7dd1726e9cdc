#pragma once

// Counters, gauges and latency histograms of an edge daemon.

#include "catkinkeel/steering/steerer.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <cstddef>
#include <memory>
#include <string>

namespace catkinkeel::edge
{

/// The metrics that duties write directly. Safe to use from any thread; lives
/// as long as the registry.
class edge_metrics
{
public:
    edge_metrics();

    /// The Prometheus text format.
    [[nodiscard]] std::string text() const;

    /// The counter of refused or discarded packets with this reason.
    prometheus::Counter& refused(steering::refusal_reason reason)
    {
        return *refused_.at(static_cast<std::size_t>(reason));
    }
    prometheus::Counter& discarded(steering::discard_reason reason)
    {
        return *discarded_.at(static_cast<std::size_t>(reason));
    }

private:
    std::shared_ptr<prometheus::Registry> registry_;
    /// By the reason's number.
    std::array<prometheus::Counter*, steering::refusal_reasons> refused_;
    std::array<prometheus::Counter*, steering::discard_reasons> discarded_;

public:
    prometheus::Counter& packets_received;
    prometheus::Counter& packets_forwarded;
    prometheus::Counter& packets_malformed;
    prometheus::Counter& flows_opened;
    /// Numbered copies of opening packets.
    prometheus::Counter& openings_repeated;
    prometheus::Counter& targets_silent;
    prometheus::Counter& flow_lines_dropped;
    prometheus::Counter& store_reads;
    prometheus::Counter& store_reads_failed;
    prometheus::Counter& store_reads_confirming;
    prometheus::Counter& snapshots_taken;
    prometheus::Counter& notices_sent;
    prometheus::Counter& notices_received;
    prometheus::Counter& notices_rejected;
    prometheus::Gauge& peers;
    prometheus::Gauge& ready;
    prometheus::Gauge& terms_version;
    prometheus::Gauge& targets_open;
    prometheus::Gauge& flows_tracked;
    /// Unix time in seconds of the store's last useful answer.
    prometheus::Gauge& store_confirmed;
    /// Seconds from an opening packet to the follow-up of its answer.
    prometheus::Histogram& handshake_seconds;
    /// Seconds from the end of the handshake to the caller's FIN.
    prometheus::Histogram& exchange_seconds;
    /// Seconds of a read of the store, without the wait that was asked for.
    prometheus::Histogram& store_read_seconds;
    /// Seconds from the receipt of a batch of packets to its last send.
    prometheus::Histogram& batch_seconds;
};

} // namespace catkinkeel::edge
