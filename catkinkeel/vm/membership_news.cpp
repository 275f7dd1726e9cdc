#include "catkinkeel/vm/membership.hpp"

#include <algorithm>
#include <limits>

// News of other VMs, the platform's list, and the view.

namespace catkinkeel
{

namespace
{

/// Order of states at equal incarnations.
int rank(liveness state)
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

member_news to_news(const member& about)
{
    return {about.id,      about.data_centre, about.control,
            about.packets, about.incarnation, about.state};
}

template <class News>
bool supersedes(const News& newer, const member& older)
{
    return newer.incarnation != older.incarnation
               ? newer.incarnation > older.incarnation
               : rank(newer.state) > rank(older.state);
}

} // namespace

void membership::apply_vm_list(const vm_list& list, instant now)
{
    advance(now);
    if (list_read_at_ && list.read_at < *list_read_at_)
    {
        return;
    }
    list_read_at_ = list.read_at;
    for (auto& [id, known] : peers_)
    {
        known.about.listed = false;
    }
    bool names_self = false;
    for (const listed_vm& entry : list.vms)
    {
        if (entry.id == self_.id)
        {
            names_self = true;
            continue;
        }
        peer* known = find(entry.id);
        if (known == nullptr)
        {
            if (peers_.size() >= settings_.max_members)
            {
                continue;
            }
            known = &peers_[entry.id];
            known->about = {
                entry.id, entry.data_centre, entry.control, entry.packets,
                0,        liveness::dead,    true};
            known->since = now;
        }
        else if (known->about.state == liveness::dead)
        {
            // A replacement may listen elsewhere.
            known->about.data_centre = entry.data_centre;
            known->about.control = entry.control;
            known->about.packets = entry.packets;
        }
        known->about.listed = true;
    }
    self_.listed = names_self;
    if (!names_self)
    {
        listed_since_.reset();
    }
    else if (!listed_since_)
    {
        listed_since_ = list.read_at;
    }
    changed_ = true;
    publish();
}

membership::news_effect membership::absorb(vm_id from,
                                           const std::vector<member_news>& news,
                                           instant now)
{
    news_effect effect;
    for (const member_news& each : news)
    {
        if (each.id == self_.id)
        {
            learn_about_self(each, effect);
            continue;
        }
        apply_news(each, now);
        const peer* const known = find(each.id);
        if (each.id == from && known != nullptr &&
            supersedes(known->about,
                       {.incarnation = each.incarnation, .state = each.state}))
        {
            effect.sender_errs_about_self = true;
        }
    }
    return effect;
}

// Any news of this VM that is not its present state stems from an earlier life
// or is a suspicion; a higher incarnation overrides it.
void membership::learn_about_self(const member_news& news, news_effect& effect)
{
    if (news == to_news(self_))
    {
        return;
    }
    effect.about_us = true;
    effect.sender_thinks_us_gone = effect.sender_thinks_us_gone ||
                                   news.state == liveness::dead ||
                                   news.state == liveness::left;
    if (self_.state == liveness::left || news.incarnation < self_.incarnation ||
        news.incarnation == std::numeric_limits<std::uint32_t>::max())
    {
        return;
    }
    self_.incarnation = news.incarnation + 1;
    queue_.add(self_.id);
    changed_ = true;
}

void membership::apply_news(const member_news& news, instant now)
{
    // Incarnation 0 tells a listed VM that the sender does not know it yet.
    if (news.id == self_.id || news.incarnation == 0)
    {
        return;
    }
    peer* known = find(news.id);
    const bool claims_alive =
        news.state == liveness::alive || news.state == liveness::suspect;
    if (known == nullptr)
    {
        if (!claims_alive || peers_.size() >= settings_.max_members)
        {
            return;
        }
        known = &peers_[news.id];
        known->about.id = news.id;
        known->about.state = liveness::dead;
    }
    if (!supersedes(news, known->about))
    {
        return;
    }
    const bool was_owner = known->about.may_own();
    known->about.data_centre = news.data_centre;
    known->about.control = news.control;
    known->about.packets = news.packets;
    known->about.incarnation = news.incarnation;
    change_state(*known, news.state, now);
    if (claims_alive && !was_owner)
    {
        join_round(news.id);
    }
}

void membership::change_state(peer& of, liveness state, instant now)
{
    // Until now the VM counted as alive, so it may have been.
    if (of.about.may_own() || state == liveness::alive)
    {
        of.last_evidence = now;
    }
    if (of.about.state != state)
    {
        of.since = now;
    }
    of.about.state = state;
    queue_.add(of.about.id);
    changed_ = true;
}

bool membership::hear(vm_id from, instant now)
{
    peer* const known = find(from);
    if (known == nullptr)
    {
        return false;
    }
    known->contact.last_heard = now;
    known->last_evidence = now;
    return true;
}

// In this order: what the receiver must know about itself, this VM's own state
// if the receiver lacks it, queued news, and an introduction to the fleet.
std::vector<member_news>
membership::news_for(vm_id to, const news_effect& effect, bool introduce)
{
    std::vector<member_news> news;
    const auto add = [&](const member& about)
    {
        if (std::ranges::find(news, about.id, &member_news::id) == news.end())
        {
            news.push_back(to_news(about));
        }
    };
    const peer* const receiver = find(to);
    if (receiver != nullptr && (effect.sender_errs_about_self ||
                                receiver->about.state != liveness::alive))
    {
        add(receiver->about);
    }
    if (effect.about_us || introduce)
    {
        add(self_);
    }
    const std::size_t room = settings_.news_per_message -
                             std::min(news.size(), settings_.news_per_message);
    for (const vm_id id :
         queue_.take(room, news_repeat_limit(peers_.size() + 1)))
    {
        if (id == self_.id)
        {
            add(self_);
        }
        else if (const peer* const known = find(id))
        {
            add(known->about);
        }
    }
    if (introduce)
    {
        add_introduction(news);
    }
    return news;
}

void membership::add_introduction(std::vector<member_news>& news)
{
    const std::size_t count = settings_.news_per_introduction;
    for (const vm_id id : random_owners(count, self_.id))
    {
        if (news.size() >= count)
        {
            return;
        }
        if (std::ranges::find(news, id, &member_news::id) == news.end())
        {
            news.push_back(to_news(find(id)->about));
        }
    }
}

std::vector<vm_id> membership::possibly_alive(data_centre_id where,
                                              instant now) const
{
    std::vector<vm_id> ids;
    for (const auto& [id, known] : peers_)
    {
        const bool may_act =
            known.about.listed || known.about.may_own() ||
            (known.last_evidence &&
             now - *known.last_evidence <= settings_.possibly_alive);
        if (known.about.data_centre == where &&
            known.about.state != liveness::left && may_act)
        {
            ids.push_back(id);
        }
    }
    if (started_ && self_.data_centre == where && self_.state != liveness::left)
    {
        ids.insert(std::ranges::lower_bound(ids, self_.id), self_.id);
    }
    return ids;
}

std::optional<peer_contact> membership::contact(vm_id id) const
{
    const peer* const known = find(id);
    return known == nullptr ? std::nullopt : std::optional(known->contact);
}

std::optional<duration> membership::list_age(instant now) const
{
    return list_read_at_ ? std::optional(now - *list_read_at_) : std::nullopt;
}

bool membership::introduced(instant now) const
{
    return list_read_at_ &&
           std::ranges::all_of(peers_,
                               [&](const auto& entry)
                               {
                                   const peer& known = entry.second;
                                   return known.about.incarnation > 0 ||
                                          (known.last_tried &&
                                           now - *known.last_tried >=
                                               settings_.silence_limit);
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

bool membership::owns(vm_id id) const
{
    const peer* const known = find(id);
    return known != nullptr && known->about.may_own();
}

void membership::publish()
{
    if (!changed_)
    {
        return;
    }
    changed_ = false;
    member_view next{self_.id, view_.revision + 1, {}};
    next.members.reserve(peers_.size() + 1);
    for (const auto& [id, known] : peers_)
    {
        next.members.push_back(known.about);
    }
    next.members.insert(
        std::ranges::lower_bound(next.members, self_.id, {}, &member::id),
        self_);
    view_ = std::move(next);
}

} // namespace catkinkeel
