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

std::string_view to_string(report_drop_reason reason)
{
    constexpr std::array<std::string_view, report_drop_reason_count> names{
        "ring_full", "not_sent", "undated"};
    return names.at(static_cast<std::size_t>(reason));
}

edge_metrics::edge_metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      not_admitted_(
          prometheus::BuildCounter()
              .Name("catkinkeel_openings_not_admitted_total")
              .Help("Opening packets delayed or refused for lack of capacity, "
                    "by reference")
              .Register(*registry_)),
      admission_level_(prometheus::BuildGauge()
                           .Name("catkinkeel_admission_level")
                           .Help("1 if the service holds back no openings, 0 "
                                 "if it holds back most")
                           .Register(*registry_)),
      admission_wait_(prometheus::BuildGauge()
                          .Name("catkinkeel_admission_wait_seconds")
                          .Help("Time that exchanges of the service take "
                                "beyond their work")
                          .Register(*registry_)),
      refused_(counters_by_reason<steering::refusal_reason,
                                  steering::refusal_reason_count>(
          *registry_, "flows_refused_total",
          "Opening packets refused and open flows reset, by reason")),
      discarded_(counters_by_reason<steering::discard_reason,
                                    steering::discard_reason_count>(
          *registry_, "packets_discarded_total",
          "Packets dropped on purpose, by reason")),
      evidence_reports_dropped_(
          counters_by_reason<report_drop_reason, report_drop_reason_count>(
              *registry_, "evidence_reports_dropped_total",
              "Reports about targets not passed on, by reason")),
      reset_(counters_by_reason<steering::silence_rule,
                                steering::silence_rule_count>(
          *registry_, "flows_reset_total",
          "Open flows of silent targets reset, by rule")),
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
      evidence_reports_sent(
          counter(*registry_, "evidence_reports_sent_total",
                  "Reports about targets sent, counted for each peer")),
      evidence_bytes_sent(counter(*registry_, "evidence_bytes_sent_total",
                                  "Bytes sent with reports about targets")),
      evidence_reports_received(
          counter(*registry_, "evidence_reports_received_total",
                  "Reports about targets received from peers")),
      evidence_reports_recorded(
          counter(*registry_, "evidence_reports_recorded_total",
                  "Reports of peers that the packet thread has recorded")),
      evidence_messages_rejected(
          counter(*registry_, "evidence_messages_rejected_total",
                  "Datagrams from peers that are not a valid message with "
                  "reports about targets")),
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

void edge_metrics::count_not_admitted(std::string_view reference,
                                      std::string_view reason)
{
    auto counters = not_admitted_counters_.find(reference);
    if (counters == not_admitted_counters_.end())
    {
        const bool has_room =
            not_admitted_counters_.size() < max_labelled_objects;
        counters = not_admitted_counters_
                       .try_emplace(has_room ? std::string(reference) : "")
                       .first;
    }
    auto counter = counters->second.find(reason);
    if (counter == counters->second.end())
    {
        prometheus::Counter& added = not_admitted_.Add(
            {{"reference", counters->first}, {"reason", std::string(reason)}});
        counter = counters->second.emplace(reason, &added).first;
    }
    counter->second->Increment();
}

void edge_metrics::set_admission(const std::string& service, double level,
                                 duration wait)
{
    auto gauges = admission_gauges_.find(service);
    if (gauges == admission_gauges_.end())
    {
        if (admission_gauges_.size() >= max_labelled_objects)
        {
            return;
        }
        const prometheus::Labels labels{{"service", service}};
        gauges =
            admission_gauges_
                .emplace(service, service_gauges{&admission_level_.Add(labels),
                                                 &admission_wait_.Add(labels)})
                .first;
    }
    gauges->second.level->Set(level);
    gauges->second.wait->Set(in_seconds(wait));
}

std::string edge_metrics::text() const
{
    return prometheus::TextSerializer().Serialize(registry_->Collect());
}

} // namespace catkinkeel::edge
