#include "catkinkeel/vm/membership.hpp"

#include <algorithm>
#include <limits>

// Updates of other VMs, the platform's list, and the view.

namespace catkinkeel
{

namespace
{

/// Precedence of states at equal incarnations; the higher one overrides.
int state_precedence(liveness state)
{
    switch (state)
    {
    case liveness::alive:
        return 0;
    case liveness::suspect:
        return 1;
    case liveness::dead:
    case liveness::left:
        break;
    }
    return 2;
}

member_update to_update(const member& info)
{
    return {info.id,      info.data_centre, info.control,
            info.packets, info.incarnation, info.state};
}

template <class News>
bool supersedes(const News& newer, const member& older)
{
    return newer.incarnation != older.incarnation
               ? newer.incarnation > older.incarnation
               : state_precedence(newer.state) > state_precedence(older.state);
}

} // namespace

void membership::apply_vm_list(const vm_list& list, instant now)
{
    advance_time(now);
    if (list_read_at_ && list.read_at < *list_read_at_)
    {
        return;
    }
    list_read_at_ = list.read_at;
    for (auto& [id, record] : peers_)
    {
        record.info.listed = false;
    }
    bool self_listed = false;
    for (const listed_vm& entry : list.vms)
    {
        if (entry.id == self_.id)
        {
            self_listed = true;
            continue;
        }
        peer* record = find(entry.id);
        if (record == nullptr)
        {
            if (peers_.size() >= settings_.max_members)
            {
                continue;
            }
            record = &peers_[entry.id];
            record->info = {
                entry.id, entry.data_centre, entry.control, entry.packets,
                0,        liveness::dead,    true};
            record->state_since = now;
        }
        else if (record->info.state == liveness::dead)
        {
            // A replacement VM may have other addresses.
            record->info.data_centre = entry.data_centre;
            record->info.control = entry.control;
            record->info.packets = entry.packets;
        }
        record->info.listed = true;
    }
    self_.listed = self_listed;
    if (!self_listed)
    {
        listed_since_.reset();
    }
    else if (!listed_since_)
    {
        listed_since_ = list.read_at;
    }
    view_changed_ = true;
    publish_view();
}

membership::reply_requirements
membership::apply_updates(vm_id from, const std::vector<member_update>& updates,
                          instant now)
{
    reply_requirements reply;
    for (const member_update& each : updates)
    {
        if (each.id == self_.id)
        {
            refute_update(each, reply);
            continue;
        }
        apply_update(each, now);
        const peer* const record = find(each.id);
        if (each.id == from && record != nullptr &&
            supersedes(record->info,
                       {.incarnation = each.incarnation, .state = each.state}))
        {
            reply.sender_outdated_about_itself = true;
        }
    }
    return reply;
}

// An update of this VM that differs from its present state is a suspicion or
// stems from before a restart. A higher incarnation overrides it.
void membership::refute_update(const member_update& update,
                               reply_requirements& reply)
{
    if (update == to_update(self_))
    {
        return;
    }
    reply.include_self = true;
    reply.sender_considers_self_gone = reply.sender_considers_self_gone ||
                                       update.state == liveness::dead ||
                                       update.state == liveness::left;
    if (self_.state == liveness::left ||
        update.incarnation < self_.incarnation ||
        update.incarnation == std::numeric_limits<std::uint32_t>::max())
    {
        return;
    }
    self_.incarnation = update.incarnation + 1;
    update_queue_.add(self_.id);
    view_changed_ = true;
}

void membership::apply_update(const member_update& update, instant now)
{
    // Incarnation 0 tells a listed VM that the sender has no update of it yet.
    if (update.id == self_.id || update.incarnation == 0)
    {
        return;
    }
    peer* record = find(update.id);
    const bool reports_alive =
        update.state == liveness::alive || update.state == liveness::suspect;
    if (record == nullptr)
    {
        if (!reports_alive || peers_.size() >= settings_.max_members)
        {
            return;
        }
        record = &peers_[update.id];
        record->info.id = update.id;
        record->info.state = liveness::dead;
    }
    if (!supersedes(update, record->info))
    {
        return;
    }
    const bool was_possible_owner = record->info.may_own_buckets();
    record->info.data_centre = update.data_centre;
    record->info.control = update.control;
    record->info.packets = update.packets;
    record->info.incarnation = update.incarnation;
    change_state(*record, update.state, now);
    if (reports_alive && !was_possible_owner)
    {
        add_to_probe_round(update.id);
    }
}

void membership::change_state(peer& changed_peer, liveness state, instant now)
{
    // A VM that was alive or suspect in the view may have been alive until now.
    if (changed_peer.info.may_own_buckets() || state == liveness::alive)
    {
        changed_peer.last_evidence = now;
    }
    if (changed_peer.info.state != state)
    {
        changed_peer.state_since = now;
    }
    changed_peer.info.state = state;
    update_queue_.add(changed_peer.info.id);
    view_changed_ = true;
}

bool membership::record_contact(vm_id from, instant now)
{
    peer* const record = find(from);
    if (record == nullptr)
    {
        return false;
    }
    record->contact.last_received = now;
    record->last_evidence = now;
    return true;
}

// In this order: the receiver's own state if it has to override it, this
// VM's state if the receiver lacks it, queued updates, and an introduction to
// the fleet.
std::vector<member_update>
membership::updates_for(vm_id to, const reply_requirements& reply,
                        bool with_introduction)
{
    std::vector<member_update> updates;
    const auto add = [&](const member& info)
    {
        if (std::ranges::find(updates, info.id, &member_update::id) ==
            updates.end())
        {
            updates.push_back(to_update(info));
        }
    };
    const peer* const receiver = find(to);
    if (receiver != nullptr && (reply.sender_outdated_about_itself ||
                                receiver->info.state != liveness::alive))
    {
        add(receiver->info);
    }
    if (reply.include_self || with_introduction)
    {
        add(self_);
    }
    const std::size_t remaining_count =
        settings_.max_updates_per_message -
        std::min(updates.size(), settings_.max_updates_per_message);
    for (const vm_id id : update_queue_.take_least_sent(
             remaining_count, max_update_transmissions(peers_.size() + 1)))
    {
        if (id == self_.id)
        {
            add(self_);
        }
        else if (const peer* const record = find(id))
        {
            add(record->info);
        }
    }
    if (with_introduction)
    {
        add_introduction(updates);
    }
    return updates;
}

void membership::add_introduction(std::vector<member_update>& updates)
{
    const std::size_t count = settings_.max_updates_per_introduction;
    for (const vm_id id : random_possible_owners(count, self_.id))
    {
        if (updates.size() >= count)
        {
            return;
        }
        if (std::ranges::find(updates, id, &member_update::id) == updates.end())
        {
            updates.push_back(to_update(find(id)->info));
        }
    }
}

std::vector<vm_id> membership::possibly_alive(data_centre_id in_data_centre,
                                              instant now) const
{
    std::vector<vm_id> ids;
    for (const auto& [id, record] : peers_)
    {
        const bool may_place_flows =
            record.info.listed || record.info.may_own_buckets() ||
            (record.last_evidence &&
             now - *record.last_evidence <= settings_.possibly_alive_timeout);
        if (record.info.data_centre == in_data_centre &&
            record.info.state != liveness::left && may_place_flows)
        {
            ids.push_back(id);
        }
    }
    if (started_ && self_.data_centre == in_data_centre &&
        self_.state != liveness::left)
    {
        ids.insert(std::ranges::lower_bound(ids, self_.id), self_.id);
    }
    return ids;
}

std::optional<peer_contact> membership::contact(vm_id id) const
{
    const peer* const record = find(id);
    return record == nullptr ? std::nullopt : std::optional(record->contact);
}

std::optional<duration> membership::list_age(instant now) const
{
    return list_read_at_ ? std::optional(now - *list_read_at_) : std::nullopt;
}

bool membership::introduction_complete(instant now) const
{
    return list_read_at_ &&
           std::ranges::all_of(
               peers_,
               [&](const auto& entry)
               {
                   const peer& record = entry.second;
                   return record.info.incarnation > 0 ||
                          (record.last_probed_while_absent &&
                           now - *record.last_probed_while_absent >=
                               settings_.contact_timeout);
               });
}

membership::peer* membership::find(vm_id id)
{
    const auto found = peers_.find(id);
    return found == peers_.end() ? nullptr : &found->second;
}

const membership::peer* membership::find(vm_id id) const
{
    const auto found = peers_.find(id);
    return found == peers_.end() ? nullptr : &found->second;
}

bool membership::is_possible_owner(vm_id id) const
{
    const peer* const record = find(id);
    return record != nullptr && record->info.may_own_buckets();
}

void membership::publish_view()
{
    if (!view_changed_)
    {
        return;
    }
    view_changed_ = false;
    member_view next{self_.id, view_.revision + 1, {}};
    next.members.reserve(peers_.size() + 1);
    for (const auto& [id, record] : peers_)
    {
        next.members.push_back(record.info);
    }
    next.members.insert(
        std::ranges::lower_bound(next.members, self_.id, {}, &member::id),
        self_);
    view_ = std::move(next);
}

} // namespace catkinkeel
