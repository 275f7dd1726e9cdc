#pragma once

// What carries callers' packets to targets: a group of balancers, or a simpler
// policy that it is compared with.

#include "catkinkeel/base/random.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/flow/packet_facts.hpp"

#include <compare>
#include <optional>
#include <variant>

namespace catkinkeel::testing
{

/// Where a packet ended.
struct delivered
{
    target_id target;
    /// VM that decided.
    vm_id by;

    friend auto operator<=>(const delivered&, const delivered&) = default;
};
struct refused
{
    refusal_reason reason = refusal_reason::no_capacity;

    friend auto operator<=>(const refused&, const refused&) = default;
};
struct lost
{
    std::optional<discard_reason> reason;

    friend auto operator<=>(const lost&, const lost&) = default;
};
using packet_end = std::variant<delivered, refused, lost>;

/// Carries one packet at a time, in virtual time.
class packet_carrier
{
public:
    explicit packet_carrier(std::uint64_t seed) : random(seed) {}
    virtual ~packet_carrier() = default;
    packet_carrier(const packet_carrier&) = delete;
    packet_carrier& operator=(const packet_carrier&) = delete;

    /// Carries a packet that the fabric gives to a random live VM.
    virtual packet_end spray(const packet_facts& facts) = 0;

    [[nodiscard]] virtual instant now() const = 0;

    random_source random;
};

} // namespace catkinkeel::testing
