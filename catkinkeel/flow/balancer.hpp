#pragma once

// Decision core of one entry VM: selects the target or VM that a packet is sent
// to. It uses no sockets, threads, clocks or codecs, so any front end that can
// fill `packet_facts` can use it.
//
// Example:
//   balancer core({}, self, own_data_centre, session, targets);
//   core.apply_set(set, now);
//   core.apply_view(view, now);
//   verdict v = core.decide(facts, now);
//   for (outgoing_flow_message& out : core.take_messages({1500}, now))
//       send(out);

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

/// Upper bound for the time between a set taking effect at the first VM and at
/// the last.
inline constexpr duration max_set_propagation_delay = 2s;

struct balancer_settings
{
    /// Maximum number of tracked flows; the first packet of any further flow is
    /// dropped.
    std::size_t flow_capacity = 262144;
    /// A flow is removed after this time without packets, if packets that
    /// arrive later would go to the same service without its record.
    duration idle_timeout = 300s;
    /// A flow whose caller has sent FIN or RST is kept this long. It must cover
    /// pauses in a response that the target is still sending after the caller's
    /// FIN.
    duration ended_timeout = 60s;
    /// A flow goes to the target selected by hashing unless it would raise the
    /// flows of this target above (1 + load_epsilon) times its expected number;
    /// then it goes to the target with the lowest load.
    double load_epsilon = 0.05;

    friend auto operator<=>(const balancer_settings&,
                            const balancer_settings&) = default;
};

using flow_message =
    std::variant<replicate, replicate_ack, claim, handover, handover_ack>;

/// A message for another VM.
struct outgoing_flow_message
{
    vm_id to;
    flow_message content;

    friend bool operator==(const outgoing_flow_message&,
                           const outgoing_flow_message&) = default;
};

/// Counters since the start (down to `overrides_dropped`) and gauges.
struct balancer_stats
{
    std::uint64_t flows_opened = 0;
    /// Flows that were exceptions when they were opened or placed again.
    std::uint64_t exceptions_opened = 0;
    /// Established flows without a record for which a record was created.
    std::uint64_t flows_placed_by_base_table = 0;
    /// Taken over without a handover.
    std::uint64_t buckets_taken_over = 0;
    /// Handed over to another VM, and received from one.
    std::uint64_t buckets_handed_over = 0;
    std::uint64_t buckets_received = 0;
    std::uint64_t overrides_dropped = 0;
    std::uint64_t flows = 0;
    std::uint64_t buckets_held = 0;
    std::uint64_t replication_backlog = 0;
    /// Flows replicated to standbys, counted by the latest sweep (every 3 s).
    std::uint64_t exceptions = 0;
    std::uint64_t replicated_exceptions_stored = 0;
    std::uint64_t overrides = 0;
    /// Base tables whose service differs from that of the set in effect.
    std::uint64_t mixed_references = 0;

    friend auto operator<=>(const balancer_stats&,
                            const balancer_stats&) = default;
};

/// A decision for a packet with the facts that led to it.
struct explanation
{
    verdict result;
    std::string rule;
    bucket_id bucket;
    data_centre_id home;
    /// Reference for the public address in the set in effect, and its service.
    std::optional<reference_id> reference;
    std::optional<service_id> service;
    bool has_record = false;
    std::optional<vm_id> owner;
    std::optional<vm_id> standby;
    bool held_by_this_vm = false;
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

    /// Puts a set into effect. `plan` must be `make_plan(set)`; the caller
    /// passes it so that it can be built on another thread. Ignored unless the
    /// version is higher than the one in effect.
    void apply_set(published_set_ptr set, placement_plan_ptr plan, instant now);

    /// Computes the plan for a set; it shares unchanged tables with the plan in
    /// effect.
    [[nodiscard]] placement_plan_ptr make_plan(const published_set& set) const;

    /// Applies this VM's current view of the members. If a VM has failed, takes
    /// over its buckets of which this VM is the new owner and has the replica.
    void apply_view(const member_view& view, instant now);

    /// While false (the initial value), no flow is opened and no bucket is
    /// taken over, except those that `apply_view` takes over. To be set to
    /// false while no peer has recently acknowledged this VM, since other VMs
    /// may then hold its buckets.
    void set_opening_allowed(bool allowed)
    {
        opening_allowed_ = allowed;
    }

    /// Must be called after a pause of the process: peers may have taken its
    /// buckets over, so this VM claims them again before it decides on packets
    /// of flows without a record.
    void mark_holdings_unconfirmed(instant now);

    /// O(1) for a known flow, O(targets of the service) for a new one.
    verdict decide(const packet_facts& facts, instant now);

    /// Selects another target for a flow whose opening packet is known to have
    /// reached no target (the send failed). Nullopt if the flow is unknown or
    /// already established, if the retry budget is exhausted, or if no other
    /// target may get the flow.
    std::optional<deliver> retry_placement(const flow_key& key, instant now);

    /// Handles a message from another VM.
    void handle(vm_id from, const flow_message& content, instant now);

    /// Messages to send now. Replication and handovers keep within `budget`;
    /// claims and acknowledgements are always sent.
    std::vector<outgoing_flow_message> take_messages(byte_count budget,
                                                     instant now);

    /// Periodic work, to be called about every 100 ms: removes idle flows and
    /// drops overrides.
    void tick(instant now);

    /// Explains a decision without changing any state.
    [[nodiscard]] explanation explain(const packet_facts& facts) const;

    /// Number of flows on a target that are tracked here and have not ended.
    [[nodiscard]] std::uint32_t open_flow_count_on(target_id id) const;

    /// Fraction of a target's flows that this VM is expected to open (0 to 1).
    /// The fractions of all VMs sum to at most 1.
    [[nodiscard]] double capacity_share(target_id id);

    [[nodiscard]] bool holds(bucket_id bucket) const
    {
        return buckets_[bucket.value].held;
    }

    [[nodiscard]] balancer_stats stats() const;
    /// Age of the oldest flow whose replication is not acknowledged.
    [[nodiscard]] duration replication_age(instant now) const;
    [[nodiscard]] const published_set_ptr& set_in_effect() const
    {
        return context_.set;
    }
    [[nodiscard]] const bucket_map& map() const
    {
        return map_;
    }
    /// True if this VM holds exactly the buckets that it owns; a leaving VM may
    /// then stop.
    [[nodiscard]] bool holdings_settled() const;

private:
    /// State shared by all held buckets with the same history, that is with the
    /// same base tables.
    struct lineage
    {
        base_tables base;
        /// Until this time there may be open flows of which this VM has
        /// received no packet, so that a datagram without a record need not
        /// open a flow.
        instant unseen_until{};
        /// Taken over from a VM considered dead, which may still run behind a
        /// partition.
        bool by_failover = false;
        /// Number of buckets of the lineage; if 0, its entry can be reused.
        std::uint32_t buckets = 0;
    };

    struct bucket_slot
    {
        /// This VM is the bucket's holder.
        bool held = false;
        /// Another VM may hold the bucket too. Until the claims are answered,
        /// packets without a flow record are relayed or dropped.
        bool unconfirmed = false;
        /// Part of a handover message that is not yet acknowledged.
        bool in_flight = false;
        /// Index into `lineages_`.
        std::uint16_t lineage = 0;
        std::optional<vm_id> standby;
    };

    /// Expected load of one target at this VM.
    struct target_load
    {
        const target* definition = nullptr;
        /// Expected fraction of this VM's flows of the service (0 to 1).
        double expected = 0;
        /// Expected fraction of the target's flows that this VM opens (0 to 1).
        double capacity_share = 0;
        /// Maximum number of open flows of this VM on the target.
        std::uint32_t limit = 0;
    };
    struct service_load
    {
        std::vector<target_load> targets;
        std::optional<instant> refreshed_at;
    };

    /// A target that is no longer published but may still have flows.
    struct retired_target
    {
        target definition;
        instant since;
    };

    /// A reference that moved to another service.
    struct reference_move
    {
        /// Service of new flows until the standby has acknowledged the move.
        service_id former;
        /// True once the standbys have acknowledged all flows whose service
        /// they cannot derive from their base tables.
        bool settled = false;
        /// Number of flows that each stream must acknowledge before the move is
        /// settled. Empty while further flows of this kind may be opened.
        std::map<vm_id, std::uint64_t> required_acknowledgements;
        /// When the set with the latest move took effect here.
        instant at{};
    };

    /// Period in which VMs considered dead may instead be on the other side of
    /// a partition, where they hold the same buckets as this VM and open flows
    /// that it does not track.
    struct possible_partition
    {
        instant since;
        /// Until this time flows may be open that were opened on the other side
        /// and not handed over.
        instant until;
    };

    /// Counts of one sweep that decide whether dropping an override reduces the
    /// number of exceptions.
    struct override_use
    {
        /// Flows that are exceptions while the override is kept.
        std::uint64_t base_exceptions = 0;
        /// Flows that will be exceptions if it is dropped.
        std::uint64_t current_exceptions = 0;
    };
    /// An override that is dropped once the standbys have acknowledged the
    /// flows that thereby become exceptions: each stream this number of flows,
    /// counted since its creation.
    struct override_removal
    {
        std::map<vm_id, std::uint64_t> required_acknowledgements;
    };
    /// Index of a lineage and key of one of its overrides.
    using lineage_key = std::pair<std::uint16_t, base_table_key>;

    // balancer.cpp, balancer_placement.cpp, balancer_sets.cpp: decisions
    verdict decide_as_holder(const packet_facts& facts, std::uint64_t hash,
                             instant now);
    verdict route_to_holder(const packet_facts& facts, bucket_id bucket) const;
    verdict continue_flow(flow_record& record, const packet_facts& facts,
                          instant now);
    /// Whether a packet of the flow could reach another service if the record
    /// were removed.
    [[nodiscard]] bool
    service_depends_on_record(const flow_record& record) const;
    /// Decides on a packet that has no flow record and does not open a flow.
    verdict place_by_base_table(const packet_facts& facts, std::uint64_t hash,
                                instant now);
    verdict open_flow(const packet_facts& facts, std::uint64_t hash,
                      instant now);
    verdict deliver_to(target_id id) const;
    verdict relay_to(vm_id vm, std::uint8_t hops) const;
    /// Whether the packet opens a new flow although the record of an earlier
    /// flow with the same key exists.
    [[nodiscard]] bool reopens(const flow_record& record,
                               const packet_facts& facts, instant now) const;
    /// VM that must decide on a packet without a record, if it is not this one
    /// although this VM holds the bucket.
    [[nodiscard]] std::optional<vm_id> other_decider(const packet_facts& facts,
                                                     bucket_id bucket) const;
    /// Whether a flow on this target may be opened again on it.
    [[nodiscard]] bool accepts_new(target_id id, instant now) const;
    /// Selects a target for a new flow by hash and load, other than `avoid`;
    /// nullopt if no target may get the flow.
    std::optional<target_id> place(service_id service, std::uint64_t hash,
                                   instant now, std::optional<target_id> avoid);
    /// The expected loads of a service's targets, without current limits.
    service_load& find_or_make_load(service_id service);
    /// The same, with limits that are at most 100 ms old.
    service_load& load_with_current_limits(service_id service, instant now);
    service_load make_load(service_id service) const;
    flow_record* add_flow(const flow_record& record, std::uint64_t hash);
    void remove_flow(const flow_key& key, std::uint64_t hash);
    void end_flow(flow_record& record);
    void decrement_open_flows(target_id id);
    void replicate_if_exception(flow_record& record, std::uint64_t hash);
    /// Whether the flow is an exception.
    [[nodiscard]] bool must_replicate(const flow_record& record,
                                      std::uint64_t hash) const;
    /// Whether the current table selects the flow's target.
    [[nodiscard]] bool follows_current(const flow_record& record,
                                       std::uint64_t hash) const;
    [[nodiscard]] const target* find_target(target_id id) const;
    [[nodiscard]] base_table_key key_of(const flow_key& key,
                                        bucket_id bucket) const;
    /// Time of flow records, in units of `flow_tick`.
    [[nodiscard]] std::uint32_t ticks(instant now) const;
    /// Keeps the targets that `next` no longer has, for their open flows.
    void retire_targets(const published_set& next, instant now);
    /// Removes the flows of targets whose address or service differs in `next`,
    /// and returns these targets.
    std::set<target_id>
    remove_flows_of_replaced_targets(const published_set& next);
    void record_moves(const std::vector<base_table_change>& changes,
                      instant now);
    /// Settles the moves whose flows all standbys have acknowledged.
    void settle_moves();
    /// Makes all moves unsettled again, for a standby that gets further
    /// buckets.
    void unsettle_moves(replication_stream& stream);
    /// Whether base tables of different services are in use for the address.
    [[nodiscard]] bool any_lineage_mixed(const public_address& address) const;
    [[nodiscard]] std::vector<public_address> moved_addresses() const;
    /// Whether the bucket's standby has acknowledged that the address is
    /// unsettled, or the bucket has no standby.
    [[nodiscard]] bool
    standby_acknowledged_move(bucket_id bucket,
                              const public_address& address) const;
    /// The service with which a new flow must be opened now. After a move this
    /// is the former one until the standby has acknowledged the move or, in a
    /// possible partition, until every VM must have the set.
    [[nodiscard]] service_id
    service_to_open(const reference& ref, bucket_id bucket, instant now) const;
    void update_possible_partition(instant now);
    /// Whether a packet without a record may belong to a flow that another
    /// holder opened with a service other than that of the base table.
    [[nodiscard]] bool may_be_opened_elsewhere(const base_tables& base,
                                               const base_table_key& key) const;

    // balancer_sweep.cpp: periodic work
    void sweep(instant now);
    [[nodiscard]] bool is_expired(const flow_record& record, instant now) const;
    void sweep_flow(flow_record& record);
    void finish_sweep(instant now);
    void count_override_use(const flow_record& record, std::uint64_t hash);
    void begin_override_removal(const lineage_key& key);
    void complete_override_removals();
    void clear_unused_lineages();

    // balancer_holdings.cpp and balancer_peers.cpp: holdings and messages
    void on_replicate(vm_id from, const replicate& update);
    void on_replicate_ack(vm_id from, const replicate_ack& ack);
    void on_claim(vm_id from, const claim& claim_message);
    void on_handover(vm_id from, const handover& handover_message, instant now);
    void on_handover_ack(vm_id from, const handover_ack& ack);
    void update_map(instant now);
    /// Marks held buckets unconfirmed that this VM owns again after another VM
    /// owned them.
    void mark_regained_unconfirmed();
    void begin_claims_if_needed(instant now);
    void begin_claims(instant now);
    /// Takes over the owned buckets that no holder has handed over.
    void take_over_unheld(instant now);
    /// Moves unconfirmed buckets, whose other holder has not responded, to a
    /// lineage that drops packets without a record for moved references.
    void move_unconfirmed_to_uncertain_lineages(instant now);
    /// Takes over the buckets of a failed VM from its replicas. `before` is the
    /// map with that VM.
    void fail_over(const bucket_map& before, vm_id dead, instant now);
    /// Makes this VM the holder of the bucket, with an index into `lineages_`;
    /// `release` ends that.
    void hold(bucket_id bucket, std::uint16_t lineage);
    void release(bucket_id bucket);
    /// Adds records for exceptions received from another holder.
    void adopt_exceptions(const std::vector<flow_exception>& exceptions,
                          instant now);
    std::uint16_t find_or_add_lineage(lineage wanted);
    [[nodiscard]] lineage lineage_of_replica(const bucket_replica& replica,
                                             instant now) const;
    [[nodiscard]] lineage lineage_without_replica(bucket_id bucket,
                                                  instant now) const;
    /// Marks the addresses of all moved references uncertain, because another
    /// holder may have opened their flows with either service.
    void mark_moves_uncertain(base_tables& base) const;
    /// The replica of the bucket from any sender that can no longer own
    /// buckets.
    std::optional<bucket_replica> take_replica(bucket_id bucket);
    /// Takes the bucket over, with the replica if there is one.
    void install(bucket_id bucket, std::optional<bucket_replica> replica,
                 instant now);
    void drop_flows_not_held();
    [[nodiscard]] std::set<vm_id> possible_holders() const;
    [[nodiscard]] bool all_owned_are_held() const;
    void abandon_unresponsive_holders(instant now);
    void mark_not_in_flight(const std::vector<bucket_id>& buckets);
    void assign_standbys();
    [[nodiscard]] std::optional<vm_id> wanted_standby(bucket_id bucket) const;
    replication_stream& stream_to(vm_id standby);
    void restart_stream(vm_id standby);
    /// Hands buckets over that other VMs own but have not claimed, because they
    /// hold them too.
    void begin_unclaimed_handovers(instant now);
    /// Appends the handover messages that are due. Returns false if a handover
    /// waits for budget; replication must then not spend the remaining budget.
    bool pump_handovers(byte_count& budget, instant now,
                        std::vector<outgoing_flow_message>& out);
    void pump_streams(byte_count& budget, instant now,
                      std::vector<outgoing_flow_message>& out);
    /// Content of one handover message.
    struct handover_part
    {
        bucket_state state;
        /// No further bucket has to be handed over to the claimant.
        bool last = false;
    };
    handover_part next_handover_part(vm_id claimant, bool all_flows,
                                     byte_count budget);
    void replicate_flow(const flow_record& record, bucket_id bucket);
    /// VM that probably still holds a bucket of this VM, among those whose
    /// answer to the claim is pending.
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
    const admission_limit_source& admission_limits_;

    placement_context context_;
    instant set_since_{};
    member_view view_;
    bucket_map map_;
    instant map_since_{};
    /// Owners before the latest change of the map, and owners if this VM's data
    /// centre had no VMs. Used to find the likely holder of a bucket that this
    /// VM owns but does not hold yet.
    bucket_map previous_map_;
    bucket_map map_without_own_data_centre_;
    bool opening_allowed_ = false;

    // Mutable because `find` returns mutable records, although it does not
    // change the table.
    mutable flow_table flows_;
    /// When the first set or member view was applied; `ticks` counts from it.
    std::optional<instant> started_;
    std::unordered_map<target_id, std::uint32_t> open_flows_by_target_;
    std::unordered_map<target_id, retired_target> retired_;
    std::unordered_map<service_id, service_load> loads_;
    /// Fraction of the buckets of each home data centre that this VM owns.
    std::unordered_map<std::uint16_t, double> owned_share_;
    admission admission_;

    std::vector<bucket_slot> buckets_;
    std::vector<lineage> lineages_;
    /// References that moved to another service since this process started.
    /// Entries are never removed, because flows of the former service may be of
    /// any age.
    std::map<public_address, reference_move> moves_;

    replica_store replicas_;
    std::map<vm_id, replication_stream> streams_;
    std::uint64_t next_stream_session_;
    claim_round claims_;
    std::optional<possible_partition> possible_partition_;
    struct handover_to
    {
        handover_stream stream;
        /// Of buckets taken over in a failover, sends all open flows, not only
        /// the exceptions.
        bool all_flows = false;
    };
    std::map<vm_id, handover_to> handovers_;
    std::vector<outgoing_flow_message> pending_replies_;
    /// Standbys must be assigned again before the next message is sent.
    bool standbys_stale_ = false;

    std::size_t next_sweep_slot_ = 0;
    std::uint64_t exceptions_in_sweep_ = 0;
    std::map<lineage_key, override_use> override_uses_;
    std::map<lineage_key, override_removal> override_removals_;
    balancer_stats counters_;
};

} // namespace catkinkeel
