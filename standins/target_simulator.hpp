#pragma once

// Stand-ins of backend servers: each undoes the encapsulation as a kernel would
// and answers the caller directly; each serves its load report.

#include "catkinkeel/contract/published_set.hpp"

#include <memory>
#include <vector>

namespace catkinkeel
{

/// Runs the stand-ins of `targets` on one packet thread and CivetWeb's threads
/// until it is destroyed. An answer is a TCP segment whose data are the
/// target's identifier, 4 bytes in network order.
class target_site
{
public:
    /// Null if an address cannot be bound.
    static std::shared_ptr<target_site>
    start(const std::vector<target>& targets, const endpoint& egress);

    virtual ~target_site() = default;

    /// Flows that each target has seen, in the order of the targets.
    [[nodiscard]] virtual std::vector<std::uint64_t> flows_seen() const = 0;
};

} // namespace catkinkeel
