#pragma once

// The policies that measure/policy compares, behind one interface: the balancer
// of the decision library, and two simpler ones that show what its mechanisms
// buy.

#include "catkinkeel/contract/published_set.hpp"
#include "catkinkeel/flow/balancer.hpp"
#include "catkinkeel/testing/packet_carrier.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

namespace catkinkeel::measure
{

struct fleet_settings
{
    std::uint64_t seed = 1;
    double load_epsilon = 0.05;
};

/// What happens in a fleet from outside; the scenarios know no more of it.
class fleet
{
public:
    virtual ~fleet() = default;

    virtual testing::packet_carrier& carrier() = 0;
    virtual void add_vm(vm_id id, data_centre_id data_centre) = 0;
    virtual void kill(vm_id id) = 0;
    /// Graceful leave; the VM goes on until `remove`.
    virtual void leave(vm_id id) = 0;
    virtual void remove(vm_id id) = 0;
    virtual void give_set(vm_id id, const published_objects& objects) = 0;
    /// Gives the set to each VM after a random part of `spread`.
    virtual void publish(const published_objects& objects, duration spread) = 0;
    virtual void run_for(duration time) = 0;

    /// Whether no VM has anything left to hand over.
    [[nodiscard]] virtual bool settled() const = 0;
    [[nodiscard]] virtual std::uint64_t control_bytes(vm_id id) const = 0;
    /// Zero where the policy has no balancer.
    [[nodiscard]] virtual balancer_stats stats(vm_id id) = 0;
};

struct policy
{
    const char* name;
    std::unique_ptr<fleet> (*make)(const fleet_settings&);
};

/// Ours first.
std::span<const policy> policies();

/// Shows an observer where each packet ends; a fleet's carrier carries it.
class watched_carrier final : public testing::packet_carrier
{
public:
    using observer = std::function<void(const packet_facts&,
                                        const testing::packet_end&, instant)>;

    watched_carrier(testing::packet_carrier& inner, std::uint64_t seed)
        : packet_carrier(seed), inner_(inner)
    {
    }

    testing::packet_end spray(const packet_facts& facts) override;

    [[nodiscard]] instant now() const override
    {
        return inner_.now();
    }

    /// Called for each packet.
    observer on_end;

private:
    testing::packet_carrier& inner_;
};

} // namespace catkinkeel::measure
