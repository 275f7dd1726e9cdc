#pragma once

// A simulated site for the scenarios of measure/policy: published objects,
// entry VMs that run the tested policy, callers, and a check of which flows
// still reach their targets.

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

/// Size of a site. The site's only reference leads to the first service, until
/// a scenario moves it to the second. The targets of each service are assigned
/// to the data centres in turn.
struct site_size
{
    const char* name;
    std::uint16_t data_centre_count;
    /// If 0, the site has six VMs in total, which are assigned to the data
    /// centres in turn.
    std::uint32_t vms_per_data_centre;
    std::uint32_t first_service_target_count;
    std::uint32_t second_service_target_count;
    /// Maximum number of connections of each target.
    std::uint32_t target_connection_limit;
};

/// 6 VMs in three data centres. The first service has 14 targets (5, 5 and 4
/// per data centre), the second has 4 (2, 1 and 1).
inline constexpr site_size exlibris{"exlibris", 3, 2, 14, 4, 2000};
/// 6 VMs in four data centres (2, 2, 1 and 1). The first service has 14 targets
/// (4, 4, 3 and 3 per data centre), the second has 4 (one each).
inline constexpr site_size habimana{"habimana", 4, 0, 14, 4, 2000};
/// 36 VMs in three data centres.
inline constexpr site_size large{"large", 3, 12, 84, 24, 2000};

/// Result of `site::assess`, which checks whether the open flows still reach
/// the targets that they were opened at.
struct flow_counts
{
    /// Open flows that had been assigned a target.
    std::uint64_t checked_flows = 0;
    /// Flows of which a packet reached another target, now or earlier, or of
    /// which no packet is delivered any more (`stalled`).
    std::uint64_t broken = 0;
    /// Broken flows that were settled, that is open for at least 5 s, at the
    /// `fault_time` passed to `assess`. 0 if none was passed.
    std::uint64_t broken_settled = 0;
    /// Broken flows that didn't reach their target in any of the three attempts
    /// of `assess`.
    std::uint64_t stalled = 0;
    /// Packets that reached a target of another service than that of their flow
    /// since the start of the simulation.
    std::uint64_t misdirected = 0;
    /// Flows whose opening was refused, since the start of the simulation.
    std::uint64_t refused = 0;

    flow_counts& operator+=(const flow_counts& other);

    friend auto operator<=>(const flow_counts&, const flow_counts&) = default;
};

class site
{
public:
    site(const site_size& size, const policy& tested_policy,
         const fleet_settings& settings);

    /// Opens `count` flows to the first service within `run_time`, then runs
    /// until no VM has exceptions left to replicate, but for at most 60 s.
    void fill(std::uint32_t count, duration run_time);

    /// Runs for `run_time` in steps of 100 ms. Each step opens `flows_per_step`
    /// flows and sends one packet for a random `fraction` of the flows.
    void run(duration run_time, std::uint32_t flows_per_step,
             double fraction = 0.1);

    /// As `run`, but each step also closes random flows: on average as many as
    /// the step opens, so that the number of open flows stays about the same.
    void run_at_constant_load(duration run_time, std::uint32_t flows_per_step,
                              double fraction);

    /// Publishes `next_objects` with the next version number. Each VM applies
    /// them after a random delay of up to 2 s.
    void publish();

    /// Runs with `flows_per_step` until the buckets of the leaving VM are
    /// handed over, but for at most 30 s, then removes it.
    void finish_leaving(vm_id leaving_vm, std::uint32_t flows_per_step);

    /// Sends a packet of each flow and counts the flows that no longer reach
    /// their target. If the packet is not delivered, up to two further attempts
    /// follow, 1 s apart, so the call advances the simulation by up to 2 s.
    /// `fault_time` is the time at which a flow must have been open for 5 s to
    /// count in `broken_settled`.
    flow_counts assess(std::optional<instant> fault_time = std::nullopt);

    /// Prints each flow that `assess` counted as broken, the VM that selected
    /// its target, its age at `event_time` and the outcome of its last packet.
    /// Each line starts with `label`.
    void print_broken_flows(const char* label, instant event_time) const;

    [[nodiscard]] std::vector<vm_id> vms() const
    {
        return vms_;
    }
    [[nodiscard]] instant now() const
    {
        return forwarder.now();
    }

    /// What the next `publish` publishes. Scenarios modify it directly.
    published_objects next_objects;
    /// What was published last; VMs may not have applied it yet.
    published_objects last_published_objects;
    std::unique_ptr<simulated_fleet> fleet;
    /// Sends the packets of all callers to the VMs. A scenario may replace its
    /// `on_packet_outcome`, which records `opening_vms_`.
    observed_forwarder forwarder;
    testing::caller_model callers;
    random_source random;

private:
    struct broken_flow
    {
        testing::simulated_flow flow;
        testing::packet_outcome last_outcome;
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
