#include "catkinkeel/flow/admission.hpp"

#include <algorithm>

namespace catkinkeel
{

namespace
{

/// The retry budget is a token bucket; a retry costs one token.
constexpr double retry_tokens_per_admitted_flow = 0.1;
constexpr double max_retry_tokens = 10;
/// A caller network is a /24.
constexpr unsigned network_prefix_shift = 8;

std::uint64_t network_key(service_id service, ipv4_address caller)
{
    return (static_cast<std::uint64_t>(service.value) << 32U) |
           (caller.value >> network_prefix_shift);
}

} // namespace

bool token_bucket::take(double rate, instant now)
{
    const double burst = std::max(rate, 1.0);
    if (!last_refill_)
    {
        tokens_ = burst;
    }
    else
    {
        const std::chrono::duration<double> passed = now - *last_refill_;
        tokens_ = std::min(burst, tokens_ + rate * passed.count());
    }
    last_refill_ = now;
    if (tokens_ < 1)
    {
        return false;
    }
    tokens_ -= 1;
    return true;
}

std::optional<refusal_reason> admission::admit(const service& wanted,
                                               ipv4_address caller,
                                               double share, instant now)
{
    if (wanted.new_flows_per_second_per_network > 0)
    {
        if (networks_.size() >= max_tracked_networks)
        {
            networks_.clear();
        }
        token_bucket& network = networks_[network_key(wanted.id, caller)];
        if (!network.take(wanted.new_flows_per_second_per_network * share, now))
        {
            return refusal_reason::network_rate;
        }
    }
    if (wanted.new_flows_per_second > 0 &&
        !services_[wanted.id].take(wanted.new_flows_per_second * share, now))
    {
        return refusal_reason::service_rate;
    }
    retry_tokens_ = std::min(max_retry_tokens,
                             retry_tokens_ + retry_tokens_per_admitted_flow);
    return std::nullopt;
}

bool admission::admit_retry()
{
    if (retry_tokens_ < 1)
    {
        return false;
    }
    retry_tokens_ -= 1;
    return true;
}

} // namespace catkinkeel
