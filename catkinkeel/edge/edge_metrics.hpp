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

/// The metrics of an edge daemon, which the duties write directly. Safe to use
/// from any thread. The references are valid as long as the registry.
class edge_metrics
{
public:
    edge_metrics();

    /// Returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string text() const;

    /// Counter of refused or discarded packets with this reason.
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
    /// Indexed by the value of the reason.
    std::array<prometheus::Counter*, steering::refusal_reason_count> refused_;
    std::array<prometheus::Counter*, steering::discard_reason_count> discarded_;

public:
    prometheus::Counter& packets_received;
    prometheus::Counter& packets_forwarded;
    prometheus::Counter& packets_malformed;
    prometheus::Counter& flows_opened;
    /// Numbered retransmissions of opening packets.
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
    /// Valid notices whose time of arrival is unknown, so that their
    /// confirmation is not used.
    prometheus::Counter& notices_undated;
    /// Steps of a duty that ended with an unexpected exception.
    prometheus::Counter& duty_failures;
    prometheus::Gauge& peers;
    prometheus::Gauge& ready;
    prometheus::Gauge& configuration_version;
    prometheus::Gauge& targets_open;
    /// Targets that are suspected because of failing answers, including those
    /// whose suspicion is ignored.
    prometheus::Gauge& targets_suspected;
    prometheus::Gauge& flows_tracked;
    /// Unix time in seconds of the last successful read of the store.
    prometheus::Gauge& store_confirmed;
    /// Seconds from an opening packet to the caller's packet that follows the
    /// answer.
    prometheus::Histogram& handshake_seconds;
    /// Seconds from the last data of a request to the first acknowledgement of
    /// its answer.
    prometheus::Histogram& exchange_seconds;
    /// Seconds of a read of the store, including its wait for a change.
    prometheus::Histogram& store_read_seconds;
    /// Seconds from the receipt of a batch of packets to its last send.
    prometheus::Histogram& batch_seconds;
};

} // namespace catkinkeel::edge
