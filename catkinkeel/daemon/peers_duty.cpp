#include "catkinkeel/daemon/peers_duty.hpp"

#include "catkinkeel/clock/clock.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

namespace catkinkeel
{

namespace
{

constexpr duration tick_period = 50ms;
constexpr duration standing_period = 500ms;
constexpr duration history_length = 60s;

member self_of(const daemon_settings& settings)
{
    return {.id = settings.id,
            .data_centre = settings.data_centre,
            .control = settings.control,
            .packets = settings.packets,
            .incarnation = 1};
}

/// The peers of the settings as a list that every list of the platform
/// replaces, and too old to act on as steward.
vm_list seeds_of(const daemon_settings& settings)
{
    vm_list seeds{.read_at = steady_now() - 24h, .vms = {}};
    for (const peer_settings& each : settings.peers)
    {
        seeds.vms.push_back(
            {each.id, each.data_centre, each.control, each.packets});
    }
    seeds.vms.push_back({settings.id, settings.data_centre, settings.control,
                         settings.packets});
    std::ranges::sort(seeds.vms, {}, &listed_vm::id);
    return seeds;
}

/// Alternatives of `message` that the decide thread handles.
template <class T>
constexpr bool is_flow_message =
    std::is_same_v<T, replicate> || std::is_same_v<T, replicate_ack> ||
    std::is_same_v<T, claim> || std::is_same_v<T, handover> ||
    std::is_same_v<T, handover_ack>;

template <class T>
constexpr bool is_vm_message =
    std::is_same_v<T, probe> || std::is_same_v<T, probe_ack> ||
    std::is_same_v<T, probe_request> || std::is_same_v<T, leave>;

} // namespace

peers_duty::peers_duty(const daemon_settings& settings, peers_parts parts)
    : settings_(settings),
      parts_(std::move(parts)),
      fleet_(membership_settings{}, random_source(wall_nanoseconds()))
{
    fleet_.start(self_of(settings));
    if (!settings.peers.empty())
    {
        fleet_.apply_vm_list(seeds_of(settings), steady_now());
    }
}

void peers_duty::run()
{
    publish_view(steady_now());
    for (;;)
    {
        const auto received = parts_.inbox->pop_for(tick_period);
        if (!received && parts_.inbox->closed())
        {
            return;
        }
        const instant now = steady_now();
        if (received)
        {
            handle(*received, now);
        }
        while (const auto list = parts_.lists->pop_for({}))
        {
            fleet_.apply_vm_list(*list, now);
        }
        if (!last_tick_ || now - *last_tick_ >= tick_period)
        {
            last_tick_ = now;
            tick(now);
        }
        if (fleet_.view().revision != published_revision_)
        {
            publish_view(now);
        }
        publish_standing(now);
    }
}

void peers_duty::handle(const peer_message& received, instant now)
{
    std::visit(
        [&](const auto& content)
        {
            using content_type = std::decay_t<decltype(content)>;
            if constexpr (is_vm_message<content_type>)
            {
                send(fleet_.handle(received.peer, content, now), now);
                if constexpr (std::is_same_v<content_type, probe> ||
                              std::is_same_v<content_type, probe_ack>)
                {
                    parts_.configuration->try_push(
                        peer_version{received.peer, content.in_effect});
                }
            }
            else if constexpr (is_flow_message<content_type>)
            {
                parts_.decide->try_push(
                    flow_message_received{received.peer, content});
            }
            else if constexpr (std::is_same_v<content_type, target_update>)
            {
                parts_.decide->try_push(
                    target_update_received{received.peer, content});
            }
            else if constexpr (std::is_same_v<content_type, chunk_request>)
            {
                parts_.configuration->try_push(
                    chunk_asked{received.peer, content});
            }
            else
            {
                parts_.configuration->try_push(
                    chunk_part_received{received.peer, content});
            }
        },
        received.content);
}

void peers_duty::tick(instant now)
{
    fleet_.set_reported_version({parts_.board->in_effect.load()});
    if (leaving_ && !left_)
    {
        left_ = true;
        send(fleet_.shut_down(now), now);
    }
    send(fleet_.tick(now), now);
    parts_.link->tick(now);
    for (const drop_report& each : parts_.link->due_reports(now))
    {
        parts_.events->report(
            event_number::message_dropped,
            {field("count", each.dropped),
             field("reason", std::string(to_string(each.reason))),
             field("vm", each.claimed_sender.value_or(vm_id{}).value)});
    }
}

void peers_duty::send(const vm_outbox& letters, instant now)
{
    for (const outgoing_vm_message& each : letters)
    {
        parts_.link->send(
            {each.to,
             std::visit([](const auto& content) -> message { return content; },
                        each.content)},
            now);
    }
}

void peers_duty::publish_view(instant now)
{
    const member_view& view = fleet_.view();
    report_changes(published_, view);
    published_ = view;
    published_revision_ = view.revision;
    parts_.link->set_peers(view);
    parts_.board->view.put(view);
    parts_.decide->push(view_changed{view});
    publish_standing(now);
}

void peers_duty::report_changes(const member_view& before,
                                const member_view& after)
{
    for (const member& is : after.members)
    {
        const member* was = before.find(is.id);
        const std::vector<event_field> fields{
            field("vm", is.id.value),
            field("data_centre", is.data_centre.value),
            field("incarnation", is.incarnation)};
        const change_origin origin{
            {parts_.board->in_effect.load()}, "probes and news of members", ""};
        if (is.id == settings_.id)
        {
            if (was != nullptr && was->incarnation != is.incarnation)
            {
                parts_.events->report(event_number::self_refuted, fields,
                                      origin);
            }
            continue;
        }
        if (was != nullptr && was->state == is.state)
        {
            continue;
        }
        if (is.state == liveness::alive)
        {
            parts_.events->report(was != nullptr &&
                                          was->state == liveness::suspect
                                      ? event_number::member_refuted
                                      : event_number::member_joined,
                                  fields, origin);
        }
        else if (is.state == liveness::suspect)
        {
            parts_.events->report(event_number::member_suspect, fields, origin);
        }
        else if (is.state == liveness::left)
        {
            parts_.events->report(event_number::member_left, fields, origin);
        }
        else if (was != nullptr)
        {
            parts_.events->report(event_number::member_dead, fields, origin);
            parts_.configuration->try_push(peer_gone{is.id});
        }
    }
}

void peers_duty::publish_standing(instant now)
{
    const bool may_open = fleet_.may_open_flows(now);
    const bool due =
        !last_standing_ || now - *last_standing_ >= standing_period;
    if (!due && may_open == last_may_open_)
    {
        return;
    }
    last_standing_ = now;
    last_may_open_ = may_open;
    steward_view view{.self = settings_.id,
                      .data_centre = settings_.data_centre};
    std::map<data_centre_id, std::vector<vm_id>> possible;
    for (const member& each : fleet_.view().members)
    {
        auto at = possible.find(each.data_centre);
        if (at == possible.end())
        {
            at = possible
                     .emplace(each.data_centre,
                              fleet_.possibly_alive(each.data_centre, now))
                     .first;
        }
        if (!std::ranges::binary_search(at->second, each.id))
        {
            continue;
        }
        const auto contact = fleet_.contact(each.id);
        view.possibly_alive.push_back(
            {.id = each.id,
             .data_centre = each.data_centre,
             .alive = each.may_own_buckets(),
             .last_received =
                 contact ? contact->last_received : std::optional(now),
             .last_acknowledged =
                 contact ? contact->last_acknowledged : std::optional(now)});
    }
    if (const auto age = fleet_.list_age(now))
    {
        view.list_as_of = now - *age - duration(settings_.max_vm_list_lag);
    }
    view.listed_since = fleet_.listed_since();
    parts_.decide->try_push(standing_changed{std::move(view), may_open});
    publish_snapshot(now);
}

void peers_duty::publish_snapshot(instant now)
{
    peers_snapshot shown;
    for (const member& each : fleet_.view().members)
    {
        const auto contact = fleet_.contact(each.id);
        const set_version version =
            each.id == settings_.id
                ? set_version{parts_.board->in_effect.load()}
                : contact.value_or(peer_contact{})
                      .in_effect.value_or(set_version{});
        shown.members.push_back({each.id, each.data_centre, each.control,
                                 each.incarnation, each.state, each.listed,
                                 version});
    }
    shown.list_age = fleet_.list_age(now);
    const transport_counts counts = parts_.link->counts();
    shown.sent = counts.sent_bytes;
    shown.received = counts.received_bytes;
    traffic_.push_back({now, shown.sent, shown.received});
    while (now - traffic_.front().at > history_length)
    {
        traffic_.pop_front();
    }
    const traffic_sample& oldest = traffic_.front();
    shown.sent_last_minute = {shown.sent.value - oldest.sent.value};
    shown.received_last_minute = {shown.received.value - oldest.received.value};
    for (std::size_t i = 0; i < drop_reason_count; ++i)
    {
        const auto reason = static_cast<drop_reason>(i);
        shown.dropped_messages.push_back(
            {std::string(to_string(reason)), parts_.link->dropped(reason)});
    }
    parts_.board->peers.put(std::move(shown));
}

} // namespace catkinkeel
