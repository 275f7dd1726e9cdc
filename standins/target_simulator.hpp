#pragma once

// Simulates backend servers: each decapsulates packets as a kernel would,
// replies directly to the caller and serves a load report over HTTP.

#include "catkinkeel/contract/published_set.hpp"

#include <memory>
#include <vector>

namespace catkinkeel
{

/// Simulates `targets` on one packet thread and CivetWeb's threads until it is
/// destroyed. A reply is a TCP segment whose payload is the target's
/// identifier, 4 bytes in network byte order.
class target_simulator
{
public:
    /// Returns null if an address cannot be bound.
    static std::shared_ptr<target_simulator>
    start(const std::vector<target>& targets, const endpoint& egress);

    virtual ~target_simulator() = default;

    /// Returns the number of flows that each target has received, in the order
    /// of the targets.
    [[nodiscard]] virtual std::vector<std::uint64_t> flows_seen() const = 0;
};

} // namespace catkinkeel
