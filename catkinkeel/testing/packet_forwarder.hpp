#pragma once

// Interface between simulated callers and the balancers that forward their
// packets: a group of balancers, or a simpler policy for comparison.

#include "catkinkeel/base/random.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/flow/packet_facts.hpp"

#include <compare>
#include <optional>
#include <variant>

namespace catkinkeel::testing
{

/// The packet reached a target.
struct delivered
{
    target_id target;
    /// The VM that chose the target.
    vm_id decided_by;

    friend auto operator<=>(const delivered&, const delivered&) = default;
};

/// The packet was answered with a refusal.
struct refused
{
    refusal_reason reason = refusal_reason::no_capacity;

    friend auto operator<=>(const refused&, const refused&) = default;
};

/// The packet was dropped. `reason` is set if a balancer discarded it.
struct lost
{
    std::optional<discard_reason> reason;

    friend auto operator<=>(const lost&, const lost&) = default;
};

using packet_outcome = std::variant<delivered, refused, lost>;

/// Forwards one packet at a time, in virtual time.
class packet_forwarder
{
public:
    explicit packet_forwarder(std::uint64_t seed) : random(seed) {}
    virtual ~packet_forwarder() = default;
    packet_forwarder(const packet_forwarder&) = delete;
    packet_forwarder& operator=(const packet_forwarder&) = delete;

    /// Forwards a packet that the fabric has sent to a random live VM.
    virtual packet_outcome send_to_random_vm(const packet_facts& facts) = 0;

    [[nodiscard]] virtual instant now() const = 0;

    random_source random;
};

} // namespace catkinkeel::testing
