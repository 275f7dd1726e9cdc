#include "catkinkeel/vm/membership.hpp"

#include <algorithm>
#include <bit>
#include <utility>

// Time, probes and their acknowledgements. News and the list are in
// membership_news.cpp.

namespace catkinkeel
{

namespace
{

// An acknowledgement later than this proves nothing about the present.
constexpr duration probe_lifetime = 1s;
constexpr std::size_t max_relayed_probes = 256;
// Peers told directly of a graceful stop; gossip reaches the others.
constexpr std::size_t leave_receivers = 8;

} // namespace

unsigned news_repeat_limit(std::size_t members)
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
    queue_.add(self_.id);
    changed_ = true;
    publish();
}

void membership::set_in_effect(set_version version)
{
    in_effect_ = version;
}

vm_outbox membership::tick(instant now)
{
    vm_outbox out;
    advance(now);
    if (self_.state == liveness::left)
    {
        return out;
    }
    if (!next_probe_)
    {
        next_probe_ = now;
        next_rejoin_ = now + settings_.rejoin_period;
    }
    expire(now);
    if (pending_ && !pending_->asked_others_at &&
        now - pending_->sent_at >= settings_.direct_wait)
    {
        ask_others(now, out);
    }
    if (now >= *next_probe_)
    {
        begin_probe(now, out);
        probe_absent(now, out);
        next_probe_ = std::max(*next_probe_ + settings_.probe_period,
                               now + settings_.probe_period / 2);
    }
    publish();
    return out;
}

// Detects a pause of the process. What was not answered during it says nothing
// about the other VMs.
void membership::advance(instant now)
{
    if (last_input_ && now - *last_input_ > settings_.silence_limit)
    {
        pending_.reset();
        for (auto& [id, known] : peers_)
        {
            if (known.about.state == liveness::suspect)
            {
                known.since = now;
            }
        }
        if (next_probe_)
        {
            next_probe_ = now;
        }
    }
    last_input_ = last_input_ ? std::max(*last_input_, now) : now;
}

void membership::expire(instant now)
{
    const auto old = [&](const auto& sent)
    {
        return now - sent.sent_at > probe_lifetime;
    };
    std::erase_if(outstanding_, old);
    std::erase_if(relayed_, old);
    for (auto& [id, known] : peers_)
    {
        if (known.about.state == liveness::suspect &&
            now - known.since >= settings_.suspicion)
        {
            change_state(known, liveness::dead, now);
        }
    }
    const auto forgotten =
        std::erase_if(peers_,
                      [&](const auto& entry)
                      {
                          const peer& known = entry.second;
                          return !known.about.listed &&
                                 !known.about.may_own() &&
                                 now - known.since >= settings_.forget_after;
                      });
    changed_ = changed_ || forgotten > 0;
}

void membership::begin_probe(instant now, vm_outbox& out)
{
    if (pending_)
    {
        peer* const silent = find(pending_->target);
        if (silent != nullptr && silent->about.state == liveness::alive)
        {
            change_state(*silent, liveness::suspect, now);
            // The suspect learns of it at once and can refute it in time.
            send_probe(pending_->target, now, out, new_nonce());
        }
        pending_.reset();
    }
    if (const auto target = next_in_round())
    {
        pending_ = pending_probe{*target, new_nonce(), now, std::nullopt};
        send_probe(*target, now, out, pending_->nonce);
    }
}

// The same helpers are probed as well: their acknowledgements keep this VM
// opening flows when it happened to probe a VM that has just died.
void membership::ask_others(instant now, vm_outbox& out)
{
    pending_->asked_others_at = now;
    for (const vm_id helper :
         random_owners(settings_.indirect_probes, pending_->target))
    {
        out.push_back(
            {helper, probe_request{pending_->nonce, pending_->target}});
        send_probe(helper, now, out, new_nonce());
    }
}

// Probes listed VMs that were never contacted, some in each period, and one
// dead VM in each rejoin period. Both are chosen at random: in order of their
// identifiers, all VMs of one side of a healed partition would probe the same
// VM of the other.
void membership::probe_absent(instant now, vm_outbox& out)
{
    std::vector<vm_id> untried;
    std::vector<vm_id> dead;
    for (const auto& [id, known] : peers_)
    {
        if (known.about.state == liveness::dead)
        {
            const bool first =
                known.about.incarnation == 0 && !known.last_tried;
            (first ? untried : dead).push_back(id);
        }
    }
    shuffle(untried);
    untried.resize(std::min(untried.size(), settings_.first_contacts));
    for (const vm_id id : untried)
    {
        send_probe(id, now, out, new_nonce());
    }
    if (now >= next_rejoin_)
    {
        next_rejoin_ = now + settings_.rejoin_period;
        if (!dead.empty())
        {
            send_probe(dead[random_.below(dead.size())], now, out, new_nonce());
        }
    }
}

void membership::send_probe(vm_id to, instant now, vm_outbox& out,
                            std::uint64_t nonce)
{
    news_effect effect;
    peer* const known = find(to);
    if (known != nullptr && !known->about.may_own())
    {
        known->last_tried = now;
        // The receiver may not know this VM either.
        effect.about_us = true;
    }
    outstanding_.push_back({nonce, to, now});
    out.push_back({to, probe{nonce, in_effect_, news_for(to, effect, false)}});
}

// 32 bits match an acknowledgement to its probe and keep messages short.
std::uint64_t membership::new_nonce()
{
    return random_.next() >> 32U;
}

vm_outbox membership::handle(vm_id from, const probe& received, instant now)
{
    vm_outbox out;
    advance(now);
    const bool was_owner = owns(from);
    const news_effect effect = absorb(from, received.news, now);
    if (hear(from, now))
    {
        find(from)->contact.in_effect = received.in_effect;
        const bool introduce = !was_owner && now >= next_introduction_;
        if (introduce)
        {
            next_introduction_ = now + settings_.introduction_period;
        }
        out.push_back({from, probe_ack{received.nonce, in_effect_,
                                       news_for(from, effect, introduce)}});
    }
    publish();
    return out;
}

vm_outbox membership::handle(vm_id from, const probe_ack& received, instant now)
{
    vm_outbox out;
    advance(now);
    const news_effect effect = absorb(from, received.news, now);
    if (!hear(from, now))
    {
        publish();
        return out;
    }
    find(from)->contact.in_effect = received.in_effect;
    settle_acknowledgement(from, received.nonce);
    const auto relay = std::ranges::find_if(
        relayed_, [&](const relayed_probe& sent)
        { return sent.nonce == received.nonce && sent.about == from; });
    if (relay != relayed_.end())
    {
        out.push_back(
            {relay->asked_by, probe_ack{relay->asked_nonce, in_effect_,
                                        news_for(relay->asked_by, {}, false)}});
        relayed_.erase(relay);
    }
    if (effect.sender_thinks_us_gone && self_.state != liveness::left)
    {
        send_probe(from, now, out, new_nonce());
        std::get<probe>(out.back().content).news =
            news_for(from, effect, false);
    }
    publish();
    return out;
}

vm_outbox membership::handle(vm_id from, const probe_request& received,
                             instant now)
{
    vm_outbox out;
    advance(now);
    if (hear(from, now) && find(received.about) != nullptr &&
        relayed_.size() < max_relayed_probes)
    {
        const std::uint64_t nonce = new_nonce();
        relayed_.push_back({nonce, received.about, from, received.nonce, now});
        send_probe(received.about, now, out, nonce);
    }
    publish();
    return out;
}

vm_outbox membership::handle(vm_id from, const leave& received, instant now)
{
    advance(now);
    if (hear(from, now))
    {
        const member& about = find(from)->about;
        apply_news({from, about.data_centre, about.control, about.packets,
                    received.incarnation, liveness::left},
                   now);
    }
    publish();
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
    advance(now);
    vm_outbox out;
    self_.state = liveness::left;
    pending_.reset();
    queue_.add(self_.id);
    for (const vm_id peer_id : random_owners(leave_receivers, self_.id))
    {
        out.push_back({peer_id, leave{self_.incarnation}});
    }
    changed_ = true;
    publish();
    return out;
}

// The time of an acknowledgement is the time of its probe: the peer heard this
// VM no earlier. So an acknowledgement that was delayed, or that waited while
// this process was paused, does not count as fresh.
void membership::settle_acknowledgement(vm_id from, std::uint64_t nonce)
{
    const auto confirm = [&](instant sent_at)
    {
        last_acknowledged_ =
            std::max(last_acknowledged_.value_or(sent_at), sent_at);
    };
    const auto sent = std::ranges::find_if(
        outstanding_, [&](const outstanding_probe& each)
        { return each.nonce == nonce && each.to == from; });
    if (sent != outstanding_.end())
    {
        confirm(sent->sent_at);
        auto& last = find(from)->contact.last_acknowledged;
        last = std::max(last.value_or(sent->sent_at), sent->sent_at);
        outstanding_.erase(sent);
    }
    if (pending_ && pending_->nonce == nonce)
    {
        // From another VM, it answers a request sent at that time.
        if (from != pending_->target && pending_->asked_others_at)
        {
            confirm(*pending_->asked_others_at);
        }
        pending_.reset();
    }
}

bool membership::may_open_flows(instant now) const
{
    if (!started_ || self_.state == liveness::left || !last_input_ ||
        now - *last_input_ > settings_.silence_limit)
    {
        return false;
    }
    if (alone())
    {
        return true;
    }
    return last_acknowledged_ &&
           now - *last_acknowledged_ <= settings_.silence_limit;
}

// Without a list there may be VMs that this one has not heard of.
bool membership::alone() const
{
    return list_read_at_ &&
           std::ranges::none_of(peers_,
                                [](const auto& entry)
                                {
                                    const member& about = entry.second.about;
                                    return about.may_own() ||
                                           (about.listed &&
                                            about.state != liveness::left);
                                });
}

std::optional<vm_id> membership::next_in_round()
{
    for (int attempt = 0; attempt < 2; ++attempt)
    {
        while (!round_.empty())
        {
            const vm_id next = round_.back();
            round_.pop_back();
            if (owns(next))
            {
                return next;
            }
        }
        for (const auto& [id, known] : peers_)
        {
            if (known.about.may_own())
            {
                round_.push_back(id);
            }
        }
        shuffle(round_);
    }
    return std::nullopt;
}

// A VM that appears during a round is probed in it, at a random place.
void membership::join_round(vm_id id)
{
    if (std::ranges::find(round_, id) == round_.end())
    {
        const auto place = random_.below(round_.size() + 1);
        round_.insert(round_.begin() + static_cast<std::ptrdiff_t>(place), id);
    }
}

std::vector<vm_id> membership::random_owners(std::size_t count, vm_id except)
{
    std::vector<vm_id> owners;
    for (const auto& [id, known] : peers_)
    {
        if (id != except && known.about.may_own())
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
