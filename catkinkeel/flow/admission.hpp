#pragma once

// Limits on new flows: for each service, for each caller network, and a budget
// for placing again flows whose first target has seen nothing.

#include "catkinkeel/base/time.hpp"
#include "catkinkeel/contract/objects.hpp"
#include "catkinkeel/flow/packet_facts.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace catkinkeel
{

/// Token bucket: at most `rate` a second with a burst of one second's worth,
/// but at least one.
class token_bucket
{
public:
    /// Takes a token if there is one. `rate` in tokens a second.
    bool take(double rate, instant now);

private:
    double tokens_ = 0;
    std::optional<instant> filled_;
};

/// Admission of new flows at one VM. Limits of the published set are for all
/// VMs together; each applies its part.
class admission
{
public:
    /// Why the flow must be refused; empty if it is admitted. `share` is this
    /// VM's part of the group's buckets, in (0, 1].
    std::optional<refusal_reason> admit(const service& wanted,
                                        ipv4_address caller, double share,
                                        instant now);

    /// Whether a flow that no target has seen may be placed again: at most one
    /// in ten of the flows admitted, so that a failing service does not double
    /// the load on the rest.
    bool admit_retry();

private:
    /// Caller networks tracked at once; when full, all are forgotten, which
    /// admits at most one more burst each.
    static constexpr std::size_t network_limit = 16384;

    std::unordered_map<service_id, token_bucket> services_;
    std::unordered_map<std::uint64_t, token_bucket> networks_;
    double retries_ = 0;
};

} // namespace catkinkeel
