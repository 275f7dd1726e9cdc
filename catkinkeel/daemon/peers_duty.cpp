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
constexpr duration permissions_period = 500ms;
constexpr duration traffic_window = 60s;

member make_self(const daemon_settings& settings)
{
    return {.id = settings.id,
            .data_centre = settings.data_centre,
            .control = settings.control,
            .packets = settings.packets,
            .incarnation = 1};
}

/// The peers of the settings and this VM as a list of VMs. It is dated 24 h
/// back, so that any list of the platform replaces it and it is too old for
/// this VM to act as steward.
vm_list make_seed_list(const daemon_settings& settings)
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

/// Alternatives of `message` that `membership` handles.
template <class T>
constexpr bool is_membership_message =
    std::is_same_v<T, probe> || std::is_same_v<T, probe_ack> ||
    std::is_same_v<T, probe_request> || std::is_same_v<T, leave>;

} // namespace

peers_duty::peers_duty(const daemon_settings& settings,
                       peers_dependencies dependencies)
    : settings_(settings),
      dependencies_(std::move(dependencies)),
      membership_(membership_settings{}, random_source(wall_nanoseconds()))
{
    membership_.start(make_self(settings));
    if (!settings.peers.empty())
    {
        membership_.apply_vm_list(make_seed_list(settings), steady_now());
    }
}

void peers_duty::run()
{
    publish_view(steady_now());
    for (;;)
    {
        const auto received = dependencies_.inbox->pop_for(tick_period);
        if (!received && dependencies_.inbox->closed())
        {
            return;
        }
        const instant now = steady_now();
        if (received)
        {
            handle(*received, now);
        }
        while (const auto list = dependencies_.vm_lists->pop_for({}))
        {
            membership_.apply_vm_list(*list, now);
        }
        if (!last_tick_at_ || now - *last_tick_at_ >= tick_period)
        {
            last_tick_at_ = now;
            tick(now);
        }
        if (membership_.view().revision != published_revision_)
        {
            publish_view(now);
        }
        publish_permissions(now);
    }
}

void peers_duty::handle(const peer_message& received, instant now)
{
    std::visit(
        [&](const auto& content)
        {
            using content_type = std::decay_t<decltype(content)>;
            if constexpr (is_membership_message<content_type>)
            {
                send(membership_.handle(received.peer, content, now), now);
                if constexpr (std::is_same_v<content_type, probe> ||
                              std::is_same_v<content_type, probe_ack>)
                {
                    dependencies_.configuration_inputs->try_push(
                        peer_version_received{received.peer,
                                              content.in_effect});
                }
            }
            else if constexpr (is_flow_message<content_type>)
            {
                dependencies_.decide_inputs->try_push(
                    flow_message_received{received.peer, content});
            }
            else if constexpr (std::is_same_v<content_type, target_update>)
            {
                dependencies_.decide_inputs->try_push(
                    target_update_received{received.peer, content});
            }
            else if constexpr (std::is_same_v<content_type, chunk_request>)
            {
                dependencies_.configuration_inputs->try_push(
                    chunk_request_received{received.peer, content});
            }
            else
            {
                dependencies_.configuration_inputs->try_push(
                    chunk_part_received{received.peer, content});
            }
        },
        received.content);
}

void peers_duty::tick(instant now)
{
    membership_.set_reported_version(
        {dependencies_.board->version_in_effect.load()});
    if (leave_requested_ && !leave_sent_)
    {
        leave_sent_ = true;
        send(membership_.shut_down(now), now);
    }
    send(membership_.tick(now), now);
    dependencies_.link->tick(now);
    for (const drop_report& each : dependencies_.link->take_drop_reports(now))
    {
        dependencies_.events->report(
            event_number::message_dropped,
            {field("count", each.dropped),
             field("reason", std::string(to_string(each.reason))),
             field("vm", each.claimed_sender.value_or(vm_id{}).value)});
    }
}

void peers_duty::send(const vm_outbox& messages, instant now)
{
    for (const outgoing_vm_message& each : messages)
    {
        dependencies_.link->send(
            {each.to,
             std::visit([](const auto& content) -> message { return content; },
                        each.content)},
            now);
    }
}

void peers_duty::publish_view(instant now)
{
    const member_view& view = membership_.view();
    report_changes(published_view_, view);
    published_view_ = view;
    published_revision_ = view.revision;
    dependencies_.link->set_peers(view);
    dependencies_.board->latest_view.put(view);
    dependencies_.decide_inputs->push(view_changed{view});
    publish_permissions(now);
}

void peers_duty::report_changes(const member_view& before,
                                const member_view& after)
{
    for (const member& current : after.members)
    {
        const member* previous = before.find(current.id);
        const std::vector<event_field> fields{
            field("vm", current.id.value),
            field("data_centre", current.data_centre.value),
            field("incarnation", current.incarnation)};
        const change_origin origin{
            {dependencies_.board->version_in_effect.load()},
            "probes and news of members",
            ""};
        if (current.id == settings_.id)
        {
            if (previous != nullptr &&
                previous->incarnation != current.incarnation)
            {
                dependencies_.events->report(event_number::self_refuted, fields,
                                             origin);
            }
            continue;
        }
        if (previous != nullptr && previous->state == current.state)
        {
            continue;
        }
        if (current.state == liveness::alive)
        {
            dependencies_.events->report(
                previous != nullptr && previous->state == liveness::suspect
                    ? event_number::member_refuted
                    : event_number::member_joined,
                fields, origin);
        }
        else if (current.state == liveness::suspect)
        {
            dependencies_.events->report(event_number::member_suspect, fields,
                                         origin);
        }
        else if (current.state == liveness::left)
        {
            dependencies_.events->report(event_number::member_left, fields,
                                         origin);
        }
        else if (previous != nullptr)
        {
            dependencies_.events->report(event_number::member_dead, fields,
                                         origin);
            dependencies_.configuration_inputs->try_push(
                peer_declared_dead{current.id});
        }
    }
}

void peers_duty::publish_permissions(instant now)
{
    const bool may_open_now = membership_.may_open_flows(now);
    const bool due = !last_permissions_at_ ||
                     now - *last_permissions_at_ >= permissions_period;
    if (!due && may_open_now == last_may_open_flows_)
    {
        return;
    }
    last_permissions_at_ = now;
    last_may_open_flows_ = may_open_now;
    steward_view view{.self = settings_.id,
                      .data_centre = settings_.data_centre};
    std::map<data_centre_id, std::vector<vm_id>> possibly_alive_vms;
    for (const member& each : membership_.view().members)
    {
        auto found = possibly_alive_vms.find(each.data_centre);
        if (found == possibly_alive_vms.end())
        {
            found =
                possibly_alive_vms
                    .emplace(each.data_centre,
                             membership_.possibly_alive(each.data_centre, now))
                    .first;
        }
        if (!std::ranges::binary_search(found->second, each.id))
        {
            continue;
        }
        const auto contact = membership_.contact(each.id);
        view.possibly_alive.push_back(
            {.id = each.id,
             .data_centre = each.data_centre,
             .alive = each.may_own_buckets(),
             .last_received =
                 contact ? contact->last_received : std::optional(now),
             .last_acknowledged =
                 contact ? contact->last_acknowledged : std::optional(now)});
    }
    if (const auto age = membership_.list_age(now))
    {
        view.list_as_of = now - *age - duration(settings_.max_vm_list_lag);
    }
    view.listed_since = membership_.listed_since();
    dependencies_.decide_inputs->try_push(
        permissions_changed{std::move(view), may_open_now});
    publish_snapshot(now);
}

void peers_duty::publish_snapshot(instant now)
{
    peers_snapshot snapshot;
    for (const member& each : membership_.view().members)
    {
        const auto contact = membership_.contact(each.id);
        const set_version version =
            each.id == settings_.id
                ? set_version{dependencies_.board->version_in_effect.load()}
                : contact.value_or(peer_contact{})
                      .in_effect.value_or(set_version{});
        snapshot.members.push_back({each.id, each.data_centre, each.control,
                                    each.incarnation, each.state, each.listed,
                                    version});
    }
    snapshot.vm_list_age = membership_.list_age(now);
    const transport_counts counts = dependencies_.link->counts();
    snapshot.sent_bytes = counts.sent_bytes;
    snapshot.received_bytes = counts.received_bytes;
    traffic_samples_.push_back(
        {now, snapshot.sent_bytes, snapshot.received_bytes});
    while (now - traffic_samples_.front().at > traffic_window)
    {
        traffic_samples_.pop_front();
    }
    const traffic_sample& oldest = traffic_samples_.front();
    snapshot.sent_bytes_last_minute = {snapshot.sent_bytes.value -
                                       oldest.sent.value};
    snapshot.received_bytes_last_minute = {snapshot.received_bytes.value -
                                           oldest.received.value};
    for (std::size_t i = 0; i < drop_reason_count; ++i)
    {
        const auto reason = static_cast<drop_reason>(i);
        snapshot.dropped_messages.push_back(
            {std::string(to_string(reason)),
             dependencies_.link->dropped(reason)});
    }
    dependencies_.board->latest_peers_snapshot.put(std::move(snapshot));
}

} // namespace catkinkeel
