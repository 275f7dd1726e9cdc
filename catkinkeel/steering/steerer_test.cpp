#include "catkinkeel/steering/steerer.hpp"
#include "catkinkeel/steering/steering_samples.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace catkinkeel;
using namespace catkinkeel::steering;

namespace
{

/// The steerer of a daemon in data centre "a", with targets in "a" and "b".
class steering_fixture
{
public:
    explicit steering_fixture(std::uint32_t targets_per_data_centre)
        : catalog_(catalog_settings{}),
          steerer_({.data_centre = "a"},
                   std::make_shared<least_cost_policy>(selection_weights{}),
                   random_source(20261204))
    {
        std::vector<metadata_change> changes;
        changes.emplace_back(configuration_published{sample_configuration(
            1, {{443, "orderdesk"}, {444, "platefiles"}})});
        for (std::uint32_t i = 0; i < targets_per_data_centre; ++i)
        {
            for (const char* data_centre_name : {"a", "b"})
            {
                const std::string name = data_centre_name + std::to_string(i);
                changes.emplace_back(target_announced{sample_target(
                    name, "orderdesk", data_centre_name,
                    100 + i +
                        (data_centre_name[0] == 'b' ? targets_per_data_centre
                                                    : 0))});
            }
        }
        apply(std::move(changes), at(0s));
    }

    void apply(std::vector<metadata_change> changes, instant now)
    {
        catalog_.apply({false, ++revision_, std::move(changes)}, now);
        steerer_.replace_view(
            std::make_shared<const steering_view>(catalog_.make_view()));
    }

    steering_result send(const flow_packet& packet, instant now)
    {
        const steering_result result = steerer_.decide(packet, now);
        steerer_.record_sent(now);
        return result;
    }

    static flow_packet opening(std::uint16_t port,
                               std::uint32_t retransmission = 0,
                               std::uint16_t service_port = 443)
    {
        return {.key = {{{0x64400007}, port}, address(1, service_port)},
                .opens = true,
                .retransmission = retransmission};
    }

    static flow_packet data(std::uint16_t port, flow_token token)
    {
        return {.key = {{{0x64400007}, port}, address(1, 443)}, .token = token};
    }

    forward open(std::uint16_t port, instant now,
                 std::uint32_t retransmission = 0)
    {
        const auto result = send(opening(port, retransmission), now);
        REQUIRE(std::holds_alternative<forward>(result.decision));
        return std::get<forward>(result.decision);
    }

    std::string name_of(target_id id) const
    {
        const view_target* target = steerer_.view()->find_target(id);
        return target == nullptr ? "" : target->name;
    }

    steerer& steering()
    {
        return steerer_;
    }

private:
    catalog catalog_;
    steerer steerer_;
    std::uint64_t revision_ = 0;
};

} // namespace

TEST_CASE("packets of a flow follow their token on any daemon")
{
    // Guards against depending on the flow record of the daemon that opened the
    // flow.
    steering_fixture first(4);
    steering_fixture second(4);
    const forward opened = first.open(1, at(1s));
    const auto later =
        second.send(steering_fixture::data(1, opened.token), at(2s));
    REQUIRE(std::holds_alternative<forward>(later.decision));
    CHECK(std::get<forward>(later.decision).address == opened.address);
    CHECK(std::get<forward>(later.decision).identity == opened.identity);
}

TEST_CASE("a daemon without a configuration drops packets without a refusal")
{
    // Guards against refusals during a restart, which use up a caller's
    // retries.
    steerer steering({},
                     std::make_shared<least_cost_policy>(selection_weights{}),
                     random_source(1));
    CHECK(steering.decide(steering_fixture::opening(1), at(0s)).decision ==
          steering_decision(discard{discard_reason::no_view}));
}

TEST_CASE("an unknown reference is refused only by an up-to-date view")
{
    // Guards against refusing a reference that was added while the store was
    // unreachable.
    steering_fixture fixture(1);
    const auto unknown = steering_fixture::opening(1, 0, 9999);
    CHECK(fixture.send(unknown, at(1s)).decision ==
          steering_decision(refuse{refusal_reason::no_reference}));
    CHECK(fixture.send(unknown, at(10s)).decision ==
          steering_decision(discard{discard_reason::unknown_reference}));
}

TEST_CASE("a removed reference refuses new flows and keeps open ones")
{
    steering_fixture fixture(2);
    const forward opened = fixture.open(1, at(1s));
    fixture.apply({configuration_published{
                      sample_configuration(2, {{444, "platefiles"}})}},
                  at(2s));
    CHECK(fixture.send(steering_fixture::opening(2), at(2s)).decision ==
          steering_decision(refuse{refusal_reason::reference_removed}));
    CHECK(std::holds_alternative<forward>(
        fixture.send(steering_fixture::data(1, opened.token), at(2s))
            .decision));
}

TEST_CASE("open flows stay at their service when their reference changes its "
          "service")
{
    steering_fixture fixture(2);
    const forward opened = fixture.open(1, at(1s));
    fixture.apply({target_announced{sample_target("p0", "platefiles", "a", 50)},
                   configuration_published{
                       sample_configuration(2, {{443, "platefiles"}})}},
                  at(2s));
    CHECK(fixture.name_of(fixture.open(2, at(2s)).target) == "p0");
    const auto old =
        fixture.send(steering_fixture::data(1, opened.token), at(2s));
    REQUIRE(std::holds_alternative<forward>(old.decision));
    CHECK(std::get<forward>(old.decision).target == opened.target);
}

TEST_CASE("a restarted daemon keeps open flows at a former service")
{
    // The reference was bound to another service before the daemon started, so
    // the store's responses don't contain the service of the flow.
    steering_fixture fixture(2);
    fixture.apply(
        {target_announced{sample_target("p0", "platefiles", "a", 50)}}, at(1s));
    const auto old =
        fixture.send(steering_fixture::data(1, token_of("p0")), at(2s));
    REQUIRE(std::holds_alternative<forward>(old.decision));
    CHECK(fixture.name_of(std::get<forward>(old.decision).target) == "p0");
}

TEST_CASE("a service without targets is refused at once")
{
    steering_fixture fixture(1);
    CHECK(fixture.send(steering_fixture::opening(1, 0, 444), at(1s)).decision ==
          steering_decision(refuse{refusal_reason::no_target}));
}

TEST_CASE("a packet with an unknown token is dropped")
{
    steering_fixture fixture(1);
    CHECK(fixture.send(steering_fixture::data(1, {12345}), at(1s)).decision ==
          steering_decision(discard{discard_reason::unknown_token}));
}

TEST_CASE("a duplicate opening packet goes to the same target, a "
          "retransmission to another")
{
    steering_fixture fixture(3);
    const forward opened = fixture.open(1, at(1s));
    CHECK(fixture.open(1, at(1001ms)).target == opened.target);
    const forward copy = fixture.open(1, at(1200ms), 1);
    CHECK(copy.target != opened.target);
    const forward second = fixture.open(1, at(1600ms), 2);
    CHECK(second.target != opened.target);
    CHECK(second.target != copy.target);
}

TEST_CASE("a retransmission of an answered opening packet stays at its target")
{
    steering_fixture fixture(3);
    const forward opened = fixture.open(1, at(1s));
    fixture.send(steering_fixture::data(1, opened.token), at(1010ms));
    CHECK(fixture.open(1, at(1200ms), 1).target == opened.target);
}

TEST_CASE("a target that does not answer is avoided and later tried again")
{
    // Guards against opening flows at a dead target until its announcement
    // expires.
    steering_fixture fixture(2);
    const forward silent = fixture.open(1, at(1s));
    CHECK(fixture.steering().process_timeouts(at(1059ms)).empty());
    REQUIRE(fixture.steering().process_timeouts(at(1060ms)).size() == 1);
    for (std::uint16_t port = 10; port < 60; ++port)
    {
        const forward other = fixture.open(port, at(1070ms));
        CHECK(other.target != silent.target);
        fixture.send(steering_fixture::data(port, other.token), at(1071ms));
        flow_packet end = steering_fixture::data(port, other.token);
        end.finishes = true;
        fixture.send(end, at(1072ms));
    }
    const view_target* target =
        fixture.steering().view()->find_target(silent.target);
    CHECK(fixture.steering().observer().trust_of(*target, at(3059ms)) ==
          target_trust::avoided);
    CHECK(fixture.steering().observer().trust_of(*target, at(3060ms)) ==
          target_trust::on_trial);
}

TEST_CASE("a data centre in which several targets do not answer is avoided")
{
    // Guards against losing one flow per target of an unreachable data centre.
    steering_fixture fixture(8);
    std::set<target_id> silent;
    for (std::uint16_t port = 1; port <= 3; ++port)
    {
        silent.insert(fixture.open(port, at(1s)).target);
    }
    REQUIRE(silent.size() == 3);
    fixture.steering().process_timeouts(at(1060ms));
    for (std::uint16_t port = 10; port < 40; ++port)
    {
        const forward other = fixture.open(port, at(1100ms));
        CHECK(fixture.name_of(other.target).front() == 'b');
        fixture.send(steering_fixture::data(port, other.token), at(1101ms));
    }
}

TEST_CASE("an answered flow counts as load of its target until it ends")
{
    steering_fixture fixture(1);
    const forward opened = fixture.open(1, at(1s));
    CHECK(fixture.steering().observer().load_of(opened.target).in_flight == 1);
    const auto followed =
        fixture.send(steering_fixture::data(1, opened.token), at(1015ms));
    CHECK(followed.handshake_duration == 15ms);
    fixture.steering().process_timeouts(at(1100ms));
    CHECK(fixture.steering().observer().load_of(opened.target).failures == 0);
    flow_packet end = steering_fixture::data(1, opened.token);
    end.finishes = true;
    const auto ended = fixture.send(end, at(1050ms));
    CHECK(ended.exchange_duration == 35ms);
    CHECK(fixture.steering().observer().load_of(opened.target).in_flight == 0);
    CHECK(fixture.steering().tracked_flows() == 0);
}

TEST_CASE("a flow of many requests counts as load while one is at work")
{
    // Guards against idle flows that keep new ones away from a target, and
    // against requests after the first that are not counted.
    steering_fixture fixture(1);
    const forward opened = fixture.open(1, at(1s));
    const auto load = [&]
    {
        return fixture.steering().observer().load_of(opened.target);
    };
    const auto send = [&](flow_segment segment, instant now)
    {
        flow_packet packet = steering_fixture::data(1, opened.token);
        packet.segment = segment;
        return fixture.send(packet, now);
    };
    send({1, 50, 200}, at(1015ms));
    CHECK(load().in_flight == 1);
    CHECK(load().idle_flows == 0);
    CHECK(send({201, 2050, 0}, at(1055ms)).exchange_duration == 40ms);
    CHECK(load().in_flight == 0);
    CHECK(load().idle_flows == 1);
    send({201, 2050, 200}, at(2s));
    CHECK(load().in_flight == 1);
    CHECK(load().idle_flows == 0);
    CHECK(send({401, 4050, 0}, at(2030ms)).exchange_duration == 30ms);
    // The tracker forgets the flow; its next request counts all the same.
    fixture.steering().process_timeouts(at(14s));
    CHECK(load().idle_flows == 0);
    CHECK(fixture.steering().tracked_flows() == 0);
    send({401, 4050, 200}, at(15s));
    CHECK(load().in_flight == 1);
    CHECK(send({601, 6050, 0}, at(15040ms)).exchange_duration == 40ms);
    flow_packet end = steering_fixture::data(1, opened.token);
    end.finishes = true;
    end.segment = {601, 6050, 0};
    fixture.send(end, at(16s));
    CHECK(load().in_flight == 0);
    CHECK(load().idle_flows == 0);
}

TEST_CASE("a request on a flow that another daemon opened counts as load")
{
    // Guards against a daemon that takes flows over, after a start or a change
    // of the rotation, and regards their targets as free.
    steering_fixture fixture(1);
    const flow_token token = token_of("a0");
    flow_packet request = steering_fixture::data(1, token);
    request.segment = {1000, 70, 200};
    const auto result = fixture.send(request, at(1s));
    const target_id target = std::get<forward>(result.decision).target;
    CHECK(fixture.steering().observer().load_of(target).in_flight == 1);
    request.segment = {1200, 900, 0};
    fixture.send(request, at(1030ms));
    CHECK(fixture.steering().observer().load_of(target).in_flight == 0);
}

TEST_CASE("new flows go to targets whose open flows are idle")
{
    // Guards against placing new flows by the number of open flows: half of
    // the targets have ten idle flows each, the others have both slots at work.
    steering_fixture fixture(2);
    std::uint16_t port = 1;
    const auto request = [&](const std::string& target, flow_segment segment)
    {
        flow_packet packet = steering_fixture::data(port, token_of(target));
        packet.segment = segment;
        fixture.send(packet, at(1s));
    };
    for (const char* target : {"a0", "b0"})
    {
        for (int i = 0; i < 10; ++i, ++port)
        {
            request(target, {1, 50, 200});
            request(target, {201, 2050, 0});
        }
    }
    for (const char* target : {"a1", "b1"})
    {
        for (int i = 0; i < 4; ++i, ++port)
        {
            request(target, {1, 50, 200});
        }
    }
    for (int i = 0; i < 2; ++i)
    {
        const forward opened = fixture.open(++port, at(1001ms));
        CHECK(fixture.name_of(opened.target).back() == '0');
    }
}

TEST_CASE("a flow without an end stops counting as load after its lifetime")
{
    steering_fixture fixture(1);
    const forward opened = fixture.open(1, at(1s));
    fixture.steering().process_timeouts(at(13s));
    CHECK(fixture.steering().observer().load_of(opened.target).in_flight == 0);
}

TEST_CASE("a view with an older configuration is ignored")
{
    steering_fixture fixture(1);
    fixture.apply({configuration_published{sample_configuration(5, {})}},
                  at(1s));
    view_data older;
    older.version = {4};
    fixture.steering().replace_view(
        std::make_shared<const steering_view>(older));
    CHECK(fixture.steering().view()->parts().version == set_version{5});
}

TEST_CASE("a caller that gives up is not counted as a failure of its target")
{
    // Guards against avoiding targets that answer other callers. After an
    // outage, many callers give up before their opening packets are read.
    steering_fixture fixture(1);
    std::vector<forward> opened;
    for (std::uint16_t port = 1; port <= 12; ++port)
    {
        opened.push_back(fixture.open(port, at(1s)));
    }
    for (std::uint16_t port = 7; port <= 12; ++port)
    {
        fixture.send(steering_fixture::data(port, opened[port - 1U].token),
                     at(1030ms));
    }
    CHECK(fixture.steering().process_timeouts(at(1100ms)).empty());
}

TEST_CASE("the answer timeout starts when the packet is sent")
{
    steering_fixture fixture(1);
    fixture.steering().decide(steering_fixture::opening(1), at(1s));
    fixture.steering().record_sent(at(1050ms));
    CHECK(fixture.steering().process_timeouts(at(1100ms)).empty());
    CHECK(fixture.steering().process_timeouts(at(1110ms)).size() == 1);
}

TEST_CASE("a burst of flows loads no target beyond the admission limit")
{
    // Guards against overloading targets when all callers return at once after
    // an outage.
    steering_fixture fixture(2);
    std::uint16_t started = 0;
    for (std::uint16_t port = 1; port <= 400; ++port)
    {
        const auto result =
            fixture.send(steering_fixture::opening(port), at(1s));
        started += result.selection ? 1 : 0;
    }
    // 4 targets with 2 slots each, 4 flows per slot.
    CHECK(started == 32);
    // Flows of callers that gave up don't count as load.
    fixture.steering().process_timeouts(at(1100ms));
    CHECK(fixture.send(steering_fixture::opening(500), at(1100ms)).selection);
}

TEST_CASE("a flow that is answered after the timeout counts as load again")
{
    steering_fixture fixture(1);
    const forward opened = fixture.open(1, at(1s));
    fixture.steering().process_timeouts(at(1100ms));
    CHECK(fixture.steering().observer().load_of(opened.target).in_flight == 0);
    fixture.send(steering_fixture::data(1, opened.token), at(1150ms));
    CHECK(fixture.steering().observer().load_of(opened.target).in_flight == 1);
}

TEST_CASE("a retransmission right after its original goes to the same target")
{
    // Guards against opening a flow at several targets if the original and its
    // retransmission waited in the same queue.
    steering_fixture fixture(3);
    const forward opened = fixture.open(1, at(1s));
    CHECK(fixture.open(1, at(1001ms), 1).target == opened.target);
}

TEST_CASE("openings are held back by cost only if the settings say so")
{
    // Guards against new decisions where the settings do not call for them.
    catalog entries(catalog_settings{});
    published_configuration configuration =
        sample_configuration(1, {{443, "orderdesk"}, {444, "orderdesk"}});
    configuration.references[0].terms = {false, 0, 400ms, 4s};
    configuration.references[1].terms = {true, 2, 400ms, 4s};
    entries.apply({false, 1, {configuration_published{configuration}}}, at(0s));
    for (const bool enabled : {false, true})
    {
        steerer steering(
            {.data_centre = "a", .admits_by_cost = enabled},
            std::make_shared<least_cost_policy>(selection_weights{}),
            random_source(1));
        steering.replace_view(
            std::make_shared<const steering_view>(entries.make_view()));
        cost_admission& admission = steering.admission_by_cost();
        for (int i = 0; i < 200; ++i)
        {
            admission.record_exchange({0}, address(1, i % 2 == 0 ? 443 : 444),
                                      i < 100 ? 40ms : 390ms, at(i * 50ms));
        }
        CHECK(admission.take_changes().empty() == !enabled);
    }
}
