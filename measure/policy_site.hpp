#pragma once

// A user's site as the scenarios of measure/policy see it: published objects, a
// fleet of entry VMs, callers, and counts of what went wrong.

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

/// Sizes of a site. The first service is the one that callers open; a moved
/// reference leads to the second.
struct site_size
{
    const char* name;
    std::uint16_t data_centres;
    std::uint32_t vms_per_data_centre;
    std::uint32_t first_targets;
    std::uint32_t second_targets;
    std::uint32_t connections;
};

/// 6 VMs in three data centres; orderdesk 5/5/4 targets, platefiles 4.
inline constexpr site_size exlibris{"exlibris", 3, 2, 14, 4, 2000};
/// 6 VMs in four data centres (2/2/1/1); proof-core 4/4/3/3, render-vault 4.
inline constexpr site_size habimana{"habimana", 4, 0, 14, 4, 2000};
/// 36 VMs in three data centres.
inline constexpr site_size large{"large", 3, 12, 84, 24, 2000};

/// Flows that did not reach their target, by how it came.
struct damage
{
    std::uint64_t flows = 0;
    std::uint64_t broken = 0;
    /// Of the broken ones, those opened 5 s or more before the fault.
    std::uint64_t broken_settled = 0;
    /// Of the broken ones, those whose packets are dropped for good.
    std::uint64_t stalled = 0;
    std::uint64_t misdirected = 0;
    /// New flows that got a refusal, since the site began.
    std::uint64_t refused = 0;

    damage& operator+=(const damage& other);

    friend auto operator<=>(const damage&, const damage&) = default;
};

class site
{
public:
    site(const site_size& size, const policy& which,
         const fleet_settings& settings);

    /// Opens `count` flows in `time`, then runs until their exceptions are
    /// replicated or 60 s have passed.
    void fill(std::uint32_t count, duration time);

    /// Runs for `time` in steps of 100 ms: opens `rate` flows and sends one
    /// packet of each of a random part of the flows in each step.
    void run(duration time, std::uint32_t rate, double part = 0.1);

    /// As `run`, and ends as many flows as it opens.
    void run_level(duration time, std::uint32_t rate, double part);

    /// Publishes `objects` as the next version; VMs get it within 2 s.
    void publish();

    /// Lets a leaving VM go when it has handed over all buckets, or after 30 s.
    void finish_leaving(vm_id id, std::uint32_t rate);

    /// Counts flows that no longer reach their target: at another one, or lost
    /// in each of three attempts a second apart. `fault` splits off settled
    /// flows.
    damage assess(std::optional<instant> fault = std::nullopt);

    /// Prints each flow that `assess` counts as broken, and where it was
    /// opened.
    void trace(const char* what, instant event) const;

    [[nodiscard]] std::vector<vm_id> vms() const
    {
        return vms_;
    }
    [[nodiscard]] instant now() const
    {
        return watched.now();
    }

    /// The next set, to be edited; `in_effect` is as last published.
    published_objects objects;
    published_objects in_effect;
    std::unique_ptr<fleet> machines;
    watched_carrier watched;
    testing::caller_model callers;
    random_source random;

private:
    struct broken_flow
    {
        testing::open_flow flow;
        testing::packet_end last;
    };
    /// Which VM decided a flow's opening packet.
    std::unordered_map<flow_key, vm_id> opened_by_;
    std::vector<broken_flow> broken_;
    std::vector<vm_id> vms_;
};

service_id service_of(target_id id);

data_centre_id data_centre_of(const published_objects& objects, target_id id);

published_objects make_objects(const site_size& size);

inline constexpr endpoint public_endpoint{ipv4_address{0xc6336401}, 443};

} // namespace catkinkeel::measure
