#pragma once

// Simulated site for the balancer tests, modelled on the sample site Exlibris:
// six VMs and 18 targets.

#include "catkinkeel/testing/caller_model.hpp"
#include "catkinkeel/testing/fake_balancer_group.hpp"

#include <cstdint>

namespace catkinkeel::testing
{

inline const endpoint public_endpoint{ipv4_address{0xc6336401}, 443};

/// Two services with 14 and 4 targets in three data centres; the reference
/// points to the first.
inline published_objects exlibris()
{
    published_objects objects;
    objects.version = {1};
    objects.services = {{.id = {1}, .name = "orderdesk"},
                        {.id = {2}, .name = "platefiles"}};
    for (std::uint16_t dc = 1; dc <= 3; ++dc)
    {
        objects.data_centres.push_back({.id = {dc}, .region = {1}});
    }
    for (std::uint32_t n = 0; n < 18; ++n)
    {
        objects.targets.push_back(
            {.id = {100 + n},
             .service = {n < 14 ? 1U : 2U},
             .data_centre = {static_cast<std::uint16_t>(n % 3 + 1)}});
    }
    objects.references = {
        {.id = {1}, .public_endpoint = public_endpoint, .service = {1}}};
    return objects;
}

inline service_id service_of(target_id id)
{
    return {id.value < 114 ? 1U : 2U};
}

/// Six VMs, two per data centre, with simulated callers.
struct site
{
    explicit site(balancer_group_settings settings = {})
        : group(settings), callers(group, public_endpoint, service_of)
    {
        for (std::uint16_t dc = 1; dc <= 3; ++dc)
        {
            for (std::uint32_t n = 1; n <= 2; ++n)
            {
                group.add_vm({dc * 10U + n}, {dc});
            }
        }
        group.publish(objects, {});
        group.run_for(5s);
    }

    /// Runs for `time`; every 100 ms it opens `rate` flows and sends packets on
    /// some of the open ones.
    void run(duration time, std::uint32_t rate = 10)
    {
        for (duration passed{}; passed < time; passed += 100ms)
        {
            group.run_for(100ms);
            callers.open(rate, std::nullopt);
            callers.send_on_random_flows(0.3);
        }
    }

    /// Whether every bucket reaches its owner within 20 s, the time that a
    /// graceful stop takes with the control budget.
    bool settles()
    {
        for (int second = 0; second < 20 && !group.holdings_settled(); ++second)
        {
            run(1s);
        }
        return group.holdings_settled();
    }

    void publish()
    {
        ++objects.version.value;
        in_effect = objects;
        group.publish(objects, 2s);
    }

    published_objects objects = exlibris();
    /// The set last published; `objects` is the next one, being edited.
    published_objects in_effect = objects;
    fake_balancer_group group;
    caller_model callers;
};

} // namespace catkinkeel::testing
