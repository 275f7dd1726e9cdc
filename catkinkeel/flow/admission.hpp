#pragma once

// Limits on new flows: per service, per caller network, and a retry budget for
// flows whose first target has received no packet.

#include "catkinkeel/base/time.hpp"
#include "catkinkeel/contract/objects.hpp"
#include "catkinkeel/flow/packet_facts.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace catkinkeel
{

/// Token bucket. Its capacity is the number of tokens that arrive in one
/// second, but at least 1.
class token_bucket
{
public:
    /// Takes a token if one is available. `rate` is in tokens per second.
    bool take(double rate, instant now);

private:
    double tokens_ = 0;
    std::optional<instant> last_refill_;
};

/// Admission control for new flows at one VM. A limit in the published set
/// applies to all VMs of the group together; each VM enforces its share of it.
class admission
{
public:
    /// Returns the reason for refusing the flow; empty if it is admitted.
    /// `share` is this VM's part of the group's buckets, in (0, 1].
    std::optional<refusal_reason> admit(const service& wanted,
                                        ipv4_address caller, double share,
                                        instant now);

    /// Whether a flow of which no target has received a packet may be placed on
    /// another target; if so, uses one retry. Over time at most one retry per
    /// ten admitted flows is allowed, so that failing targets do not double the
    /// load on the others; up to 10 unused retries are saved.
    bool admit_retry();

private:
    /// Limits memory. When this many token buckets of caller networks exist,
    /// all are discarded; a network can then send one additional burst.
    static constexpr std::size_t max_tracked_networks = 16384;

    std::unordered_map<service_id, token_bucket> services_;
    std::unordered_map<std::uint64_t, token_bucket> networks_;
    double retry_tokens_ = 0;
};

} // namespace catkinkeel
