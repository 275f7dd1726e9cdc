#include "catkinkeel/flow/test_site.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <functional>
#include <initializer_list>
#include <string>
#include <vector>

using namespace catkinkeel;
using namespace catkinkeel::testing;

TEST_CASE("a standby with an older set sends no packet to a wrong service")
{
    // Guards against a standby that does not know of a moved reference when it
    // takes over: the owner opens flows with the new service and fails before
    // its standby has received the set.
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        INFO("seed " << seed);
        site s({.seed = seed});
        s.run(2s);
        s.objects.references[0].service = {2};
        ++s.objects.version.value;
        for (const std::uint32_t vm : {11U, 21U, 31U})
        {
            s.group.install_set({vm}, s.objects);
        }
        s.run(500ms, 40);
        s.group.kill({11});
        s.run(4s, 20);
        s.publish();
        s.run(3s, 20);
        s.callers.send_on_all_flows();
        CHECK(s.callers.counts().misdirected == 0);
    }
}

TEST_CASE("a set applied after a failover sends no packet to a wrong service")
{
    // Guards against a VM that takes over with the old set, receives the move
    // of the reference later and then delivers packets of flows without a
    // record by the wrong table.
    site s;
    s.run(2s);
    s.objects.references[0].service = {2};
    ++s.objects.version.value;
    s.group.install_set({11}, s.objects);
    s.run(300ms, 40);
    s.group.kill({11});
    s.run(2500ms, 20);
    s.publish();
    s.run(4s, 20);
    s.callers.send_on_all_flows();
    CHECK(s.callers.counts().misdirected == 0);
}

TEST_CASE("a target identifier reused by another service gets no old flow")
{
    // Guards against flow records and base tables that still select a target
    // whose identifier now denotes another backend server.
    site s;
    s.run(2s);
    s.objects.targets[3].service = {2};
    s.objects.targets[3].address = {{0x7f000009}, 1};
    s.publish();
    s.run(3s);
    const auto current_service_of = [&](target_id id)
    {
        return id.value == 103 ? service_id{2} : service_of(id);
    };
    for (const simulated_flow& flow : s.callers.flows())
    {
        const packet_outcome end = s.group.send_to_random_vm(flow.facts);
        if (const auto* reached = std::get_if<delivered>(&end))
        {
            REQUIRE(current_service_of(reached->target) == service_id{1});
        }
    }
}

TEST_CASE("a VM that was paused takes no bucket over from outdated replicas")
{
    // Guards against a standby that is paused while the owner fails and another
    // VM takes the buckets over, and that uses its old replicas when it
    // resumes.
    site s;
    s.run(5s);
    s.objects.targets[0].wish = target_wish::drain;
    s.publish();
    s.run(4s);
    s.callers.mark_settled();
    s.group.pause({12});
    s.run(3s);
    s.group.kill({11});
    s.run(8s);
    s.group.resume({12});
    s.run(5s);
    s.callers.send_on_all_flows();
    CHECK(s.callers.counts().misdirected == 0);
    CHECK(s.settles());
}

TEST_CASE("both sides of a partition misdirect no flow of a moved reference")
{
    // Guards against the two sides using different services for one flow. Each
    // side takes over the other's buckets and opens flows that the other does
    // not track, with the former or the new service, and routers distribute the
    // packets of a flow over both sides.
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        INFO("seed " << seed);
        site s({.seed = seed});
        s.run(3s);
        s.group.partition(
            [](vm_id a, vm_id b)
            { return (a.value / 10 == 2) != (b.value / 10 == 2); });
        s.run(400ms);
        s.objects.references[0].service = {2};
        s.publish();
        s.run(6s);
        s.group.partition(nullptr);
        s.run(5s);
        s.callers.send_on_all_flows();
        CHECK(s.callers.counts().misdirected == 0);
    }
}

TEST_CASE("a VM that regains buckets without a handover misdirects no flow")
{
    // Guards against a regained bucket whose flows are delivered by an outdated
    // base table. Data centre 3 goes out of service and returns while 2 goes
    // out; VMs in 2 that took buckets over without a handover do not answer the
    // claims from 3 in time.
    for (const std::uint64_t seed : {2ULL, 17ULL, 465724438660366747ULL})
    {
        INFO("seed " << seed);
        site s({.seed = seed});
        s.run(1s, 20);
        s.objects.references[0].service = {2};
        s.publish();
        s.run(3s);
        s.objects.targets[3].wish = target_wish::drain;
        s.publish();
        s.run(3s);
        s.objects.data_centres[2].wish = data_centre_wish::out_of_service;
        s.publish();
        s.run(400ms);
        s.publish();
        s.run(3s);
        s.objects.data_centres[2].wish = data_centre_wish::in_service;
        s.objects.data_centres[1].wish = data_centre_wish::out_of_service;
        s.publish();
        s.run(6s);
        s.callers.send_on_all_flows();
        CHECK(s.callers.counts().misdirected == 0);
    }
}

TEST_CASE("a holder that is out and ahead by a set misdirects no flow")
{
    // Guards against an owner that takes buckets over from a VM of a data
    // centre that is out of service, because that VM answers no claim for the
    // owner's older set: the VM still opens flows, with a service of which the
    // owner does not know yet.
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        INFO("seed " << seed);
        site s({.seed = seed});
        s.run(2s);
        const auto install = [&](std::initializer_list<std::uint32_t> vms)
        {
            for (const std::uint32_t vm : vms)
            {
                s.group.install_set({vm}, s.objects);
            }
        };
        s.objects.data_centres[0].wish = data_centre_wish::out_of_service;
        ++s.objects.version.value;
        install({21, 22, 31, 32});
        s.run(1s, 20);
        // Each VM has each set, or a newer one, within the propagation delay.
        s.objects.references[0].service = {2};
        ++s.objects.version.value;
        install({11, 12});
        s.run(max_set_propagation_delay - 100ms, 20);
        install({21, 22, 31, 32});
        s.run(8s, 20);
        s.callers.send_on_all_flows();
        CHECK(s.callers.counts().misdirected == 0);
        CHECK(s.settles());
    }
}

TEST_CASE("sets that follow a data centre going out misdirect no flow")
{
    // Guards against the same fault in a schedule that a random test found:
    // three sets follow one another before all VMs have each of them.
    site s({.seed = 189951});
    s.run(1s, 20);
    const auto publish_and_run = [&](std::uint32_t service, duration time)
    {
        s.objects.references[0].service = {service};
        s.publish();
        s.run(time, 10);
    };
    s.objects.data_centres[0].wish = data_centre_wish::out_of_service;
    publish_and_run(1, 400ms);
    publish_and_run(1, 400ms);
    publish_and_run(2, 3s);
    publish_and_run(1, 400ms);
    publish_and_run(1, 400ms);
    publish_and_run(1, 400ms);
    CHECK(s.callers.counts().misdirected == 0);
}

TEST_CASE("no packet is relayed into a data centre that is out after 3 s")
{
    // Guards against VMs that keep relaying packets to former holders there.
    site s;
    s.run(3s);
    s.objects.data_centres[0].wish = data_centre_wish::out_of_service;
    s.publish();
    s.group.run_for(3s);
    s.group.clear_relay_counts();
    s.run(3s);
    for (const std::uint32_t vm : {11U, 12U})
    {
        CHECK(s.group.relay_count({vm}) == 0);
    }
    CHECK(s.callers.counts().misdirected == 0);
}

TEST_CASE("new flows are served within one second while a data centre goes out")
{
    // Guards against a new owner that waits too long for the handover by former
    // holders; packets without a flow record are dropped meanwhile.
    site s;
    s.run(3s);
    const caller_counts before = s.callers.counts();
    s.objects.data_centres[1].wish = data_centre_wish::out_of_service;
    s.publish();
    s.run(8s, 20);
    s.objects.data_centres[1].wish = data_centre_wish::in_service;
    s.publish();
    s.run(10s, 20);
    const caller_counts& after = s.callers.counts();
    const auto opened = after.opened - before.opened;
    const auto in_time = after.served_within_1s - before.served_within_1s;
    CHECK(after.refused == 0);
    CHECK(static_cast<double>(in_time) >= 0.999 * static_cast<double>(opened));
}

namespace
{

/// One event of a random schedule.
struct schedule_event
{
    const char* name;
    void (*apply)(site&, std::uint32_t);
};

vm_id vm_number(std::uint32_t n)
{
    return {(n % 3 + 1) * 10 + (n / 3) % 2 + 1};
}

const std::vector<schedule_event>& schedule_events()
{
    static const std::vector<schedule_event> events{
        {"move",
         [](site& s, std::uint32_t n)
         {
             s.objects.references[0].service = {n % 2 + 1};
         }},
        {"drain",
         [](site& s, std::uint32_t n)
         {
             s.objects.targets[n % 18].wish = target_wish::drain;
         }},
        {"undrain",
         [](site& s, std::uint32_t n)
         {
             s.objects.targets[n % 18].wish = target_wish::serve;
         }},
        {"data centre out",
         [](site& s, std::uint32_t n)
         {
             for (data_centre& each : s.objects.data_centres)
             {
                 each.wish = data_centre_wish::in_service;
             }
             s.objects.data_centres[n % 3].wish =
                 data_centre_wish::out_of_service;
         }},
        {"data centres in",
         [](site& s, std::uint32_t /*n*/)
         {
             for (data_centre& each : s.objects.data_centres)
             {
                 each.wish = data_centre_wish::in_service;
             }
         }},
        {"kill",
         [](site& s, std::uint32_t n)
         {
             if (s.group.live_vms().size() > 2)
             {
                 s.group.kill(vm_number(n));
             }
         }},
        {"restart",
         [](site& s, std::uint32_t n)
         {
             const vm_id id = vm_number(n);
             s.group.kill(id);
             s.group.add_vm(id, {static_cast<std::uint16_t>(id.value / 10)});
             s.group.install_set(id, s.in_effect);
         }},
        {"pause",
         [](site& s, std::uint32_t n)
         {
             s.group.pause(vm_number(n));
         }},
        {"resume all",
         [](site& s, std::uint32_t /*n*/)
         {
             s.group.resume_all();
         }},
        {"cut a data centre off",
         [](site& s, std::uint32_t n)
         {
             const std::uint32_t dc = n % 3 + 1;
             s.group.partition(
                 [dc](vm_id a, vm_id b)
                 { return (a.value / 10 == dc) != (b.value / 10 == dc); });
         }},
        {"heal",
         [](site& s, std::uint32_t /*n*/)
         {
             s.group.partition(nullptr);
         }},
    };
    return events;
}

} // namespace

TEST_CASE(
    "no schedule of failures and changes sends a packet to a wrong service")
{
    // Guards against combinations of failures and changes that no other test
    // covers. On failure rapidcheck prints the seed and the shrunk schedule
    // needed to reproduce it.
    const bool holds = rc::check(
        [](std::uint64_t seed)
        {
            const auto schedule =
                *rc::gen::container<std::vector<std::pair<int, int>>>(
                    6, rc::gen::pair(
                           rc::gen::inRange<int>(
                               0, static_cast<int>(schedule_events().size())),
                           rc::gen::inRange<int>(0, 18)));
            site s({.seed = seed});
            s.run(1s, 20);
            for (const auto& [event, n] : schedule)
            {
                const schedule_event& chosen =
                    schedule_events()[static_cast<std::size_t>(event)];
                RC_LOG(std::string(chosen.name) + " " + std::to_string(n));
                chosen.apply(s, static_cast<std::uint32_t>(n));
                s.publish();
                s.run(n % 2 == 0 ? 400ms : 3s, 10);
            }
            RC_ASSERT(s.callers.counts().misdirected == 0U);
        });
    CHECK(holds);
}
