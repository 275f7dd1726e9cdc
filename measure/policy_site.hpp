#pragma once

// A simulated site for the scenarios of measure/policy: published objects,
// entry VMs that run the policy, callers, and counts of their broken flows.

#include "catkinkeel/testing/caller_model.hpp"

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "measure/policy_fleet.hpp"

namespace catkinkeel::measure
{

/// Size of a site. Callers open flows to the first service. The second service
/// is the one that a moved reference leads to.
struct site_size
{
    const char* name;
    std::uint16_t data_centre_count;
    /// 0 for six VMs that are assigned to the data centres in turn.
    std::uint32_t vms_per_data_centre;
    std::uint32_t first_service_targets;
    std::uint32_t second_service_targets;
    /// Connection limit of each target.
    std::uint32_t connections;
};

/// 6 VMs in three data centres. The first service has 5, 5 and 4 targets in
/// them, the second 4 in all.
inline constexpr site_size exlibris{"exlibris", 3, 2, 14, 4, 2000};
/// 6 VMs in four data centres (2, 2, 1 and 1). The first service has 4, 4, 3
/// and 3 targets in them, the second 4 in all.
inline constexpr site_size habimana{"habimana", 4, 0, 14, 4, 2000};
/// 36 VMs in three data centres.
inline constexpr site_size large{"large", 3, 12, 84, 24, 2000};

/// Counts of flows that no longer reach their target, by cause.
struct flow_counts
{
    std::uint64_t flows = 0;
    std::uint64_t broken = 0;
    /// Broken flows that had been open for at least 5 s at the fault.
    std::uint64_t broken_settled = 0;
    /// Broken flows whose packets were dropped in every attempt.
    std::uint64_t stalled = 0;
    /// Packets that reached a target of another service.
    std::uint64_t misdirected = 0;
    /// New flows refused since the start of the simulation.
    std::uint64_t refused = 0;

    flow_counts& operator+=(const flow_counts& other);

    friend auto operator<=>(const flow_counts&, const flow_counts&) = default;
};

class site
{
public:
    site(const site_size& size, const policy& tested_policy,
         const fleet_settings& settings);

    /// Opens `count` flows within `run_time`, then runs until their exceptions
    /// are replicated, but for at most 60 s.
    void fill(std::uint32_t count, duration run_time);

    /// Runs for `run_time` in steps of 100 ms. Each step opens `flows_per_step`
    /// flows and sends one packet for a random `fraction` of the flows.
    void run(duration run_time, std::uint32_t flows_per_step,
             double fraction = 0.1);

    /// As `run`, and each step also ends as many flows as it opens on average.
    void run_at_constant_load(duration run_time, std::uint32_t flows_per_step,
                              double fraction);

    /// Publishes `objects` as the next version; each VM applies it within 2 s.
    void publish();

    /// Removes a leaving VM once all buckets are handed over, or after 30 s.
    void finish_leaving(vm_id id, std::uint32_t flows_per_step);

    /// Counts the flows that no longer reach their target: their packets reach
    /// another one, or are lost in each of three attempts one second apart.
    /// With `fault_time`, flows that were settled at that time are also counted
    /// separately.
    flow_counts assess(std::optional<instant> fault_time = std::nullopt);

    /// Prints each flow that `assess` counted as broken, and the VM at which it
    /// was opened.
    void trace(const char* label, instant event_time) const;

    [[nodiscard]] std::vector<vm_id> vms() const
    {
        return vms_;
    }
    [[nodiscard]] instant now() const
    {
        return network.now();
    }

    /// The objects that the next `publish` publishes.
    published_objects objects;
    /// The objects last published.
    published_objects in_effect;
    std::unique_ptr<simulated_fleet> fleet;
    observed_carrier network;
    testing::caller_model callers;
    random_source random;

private:
    struct broken_flow
    {
        testing::simulated_flow flow;
        testing::packet_outcome last_end;
    };
    /// The VM that selected the target of a flow's opening packet.
    std::unordered_map<flow_key, vm_id> opening_vms_;
    std::vector<broken_flow> broken_;
    std::vector<vm_id> vms_;
};

service_id service_of(target_id id);

data_centre_id data_centre_of(const published_objects& objects, target_id id);

published_objects make_objects(const site_size& size);

inline constexpr endpoint public_endpoint{ipv4_address{0xc6336401}, 443};

} // namespace catkinkeel::measure
