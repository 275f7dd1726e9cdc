#pragma once

// The site that the balancer's tests use: Exlibris's six VMs and 18 targets.

#include "catkinkeel/testing/caller_model.hpp"
#include "catkinkeel/testing/fake_group.hpp"

#include <cstdint>

namespace catkinkeel::testing
{

inline const endpoint public_endpoint{ipv4_address{0xc6336401}, 443};

/// Two services of 14 and 4 targets in three data centres; the reference leads
/// to the first.
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

/// Six VMs, two a data centre, with callers.
struct site
{
    explicit site(group_settings settings = {})
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

    /// Runs for `time`, opening `rate` flows and sending some packets each
    /// 100 ms.
    void run(duration time, std::uint32_t rate = 10)
    {
        for (duration passed{}; passed < time; passed += 100ms)
        {
            group.run_for(100ms);
            callers.open(rate, std::nullopt);
            callers.send_some(0.3);
        }
    }

    /// Whether every bucket comes to its owner, within the 20 s that a
    /// graceful stop takes at the control budget.
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
    /// As last published; `objects` is the next set while it is edited.
    published_objects in_effect = objects;
    fake_group group;
    caller_model callers;
};

} // namespace catkinkeel::testing
