#include "catkinkeel/edge/packet_duty.hpp"

#include "catkinkeel/clock/clock.hpp"
#include "catkinkeel/edge/duty_step.hpp"

#include <cmath>
#include <string>

namespace catkinkeel::edge
{

namespace
{

/// Lines are passed to the log once the oldest one is older than this, or once
/// there are `flush_line_count` of them.
constexpr duration flush_delay = 500ms;
constexpr std::size_t flush_line_count = 64;

/// After the start, packets wait in the socket for the first view, which takes
/// about 50 ms to read. Callers retransmit after 200 ms, so packets that have
/// waited longer than this are dropped.
constexpr duration first_view_timeout = 150ms;

/// Period at which the gauges of admission are set while packets arrive.
constexpr duration admission_gauge_period = 1s;

/// Longest wait for packets while no log lines wait to be flushed.
constexpr duration max_receive_wait = 1h;

/// Returns the name of a flow in log lines: caller>public address.
std::string flow_name(const flow_key& key)
{
    return to_string(key.caller) + ">" + to_string(key.service_side);
}

/// Whether an opening is refused for this reason because of too little
/// capacity.
bool lacks_capacity(steering::refusal_reason reason)
{
    using enum steering::refusal_reason;
    return reason == overloaded || reason == held_back || reason == out_of_time;
}

/// Whether an opening is dropped for this reason because of too little
/// capacity.
bool lacks_capacity(steering::discard_reason reason)
{
    using enum steering::discard_reason;
    return reason == overloaded || reason == deferred;
}

} // namespace

flow_log::flow_log(std::uint32_t max_lines_per_second,
                   std::shared_ptr<event_channel> events,
                   std::shared_ptr<edge_metrics> metrics)
    : max_lines_per_second_(max_lines_per_second),
      events_(std::move(events)),
      metrics_(std::move(metrics))
{
}

bool flow_log::try_admit(instant now)
{
    if (now - second_start_ >= 1s)
    {
        second_start_ = now;
        admitted_ = 0;
        if (dropped_lines_ > 0)
        {
            add(event_number::records_dropped,
                {field("count", dropped_lines_),
                 field("reason", "more flow log lines than the limit")});
            dropped_lines_ = 0;
        }
    }
    if (admitted_ >= max_lines_per_second_)
    {
        ++dropped_lines_;
        metrics_->flow_lines_dropped.Increment();
        return false;
    }
    ++admitted_;
    if (lines_.empty())
    {
        oldest_line_time_ = now;
    }
    return true;
}

void flow_log::add(event_number number, std::vector<event_field> fields)
{
    add({number, wall_now(), std::move(fields)});
}

void flow_log::add(event_record record)
{
    lines_.push_back(std::move(record));
}

void flow_log::flush_if_due(instant now)
{
    if (!lines_.empty() && (lines_.size() >= flush_line_count ||
                            now - oldest_line_time_ >= flush_delay))
    {
        flush();
    }
}

void flow_log::flush()
{
    if (!lines_.empty())
    {
        // The channel's ring counts the batches that it drops when it is full.
        events_->report(std::move(lines_));
        lines_ = {};
    }
}

event_record make_suspicion_event(const steering::suspicion_change& change,
                                  instant now)
{
    if (change.cause == steering::suspicion_cause::evidence)
    {
        return {event_number::target_suspected,
                wall_now(),
                {field("target", change.target),
                 field("own", change.evidence.own_count),
                 field("reports", change.evidence.peer_count),
                 field("reporters", change.evidence.reporters)}};
    }
    return {event_number::target_cleared,
            wall_now(),
            {field("target", change.target),
             field("milliseconds", in_milliseconds(now - change.since)),
             field("reason", std::string(to_string(change.cause)))}};
}

packet_duty::packet_duty(const edge_settings& settings,
                         std::shared_ptr<udp_socket> socket,
                         std::shared_ptr<const packet_codec> codec,
                         std::shared_ptr<view_ring> views,
                         std::unique_ptr<evidence_exchange> evidence,
                         std::shared_ptr<daemon_count_ring> daemon_counts,
                         std::shared_ptr<event_channel> events,
                         std::shared_ptr<edge_metrics> metrics)
    : socket_(std::move(socket)),
      codec_(std::move(codec)),
      views_(std::move(views)),
      evidence_(std::move(evidence)),
      daemon_counts_(std::move(daemon_counts)),
      events_(events),
      metrics_(metrics),
      steerer_(settings.steering,
               std::make_shared<steering::least_cost_policy>(settings.weights),
               random_source(wall_nanoseconds())),
      flow_log_(settings.max_flow_lines_per_second, std::move(events),
                std::move(metrics)),
      storage_(batch_capacity),
      thread_([this] { run(); })
{
}

packet_duty::~packet_duty()
{
    socket_->stop();
    thread_.join();
}

void packet_duty::run()
{
    packet_batch batch;
    if (!wait_for_view(batch))
    {
        return;
    }
    for (;;)
    {
        const receive_status status = socket_->receive(batch, receive_wait());
        if (status == receive_status::stopped)
        {
            flow_log_.flush();
            return;
        }
        now_ = boot_now();
        if (status == receive_status::received)
        {
            run_duty_step("packets", *events_, *metrics_,
                          [&] { handle(batch); });
            // A batch that is not full emptied the socket, so a missing answer
            // means that the target is unresponsive, not that this thread is
            // late.
            if (batch.datagrams().size() < batch_capacity)
            {
                report_unanswered(now_);
            }
            if (evidence_)
            {
                run_duty_step(
                    "packets", *events_, *metrics_,
                    [&] { evidence_->pass_own(steerer_.evidence(), now_); });
            }
        }
        else
        {
            // Suspicions end, and targets leave, also while no packets arrive.
            run_duty_step("packets", *events_, *metrics_,
                          [&]
                          {
                              adopt_views();
                              report_suspicions();
                          });
        }
        flow_log_.flush_if_due(now_);
    }
}

bool packet_duty::wait_for_view(packet_batch& batch)
{
    while (steerer_.view() == nullptr)
    {
        if (auto view = views_->pop_for(first_view_timeout))
        {
            steerer_.replace_view(std::move(*view));
            break;
        }
        // Callers have retransmitted packets that waited this long.
        receive_status status = receive_status::received;
        while (status == receive_status::received)
        {
            status = socket_->receive(batch, duration::zero());
            now_ = boot_now();
            if (status == receive_status::received)
            {
                run_duty_step("packets", *events_, *metrics_,
                              [&] { handle(batch); });
            }
        }
        flow_log_.flush_if_due(now_);
        if (status == receive_status::stopped)
        {
            return false;
        }
    }
    return true;
}

void packet_duty::adopt_views()
{
    while (auto view = views_->try_pop())
    {
        steerer_.replace_view(std::move(*view));
    }
}

void packet_duty::handle(const packet_batch& batch)
{
    adopt_views();
    while (const auto count = daemon_counts_->try_pop())
    {
        steerer_.set_daemon_count(*count);
    }
    if (evidence_)
    {
        evidence_->record_received(steerer_.evidence(), now_);
    }
    last_packet_ = now_.time_since_epoch().count();
    metrics_->packets_received.Increment(
        static_cast<double>(batch.datagrams().size()));
    storage_used_ = 0;
    to_send_.clear();
    for (const received_datagram& datagram : batch.datagrams())
    {
        handle(datagram);
    }
    socket_->send(to_send_);
    const instant sent = boot_now();
    steerer_.record_sent(sent);
    metrics_->batch_seconds.Observe(in_seconds(sent - now_));
    report_admission();
    report_suspicions();
}

void packet_duty::handle(const received_datagram& datagram)
{
    const auto packet = codec_->decode(datagram.payload);
    if (!packet)
    {
        metrics_->packets_malformed.Increment();
        return;
    }
    const steering::steering_result result = steerer_.decide(*packet, now_);
    std::visit([&](const auto& each)
               { execute(each, *packet, datagram.payload); },
               result.decision);
    if (result.selection)
    {
        log_placement(result, *packet);
    }
    if (result.silence)
    {
        log_reset(*result.silence, *packet);
    }
    if (result.handshake_duration)
    {
        metrics_->handshake_seconds.Observe(
            in_seconds(*result.handshake_duration));
    }
    if (result.exchange_duration)
    {
        metrics_->exchange_seconds.Observe(
            in_seconds(*result.exchange_duration));
    }
}

packet_storage& packet_duty::next_storage()
{
    return storage_[storage_used_++];
}

void packet_duty::execute(const steering::forward& to,
                          const steering::flow_packet& /*packet*/,
                          packet_view bytes)
{
    to_send_.push_back(codec_->encode_forward(to, bytes, next_storage()));
    metrics_->packets_forwarded.Increment();
}

void packet_duty::execute(const steering::refuse& refusal,
                          const steering::flow_packet& packet,
                          packet_view bytes)
{
    to_send_.push_back(codec_->encode_refusal(bytes, next_storage()));
    metrics_->refused(refusal.reason).Increment();
    if (lacks_capacity(refusal.reason))
    {
        metrics_->count_not_admitted(
            steerer_.view()->find_reference(packet.key.service_side)->name,
            to_string(refusal.reason));
    }
    // `log_reset` writes the line of a reset flow.
    if (refusal.reason != steering::refusal_reason::target_silent &&
        flow_log_.try_admit(now_))
    {
        flow_log_.add(event_number::flow_refused,
                      {field("flow", flow_name(packet.key)),
                       field("reason", std::string(to_string(refusal.reason))),
                       field("version", steerer_.view()->parts().version.value),
                       field("view_ms", view_age())});
    }
}

void packet_duty::execute(const steering::discard& discarded_packet,
                          const steering::flow_packet& packet,
                          packet_view /*bytes*/)
{
    metrics_->discarded(discarded_packet.reason).Increment();
    if (lacks_capacity(discarded_packet.reason))
    {
        metrics_->count_not_admitted(
            steerer_.view()->find_reference(packet.key.service_side)->name,
            discarded_packet.reason == steering::discard_reason::deferred
                ? "deferred"
                : "delayed");
    }
    if (flow_log_.try_admit(now_))
    {
        const auto& view = steerer_.view();
        flow_log_.add(
            event_number::flow_discarded,
            {field("flow", flow_name(packet.key)),
             field("reason", std::string(to_string(discarded_packet.reason))),
             field("version", view ? view->parts().version.value : 0),
             field("view_ms", view_age())});
    }
}

void packet_duty::log_placement(const steering::steering_result& result,
                                const steering::flow_packet& packet)
{
    (packet.retransmission == 0 ? metrics_->flows_opened
                                : metrics_->openings_repeated)
        .Increment();
    if (!flow_log_.try_admit(now_))
    {
        return;
    }
    const steering::view_data& view = steerer_.view()->parts();
    const auto& to = std::get<steering::forward>(result.decision);
    const steering::view_target* target =
        steerer_.view()->find_target(to.target);
    const steering::view_reference* reference =
        steerer_.view()->find_reference(packet.key.service_side);
    const steering::selection_details& facts = *result.selection;
    flow_log_.add(
        event_number::flow_placed,
        {field("flow", flow_name(packet.key)),
         field("copy", packet.retransmission),
         field("reference", reference->name), field("target", target->name),
         field("candidates", facts.candidates), field("avoided", facts.avoided),
         field("in_flight", facts.in_flight),
         field("trust", std::string(to_string(facts.trust))),
         field("version", view.version.value), field("view_ms", view_age())});
}

void packet_duty::log_reset(const steering::silence_details& facts,
                            const steering::flow_packet& packet)
{
    metrics_->reset(facts.rule).Increment();
    if (!flow_log_.try_admit(now_))
    {
        return;
    }
    const steering::view_target* target =
        steerer_.view()->find_target(facts.target);
    flow_log_.add(event_number::flow_reset,
                  {field("flow", flow_name(packet.key)),
                   field("target", target == nullptr ? "?" : target->name),
                   field("rule", std::string(to_string(facts.rule))),
                   field("copies", facts.flow_copies),
                   field("target_copies", facts.target_copies),
                   field("reporters", facts.reporters),
                   field("version", steerer_.view()->parts().version.value),
                   field("view_ms", view_age())});
}

void packet_duty::report_unanswered(instant drained_at)
{
    const duration handshake_timeout =
        steerer_.observer().settings().handshake_timeout;
    for (const steering::unanswered_opening& each :
         steerer_.process_timeouts(drained_at))
    {
        metrics_->targets_silent.Increment();
        if (!flow_log_.try_admit(now_))
        {
            continue;
        }
        const steering::view_target* target =
            steerer_.view()->find_target(each.target);
        flow_log_.add(
            event_number::target_silent,
            {field("target", target == nullptr ? "?" : target->name),
             field("flow", flow_name(each.key)),
             field("milliseconds", in_milliseconds(handshake_timeout)),
             field("failures", each.failures)});
    }
    metrics_->flows_tracked.Set(static_cast<double>(steerer_.tracked_flows()));
}

void packet_duty::report_admission()
{
    if (steerer_.view() == nullptr)
    {
        return;
    }
    const std::vector<steering::view_service>& services =
        steerer_.view()->parts().services;
    steering::cost_admission& admission = steerer_.admission_by_cost();
    for (const steering::service_admission& each : admission.take_changes())
    {
        const std::string& service = services[each.service.value].name;
        events_->report(each.level < 1 ? event_number::admission_reduced
                                       : event_number::admission_restored,
                        {field("service", service),
                         field("wait_ms", in_milliseconds(each.wait)),
                         field("rejected_percent",
                               std::lround(100 * each.rejected_share))});
        metrics_->set_admission(service, each.level, each.wait);
    }
    if (now_ - admission_reported_at_ < admission_gauge_period)
    {
        return;
    }
    admission_reported_at_ = now_;
    for (const steering::service_admission& each :
         admission.reduced_services(now_))
    {
        metrics_->set_admission(services[each.service.value].name, each.level,
                                each.wait);
    }
}

void packet_duty::report_suspicions()
{
    if (const auto& view = steerer_.view())
    {
        steerer_.failing().end_expired(*view, now_, steerer_.evidence());
    }
    const auto changes = steerer_.failing().take_changes();
    for (const steering::suspicion_change& each : changes)
    {
        if (flow_log_.try_admit(now_))
        {
            flow_log_.add(make_suspicion_event(each, now_));
        }
    }
    if (!changes.empty())
    {
        metrics_->targets_suspected.Set(
            static_cast<double>(steerer_.failing().suspected_count()));
    }
}

duration packet_duty::receive_wait() const
{
    if (!flow_log_.empty())
    {
        return flush_delay;
    }
    return steerer_.failing().suspected_count() > 0 ? steering::expiry_interval
                                                    : max_receive_wait;
}

std::string packet_duty::view_age() const
{
    const auto& view = steerer_.view();
    return view ? std::to_string(
                      in_milliseconds(now_ - view->parts().confirmed_at))
                : "?";
}

} // namespace catkinkeel::edge
