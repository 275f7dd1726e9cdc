#pragma once

// Failure detection and gossip between entry VMs: each VM probes the others and
// exchanges updates of their states.
//
// A state machine without sockets, threads or clock: the caller passes in
// messages, the platform's list and the time, sends the returned messages, and
// reads the view. Not thread-safe.
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
#include "catkinkeel/vm/internal/update_queue.hpp"
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
struct outgoing_vm_message
{
    vm_id to;
    vm_message content;

    friend bool operator==(const outgoing_vm_message&,
                           const outgoing_vm_message&) = default;
};

using vm_outbox = std::vector<outgoing_vm_message>;

struct membership_settings
{
    duration probe_period = 500ms;
    /// Wait for a direct acknowledgement before other VMs are requested to
    /// probe the target.
    duration direct_ack_timeout = 200ms;
    std::size_t indirect_probe_count = 3;
    /// Time from suspect to dead.
    duration suspicion_timeout = 1500ms;
    /// One dead VM is probed per period, so that a healed partition is detected
    /// without the platform's list.
    duration rejoin_period = 2s;
    /// Never contacted VMs of the platform's list that are probed in one probe
    /// period.
    std::size_t max_first_contacts = 4;
    /// Updates in one message; each takes about 12 to 20 bytes.
    std::size_t max_updates_per_message = 12;
    /// Updates in the first answer to a VM that joins or returns (an
    /// introduction).
    std::size_t max_updates_per_introduction = 32;
    /// At most one introduction is sent per period, which limits the cost to
    /// about 0.6 KB/s while many VMs return at once.
    duration introduction_period = 1s;
    /// Flows may be opened for this long after the latest acknowledged probe
    /// was sent. It must be shorter than `suspicion_timeout`. A longer gap
    /// between two inputs means that the process was paused.
    duration contact_timeout = 1s;
    /// An unresponsive VM is considered possibly alive for this long.
    duration possibly_alive_timeout = 60s;
    /// A dead or left VM that is not on the platform's list is removed from the
    /// view after this time.
    duration forget_delay = 300s;
    /// Updates and list entries of further VMs are ignored.
    std::size_t max_members = 8192;
};

/// What this VM has received from another one directly.
struct peer_contact
{
    std::optional<instant> last_received;
    /// Time at which the latest probe acknowledged by the peer was sent.
    std::optional<instant> last_acknowledged;
    /// Version of the published set in effect, as last reported by the peer.
    std::optional<set_version> in_effect;

    friend auto operator<=>(const peer_contact&, const peer_contact&) = default;
};

/// Maximum number of times that one VM sends the same update: 3 *
/// log2(members).
unsigned max_update_transmissions(std::size_t members);

class membership
{
public:
    membership(membership_settings settings, random_source random);

    /// Adds this VM to the view. Its incarnation is raised to at least 1; an
    /// update that stems from before a restart raises it further. Call once,
    /// before any other input.
    void start(const member& self);

    /// Ignores a list that was read before the present one.
    void apply_vm_list(const vm_list& list, instant now);
    /// Sets the version of the published set that later messages report.
    void set_reported_version(set_version version);

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
    /// Announces to some peers that this VM leaves. It stops probing but still
    /// answers probes, so that the update spreads.
    [[nodiscard]] vm_outbox shut_down(instant now);

    /// A listed VM of which no update was received is in the view as dead with
    /// incarnation 0.
    [[nodiscard]] const member_view& view() const
    {
        return view_;
    }

    /// Whether this VM may place new flows: a peer has acknowledged a probe
    /// that was sent within `contact_timeout`, so after a longer pause a new
    /// acknowledgement is needed. A VM that is the only one according to the
    /// list needs none.
    [[nodiscard]] bool may_open_flows(instant now) const;

    /// VMs of `in_data_centre`, this one included, that may still place flows:
    /// listed, alive or suspect in the view, or with evidence of life within
    /// the last 60 s, and not left. Ordered by identifier.
    [[nodiscard]] std::vector<vm_id>
    possibly_alive(data_centre_id in_data_centre, instant now) const;

    /// Empty for an unknown VM and for this VM itself.
    [[nodiscard]] std::optional<peer_contact> contact(vm_id id) const;
    /// Age of the platform's list; empty before the first one.
    [[nodiscard]] std::optional<duration> list_age(instant now) const;
    /// Time since which every list has contained this VM; empty if the latest
    /// does not.
    [[nodiscard]] std::optional<instant> listed_since() const
    {
        return listed_since_;
    }
    /// Whether, for every listed VM, an update was received or a probe timed
    /// out. Until then the view of a VM that has just started is incomplete.
    [[nodiscard]] bool introduction_complete(instant now) const;

private:
    struct peer
    {
        member info;
        peer_contact contact;
        /// Time at which `info.state` last changed.
        instant state_since;
        /// Last evidence that the VM was alive, direct or through other VMs.
        std::optional<instant> last_evidence;
        /// Last probe sent to it while it was dead or left in the view.
        std::optional<instant> last_probed_while_absent;
    };

    /// The probe of the present period.
    struct pending_probe
    {
        vm_id target;
        std::uint64_t nonce = 0;
        instant sent_at;
        std::optional<instant> probe_requests_sent_at;
    };

    /// A probe without an acknowledgement so far.
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
        vm_id probed_vm;
        vm_id requester;
        std::uint64_t requester_nonce = 0;
        instant sent_at;
    };

    /// What the answer to a message must contain, given the message's updates.
    struct reply_requirements
    {
        /// The sender's state on record overrides the one that it sent.
        bool sender_outdated_about_itself = false;
        /// The sender has this VM as dead or left.
        bool sender_considers_self_gone = false;
        /// The sender's record of this VM is outdated.
        bool include_self = false;
    };

    void advance_time(instant now);
    void expire_entries(instant now);
    void probe_next_member(instant now, vm_outbox& out);
    void send_probe_requests(instant now, vm_outbox& out);
    void probe_dead_members(instant now, vm_outbox& out);
    void send_probe(vm_id to, instant now, vm_outbox& out, std::uint64_t nonce);
    std::uint64_t new_nonce();
    void record_acknowledgement(vm_id from, std::uint64_t nonce);

    reply_requirements apply_updates(vm_id from,
                                     const std::vector<member_update>& updates,
                                     instant now);
    bool record_contact(vm_id from, instant now);
    void apply_update(const member_update& update, instant now);
    void change_state(peer& changed_peer, liveness state, instant now);
    void refute_update(const member_update& update, reply_requirements& reply);
    std::vector<member_update> updates_for(vm_id to,
                                           const reply_requirements& reply,
                                           bool with_introduction);
    void add_introduction(std::vector<member_update>& updates);
    void add_to_probe_round(vm_id id);
    std::optional<vm_id> next_in_probe_round();
    std::vector<vm_id> random_possible_owners(std::size_t count,
                                              vm_id excluded);
    template <class T>
    void shuffle(std::vector<T>& values);

    [[nodiscard]] peer* find(vm_id id);
    [[nodiscard]] const peer* find(vm_id id) const;
    [[nodiscard]] bool is_possible_owner(vm_id id) const;
    [[nodiscard]] bool is_only_vm() const;
    void publish_view();

    membership_settings settings_;
    random_source random_;
    member self_;
    bool started_ = false;
    set_version in_effect_;
    std::map<vm_id, peer> peers_;
    internal::update_queue update_queue_;
    std::vector<vm_id> probe_round_;
    std::optional<pending_probe> pending_probe_;
    std::vector<outstanding_probe> outstanding_probes_;
    std::vector<relayed_probe> relayed_probes_;
    std::optional<instant> last_input_;
    std::optional<instant> last_acknowledged_;
    std::optional<instant> next_probe_;
    instant next_rejoin_probe_;
    instant next_introduction_;
    std::optional<instant> list_read_at_;
    std::optional<instant> listed_since_;
    member_view view_;
    bool view_changed_ = false;
};

} // namespace catkinkeel
