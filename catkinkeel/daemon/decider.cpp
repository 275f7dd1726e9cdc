#include "catkinkeel/daemon/decider.hpp"

#include "catkinkeel/clock/clock.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace catkinkeel
{

namespace
{

/// The longest time that control inputs wait while no packet comes.
constexpr duration longest_wait = 5ms;
/// Inputs handled between two packet batches, so that a flood of them does not
/// stop packets.
constexpr int inputs_per_turn = 64;
constexpr duration pause_limit = 1s;
constexpr duration message_period = 20ms;
constexpr duration snapshot_period = 1s;

/// Replication and handovers may use this part of the control budget; the rest
/// is for probes, updates and the published set.
constexpr double flow_budget_share = 0.6;
/// They may use a minute's part at once, since the budget is kept over each
/// minute.
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

/// The part of a target's traffic that the balancer expects at this VM.
class core_demand final : public traffic_demand
{
public:
    explicit core_demand(balancer& core) : core_(core) {}
    [[nodiscard]] double expected_share(target_id id) const override
    {
        return core_.capacity_share(id);
    }

private:
    balancer& core_;
};

} // namespace

decider::decider(const daemon_settings& settings, decider_parts parts)
    : settings_(settings),
      parts_(std::move(parts)),
      targets_(std::make_shared<steward_rule>(steward_bounds_of(settings)),
               wall_nanoseconds()),
      core_(balancer_settings_of(settings), settings.id, settings.data_centre,
            wall_nanoseconds(), targets_)
{
}

void decider::run()
{
    for (;;)
    {
        auto batch = parts_.packets->take_filled_for(longest_wait);
        if (!batch && parts_.packets->closed())
        {
            return;
        }
        const instant now = steady_now();
        notice_pause(now);
        if (batch)
        {
            handle_packets(*batch, now);
            parts_.packets->put_empty(std::move(*batch));
        }
        handle_inputs(now);
        if (!last_messages_ || now - *last_messages_ >= message_period)
        {
            send_flow_messages(now);
        }
    }
}

void decider::notice_pause(instant now)
{
    if (last_turn_ && now - *last_turn_ > pause_limit)
    {
        ++pauses_;
        may_open_ = false;
        core_.set_opening_allowed(false);
        core_.mark_holdings_unconfirmed(now);
        parts_.events->report(
            event_number::process_paused,
            {field("milliseconds",
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                       now - *last_turn_)
                       .count())});
    }
    last_turn_ = now;
}

void decider::handle_packets(const packet_batch& batch, instant now)
{
    parts_.board->last_packet_at = now.time_since_epoch().count();
    for (const received_datagram& each : batch.datagrams())
    {
        ++received_;
        const read_result read = read_datagram(each.payload);
        if (const auto* reason = std::get_if<reject_reason>(&read))
        {
            rejected_.add(*reason);
            continue;
        }
        const auto& packet = std::get<parsed_packet>(read);
        carry_out(packet, core_.decide(packet.facts, now));
    }
    flush();
}

void decider::carry_out(const parsed_packet& packet, const verdict& decided)
{
    if (out_.full())
    {
        flush();
    }
    if (const auto* to = std::get_if<deliver>(&decided))
    {
        ++delivered_;
        out_.add(encapsulate_for_target(to->where, packet.packet));
    }
    else if (const auto* via = std::get_if<relay>(&decided))
    {
        ++relayed_;
        out_.add(encapsulate_for_relay(via->where, packet));
    }
    else if (const auto* no = std::get_if<refuse>(&decided))
    {
        ++refused_[no->reason];
        if (const auto answer = refuse_packet(packet))
        {
            out_.add_refusal(settings_.egress, *answer);
        }
    }
    else
    {
        ++discarded_[std::get<discard>(decided).reason];
    }
}

void decider::flush()
{
    if (!out_.datagrams().empty())
    {
        parts_.socket->send(out_.datagrams());
        out_.clear();
    }
}

void decider::handle_inputs(instant now)
{
    for (int i = 0; i < inputs_per_turn; ++i)
    {
        const auto input = parts_.inputs->pop_for({});
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
        const member* before = view_.find(each.id);
        const bool joined = each.state == liveness::alive &&
                            (before == nullptr || !before->may_own_buckets());
        if (joined && each.id != settings_.id)
        {
            const target_update update = targets_.update_for(each.id);
            if (!update.changes.empty())
            {
                parts_.link->send({each.id, update}, now);
            }
        }
    }
    view_ = input.view;
    core_.apply_view(input.view, now);
}

void decider::handle(const set_changed& input, instant now)
{
    targets_.apply_set(input.set, now);
    core_.apply_set(input.set, input.plan, now);
}

void decider::handle(const flow_message_received& input, instant now)
{
    core_.handle(input.from, input.content, now);
}

void decider::handle(const target_update_received& input, instant now)
{
    targets_.apply_update(input.from, input.update, now);
}

void decider::handle(const report_read& input, instant now)
{
    targets_.apply_report(input.target, input.report,
                          core_.open_flow_count_on(input.target), now);
}

void decider::handle(const standing_changed& input, instant now)
{
    if (input.may_open && !may_open_)
    {
        parts_.events->report(
            event_number::process_validated,
            {field("version", parts_.board->in_effect.load())});
    }
    if (!input.may_open && may_open_)
    {
        parts_.events->report(event_number::peers_silent, {});
    }
    may_open_ = input.may_open;
    core_.set_opening_allowed(input.may_open);
    targets_.apply_steward_view(input.stewardship, now);
}

void decider::handle(const explain_requested& input, instant /*now*/)
{
    input.answer->set_value(core_.explain(input.facts));
}

void decider::handle(const clock_tick& /*input*/, instant now)
{
    targets_.tick(now);
    core_.tick(now);
    order_reports(now);
    send_target_updates(now);
    if (!last_snapshot_ || now - *last_snapshot_ >= snapshot_period)
    {
        last_snapshot_ = now;
        publish_snapshot(now);
    }
}

void decider::send_flow_messages(instant now)
{
    const auto per_second =
        static_cast<double>(settings_.control_budget.value) * flow_budget_share;
    const std::chrono::duration<double> passed =
        last_messages_ ? now - *last_messages_
                       : duration(std::chrono::seconds(
                             static_cast<int>(flow_budget_burst_seconds)));
    last_messages_ = now;
    flow_budget_ = std::min(per_second * flow_budget_burst_seconds,
                            flow_budget_ + per_second * passed.count());
    const byte_count budget{
        static_cast<std::uint64_t>(std::max(0.0, flow_budget_))};
    for (const outgoing_flow_message& each : core_.take_messages(budget, now))
    {
        peer_message letter{each.to,
                            std::visit([](const auto& content) -> message
                                       { return content; },
                                       each.content)};
        flow_budget_ -= static_cast<double>(
            encode_message(letter.content).size() + header_cost.value);
        parts_.link->send(letter, now);
    }
}

void decider::send_target_updates(instant now)
{
    const target_update changes = targets_.take_updates(now);
    const core_demand demand(core_);
    std::map<vm_id, target_update> per_peer =
        targets_.take_grant_updates(demand, now);
    for (const member& each : view_.members)
    {
        if (each.id == settings_.id || !each.may_own_buckets())
        {
            continue;
        }
        target_update update = std::move(per_peer[each.id]);
        update.changes = changes.changes;
        if (!update.empty())
        {
            parts_.link->send({each.id, update}, now);
        }
    }
}

void decider::order_reports(instant now)
{
    const published_set_ptr& set = core_.set_in_effect();
    if (!set)
    {
        return;
    }
    for (const target_id id : targets_.targets_to_poll(now))
    {
        if (const target* found = set->find_target(id))
        {
            parts_.reports->try_push({id, found->report});
        }
    }
}

} // namespace catkinkeel
