#pragma once

// Messages by which the holder of a bucket replicates exceptions to its standby
// and hands a bucket over. These are plain values; the `link` library encodes
// them.

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

/// A target and its effective weight in a placement table.
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

/// A flow whose target differs from the one its base table selects. `ended`
/// withdraws an exception sent earlier.
struct flow_exception
{
    flow_key key;
    target_id target;
    bool ended = false;

    friend auto operator<=>(const flow_exception&,
                            const flow_exception&) = default;
};

/// State needed to take over a set of buckets: their base-table overrides, the
/// addresses for which packets without a flow record must be dropped because
/// the service is ambiguous, and the exceptions.
struct bucket_state
{
    std::vector<bucket_id> buckets;
    std::vector<base_table_override> overrides;
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
    std::uint64_t sequence = 0;
    set_version in_effect;
    /// Identifies a group of buckets that share base tables; valid for all
    /// messages of the session.
    std::uint16_t lineage = 0;
    /// Overrides that the buckets of `lineage` no longer have.
    std::vector<base_table_key> dropped;
    /// Addresses whose reference moved and for which flows may exist that were
    /// not yet replicated to the receiver. Each message has the complete list.
    std::vector<public_address> unsettled_addresses;
    bucket_state state;

    friend bool operator==(const replicate&, const replicate&) = default;
};

struct replicate_ack
{
    std::uint64_t session = 0;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const replicate_ack&,
                            const replicate_ack&) = default;
};

/// Sent by a VM that owns buckets in its own view, to request them from their
/// holders.
struct claim
{
    std::uint64_t session = 0;
    /// Increases with each new claim of the session.
    std::uint64_t round = 0;
    set_version in_effect;
    /// Fingerprint of the members and data centres that ownership was computed
    /// from. A receiver with a different fingerprint does not answer.
    std::uint64_t map_fingerprint = 0;
    /// Whether the claimant still holds some of these buckets (after a
    /// partition); the receiver then sends every flow of buckets that it took
    /// over in a failover, not only the exceptions.
    bool holding = false;

    friend auto operator<=>(const claim&, const claim&) = default;
};

/// Sent by a holder to a claimant. `last` means that the sender holds no
/// further bucket that the claimant owns.
struct handover
{
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
