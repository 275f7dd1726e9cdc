#include "catkinkeel/edge/edge_metrics.hpp"

#include <prometheus/text_serializer.h>

#include <chrono>

namespace catkinkeel::edge
{

namespace
{

using bounds = prometheus::Histogram::BucketBoundaries;

/// Bucket bounds in seconds, from one scheduler tick of a busy processor to the
/// longest deadline in use.
const bounds& latency_bounds()
{
    static const bounds seconds{0.0001, 0.0003, 0.001, 0.003, 0.01, 0.02, 0.03,
                                0.05,   0.1,    0.2,   0.5,   1,    2,    5};
    return seconds;
}

prometheus::Counter& counter(prometheus::Registry& registry,
                             const std::string& name, const std::string& help)
{
    return prometheus::BuildCounter()
        .Name("catkinkeel_" + name)
        .Help(help)
        .Register(registry)
        .Add({});
}

prometheus::Gauge& gauge(prometheus::Registry& registry,
                         const std::string& name, const std::string& help)
{
    return prometheus::BuildGauge()
        .Name("catkinkeel_" + name)
        .Help(help)
        .Register(registry)
        .Add({});
}

prometheus::Histogram& histogram(prometheus::Registry& registry,
                                 const std::string& name,
                                 const std::string& help)
{
    return prometheus::BuildHistogram()
        .Name("catkinkeel_" + name)
        .Help(help)
        .Register(registry)
        .Add({}, latency_bounds());
}

/// A counter for each reason of an enumeration with `Count` enumerators.
template <class Reason, std::size_t Count>
std::array<prometheus::Counter*, Count>
counters_by_reason(prometheus::Registry& registry, const std::string& name,
                   const std::string& help)
{
    auto& family = prometheus::BuildCounter()
                       .Name("catkinkeel_" + name)
                       .Help(help)
                       .Register(registry);
    std::array<prometheus::Counter*, Count> counters{};
    for (std::size_t i = 0; i < Count; ++i)
    {
        const auto reason = to_string(static_cast<Reason>(i));
        counters.at(i) = &family.Add({{"reason", std::string(reason)}});
    }
    return counters;
}

} // namespace

edge_metrics::edge_metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      refused_(counters_by_reason<steering::refusal_reason,
                                  steering::refusal_reason_count>(
          *registry_, "flows_refused_total",
          "Opening packets refused, by reason")),
      discarded_(counters_by_reason<steering::discard_reason,
                                    steering::discard_reason_count>(
          *registry_, "packets_discarded_total",
          "Packets dropped on purpose, by reason")),
      packets_received(counter(*registry_, "packets_received_total",
                               "Datagrams received from the routers")),
      packets_forwarded(counter(*registry_, "packets_forwarded_total",
                                "Packets sent to targets")),
      packets_malformed(
          counter(*registry_, "packets_malformed_total",
                  "Datagrams that are not a valid caller packet")),
      flows_opened(counter(*registry_, "flows_opened_total",
                           "First opening packets sent to a target")),
      openings_repeated(counter(*registry_, "openings_repeated_total",
                                "Numbered retransmissions of opening packets")),
      targets_silent(counter(*registry_, "targets_silent_total",
                             "Opening packets that a target did not answer")),
      flow_lines_dropped(
          counter(*registry_, "flow_lines_dropped_total",
                  "Log lines about flows dropped over the limit")),
      store_reads(counter(*registry_, "store_reads_total",
                          "Reads of the metadata store")),
      store_reads_failed(counter(*registry_, "store_reads_failed_total",
                                 "Reads of the metadata store that failed")),
      store_reads_confirming(
          counter(*registry_, "store_reads_confirming_total",
                  "Reads of the metadata store's newest state")),
      snapshots_taken(counter(*registry_, "snapshots_taken_total",
                              "Snapshots of peers used instead of the store")),
      notices_sent(
          counter(*registry_, "notices_sent_total", "Notices sent to peers")),
      notices_received(counter(*registry_, "notices_received_total",
                               "Notices received from peers")),
      notices_rejected(
          counter(*registry_, "notices_rejected_total",
                  "Datagrams from peers that are not a valid notice")),
      notices_undated(counter(*registry_, "notices_undated_total",
                              "Notices from peers whose time of arrival is "
                              "unknown")),
      duty_failures(counter(*registry_, "duty_failures_total",
                            "Steps of a duty that ended with an unexpected "
                            "exception")),
      peers(gauge(*registry_, "peers", "Peers in the peer table")),
      ready(gauge(*registry_, "ready", "1 if the daemon is ready for packets")),
      configuration_version(gauge(*registry_, "terms_version",
                                  "Version of the configuration in effect")),
      targets_open(
          gauge(*registry_, "targets_open", "Targets that get new flows")),
      targets_suspected(gauge(*registry_, "targets_suspected",
                              "Targets whose answers look like errors")),
      flows_tracked(gauge(*registry_, "flows_tracked",
                          "Flows whose load this daemon counts")),
      store_confirmed(gauge(*registry_, "store_confirmed_timestamp_seconds",
                            "When the metadata store last answered")),
      handshake_seconds(
          histogram(*registry_, "handshake_seconds",
                    "Time from an opening packet to its follow-up")),
      exchange_seconds(
          histogram(*registry_, "exchange_seconds",
                    "Time from the last data of a request to the first "
                    "acknowledgement of its answer")),
      store_read_seconds(histogram(*registry_, "store_read_seconds",
                                   "Time of a read of the metadata store")),
      batch_seconds(
          histogram(*registry_, "batch_seconds",
                    "Time from the receipt of a batch of packets to its send"))
{
}

std::string edge_metrics::text() const
{
    return prometheus::TextSerializer().Serialize(registry_->Collect());
}

} // namespace catkinkeel::edge
