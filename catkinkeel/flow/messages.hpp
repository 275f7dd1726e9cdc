#pragma once

// Messages by which the holder of a bucket replicates exceptions to its standby
// and hands a bucket over. Plain values; their encoding is the business of
// `link`.

#include "catkinkeel/base/flow_key.hpp"
#include "catkinkeel/base/identifier.hpp"

#include <compare>
#include <cstdint>
#include <vector>

namespace catkinkeel
{

/// Public endpoint and protocol of a reference. It outlives the reference in
/// the published set.
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

/// Names one base table: a public address and the home data centre of the
/// buckets it holds for.
struct base_key
{
    public_address address;
    data_centre_id home;

    friend auto operator<=>(const base_key&, const base_key&) = default;
};

/// The base table of one public address for the buckets of one home data
/// centre, where it differs from the table of the set in effect.
struct base_override
{
    public_address address;
    data_centre_id home;
    service_id service;
    std::vector<weighted_target> targets;

    friend auto operator<=>(const base_override&,
                            const base_override&) = default;
};

/// A flow whose target its base table does not give; with `ended`, the flow no
/// longer is one.
struct flow_exception
{
    flow_key key;
    target_id target;
    bool ended = false;

    friend auto operator<=>(const flow_exception&,
                            const flow_exception&) = default;
};

/// What a set of buckets needs for a failover: the overrides that hold for
/// them, references whose packets must not be guessed, and exceptions.
struct bucket_state
{
    std::vector<bucket_id> buckets;
    std::vector<base_override> overrides;
    std::vector<public_address> uncertain;
    std::vector<flow_exception> exceptions;

    friend bool operator==(const bucket_state&, const bucket_state&) = default;
};

/// Holder to standby. With buckets, the receiver becomes their standby: it
/// forgets the exceptions that it holds for them and takes `overrides` and
/// `uncertain` as their base tables.
struct replicate
{
    /// Grows each time the sender begins again; a higher one empties what the
    /// receiver holds of the sender, a lower one is late and ignored.
    std::uint64_t session = 0;
    std::uint64_t sequence = 0;
    set_version in_effect;
    /// Groups the buckets that share base tables, over all messages of the
    /// session.
    std::uint16_t lineage = 0;
    /// Overrides that the buckets of `lineage` no longer have.
    std::vector<base_key> dropped;
    /// Addresses whose reference moved and of which flows may exist that the
    /// receiver has not been told of. The complete list in each message.
    std::vector<public_address> unsettled;
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

/// The owner in the sender's view asks for the buckets that are its own.
struct claim
{
    std::uint64_t session = 0;
    /// Grows with each claim of the session.
    std::uint64_t round = 0;
    set_version in_effect;
    /// Names the members and data centres that ownership was computed from; a
    /// receiver whose own differ does not answer.
    std::uint64_t map_fingerprint = 0;
    /// Whether the claimant still holds some of these buckets (after a
    /// partition); the receiver then sends every flow it knows there.
    bool holding = false;

    friend auto operator<=>(const claim&, const claim&) = default;
};

/// Holder to claimant. `last` says that the sender holds nothing more that the
/// claimant owns.
struct handover
{
    std::uint64_t session = 0;
    std::uint64_t round = 0;
    std::uint64_t sequence = 0;
    bool last = false;
    set_version in_effect;
    std::uint64_t map_fingerprint = 0;
    /// Addresses whose reference the sender knows to have moved to another
    /// service at some time.
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
