#include "catkinkeel/testing/vm_network.hpp"
#include "catkinkeel/vm/parse_vm_list.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace catkinkeel;
using catkinkeel::testing::vm_network;
using catkinkeel::testing::vm_network_settings;

namespace
{

vm_id vm(std::uint32_t value)
{
    return {value};
}

vm_network make_fleet(std::uint32_t count, std::uint64_t seed,
                      vm_network_settings settings = {})
{
    vm_network fleet(settings, seed);
    for (std::uint32_t i = 1; i <= count; ++i)
    {
        fleet.start(vm(i));
    }
    fleet.publish_list();
    return fleet;
}

vm_network make_converged_fleet(std::uint32_t count, std::uint64_t seed,
                                vm_network_settings settings = {})
{
    vm_network fleet = make_fleet(count, seed, settings);
    REQUIRE(fleet.run_until(20s, [&] { return fleet.converged(); }));
    fleet.run_for(5s);
    return fleet;
}

} // namespace

TEST_CASE("a fleet that starts at once converges within seconds")
{
    // Guards against a joiner that discovers only one VM per probe period.
    for (const std::uint32_t count : {6U, 36U, 144U})
    {
        vm_network fleet = make_fleet(count, count);
        CAPTURE(count);
        CHECK(fleet.run_until(10s, [&] { return fleet.converged(); }));
    }
}

TEST_CASE("every VM sees a death within 5 s at 6 and 8 s at 36 VMs")
{
    // Guards against a probe round or suspicion that skips an unresponsive VM.
    // Each VM probes every other one at least once in two rounds; 1.5 s of
    // suspicion and the gossip follow.
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        for (const auto& [count, limit] :
             {std::pair{6U, duration(5s)}, std::pair{36U, duration(8s)}})
        {
            vm_network fleet = make_converged_fleet(count, seed);
            fleet.kill(vm(3));
            CAPTURE(seed, count);
            CHECK(fleet.run_until(
                limit,
                [&] { return fleet.all_views_show(vm(3), liveness::dead); }));
            for (std::uint32_t i = 1; i <= count; ++i)
            {
                CHECK((i == 3 || fleet.all_views_show(vm(i), liveness::alive)));
            }
        }
    }
}

TEST_CASE("lost, late and repeated messages do not make a live VM dead")
{
    // Guards against a VM declared dead after a single lost probe. The loss is
    // far above that of TCP between data centres.
    vm_network fleet = make_converged_fleet(
        12, 7, {.loss = 0.1, .duplication = 0.2, .max_delay = 60ms});
    bool died = false;
    fleet.run_until(120s,
                    [&]
                    {
                        for (std::uint32_t i = 1; i <= 12; ++i)
                        {
                            for (const member& each :
                                 fleet.at(vm(i)).view().members)
                            {
                                died = died || each.state == liveness::dead;
                            }
                        }
                        return died;
                    });
    CHECK_FALSE(died);
}

TEST_CASE(
    "an unlisted joiner that sends its own state is seen by the whole fleet")
{
    // Guards against a joiner that is ignored until the other VMs read a list
    // that contains it; the list lags.
    vm_network fleet = make_converged_fleet(12, 8);
    fleet.start(vm(50));
    fleet.publish_list({fleet.now(),
                        {{vm(2),
                          {1},
                          vm_network::make_member(vm(2)).control,
                          vm_network::make_member(vm(2)).packets,
                          listed_vm_state::live}}});
    CHECK(fleet.run_until(5s, [&] { return fleet.converged(); }));
}

TEST_CASE("a restarted VM overrides updates from before its restart")
{
    // Guards against a restarted VM that stays dead because its incarnation is
    // not above the one that was declared dead.
    vm_network fleet = make_converged_fleet(6, 9);
    fleet.kill(vm(3));
    REQUIRE(fleet.run_until(
        10s, [&] { return fleet.all_views_show(vm(3), liveness::dead); }));
    fleet.start(vm(3));
    fleet.publish_list();
    CHECK(fleet.run_until(10s, [&] { return fleet.converged(); }));
    CHECK(fleet.at(vm(3)).view().find(vm(3))->incarnation > 1);
}

TEST_CASE("a VM that leaves is seen as left, and its restart as alive")
{
    vm_network fleet = make_converged_fleet(12, 10);
    fleet.shut_down(vm(4));
    CHECK(fleet.run_until(
        5s, [&] { return fleet.all_views_show(vm(4), liveness::left); }));
    CHECK_FALSE(fleet.at(vm(4)).may_open_flows(fleet.now()));
    CHECK(fleet.at(vm(1)).possibly_alive({1}, fleet.now()).size() == 11);
    fleet.kill(vm(4));
    fleet.start(vm(4));
    fleet.publish_list();
    CHECK(fleet.run_until(10s, [&] { return fleet.converged(); }));
}

TEST_CASE("a partition heals without the list, whichever side is larger")
{
    // Guards against two sides that consider each other dead and never probe.
    vm_network fleet = make_converged_fleet(12, 11);
    for (std::uint32_t i = 1; i <= 4; ++i)
    {
        fleet.set_partition(vm(i), 1);
    }
    fleet.run_for(30s);
    CHECK(fleet.state_in_view(vm(1), vm(9)) == liveness::dead);
    CHECK(fleet.state_in_view(vm(9), vm(1)) == liveness::dead);
    CHECK(fleet.state_in_view(vm(1), vm(2)) == liveness::alive);
    fleet.heal();
    CHECK(fleet.run_until(15s, [&] { return fleet.converged(); }));
}

TEST_CASE("a paused VM opens no flow until a peer acknowledges a new probe")
{
    // Guards against an owner that resumes with an outdated view while its
    // standby holds its buckets. Acknowledgements queued during the pause must
    // not count either.
    vm_network fleet = make_converged_fleet(6, 12);
    REQUIRE(fleet.at(vm(2)).may_open_flows(fleet.now()));
    fleet.pause(vm(2));
    fleet.run_for(10s);
    CHECK_FALSE(fleet.at(vm(2)).may_open_flows(fleet.now()));
    CHECK(fleet.state_in_view(vm(1), vm(2)) == liveness::dead);
    fleet.resume(vm(2));
    CHECK_FALSE(fleet.at(vm(2)).may_open_flows(fleet.now()));
    CHECK(fleet.run_until(
        2s, [&] { return fleet.at(vm(2)).may_open_flows(fleet.now()); }));
    CHECK(fleet.run_until(10s, [&] { return fleet.converged(); }));
}

TEST_CASE(
    "an isolated VM stops opening flows before the others consider it dead")
{
    // Guards against two owners of one bucket: the isolated VM must stop before
    // its standby takes over.
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        vm_network fleet = make_converged_fleet(6, seed);
        fleet.set_partition(vm(5), 1);
        const auto stopped_after = fleet.run_until(
            5s, [&] { return !fleet.at(vm(5)).may_open_flows(fleet.now()); });
        REQUIRE(stopped_after);
        CHECK(*stopped_after <= 1100ms);
        for (std::uint32_t i = 1; i <= 6; ++i)
        {
            CHECK(fleet.state_in_view(vm(i), vm(5)) != liveness::dead);
        }
    }
}

TEST_CASE("a VM keeps opening flows while another one dies")
{
    // Guards against a gap in acknowledgements when the probed VM is the one
    // that died.
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        vm_network fleet = make_converged_fleet(6, seed);
        fleet.kill(vm(5));
        const auto refused_after = fleet.run_until(
            10s, [&] { return !fleet.at(vm(1)).may_open_flows(fleet.now()); });
        CAPTURE(seed);
        CHECK_FALSE(refused_after);
    }
}

TEST_CASE("a paused VM declares no VM dead for messages missed in the pause")
{
    // Guards against timers that expire during the VM's own pause.
    membership paused({}, random_source(3));
    paused.start(vm_network::make_member(vm(1)));
    const auto update = [](std::uint32_t id, liveness state)
    {
        const member about = vm_network::make_member(vm(id));
        return member_update{
            about.id, about.data_centre, about.control, about.packets, 4,
            state};
    };
    const auto state_of = [&](std::uint32_t id)
    {
        return paused.view().find(vm(id))->state;
    };
    instant now{};
    CHECK(paused.tick(now).empty());
    const auto answers = paused.handle(
        vm(2),
        probe{
            1, {}, {update(2, liveness::alive), update(3, liveness::suspect)}},
        now);
    CHECK(answers.size() == 1);
    now += 600ms;
    CHECK_FALSE(paused.tick(now).empty());
    now += 10s;
    CHECK_FALSE(paused.tick(now).empty());
    CHECK(state_of(2) == liveness::alive);
    CHECK(state_of(3) == liveness::suspect);
    for (duration step{}; step < 1600ms; step += 100ms)
    {
        static_cast<void>(paused.tick(now + step));
    }
    CHECK(state_of(3) == liveness::dead);
}

TEST_CASE("a VM reported dead refutes it to the sender at once")
{
    // Guards against a resumed VM that stays dead until gossip has reached all.
    membership resumed({}, random_source(4));
    const member self = vm_network::make_member(vm(1));
    const member other = vm_network::make_member(vm(2));
    resumed.start(self);
    const auto out =
        resumed.handle(vm(2),
                       probe_ack{1,
                                 {},
                                 {{other.id, other.data_centre, other.control,
                                   other.packets, 1, liveness::alive},
                                  {self.id, self.data_centre, self.control,
                                   self.packets, 7, liveness::dead}}},
                       instant{});
    REQUIRE(out.size() == 1);
    CHECK(out[0].to == vm(2));
    const auto& sent_updates = std::get<probe>(out[0].content).updates;
    REQUIRE_FALSE(sent_updates.empty());
    CHECK(sent_updates.front().id == vm(1));
    CHECK(sent_updates.front().incarnation == 8);
    CHECK(sent_updates.front().state == liveness::alive);
}

TEST_CASE("a VM opens flows without peers only if the list has no other VM")
{
    membership single({}, random_source(1));
    single.start(vm_network::make_member(vm(1)));
    const instant now{};
    CHECK(single.tick(now).empty());
    CHECK_FALSE(single.may_open_flows(now));
    const listed_vm self{vm(1), {1}, {}, {}, listed_vm_state::live};
    single.apply_vm_list({now, {self}}, now);
    CHECK(single.may_open_flows(now));
    CHECK_FALSE(single.may_open_flows(now + 1100ms));
    single.apply_vm_list({now, {self, {vm(2), {1}, {}, {}}}}, now);
    CHECK_FALSE(single.may_open_flows(now));
    CHECK(single.view().find(vm(2))->state == liveness::dead);
    CHECK(single.possibly_alive({1}, now) == std::vector{vm(1), vm(2)});
    CHECK(single.listed_since() == now);
}

TEST_CASE("a dead VM is removed from the view only when it is no longer listed")
{
    // Guards against a view that grows without limit at 140 failures a day.
    vm_network fleet = make_converged_fleet(4, 13);
    fleet.kill(vm(2));
    fleet.run_for(400s);
    CHECK(fleet.state_in_view(vm(1), vm(2)) == liveness::dead);
    CHECK(fleet.at(vm(1)).possibly_alive({1}, fleet.now()).size() == 4);
    fleet.publish_list();
    fleet.run_for(10s);
    CHECK_FALSE(fleet.state_in_view(vm(1), vm(2)));
    CHECK(fleet.at(vm(1)).possibly_alive({1}, fleet.now()).size() == 3);
}

TEST_CASE("peers report the set version they have in effect")
{
    vm_network fleet = make_converged_fleet(3, 14);
    CHECK(fleet.at(vm(1)).contact(vm(2))->in_effect == set_version{0});
    CHECK(fleet.at(vm(1)).contact(vm(2))->last_acknowledged);
    CHECK(fleet.at(vm(1)).introduction_complete(fleet.now()));
    CHECK_FALSE(fleet.at(vm(1)).contact(vm(9)));
    membership peer({}, random_source(2));
    peer.start(vm_network::make_member(vm(2)));
    peer.set_reported_version({7});
    const member joiner = vm_network::make_member(vm(3));
    const auto answer =
        peer.handle(vm(3),
                    probe{5,
                          {6},
                          {{joiner.id, joiner.data_centre, joiner.control,
                            joiner.packets, 1, liveness::alive}}},
                    instant{});
    REQUIRE(answer.size() == 1);
    CHECK(std::get<probe_ack>(answer[0].content).nonce == 5);
    CHECK(std::get<probe_ack>(answer[0].content).in_effect == set_version{7});
    CHECK(peer.contact(vm(3))->in_effect == set_version{6});
}

TEST_CASE("the VM list parser accepts the documented form")
{
    const auto list = parse_vm_list(R"(
[[vm]]
id = 9
data_centre = 2
control = "127.0.0.9:7400"
packets = "127.0.0.9:6080"
state = "leaving"
[[vm]]
id = 7
data_centre = 2
control = "127.0.0.7:7400"
packets = "127.0.0.7:6080"
)",
                                    instant{3s});
    REQUIRE(list);
    CHECK(list.value().read_at == instant{3s});
    REQUIRE(list.value().vms.size() == 2);
    CHECK(list.value().vms[0].id == vm(7));
    CHECK(list.value().vms[1].state == listed_vm_state::leaving);
}

TEST_CASE("one bad entry refuses the whole VM list")
{
    // Guards against a truncated or misread list that is taken for removals.
    const std::string good = "[[vm]]\nid = 7\ndata_centre = 2\n"
                             "control = \"127.0.0.7:7400\"\n"
                             "packets = \"127.0.0.7:6080\"\n";
    REQUIRE(parse_vm_list(good, {}));
    for (const std::string& bad :
         {std::string("x = "), std::string(), std::string("vm = 3"),
          std::string("vm = [3]"), good + good, good + "state = \"gone\"\n",
          good + "[[vm]]\nid = -1\n", good + "[[vm]]\nid = 4294967296\n",
          good + "[[vm]]\nid = 8\ndata_centre = 2\ncontrol = \"x\"\n"})
    {
        CAPTURE(bad);
        CHECK_FALSE(parse_vm_list(bad, {}));
    }
}
