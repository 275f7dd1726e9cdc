#pragma once

// Which entry VMs are alive, as one VM finds out by probing the others.
//
// A state machine without sockets, threads or clock: the caller passes in
// messages, the platform's list and the time, sends the messages that come
// back, and reads the view. Not safe for use by two threads at once.
//
// Example:
//   membership fleet(membership_settings{}, random_source(seed));
//   fleet.start(self);
//   send(fleet.apply_vm_list(list, now));
//   send(fleet.tick(now));                          // every 100 ms
//   send(fleet.handle(from, received_probe, now));  // for each message
//   use(fleet.view());

#include "catkinkeel/base/random.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/vm/internal/news_queue.hpp"
#include "catkinkeel/vm/messages.hpp"
#include "catkinkeel/vm/vm_list.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace catkinkeel
{

using vm_message = std::variant<probe, probe_ack, probe_request, leave>;

/// A message and the VM to send it to.
struct vm_outgoing
{
    vm_id to;
    vm_message content;

    friend bool operator==(const vm_outgoing&, const vm_outgoing&) = default;
};

using vm_outbox = std::vector<vm_outgoing>;

struct membership_settings
{
    duration probe_period = 500ms;
    /// Wait for a direct acknowledgement before others are asked.
    duration direct_wait = 200ms;
    std::size_t indirect_probes = 3;
    /// From suspicion to death.
    duration suspicion = 1500ms;
    /// One dead VM is probed in this period, so that a healed partition is
    /// noticed without the platform's list.
    duration rejoin_period = 2s;
    /// Listed VMs never contacted before that are probed in one probe period.
    std::size_t first_contacts = 4;
    /// News in one message; a news takes about 12 to 20 bytes.
    std::size_t news_per_message = 12;
    /// News in the first answer to a VM that joins or returns.
    std::size_t news_per_introduction = 32;
    /// At most one introduction is sent in this period, which bounds its cost
    /// to about 0.6 KB/s while many VMs return at once.
    duration introduction_period = 1s;
    /// Flows are opened for this long after the latest acknowledged probe was
    /// sent; it must be shorter than `suspicion`. A gap above it between two
    /// inputs means the process was paused.
    duration silence_limit = 1s;
    /// A silent VM counts as possibly alive for this long.
    duration possibly_alive = 60s;
    /// A dead or left VM that is not listed is forgotten after this.
    duration forget_after = 300s;
    /// News about further VMs is ignored.
    std::size_t max_members = 8192;
};

/// What this VM has received from another one directly.
struct peer_contact
{
    std::optional<instant> last_heard;
    /// When the latest probe that the peer acknowledged was sent.
    std::optional<instant> last_acknowledged;
    /// Version in effect as last reported by the peer.
    std::optional<set_version> in_effect;

    friend auto operator<=>(const peer_contact&, const peer_contact&) = default;
};

/// Bound of 3 * log2(members) on how often one news is sent by one VM.
unsigned news_repeat_limit(std::size_t members);

class membership
{
public:
    membership(membership_settings settings, random_source random);

    /// Makes `self` a member. Its incarnation is raised to at least 1; news of
    /// an earlier life raises it further. Call once, before any other input.
    void start(const member& self);

    /// An older list than the present one is ignored.
    void apply_vm_list(const vm_list& list, instant now);
    /// Version that later messages report.
    void set_in_effect(set_version version);

    [[nodiscard]] vm_outbox tick(instant now);
    [[nodiscard]] vm_outbox handle(vm_id from, const probe& received,
                                   instant now);
    [[nodiscard]] vm_outbox handle(vm_id from, const probe_ack& received,
                                   instant now);
    [[nodiscard]] vm_outbox handle(vm_id from, const probe_request& received,
                                   instant now);
    [[nodiscard]] vm_outbox handle(vm_id from, const leave& received,
                                   instant now);
    [[nodiscard]] vm_outbox handle(vm_id from, const vm_message& received,
                                   instant now);
    /// Tells some peers that this VM leaves. It probes no more but still
    /// answers probes, so that the news spreads.
    [[nodiscard]] vm_outbox shut_down(instant now);

    /// A listed VM that was never heard of is in the view as dead with
    /// incarnation 0.
    [[nodiscard]] const member_view& view() const
    {
        return view_;
    }

    /// Whether this VM may place new flows: a peer acknowledged a probe that
    /// was sent within the silence limit, hence also after any longer pause. A
    /// VM that a list shows to be the only one may as well.
    [[nodiscard]] bool may_open_flows(instant now) const;

    /// VMs of the data centre, this one included, that may still act: listed,
    /// in the view as alive or suspect, or heard from within 60 s, and not
    /// known to have left. Ordered by identifier.
    [[nodiscard]] std::vector<vm_id> possibly_alive(data_centre_id where,
                                                    instant now) const;

    /// Empty for an unknown VM and for this VM itself.
    [[nodiscard]] std::optional<peer_contact> contact(vm_id id) const;
    /// Age of the list; empty before the first.
    [[nodiscard]] std::optional<duration> list_age(instant now) const;
    /// Since when every list named this VM; empty if the last did not.
    [[nodiscard]] std::optional<instant> listed_since() const
    {
        return listed_since_;
    }
    /// Whether every listed VM has been heard of or left a probe unanswered.
    /// Until then the view of a VM that has just started is incomplete.
    [[nodiscard]] bool introduced(instant now) const;

private:
    struct peer
    {
        member about;
        peer_contact contact;
        /// When `about.state` last changed.
        instant since;
        /// Last sign that the VM was alive, also by way of others.
        std::optional<instant> last_evidence;
        /// Last probe sent to it while it was not alive in the view.
        std::optional<instant> last_tried;
    };

    struct pending_probe
    {
        vm_id target;
        std::uint64_t nonce = 0;
        instant sent_at;
        std::optional<instant> asked_others_at;
    };

    struct outstanding_probe
    {
        std::uint64_t nonce = 0;
        vm_id to;
        instant sent_at;
    };

    /// A probe sent on behalf of another VM.
    struct relayed_probe
    {
        std::uint64_t nonce = 0;
        vm_id about;
        vm_id asked_by;
        std::uint64_t asked_nonce = 0;
        instant sent_at;
    };

    /// What received news asks for in the answer.
    struct news_effect
    {
        bool sender_errs_about_self = false;
        bool sender_thinks_us_gone = false;
        bool about_us = false;
    };

    void advance(instant now);
    void expire(instant now);
    void begin_probe(instant now, vm_outbox& out);
    void ask_others(instant now, vm_outbox& out);
    void probe_absent(instant now, vm_outbox& out);
    void send_probe(vm_id to, instant now, vm_outbox& out, std::uint64_t nonce);
    std::uint64_t new_nonce();
    void settle_acknowledgement(vm_id from, std::uint64_t nonce);

    news_effect absorb(vm_id from, const std::vector<member_news>& news,
                       instant now);
    bool hear(vm_id from, instant now);
    void apply_news(const member_news& news, instant now);
    void change_state(peer& of, liveness state, instant now);
    void learn_about_self(const member_news& news, news_effect& effect);
    std::vector<member_news> news_for(vm_id to, const news_effect& effect,
                                      bool introduce);
    void add_introduction(std::vector<member_news>& news);
    void join_round(vm_id id);
    std::optional<vm_id> next_in_round();
    std::vector<vm_id> random_owners(std::size_t count, vm_id except);
    template <class T>
    void shuffle(std::vector<T>& values);

    [[nodiscard]] peer* find(vm_id id);
    [[nodiscard]] const peer* find(vm_id id) const;
    [[nodiscard]] bool owns(vm_id id) const;
    [[nodiscard]] bool alone() const;
    void publish();

    membership_settings settings_;
    random_source random_;
    member self_;
    bool started_ = false;
    set_version in_effect_;
    std::map<vm_id, peer> peers_;
    internal::news_queue queue_;
    std::vector<vm_id> round_;
    std::optional<pending_probe> pending_;
    std::vector<outstanding_probe> outstanding_;
    std::vector<relayed_probe> relayed_;
    std::optional<instant> last_input_;
    std::optional<instant> last_acknowledged_;
    std::optional<instant> next_probe_;
    instant next_rejoin_;
    instant next_introduction_;
    std::optional<instant> list_read_at_;
    std::optional<instant> listed_since_;
    member_view view_;
    bool changed_ = false;
};

} // namespace catkinkeel
