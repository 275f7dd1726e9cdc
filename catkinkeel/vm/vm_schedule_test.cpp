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

/// A fault, recovery or other action of a random sequence.
struct action
{
    const char* name;
    void (*apply)(vm_network& fleet, vm_id id);
};

void restart(vm_network& fleet, vm_id id)
{
    fleet.kill(id);
    fleet.start(id);
    fleet.publish_list();
}

constexpr action actions[] = {
    {"kill",
     [](vm_network& fleet, vm_id id)
     {
         fleet.kill(id);
     }},
    {"restart", restart},
    {"pause",
     [](vm_network& fleet, vm_id id)
     {
         fleet.pause(id);
     }},
    {"resume",
     [](vm_network& fleet, vm_id id)
     {
         fleet.resume(id);
     }},
    {"partition 0",
     [](vm_network& fleet, vm_id id)
     {
         fleet.set_partition(id, 0);
     }},
    {"partition 1",
     [](vm_network& fleet, vm_id id)
     {
         fleet.set_partition(id, 1);
     }},
    {"shut down",
     [](vm_network& fleet, vm_id id)
     {
         if (fleet.running(id))
         {
             fleet.shut_down(id);
         }
     }},
    {"publish list",
     [](vm_network& fleet, vm_id)
     {
         fleet.publish_list();
     }},
};

} // namespace

TEST_CASE("after any sequence of faults every running VM is seen as alive")
{
    // Guards against a live VM that stays dead in a view for good: because its
    // incarnation is not raised, rejoin probes stop, or an update from before
    // its restart prevails.
    CHECK(rc::check(
        []
        {
            vm_network fleet(
                {.loss = 0.05, .duplication = 0.1, .max_delay = 40ms},
                *rc::gen::arbitrary<std::uint64_t>());
            for (std::uint32_t i = 1; i <= fleet_size; ++i)
            {
                fleet.start({i});
            }
            fleet.publish_list();
            const auto action_count = *rc::gen::inRange(1, 12);
            for (int i = 0; i < action_count; ++i)
            {
                const auto action_index =
                    *rc::gen::inRange<std::size_t>(0, std::size(actions));
                const vm_id id{
                    *rc::gen::inRange<std::uint32_t>(1, fleet_size + 1)};
                fleet.run_for(100ms * *rc::gen::inRange(0, 60));
                actions[action_index].apply(fleet, id);
            }
            fleet.heal();
            fleet.set_loss(0);
            for (std::uint32_t i = 1; i <= fleet_size; ++i)
            {
                fleet.resume({i});
                // A VM that left does not rejoin without a restart.
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
