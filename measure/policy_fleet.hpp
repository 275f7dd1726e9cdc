#pragma once

// The policies that measure/policy compares: the balancer of the decision
// library, and two baselines without replicated flow state that show the
// benefit of its mechanisms. Each policy runs on simulated entry VMs.

#include "catkinkeel/contract/published_set.hpp"
#include "catkinkeel/flow/balancer.hpp"
#include "catkinkeel/testing/packet_forwarder.hpp"

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

/// Simulated VMs that run one policy in virtual time. The scenarios control and
/// observe a policy only through this interface.
class simulated_fleet
{
public:
    virtual ~simulated_fleet() = default;

    /// Sends packets of callers to the VMs.
    virtual testing::packet_forwarder& forwarder() = 0;
    virtual void add_vm(vm_id id, data_centre_id data_centre) = 0;
    /// Stops the VM without a leave.
    virtual void kill(vm_id id) = 0;
    /// Starts a graceful leave; the VM runs until `remove`.
    virtual void leave(vm_id id) = 0;
    virtual void remove(vm_id id) = 0;
    /// Applies the set on one VM now.
    virtual void apply_set(vm_id id, const published_objects& objects) = 0;
    /// Applies the set on each VM after a random delay of up to `spread`.
    virtual void publish(const published_objects& objects, duration spread) = 0;
    virtual void run_for(duration time) = 0;

    /// Whether every running VM holds exactly the buckets that it owns, so that
    /// a leaving VM can be removed. Always true for the baselines, which don't
    /// hand buckets over.
    [[nodiscard]] virtual bool handover_finished() const = 0;
    /// Bytes that the VM has sent to other VMs. 0 for the baselines.
    [[nodiscard]] virtual std::uint64_t control_bytes(vm_id id) const = 0;
    /// Statistics of the VM's balancer; all zero for the baselines, which have
    /// none.
    [[nodiscard]] virtual balancer_stats stats(vm_id id) = 0;
};

struct policy
{
    const char* name;
    std::unique_ptr<simulated_fleet> (*make)(const fleet_settings&);
};

/// The policies to compare. The first one is the balancer of the decision
/// library.
std::span<const policy> policies();

/// Forwards packets through `inner` and reports the outcome of each packet to
/// an observer.
class observed_forwarder final : public testing::packet_forwarder
{
public:
    using observer = std::function<void(
        const packet_facts&, const testing::packet_outcome&, instant)>;

    observed_forwarder(testing::packet_forwarder& inner, std::uint64_t seed)
        : packet_forwarder(seed), inner_(inner)
    {
    }

    testing::packet_outcome
    send_to_random_vm(const packet_facts& facts) override;

    [[nodiscard]] instant now() const override
    {
        return inner_.now();
    }

    /// Called with each packet, its outcome and the time; may be empty.
    observer on_packet_outcome;

private:
    testing::packet_forwarder& inner_;
};

} // namespace catkinkeel::measure
