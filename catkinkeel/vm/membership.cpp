#include "catkinkeel/vm/membership.hpp"

#include <algorithm>
#include <bit>
#include <utility>

// Timers, probes and acknowledgements. Updates, the platform's list and the
// view are in membership_updates.cpp.

namespace catkinkeel
{

namespace
{

// A later acknowledgement is no evidence that the VM is alive now.
constexpr duration probe_lifetime = 1s;
constexpr std::size_t max_relayed_probes = 256;
// Peers that are sent a `leave`; the others receive the update by gossip.
constexpr std::size_t max_leave_receivers = 8;

} // namespace

unsigned max_update_transmissions(std::size_t members)
{
    return 3U * static_cast<unsigned>(std::bit_width(members));
}

membership::membership(membership_settings settings, random_source random)
    : settings_(settings), random_(random)
{
}

void membership::start(const member& self)
{
    self_ = self;
    self_.incarnation = std::max(self.incarnation, 1U);
    self_.state = liveness::alive;
    started_ = true;
    update_queue_.add(self_.id);
    view_changed_ = true;
    publish_view();
}

void membership::set_reported_version(set_version version)
{
    in_effect_ = version;
}

vm_outbox membership::tick(instant now)
{
    vm_outbox out;
    advance_time(now);
    if (self_.state == liveness::left)
    {
        return out;
    }
    if (!next_probe_)
    {
        next_probe_ = now;
        next_rejoin_probe_ = now + settings_.rejoin_period;
    }
    expire_entries(now);
    if (pending_probe_ && !pending_probe_->probe_requests_sent_at &&
        now - pending_probe_->sent_at >= settings_.direct_ack_timeout)
    {
        send_probe_requests(now, out);
    }
    if (now >= *next_probe_)
    {
        probe_next_member(now, out);
        probe_dead_members(now, out);
        next_probe_ = std::max(*next_probe_ + settings_.probe_period,
                               now + settings_.probe_period / 2);
    }
    publish_view();
    return out;
}

// Detects a pause of this process. A probe that stayed unanswered during the
// pause is no evidence against its target, so the timers restart.
void membership::advance_time(instant now)
{
    if (last_input_ && now - *last_input_ > settings_.contact_timeout)
    {
        pending_probe_.reset();
        for (auto& [id, record] : peers_)
        {
            if (record.info.state == liveness::suspect)
            {
                record.state_since = now;
            }
        }
        if (next_probe_)
        {
            next_probe_ = now;
        }
    }
    last_input_ = last_input_ ? std::max(*last_input_, now) : now;
}

void membership::expire_entries(instant now)
{
    const auto expired = [&](const auto& sent)
    {
        return now - sent.sent_at > probe_lifetime;
    };
    std::erase_if(outstanding_probes_, expired);
    std::erase_if(relayed_probes_, expired);
    for (auto& [id, record] : peers_)
    {
        if (record.info.state == liveness::suspect &&
            now - record.state_since >= settings_.suspicion_timeout)
        {
            change_state(record, liveness::dead, now);
        }
    }
    const auto removed_count = std::erase_if(
        peers_,
        [&](const auto& entry)
        {
            const peer& record = entry.second;
            return !record.info.listed && !record.info.may_own_buckets() &&
                   now - record.state_since >= settings_.forget_delay;
        });
    view_changed_ = view_changed_ || removed_count > 0;
}

void membership::probe_next_member(instant now, vm_outbox& out)
{
    if (pending_probe_)
    {
        peer* const unresponsive = find(pending_probe_->target);
        if (unresponsive != nullptr &&
            unresponsive->info.state == liveness::alive)
        {
            change_state(*unresponsive, liveness::suspect, now);
            // The probe carries the suspicion, so that the suspect can refute
            // it before the suspicion timeout.
            send_probe(pending_probe_->target, now, out, new_nonce());
        }
        pending_probe_.reset();
    }
    if (const auto target = next_in_probe_round())
    {
        pending_probe_ = pending_probe{*target, new_nonce(), now, std::nullopt};
        send_probe(*target, now, out, pending_probe_->nonce);
    }
}

// The helpers are probed directly as well: their acknowledgements let this VM
// go on opening flows when the VM that it probed has just died.
void membership::send_probe_requests(instant now, vm_outbox& out)
{
    pending_probe_->probe_requests_sent_at = now;
    for (const vm_id helper : random_possible_owners(
             settings_.indirect_probe_count, pending_probe_->target))
    {
        out.push_back({helper, probe_request{pending_probe_->nonce,
                                             pending_probe_->target}});
        send_probe(helper, now, out, new_nonce());
    }
}

// Probes up to `max_first_contacts` listed VMs that were never contacted, and
// one dead VM per rejoin period. Both are chosen at random: in order of
// identifiers, all VMs on one side of a healed partition would probe the same
// VM on the other side.
void membership::probe_dead_members(instant now, vm_outbox& out)
{
    std::vector<vm_id> never_contacted;
    std::vector<vm_id> dead;
    for (const auto& [id, record] : peers_)
    {
        if (record.info.state == liveness::dead)
        {
            const bool first = record.info.incarnation == 0 &&
                               !record.last_probed_while_absent;
            (first ? never_contacted : dead).push_back(id);
        }
    }
    shuffle(never_contacted);
    never_contacted.resize(
        std::min(never_contacted.size(), settings_.max_first_contacts));
    for (const vm_id id : never_contacted)
    {
        send_probe(id, now, out, new_nonce());
    }
    if (now >= next_rejoin_probe_)
    {
        next_rejoin_probe_ = now + settings_.rejoin_period;
        if (!dead.empty())
        {
            send_probe(dead[random_.below(dead.size())], now, out, new_nonce());
        }
    }
}

void membership::send_probe(vm_id to, instant now, vm_outbox& out,
                            std::uint64_t nonce)
{
    reply_requirements reply;
    peer* const record = find(to);
    if (record != nullptr && !record->info.may_own_buckets())
    {
        record->last_probed_while_absent = now;
        // The receiver may not have this VM in its view either.
        reply.include_self = true;
    }
    outstanding_probes_.push_back({nonce, to, now});
    out.push_back(
        {to, probe{nonce, in_effect_, updates_for(to, reply, false)}});
}

// 32 bits match an acknowledgement to its probe and keep messages short.
std::uint64_t membership::new_nonce()
{
    return random_.next() >> 32U;
}

vm_outbox membership::handle(vm_id from, const probe& received, instant now)
{
    vm_outbox out;
    advance_time(now);
    const bool was_possible_owner = is_possible_owner(from);
    const reply_requirements reply = apply_updates(from, received.updates, now);
    if (record_contact(from, now))
    {
        find(from)->contact.in_effect = received.in_effect;
        const bool with_introduction =
            !was_possible_owner && now >= next_introduction_;
        if (with_introduction)
        {
            next_introduction_ = now + settings_.introduction_period;
        }
        out.push_back(
            {from, probe_ack{received.nonce, in_effect_,
                             updates_for(from, reply, with_introduction)}});
    }
    publish_view();
    return out;
}

vm_outbox membership::handle(vm_id from, const probe_ack& received, instant now)
{
    vm_outbox out;
    advance_time(now);
    const reply_requirements reply = apply_updates(from, received.updates, now);
    if (!record_contact(from, now))
    {
        publish_view();
        return out;
    }
    find(from)->contact.in_effect = received.in_effect;
    record_acknowledgement(from, received.nonce);
    const auto relay = std::ranges::find_if(
        relayed_probes_, [&](const relayed_probe& sent)
        { return sent.nonce == received.nonce && sent.probed_vm == from; });
    if (relay != relayed_probes_.end())
    {
        out.push_back({relay->requester,
                       probe_ack{relay->requester_nonce, in_effect_,
                                 updates_for(relay->requester, {}, false)}});
        relayed_probes_.erase(relay);
    }
    if (reply.sender_considers_self_gone && self_.state != liveness::left)
    {
        send_probe(from, now, out, new_nonce());
        std::get<probe>(out.back().content).updates =
            updates_for(from, reply, false);
    }
    publish_view();
    return out;
}

vm_outbox membership::handle(vm_id from, const probe_request& received,
                             instant now)
{
    vm_outbox out;
    advance_time(now);
    if (record_contact(from, now) && find(received.vm_to_probe) != nullptr &&
        relayed_probes_.size() < max_relayed_probes)
    {
        const std::uint64_t nonce = new_nonce();
        relayed_probes_.push_back(
            {nonce, received.vm_to_probe, from, received.nonce, now});
        send_probe(received.vm_to_probe, now, out, nonce);
    }
    publish_view();
    return out;
}

vm_outbox membership::handle(vm_id from, const leave& received, instant now)
{
    advance_time(now);
    if (record_contact(from, now))
    {
        const member& info = find(from)->info;
        apply_update({from, info.data_centre, info.control, info.packets,
                      received.incarnation, liveness::left},
                     now);
    }
    publish_view();
    return {};
}

vm_outbox membership::handle(vm_id from, const vm_message& received,
                             instant now)
{
    return std::visit([&](const auto& content)
                      { return handle(from, content, now); },
                      received);
}

vm_outbox membership::shut_down(instant now)
{
    advance_time(now);
    vm_outbox out;
    self_.state = liveness::left;
    pending_probe_.reset();
    update_queue_.add(self_.id);
    for (const vm_id peer_id :
         random_possible_owners(max_leave_receivers, self_.id))
    {
        out.push_back({peer_id, leave{self_.incarnation}});
    }
    view_changed_ = true;
    publish_view();
    return out;
}

// An acknowledgement counts from the time at which its probe was sent, because
// the peer received the probe no earlier. So an acknowledgement that was
// delayed, or queued while this process was paused, does not count as recent.
void membership::record_acknowledgement(vm_id from, std::uint64_t nonce)
{
    const auto confirm = [&](instant sent_at)
    {
        last_acknowledged_ =
            std::max(last_acknowledged_.value_or(sent_at), sent_at);
    };
    const auto sent = std::ranges::find_if(
        outstanding_probes_, [&](const outstanding_probe& each)
        { return each.nonce == nonce && each.to == from; });
    if (sent != outstanding_probes_.end())
    {
        confirm(sent->sent_at);
        auto& last = find(from)->contact.last_acknowledged;
        last = std::max(last.value_or(sent->sent_at), sent->sent_at);
        outstanding_probes_.erase(sent);
    }
    if (pending_probe_ && pending_probe_->nonce == nonce)
    {
        // An acknowledgement by another VM answers a probe request, so it
        // counts from the time of the request.
        if (from != pending_probe_->target &&
            pending_probe_->probe_requests_sent_at)
        {
            confirm(*pending_probe_->probe_requests_sent_at);
        }
        pending_probe_.reset();
    }
}

bool membership::may_open_flows(instant now) const
{
    if (!started_ || self_.state == liveness::left || !last_input_ ||
        now - *last_input_ > settings_.contact_timeout)
    {
        return false;
    }
    if (is_only_vm())
    {
        return true;
    }
    return last_acknowledged_ &&
           now - *last_acknowledged_ <= settings_.contact_timeout;
}

// Without a list there may be VMs of which no update has arrived.
bool membership::is_only_vm() const
{
    return list_read_at_ &&
           std::ranges::none_of(peers_,
                                [](const auto& entry)
                                {
                                    const member& info = entry.second.info;
                                    return info.may_own_buckets() ||
                                           (info.listed &&
                                            info.state != liveness::left);
                                });
}

std::optional<vm_id> membership::next_in_probe_round()
{
    for (int attempt = 0; attempt < 2; ++attempt)
    {
        while (!probe_round_.empty())
        {
            const vm_id next = probe_round_.back();
            probe_round_.pop_back();
            if (is_possible_owner(next))
            {
                return next;
            }
        }
        for (const auto& [id, record] : peers_)
        {
            if (record.info.may_own_buckets())
            {
                probe_round_.push_back(id);
            }
        }
        shuffle(probe_round_);
    }
    return std::nullopt;
}

// Inserts a VM that appears during a probe round at a random place of it.
void membership::add_to_probe_round(vm_id id)
{
    if (std::ranges::find(probe_round_, id) == probe_round_.end())
    {
        const auto position = random_.below(probe_round_.size() + 1);
        probe_round_.insert(
            probe_round_.begin() + static_cast<std::ptrdiff_t>(position), id);
    }
}

std::vector<vm_id> membership::random_possible_owners(std::size_t count,
                                                      vm_id excluded)
{
    std::vector<vm_id> owners;
    for (const auto& [id, record] : peers_)
    {
        if (id != excluded && record.info.may_own_buckets())
        {
            owners.push_back(id);
        }
    }
    shuffle(owners);
    owners.resize(std::min(count, owners.size()));
    return owners;
}

template <class T>
void membership::shuffle(std::vector<T>& values)
{
    for (std::size_t i = values.size(); i > 1; --i)
    {
        std::swap(values[i - 1], values[random_.below(i)]);
    }
}

} // namespace catkinkeel
