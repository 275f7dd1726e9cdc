#include "catkinkeel/testing/vm_network.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdint>
#include <vector>

using namespace catkinkeel;
using catkinkeel::testing::vm_network;

namespace
{

constexpr std::uint32_t fleet_size = 7;

/// One row per fault that a schedule may contain.
struct fault
{
    const char* name;
    void (*inflict)(vm_network& fleet, vm_id on);
};

void restart(vm_network& fleet, vm_id on)
{
    fleet.kill(on);
    fleet.start(on);
    fleet.publish_list();
}

constexpr fault faults[] = {
    {"kill",
     [](vm_network& fleet, vm_id on)
     {
         fleet.kill(on);
     }},
    {"restart", restart},
    {"pause",
     [](vm_network& fleet, vm_id on)
     {
         fleet.pause(on);
     }},
    {"resume",
     [](vm_network& fleet, vm_id on)
     {
         fleet.resume(on);
     }},
    {"side 0",
     [](vm_network& fleet, vm_id on)
     {
         fleet.set_side(on, 0);
     }},
    {"side 1",
     [](vm_network& fleet, vm_id on)
     {
         fleet.set_side(on, 1);
     }},
    {"shut down",
     [](vm_network& fleet, vm_id on)
     {
         if (fleet.running(on))
         {
             fleet.shut_down(on);
         }
     }},
    {"list",
     [](vm_network& fleet, vm_id)
     {
         fleet.publish_list();
     }},
};

} // namespace

TEST_CASE("after any schedule of faults every running VM is seen as alive")
{
    // Guards against a state from which a live VM never comes back: stuck
    // incarnations, forgotten rejoin probes, news of a former life.
    CHECK(rc::check(
        []
        {
            vm_network fleet(
                {.loss = 0.05, .duplication = 0.1, .longest_delay = 40ms},
                *rc::gen::arbitrary<std::uint64_t>());
            for (std::uint32_t i = 1; i <= fleet_size; ++i)
            {
                fleet.start({i});
            }
            fleet.publish_list();
            const auto length = *rc::gen::inRange(1, 12);
            for (int i = 0; i < length; ++i)
            {
                const auto kind =
                    *rc::gen::inRange<std::size_t>(0, std::size(faults));
                const vm_id on{
                    *rc::gen::inRange<std::uint32_t>(1, fleet_size + 1)};
                fleet.run_for(100ms * *rc::gen::inRange(0, 60));
                faults[kind].inflict(fleet, on);
            }
            fleet.heal();
            fleet.set_loss(0);
            for (std::uint32_t i = 1; i <= fleet_size; ++i)
            {
                fleet.resume({i});
                // A VM that left does not come back by itself.
                if (!fleet.running({i}) ||
                    fleet.at({i}).view().find({i})->state == liveness::left)
                {
                    restart(fleet, {i});
                }
            }
            fleet.publish_list();
            RC_ASSERT(fleet.run_until(60s, [&] { return fleet.converged(); })
                          .has_value());
        }));
}
