#pragma once

// The decision core of one entry VM: which VM and which target a packet goes
// to. It contains no socket, thread, clock or codec; every front end that can
// fill `packet_facts` can use it.
//
// Example:
//   balancer core({}, self, own_data_centre, session, targets);
//   core.apply_set(set, now);
//   core.apply_view(view, now);
//   verdict v = core.decide(facts, now);
//   for (flow_outgoing& out : core.take_messages({1500}, now)) { send(out); }

#include "catkinkeel/base/byte_count.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/data_centre/bucket_map.hpp"
#include "catkinkeel/flow/admission.hpp"
#include "catkinkeel/flow/base_tables.hpp"
#include "catkinkeel/flow/flow_table.hpp"
#include "catkinkeel/flow/handover.hpp"
#include "catkinkeel/flow/packet_facts.hpp"
#include "catkinkeel/flow/replica_store.hpp"
#include "catkinkeel/flow/replication.hpp"
#include "catkinkeel/target/admission_limit.hpp"
#include "catkinkeel/vm/member.hpp"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace catkinkeel
{

/// Sets take effect at all VMs within this time of each other.
inline constexpr duration set_spread = 2s;

struct balancer_settings
{
    /// Flows held at once; further ones are dropped at their first packet.
    std::size_t flow_capacity = 262144;
    /// A flow without packets for this long is forgotten.
    duration idle_timeout = 300s;
    /// A flow whose caller has sent FIN or RST is kept this long.
    /// It must cover a pause of an answer that still flows after the caller's
    /// FIN.
    duration ended_timeout = 60s;
    /// A target above (1 + load_epsilon) times its expected load gets no
    /// further flow while others are below.
    double load_epsilon = 0.05;

    friend auto operator<=>(const balancer_settings&,
                            const balancer_settings&) = default;
};

using flow_message =
    std::variant<replicate, replicate_ack, claim, handover, handover_ack>;

/// A message for another VM.
struct flow_outgoing
{
    vm_id to;
    flow_message content;

    friend bool operator==(const flow_outgoing&,
                           const flow_outgoing&) = default;
};

/// Counters since the start, and gauges.
struct balancer_stats
{
    std::uint64_t flows_opened = 0;
    std::uint64_t exceptions_opened = 0;
    std::uint64_t base_followers = 0;
    std::uint64_t buckets_taken_over = 0;
    std::uint64_t buckets_handed_over = 0;
    std::uint64_t buckets_received = 0;
    std::uint64_t overrides_dropped = 0;
    std::uint64_t flows = 0;
    std::uint64_t buckets_held = 0;
    std::uint64_t replication_backlog = 0;
    /// Flows replicated to standbys, counted by the last sweep (3 s).
    std::uint64_t exceptions = 0;
    std::uint64_t replicas_held = 0;
    std::uint64_t overrides = 0;
    /// Base tables that name another service than the set in effect.
    std::uint64_t mixed_references = 0;

    friend auto operator<=>(const balancer_stats&,
                            const balancer_stats&) = default;
};

/// Why a packet of a flow goes where it goes.
struct explanation
{
    verdict result;
    std::string rule;
    bucket_id bucket;
    data_centre_id home;
    /// Reference of the public address in the set in effect, and its service.
    std::optional<reference_id> reference;
    std::optional<service_id> service;
    bool has_record = false;
    std::optional<vm_id> owner;
    std::optional<vm_id> standby;
    bool held_here = false;
    set_version in_effect;

    friend bool operator==(const explanation&, const explanation&) = default;
};

/// Not safe for use by two threads at once; the daemon's decide thread owns it.
class balancer : private replication_source
{
public:
    /// `session` must be higher than in any earlier process of this VM (the
    /// daemon passes its start time). `targets` must outlive the balancer.
    balancer(const balancer_settings& settings, vm_id self,
             data_centre_id own_data_centre, std::uint64_t session,
             const admission_limit_source& targets);

    /// Makes a set take effect. `plan` is `make_plan(set)`, so that the caller
    /// can build it on another thread. Ignored unless the version is higher.
    void apply_set(published_set_ptr set, placement_plan_ptr plan, instant now);

    /// The plan for a set, sharing unchanged tables with the plan in effect.
    [[nodiscard]] placement_plan_ptr make_plan(const published_set& set) const;

    /// Takes the members as this VM now sees them.
    void apply_view(const member_view& view, instant now);

    /// While false no flow is opened and no bucket is taken over: no peer has
    /// acknowledged this VM lately, so another may hold its buckets. False at
    /// the start.
    void allow_opening(bool allowed)
    {
        may_open_ = allowed;
    }

    /// To be called after a pause of the process: peers may have taken the
    /// buckets over, so they are asked before anything new is decided.
    void doubt_holdings(instant now);

    /// O(1) for a known flow, O(targets of the service) for a new one.
    verdict decide(const packet_facts& facts, instant now);

    /// Chooses another target for a flow whose opening packet certainly reached
    /// no target (the send failed). Empty if the flow is unknown, has gone on,
    /// or the retry budget is used up.
    std::optional<deliver> place_again(const flow_key& key, instant now);

    /// Handles a message of another VM.
    void handle(vm_id from, const flow_message& content, instant now);

    /// Messages to send now. Replication and handovers keep within `budget`;
    /// claims and acknowledgements are always sent.
    std::vector<flow_outgoing> take_messages(byte_count budget, instant now);

    /// Periodic work, about each 100 ms: forgets idle flows, drops overrides.
    void tick(instant now);

    /// Explains a decision without changing anything.
    [[nodiscard]] explanation explain(const packet_facts& facts) const;

    /// Flows held here on a target.
    [[nodiscard]] std::uint32_t held_on(target_id id) const;

    /// This VM's part of a target's flows, in [0, 1]; the parts of all VMs sum
    /// to at most 1.
    [[nodiscard]] double capacity_share(target_id id);

    [[nodiscard]] bool holds(bucket_id bucket) const
    {
        return buckets_[bucket.value].held;
    }

    [[nodiscard]] balancer_stats stats() const;
    /// Age of the oldest flow that a standby has not acknowledged.
    [[nodiscard]] duration replication_age(instant now) const;
    [[nodiscard]] const published_set_ptr& set_in_effect() const
    {
        return context_.set;
    }
    [[nodiscard]] const bucket_map& map() const
    {
        return map_;
    }
    /// True when this VM holds all buckets that it owns and no others, so that
    /// a leaving VM may stop.
    [[nodiscard]] bool holdings_settled() const;

private:
    /// Buckets with a common past share base tables.
    struct lineage
    {
        base_tables base;
        /// Until then flows may exist that this VM has not seen.
        instant unseen_until{};
        /// Taken over from a VM believed dead, which may live on elsewhere.
        bool by_failover = false;
        std::uint32_t buckets = 0;
    };

    struct bucket_slot
    {
        bool held = false;
        /// Another VM may hold it too; asked before anything new is decided.
        bool doubted = false;
        /// In a handover message that is not acknowledged.
        bool in_flight = false;
        std::uint16_t lineage = 0;
        std::optional<vm_id> standby;
    };

    /// Expected load of one target at this VM.
    struct target_load
    {
        const target* what = nullptr;
        /// Part of this VM's flows of the service, in [0, 1].
        double expected = 0;
        /// This VM's part of the target's flows, in [0, 1].
        double capacity_share = 0;
        std::uint32_t limit = 0;
    };
    struct service_load
    {
        std::vector<target_load> targets;
        std::optional<instant> refreshed;
    };

    /// A target that is no longer published but may carry flows.
    struct retired_target
    {
        target what;
        instant since;
    };

    /// A reference that moved to another service.
    struct reference_move
    {
        /// Service of flows that open before the standby knows of the move.
        service_id former;
        /// Every flow that a standby could not guess was told. Marks are what
        /// the streams must acknowledge for that; empty while more such flows
        /// may be opened.
        bool settled = false;
        std::map<vm_id, std::uint64_t> marks;
        /// When the set with the latest move took effect here.
        instant at{};
    };

    /// Since when VMs are believed dead that may be cut off instead, hold the
    /// same buckets as this one and open flows that it does not know.
    struct possible_split
    {
        instant since;
        /// Their flows may be open and not handed over until then.
        instant until;
    };

    /// Flows that sweep counts against one override.
    struct override_use
    {
        std::uint64_t base_exceptions = 0;
        std::uint64_t current_exceptions = 0;
    };
    /// An override about to be dropped: marks in the streams that must be
    /// acknowledged first.
    struct override_switch
    {
        std::map<vm_id, std::uint64_t> marks;
    };
    using lineage_key = std::pair<std::uint16_t, base_key>;

    // balancer.cpp, balancer_placement.cpp, balancer_sets.cpp: decisions
    verdict decide_as_holder(const packet_facts& facts, std::uint64_t hash,
                             instant now);
    verdict route_to_holder(const packet_facts& facts, bucket_id bucket) const;
    verdict continue_flow(flow_record& record, const packet_facts& facts,
                          instant now);
    /// Whether a packet of the flow could reach another service if the record
    /// were gone.
    [[nodiscard]] bool unguessable(const flow_record& record) const;
    verdict follow_base(const packet_facts& facts, std::uint64_t hash,
                        instant now);
    verdict open_flow(const packet_facts& facts, std::uint64_t hash,
                      instant now);
    verdict deliver_to(target_id id) const;
    verdict relay_to(vm_id vm, std::uint8_t hops) const;
    [[nodiscard]] bool reopens(const flow_record& record,
                               const packet_facts& facts, instant now) const;
    [[nodiscard]] std::optional<vm_id> other_decider(const packet_facts& facts,
                                                     bucket_id bucket) const;
    [[nodiscard]] bool accepts_new(target_id id, instant now) const;
    std::optional<target_id> place(service_id service, std::uint64_t hash,
                                   instant now, std::optional<target_id> avoid);
    service_load& expect_load(service_id service);
    service_load& load_of(service_id service, instant now);
    service_load make_load(service_id service) const;
    flow_record* add_flow(const flow_record& record, std::uint64_t hash);
    void remove_flow(const flow_key& key, std::uint64_t hash);
    void end_flow(flow_record& record);
    void release_held(target_id id);
    void note_if_exception(flow_record& record, std::uint64_t hash);
    [[nodiscard]] bool must_replicate(const flow_record& record,
                                      std::uint64_t hash) const;
    [[nodiscard]] bool follows_current(const flow_record& record,
                                       std::uint64_t hash) const;
    [[nodiscard]] const target* find_target(target_id id) const;
    [[nodiscard]] base_key key_of(const flow_key& key, bucket_id bucket) const;
    [[nodiscard]] std::uint32_t ticks(instant now) const;
    void retire_targets(const published_set& next, instant now);
    std::set<target_id> forget_replaced_targets(const published_set& next);
    void note_moves(const std::vector<base_change>& changes, instant now);
    void settle_moves();
    void unsettle_moves(replication_stream& stream);
    [[nodiscard]] bool mixed_anywhere(const public_address& address) const;
    [[nodiscard]] std::vector<public_address> moved_addresses() const;
    [[nodiscard]] bool standby_knows(bucket_id bucket,
                                     const public_address& address) const;
    [[nodiscard]] service_id
    service_to_open(const reference& ref, bucket_id bucket, instant now) const;
    void note_split(instant now);
    /// Whether a packet without a record may be of a flow that another holder
    /// opened, at a service that the base table does not name.
    [[nodiscard]] bool opened_elsewhere(const base_tables& base,
                                        const base_key& key) const;

    // balancer_sweep.cpp: periodic work
    void sweep(instant now);
    [[nodiscard]] bool is_over(const flow_record& record, instant now) const;
    void sweep_flow(flow_record& record);
    void finish_sweep(instant now);
    void count_override_use(const flow_record& record, std::uint64_t hash);
    void begin_switch(const lineage_key& key);
    void complete_switches();
    void collect_lineages();

    // balancer_holdings.cpp and balancer_peers.cpp: holdings and messages
    void on_replicate(vm_id from, const replicate& update);
    void on_replicate_ack(vm_id from, const replicate_ack& ack);
    void on_claim(vm_id from, const claim& asked);
    void on_handover(vm_id from, const handover& offer, instant now);
    void on_handover_ack(vm_id from, const handover_ack& ack);
    void update_map(instant now);
    void doubt_regained();
    void review_holdings(instant now);
    void begin_claims(instant now);
    void take_unheld(instant now);
    /// Moves doubted buckets, whose other holder has not answered, to a
    /// lineage that guesses no service of a reference that moved.
    void distrust_doubted(instant now);
    void fail_over(const bucket_map& before, vm_id dead, instant now);
    void hold(bucket_id bucket, std::uint16_t lineage);
    void release(bucket_id bucket);
    void adopt_exceptions(const std::vector<flow_exception>& exceptions,
                          instant now);
    std::uint16_t find_or_add_lineage(lineage wanted);
    [[nodiscard]] lineage lineage_of_replica(const bucket_replica& replica,
                                             instant now) const;
    [[nodiscard]] lineage lineage_without_replica(bucket_id bucket,
                                                  instant now) const;
    /// For flows of another holder, which may have opened by either service.
    void mark_moves_uncertain(base_tables& base) const;
    std::optional<bucket_replica> take_replica(bucket_id bucket);
    void install(bucket_id bucket, std::optional<bucket_replica> replica,
                 instant now);
    void drop_flows_not_held();
    [[nodiscard]] std::set<vm_id> possible_holders() const;
    [[nodiscard]] bool all_owned_are_held() const;
    void forget_silent_holders(instant now);
    void mark_not_in_flight(const std::vector<bucket_id>& buckets);
    void assign_standbys();
    [[nodiscard]] std::optional<vm_id> wanted_standby(bucket_id bucket) const;
    replication_stream& stream_to(vm_id standby);
    void restart_stream(vm_id standby);
    void offer_buckets_of_others(instant now);
    /// False if a handover waits for budget, which replication must not spend.
    bool pump_handovers(byte_count& budget, instant now,
                        std::vector<flow_outgoing>& out);
    void pump_streams(byte_count& budget, instant now,
                      std::vector<flow_outgoing>& out);
    struct handover_part
    {
        bucket_state state;
        bool last = false;
    };
    handover_part next_handover_part(vm_id claimant, bool all_flows,
                                     byte_count budget);
    void replicate_flow(const flow_record& record, bucket_id bucket);
    [[nodiscard]] std::optional<vm_id> likely_holder(bucket_id bucket) const;

    // replication_source
    [[nodiscard]] set_version version_in_effect() const override;
    [[nodiscard]] std::uint16_t lineage_of(bucket_id bucket) const override;
    [[nodiscard]] const base_tables&
    base_of_lineage(std::uint16_t index) const override;
    [[nodiscard]] std::optional<target_id>
    target_of(const flow_key& key) const override;

    balancer_settings settings_;
    vm_id self_;
    data_centre_id own_data_centre_;
    std::uint64_t session_;
    const admission_limit_source& bearings_;

    placement_context context_;
    instant set_since_{};
    member_view view_;
    bucket_map map_;
    instant map_since_{};
    /// Owners before the latest change of owners, and owners if this VM's data
    /// centre had no VM: where a bucket that is not held yet is likely held.
    bucket_map previous_map_;
    bucket_map others_map_;
    bool may_open_ = false;

    // find() of the table does not change it, but hands out mutable records.
    mutable flow_table flows_;
    std::optional<instant> started_;
    std::unordered_map<target_id, std::uint32_t> held_;
    std::unordered_map<target_id, retired_target> retired_;
    std::unordered_map<service_id, service_load> loads_;
    std::unordered_map<std::uint16_t, double> owned_share_;
    admission admission_;

    std::vector<bucket_slot> buckets_;
    std::vector<lineage> lineages_;
    /// References that moved to another service, as long as this process runs:
    /// flows of the former service may be of any age.
    std::map<public_address, reference_move> moves_;

    replica_store replicas_;
    std::map<vm_id, replication_stream> streams_;
    std::uint64_t next_stream_session_;
    claim_round claims_;
    std::optional<possible_split> split_;
    struct handover_to
    {
        handover_stream stream;
        bool all_flows = false;
    };
    std::map<vm_id, handover_to> handovers_;
    std::vector<flow_outgoing> replies_;
    bool standbys_stale_ = false;

    std::size_t sweep_at_ = 0;
    std::uint64_t exceptions_seen_ = 0;
    std::map<lineage_key, override_use> override_uses_;
    std::map<lineage_key, override_switch> switches_;
    balancer_stats counters_;
};

} // namespace catkinkeel
