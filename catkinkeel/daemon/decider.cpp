#include "catkinkeel/daemon/decider.hpp"

#include "catkinkeel/clock/clock.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace catkinkeel
{

namespace
{

/// Time to wait for a packet batch before control inputs are handled.
constexpr duration packet_wait_timeout = 5ms;
/// Maximum number of control inputs handled between two packet batches, so that
/// a burst of inputs does not delay packets.
constexpr int max_inputs_per_iteration = 64;
/// Time between two iterations of the loop above which the process is regarded
/// as paused.
constexpr duration pause_threshold = 1s;
constexpr duration flow_message_period = 20ms;
constexpr duration snapshot_period = 1s;

/// Fraction of the control budget that replication and handovers may use; the
/// rest is for probes, target updates and the published set.
constexpr double flow_budget_share = 0.6;
/// Seconds' worth of that fraction that may be sent at once. A burst is allowed
/// because the control budget limits the total of each minute.
constexpr double flow_budget_burst_seconds = 20;

balancer_settings balancer_settings_of(const daemon_settings& settings)
{
    return {.flow_capacity = settings.flow_capacity,
            .idle_timeout = settings.tcp_idle_timeout,
            .load_epsilon = settings.load_bound};
}

steward_bounds steward_bounds_of(const daemon_settings& settings)
{
    return {.max_list_age = settings.max_vm_list_lag + 10s,
            .min_listed_duration = settings.max_vm_list_lag + 15s};
}

/// Takes the share of a target's flows that is expected at this VM from the
/// balancer.
class balancer_demand final : public traffic_demand
{
public:
    explicit balancer_demand(balancer& source) : balancer_(source) {}
    [[nodiscard]] double expected_share(target_id id) const override
    {
        return balancer_.capacity_share(id);
    }

private:
    balancer& balancer_;
};

} // namespace

decider::decider(const daemon_settings& settings,
                 decider_dependencies dependencies)
    : settings_(settings),
      dependencies_(std::move(dependencies)),
      targets_(std::make_shared<steward_rule>(steward_bounds_of(settings)),
               wall_nanoseconds()),
      balancer_(balancer_settings_of(settings), settings.id,
                settings.data_centre, wall_nanoseconds(), targets_)
{
}

void decider::run()
{
    for (;;)
    {
        auto batch =
            dependencies_.packets->take_filled_for(packet_wait_timeout);
        if (!batch && dependencies_.packets->closed())
        {
            return;
        }
        const instant now = steady_now();
        detect_pause(now);
        if (batch)
        {
            handle_packets(*batch, now);
            dependencies_.packets->put_empty(std::move(*batch));
        }
        handle_inputs(now);
        if (!last_flow_messages_at_ ||
            now - *last_flow_messages_at_ >= flow_message_period)
        {
            send_flow_messages(now);
        }
    }
}

void decider::detect_pause(instant now)
{
    if (last_iteration_at_ && now - *last_iteration_at_ > pause_threshold)
    {
        ++process_pauses_;
        may_open_flows_ = false;
        balancer_.set_opening_allowed(false);
        balancer_.mark_holdings_unconfirmed(now);
        dependencies_.events->report(
            event_number::process_paused,
            {field("milliseconds",
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                       now - *last_iteration_at_)
                       .count())});
    }
    last_iteration_at_ = now;
}

void decider::handle_packets(const packet_batch& batch, instant now)
{
    dependencies_.board->last_packet_at = now.time_since_epoch().count();
    for (const received_datagram& each : batch.datagrams())
    {
        ++received_packets_;
        const parse_result result = parse_datagram(each.payload);
        if (const auto* reason = std::get_if<reject_reason>(&result))
        {
            rejected_datagrams_.add(*reason);
            continue;
        }
        const auto& packet = std::get<parsed_packet>(result);
        apply_verdict(packet, balancer_.decide(packet.facts, now));
    }
    flush();
}

void decider::apply_verdict(const parsed_packet& packet,
                            const verdict& decision)
{
    if (outgoing_.full())
    {
        flush();
    }
    if (const auto* delivery = std::get_if<deliver>(&decision))
    {
        ++delivered_packets_;
        outgoing_.add(encapsulate_for_target(delivery->where, packet.packet));
    }
    else if (const auto* relay_verdict = std::get_if<relay>(&decision))
    {
        ++relayed_packets_;
        outgoing_.add(encapsulate_for_relay(relay_verdict->where, packet));
    }
    else if (const auto* refusal = std::get_if<refuse>(&decision))
    {
        ++refused_by_reason_[refusal->reason];
        if (const auto response = make_refusal(packet))
        {
            outgoing_.add_refusal(settings_.egress, *response);
        }
    }
    else
    {
        ++discarded_by_reason_[std::get<discard>(decision).reason];
    }
}

void decider::flush()
{
    if (!outgoing_.datagrams().empty())
    {
        dependencies_.socket->send(outgoing_.datagrams());
        outgoing_.clear();
    }
}

void decider::handle_inputs(instant now)
{
    for (int i = 0; i < max_inputs_per_iteration; ++i)
    {
        const auto input = dependencies_.inputs->pop_for({});
        if (!input)
        {
            return;
        }
        std::visit([&](const auto& content) { handle(content, now); }, *input);
    }
}

void decider::handle(const view_changed& input, instant now)
{
    for (const member& each : input.view.members)
    {
        const member* previous = view_.find(each.id);
        const bool joined =
            each.state == liveness::alive &&
            (previous == nullptr || !previous->may_own_buckets());
        if (joined && each.id != settings_.id)
        {
            const target_update update = targets_.update_for(each.id);
            if (!update.changes.empty())
            {
                dependencies_.link->send({each.id, update}, now);
            }
        }
    }
    view_ = input.view;
    balancer_.apply_view(input.view, now);
}

void decider::handle(const set_changed& input, instant now)
{
    targets_.apply_set(input.set, now);
    balancer_.apply_set(input.set, input.plan, now);
}

void decider::handle(const flow_message_received& input, instant now)
{
    balancer_.handle(input.from, input.content, now);
}

void decider::handle(const target_update_received& input, instant now)
{
    targets_.apply_update(input.from, input.update, now);
}

void decider::handle(const load_report_read& input, instant now)
{
    targets_.apply_report(input.target, input.report,
                          balancer_.open_flow_count_on(input.target), now);
}

void decider::handle(const permissions_changed& input, instant now)
{
    if (input.may_open_flows && !may_open_flows_)
    {
        dependencies_.events->report(
            event_number::process_validated,
            {field("version", dependencies_.board->version_in_effect.load())});
    }
    if (!input.may_open_flows && may_open_flows_)
    {
        dependencies_.events->report(event_number::peers_silent, {});
    }
    may_open_flows_ = input.may_open_flows;
    balancer_.set_opening_allowed(input.may_open_flows);
    targets_.apply_steward_view(input.stewardship, now);
}

void decider::handle(const explain_requested& input, instant /*now*/)
{
    input.result->set_value(balancer_.explain(input.facts));
}

void decider::handle(const clock_tick& /*input*/, instant now)
{
    targets_.tick(now);
    balancer_.tick(now);
    request_load_reports(now);
    send_target_updates(now);
    if (!last_snapshot_at_ || now - *last_snapshot_at_ >= snapshot_period)
    {
        last_snapshot_at_ = now;
        publish_snapshot(now);
    }
}

void decider::send_flow_messages(instant now)
{
    const auto per_second =
        static_cast<double>(settings_.control_budget.value) * flow_budget_share;
    const std::chrono::duration<double> elapsed =
        last_flow_messages_at_ ? now - *last_flow_messages_at_
                               : duration(std::chrono::seconds(static_cast<int>(
                                     flow_budget_burst_seconds)));
    last_flow_messages_at_ = now;
    flow_budget_ = std::min(per_second * flow_budget_burst_seconds,
                            flow_budget_ + per_second * elapsed.count());
    const byte_count budget{
        static_cast<std::uint64_t>(std::max(0.0, flow_budget_))};
    for (const outgoing_flow_message& each :
         balancer_.take_messages(budget, now))
    {
        peer_message outgoing_message{
            each.to,
            std::visit([](const auto& content) -> message { return content; },
                       each.content)};
        flow_budget_ -= static_cast<double>(
            encode_message(outgoing_message.content).size() +
            header_overhead.value);
        dependencies_.link->send(outgoing_message, now);
    }
}

void decider::send_target_updates(instant now)
{
    const target_update common_update = targets_.take_updates(now);
    const balancer_demand demand(balancer_);
    std::map<vm_id, target_update> grant_updates =
        targets_.take_grant_updates(demand, now);
    for (const member& each : view_.members)
    {
        if (each.id == settings_.id || !each.may_own_buckets())
        {
            continue;
        }
        target_update update = std::move(grant_updates[each.id]);
        update.changes = common_update.changes;
        if (!update.empty())
        {
            dependencies_.link->send({each.id, update}, now);
        }
    }
}

void decider::request_load_reports(instant now)
{
    const published_set_ptr& set = balancer_.set_in_effect();
    if (!set)
    {
        return;
    }
    for (const target_id id : targets_.targets_to_poll(now))
    {
        if (const target* found = set->find_target(id))
        {
            dependencies_.load_report_requests->try_push({id, found->report});
        }
    }
}

} // namespace catkinkeel
