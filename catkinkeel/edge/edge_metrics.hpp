#pragma once

// Counters, gauges and latency histograms of an edge daemon.

#include "catkinkeel/steering/steerer.hpp"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace catkinkeel::edge
{

/// Why a report about a target was not passed on.
enum class report_drop_reason : std::uint8_t
{
    /// A ring between the packet thread and the peers thread was full.
    ring_full,
    /// The report waited too long, or in vain, for the limit of bytes per
    /// second or for a known peer.
    not_sent,
    /// The time of arrival of a peer's message is unknown.
    undated
};
inline constexpr std::size_t report_drop_reason_count = 3;

std::string_view to_string(report_drop_reason reason);
/// Maximum number of references, and of services, with series of their own.
inline constexpr std::size_t max_labelled_objects = 64;

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
    prometheus::Counter& evidence_reports_dropped(report_drop_reason reason)
    {
        return *evidence_reports_dropped_.at(static_cast<std::size_t>(reason));
    }
    /// Counter of open flows reset by this rule.
    prometheus::Counter& reset(steering::silence_rule rule)
    {
        return *reset_.at(static_cast<std::size_t>(rule));
    }

    /// Counts an opening packet of `reference` that was not admitted. Only for
    /// the packet thread. References beyond `max_labelled_objects` are counted
    /// without a name.
    void count_not_admitted(std::string_view reference,
                            std::string_view reason);

    /// Sets the gauges of the service. Only for the packet thread. Ignored for
    /// services beyond `max_labelled_objects`.
    void set_admission(const std::string& service, double level, duration wait);

private:
    struct service_gauges
    {
        prometheus::Gauge* level;
        prometheus::Gauge* wait;
    };
    using counters_by_name =
        std::map<std::string, prometheus::Counter*, std::less<>>;

    std::shared_ptr<prometheus::Registry> registry_;
    prometheus::Family<prometheus::Counter>& not_admitted_;
    prometheus::Family<prometheus::Gauge>& admission_level_;
    prometheus::Family<prometheus::Gauge>& admission_wait_;
    /// By reference and reason.
    std::map<std::string, counters_by_name, std::less<>> not_admitted_counters_;
    std::map<std::string, service_gauges> admission_gauges_;
    /// Indexed by the value of the reason.
    std::array<prometheus::Counter*, steering::refusal_reason_count> refused_;
    std::array<prometheus::Counter*, steering::discard_reason_count> discarded_;
    std::array<prometheus::Counter*, report_drop_reason_count>
        evidence_reports_dropped_;
    std::array<prometheus::Counter*, steering::silence_rule_count> reset_;

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
    /// Reports about targets, counted once for each peer that they were sent
    /// to, and the bytes of their datagrams with UDP and IP headers.
    prometheus::Counter& evidence_reports_sent;
    prometheus::Counter& evidence_bytes_sent;
    /// Reports received from peers, and those of them that reached the packet
    /// thread.
    prometheus::Counter& evidence_reports_received;
    prometheus::Counter& evidence_reports_recorded;
    /// Evidence messages that were malformed or not from their sender's
    /// address.
    prometheus::Counter& evidence_messages_rejected;
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
