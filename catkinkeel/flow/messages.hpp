#pragma once

// Messages by which the holder of a bucket replicates exceptions to the
// bucket's standby and hands the bucket over to its owner. These are plain
// values; the `link` library encodes them.
//
// The owner of a bucket is the VM that ranks first for it in the bucket map,
// the standby the VM that takes it over if the owner fails, and the holder the
// VM that has its flow state now. The set in effect is the published set that a
// VM currently applies.

#include "catkinkeel/base/flow_key.hpp"
#include "catkinkeel/base/identifier.hpp"

#include <compare>
#include <cstdint>
#include <vector>

namespace catkinkeel
{

/// Public endpoint and protocol of a reference. It stays valid as a key after
/// the reference has left the published set.
struct public_address
{
    endpoint where;
    protocol transport = protocol::tcp;

    friend auto operator<=>(const public_address&,
                            const public_address&) = default;
};

/// A target and its effective weight in a placement table; only the ratios of
/// the weights matter.
struct weighted_target
{
    target_id id;
    std::uint32_t weight = 0;

    friend auto operator<=>(const weighted_target&,
                            const weighted_target&) = default;
};

/// Key of a base table: a public address and the home data centre of the
/// buckets that the table applies to.
struct base_table_key
{
    public_address address;
    data_centre_id home;

    friend auto operator<=>(const base_table_key&,
                            const base_table_key&) = default;
};

/// The base table of one public address for the buckets of one home data
/// centre, where it differs from the table of the set in effect.
struct base_table_override
{
    public_address address;
    data_centre_id home;
    service_id service;
    std::vector<weighted_target> targets;

    friend auto operator<=>(const base_table_override&,
                            const base_table_override&) = default;
};

/// A flow pinned to a target, because the base table of its bucket does not
/// reliably select this target. `ended` withdraws an exception sent earlier.
struct flow_exception
{
    flow_key key;
    target_id target;
    bool ended = false;

    friend auto operator<=>(const flow_exception&,
                            const flow_exception&) = default;
};

/// State needed to take over a set of buckets.
struct bucket_state
{
    std::vector<bucket_id> buckets;
    std::vector<base_table_override> overrides;
    /// Addresses for which packets without a flow record must be dropped,
    /// because it is ambiguous to which service they belong.
    std::vector<public_address> uncertain;
    std::vector<flow_exception> exceptions;

    friend bool operator==(const bucket_state&, const bucket_state&) = default;
};

/// Sent by a holder to a standby. If the message names buckets, the receiver
/// becomes their standby: it discards the exceptions that it stores for them
/// and builds their base tables from `overrides` and `uncertain`.
struct replicate
{
    /// Increases each time the sender restarts the stream. The receiver
    /// discards the sender's replicas on a higher session and ignores a
    /// message with a lower one as late.
    std::uint64_t session = 0;
    /// Starts at 1 in each session.
    std::uint64_t sequence = 0;
    /// Version of the set that is in effect at the sender.
    set_version in_effect;
    /// Identifies a group of buckets that share base tables; valid for all
    /// messages of the session.
    std::uint16_t lineage = 0;
    /// Overrides that the buckets of `lineage` no longer have.
    std::vector<base_table_key> dropped_overrides;
    /// Addresses whose reference moved to another service and for which flows
    /// may exist that were not yet replicated to the receiver. Each message has
    /// the complete list.
    std::vector<public_address> unsettled_addresses;
    bucket_state state;

    friend bool operator==(const replicate&, const replicate&) = default;
};

struct replicate_ack
{
    std::uint64_t session = 0;
    /// Sequence number of the last message that the receiver applied; 0 if
    /// none.
    std::uint64_t sequence = 0;

    friend auto operator<=>(const replicate_ack&,
                            const replicate_ack&) = default;
};

/// Requests the buckets that the sender owns, according to its own bucket map,
/// from their present holders.
struct claim
{
    /// Increases with each start of the claimant's process.
    std::uint64_t session = 0;
    /// Increases with each new claim of the session.
    std::uint64_t round = 0;
    set_version in_effect;
    /// Fingerprint of the members and data centres that ownership was computed
    /// from. A receiver with a different fingerprint does not answer.
    std::uint64_t map_fingerprint = 0;
    /// Whether the claimant holds buckets that other VMs may hold too, for
    /// example after a partition. The receiver then sends every open flow of
    /// the buckets that it took over in a failover, not only the exceptions.
    bool holding = false;

    friend auto operator<=>(const claim&, const claim&) = default;
};

/// Sent by a holder to a claimant. `last` marks the final message of the
/// answer: the sender has no further bucket to hand over to the claimant.
struct handover
{
    /// Session and round of the claim that is answered; both are 0 if the owner
    /// has not claimed the buckets.
    std::uint64_t session = 0;
    std::uint64_t round = 0;
    std::uint64_t sequence = 0;
    bool last = false;
    set_version in_effect;
    std::uint64_t map_fingerprint = 0;
    /// Addresses whose reference has moved to another service at any time
    /// since the sender started, as far as the sender has seen.
    std::vector<public_address> moved;
    bucket_state state;

    friend bool operator==(const handover&, const handover&) = default;
};

struct handover_ack
{
    std::uint64_t session = 0;
    std::uint64_t round = 0;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const handover_ack&, const handover_ack&) = default;
};

} // namespace catkinkeel
