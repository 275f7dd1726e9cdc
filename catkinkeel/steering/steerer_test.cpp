#include "catkinkeel/steering/steerer.hpp"
#include "catkinkeel/steering/steering_samples.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace catkinkeel;
using namespace catkinkeel::steering;

namespace
{

/// A daemon in data centre "a" before targets in "a" and "b".
class bench
{
public:
    explicit bench(std::uint32_t per_data_centre)
        : known_(catalog_settings{}),
          steering_({.data_centre = "a"},
                    std::make_shared<least_cost_policy>(selection_weights{}),
                    random_source(20261204))
    {
        std::vector<metadata_change> changes;
        changes.emplace_back(terms_published{
            sample_terms(1, {{443, "orderdesk"}, {444, "platefiles"}})});
        for (std::uint32_t i = 0; i < per_data_centre; ++i)
        {
            for (const char* place : {"a", "b"})
            {
                const std::string name = place + std::to_string(i);
                changes.emplace_back(target_announced{sample_target(
                    name, "orderdesk", place,
                    100 + i + (place[0] == 'b' ? per_data_centre : 0))});
            }
        }
        apply(std::move(changes), at(0s));
    }

    void apply(std::vector<metadata_change> changes, instant now)
    {
        known_.apply({false, ++revision_, std::move(changes)}, now);
        steering_.adopt(
            std::make_shared<const steering_view>(known_.make_view()));
    }

    steering_result send(const flow_packet& packet, instant now)
    {
        const steering_result result = steering_.decide(packet, now);
        steering_.mark_sent(now);
        return result;
    }

    static flow_packet opening(std::uint16_t port, std::uint32_t copy = 0,
                               std::uint16_t service_port = 443)
    {
        return {.key = {{{0x64400007}, port}, address(1, service_port)},
                .opens = true,
                .copy = copy};
    }

    static flow_packet data(std::uint16_t port, flow_token token)
    {
        return {.key = {{{0x64400007}, port}, address(1, 443)}, .token = token};
    }

    forward open(std::uint16_t port, instant now, std::uint32_t copy = 0)
    {
        const auto result = send(opening(port, copy), now);
        REQUIRE(std::holds_alternative<forward>(result.what));
        return std::get<forward>(result.what);
    }

    std::string name_of(target_id id) const
    {
        const view_target* target = steering_.view()->find_target(id);
        return target == nullptr ? "" : target->name;
    }

    steerer& steering()
    {
        return steering_;
    }

private:
    catalog known_;
    steerer steering_;
    std::uint64_t revision_ = 0;
};

} // namespace

TEST_CASE("packets of a flow follow their token on any daemon")
{
    // Guards against a daemon that needs the record of the one that opened.
    bench first(4);
    bench second(4);
    const forward opened = first.open(1, at(1s));
    const auto later = second.send(bench::data(1, opened.token), at(2s));
    REQUIRE(std::holds_alternative<forward>(later.what));
    CHECK(std::get<forward>(later.what).address == opened.address);
    CHECK(std::get<forward>(later.what).identity == opened.identity);
}

TEST_CASE("a daemon without terms drops silently")
{
    // Guards against refusals that use up a caller's retries at a restart.
    steerer steering({},
                     std::make_shared<least_cost_policy>(selection_weights{}),
                     random_source(1));
    CHECK(steering.decide(bench::opening(1), at(0s)).what ==
          steering_decision(discard{discard_reason::no_view}));
}

TEST_CASE("an unknown reference is refused by a fresh view only")
{
    // Guards against refusing a reference that was added unseen.
    bench site(1);
    const auto unknown = bench::opening(1, 0, 9999);
    CHECK(site.send(unknown, at(1s)).what ==
          steering_decision(refuse{refusal_reason::no_reference}));
    CHECK(site.send(unknown, at(10s)).what ==
          steering_decision(discard{discard_reason::unknown_reference}));
}

TEST_CASE("a removed reference refuses new flows and keeps the open ones")
{
    bench site(2);
    const forward opened = site.open(1, at(1s));
    site.apply({terms_published{sample_terms(2, {{444, "platefiles"}})}},
               at(2s));
    CHECK(site.send(bench::opening(2), at(2s)).what ==
          steering_decision(refuse{refusal_reason::reference_removed}));
    CHECK(std::holds_alternative<forward>(
        site.send(bench::data(1, opened.token), at(2s)).what));
}

TEST_CASE("a moved reference keeps open flows at their former service")
{
    bench site(2);
    const forward opened = site.open(1, at(1s));
    site.apply({target_announced{sample_target("p0", "platefiles", "a", 50)},
                terms_published{sample_terms(2, {{443, "platefiles"}})}},
               at(2s));
    CHECK(site.name_of(site.open(2, at(2s)).target) == "p0");
    const auto old = site.send(bench::data(1, opened.token), at(2s));
    REQUIRE(std::holds_alternative<forward>(old.what));
    CHECK(std::get<forward>(old.what).target == opened.target);
}

TEST_CASE("a restarted daemon keeps flows at a former service")
{
    // The reference moved before the daemon started, so no answer of the store
    // names the service of the flow.
    bench site(2);
    site.apply({target_announced{sample_target("p0", "platefiles", "a", 50)}},
               at(1s));
    const auto old = site.send(bench::data(1, token_of("p0")), at(2s));
    REQUIRE(std::holds_alternative<forward>(old.what));
    CHECK(site.name_of(std::get<forward>(old.what).target) == "p0");
}

TEST_CASE("a service without targets is refused at once")
{
    bench site(1);
    CHECK(site.send(bench::opening(1, 0, 444), at(1s)).what ==
          steering_decision(refuse{refusal_reason::no_target}));
}

TEST_CASE("a packet with an unknown token is dropped")
{
    bench site(1);
    CHECK(site.send(bench::data(1, {12345}), at(1s)).what ==
          steering_decision(discard{discard_reason::unknown_token}));
}

TEST_CASE("a duplicate opening packet goes to the same target, a numbered "
          "copy to another")
{
    bench site(3);
    const forward opened = site.open(1, at(1s));
    CHECK(site.open(1, at(1001ms)).target == opened.target);
    const forward copy = site.open(1, at(1200ms), 1);
    CHECK(copy.target != opened.target);
    const forward second = site.open(1, at(1600ms), 2);
    CHECK(second.target != opened.target);
    CHECK(second.target != copy.target);
}

TEST_CASE("a late copy of an answered opening packet stays at its target")
{
    bench site(3);
    const forward opened = site.open(1, at(1s));
    site.send(bench::data(1, opened.token), at(1010ms));
    CHECK(site.open(1, at(1200ms), 1).target == opened.target);
}

TEST_CASE("a target that does not answer is avoided, and tried again later")
{
    // Guards against opening flows at a dead target until the store drops it.
    bench site(2);
    const forward silent = site.open(1, at(1s));
    CHECK(site.steering().settle(at(1059ms)).empty());
    REQUIRE(site.steering().settle(at(1060ms)).size() == 1);
    for (std::uint16_t port = 10; port < 60; ++port)
    {
        const forward other = site.open(port, at(1070ms));
        CHECK(other.target != silent.target);
        site.send(bench::data(port, other.token), at(1071ms));
        flow_packet end = bench::data(port, other.token);
        end.finishes = true;
        site.send(end, at(1072ms));
    }
    const view_target* target =
        site.steering().view()->find_target(silent.target);
    CHECK(site.steering().observer().trust_in(*target, at(3059ms)) ==
          target_trust::avoided);
    CHECK(site.steering().observer().trust_in(*target, at(3060ms)) ==
          target_trust::on_trial);
}

TEST_CASE("a data centre in which nobody answers is avoided as a whole")
{
    // Guards against losing one flow for each target of a dark data centre.
    bench site(8);
    std::set<target_id> silent;
    for (std::uint16_t port = 1; port <= 3; ++port)
    {
        silent.insert(site.open(port, at(1s)).target);
    }
    REQUIRE(silent.size() == 3);
    site.steering().settle(at(1060ms));
    for (std::uint16_t port = 10; port < 40; ++port)
    {
        const forward other = site.open(port, at(1100ms));
        CHECK(site.name_of(other.target).front() == 'b');
        site.send(bench::data(port, other.token), at(1101ms));
    }
}

TEST_CASE("flows that answer keep the load of their target")
{
    bench site(1);
    const forward opened = site.open(1, at(1s));
    CHECK(site.steering().observer().load_of(opened.target).in_flight == 1);
    const auto followed = site.send(bench::data(1, opened.token), at(1015ms));
    CHECK(followed.handshake_took == 15ms);
    site.steering().settle(at(1100ms));
    CHECK(site.steering().observer().load_of(opened.target).failures == 0);
    flow_packet end = bench::data(1, opened.token);
    end.finishes = true;
    const auto ended = site.send(end, at(1050ms));
    CHECK(ended.exchange_took == 35ms);
    CHECK(site.steering().observer().load_of(opened.target).in_flight == 0);
    CHECK(site.steering().tracked_flows() == 0);
}

TEST_CASE("a flow that is never ended stops counting as load")
{
    bench site(1);
    const forward opened = site.open(1, at(1s));
    site.steering().settle(at(13s));
    CHECK(site.steering().observer().load_of(opened.target).in_flight == 0);
}

TEST_CASE("a view with older terms is not adopted")
{
    bench site(1);
    site.apply({terms_published{sample_terms(5, {})}}, at(1s));
    view_parts older;
    older.version = {4};
    site.steering().adopt(std::make_shared<const steering_view>(older));
    CHECK(site.steering().view()->parts().version == set_version{5});
}

TEST_CASE("a caller that gave up does not make its target silent")
{
    // Guards against avoiding targets that answer others, as after an outage
    // when many callers have left before their opening packets are read.
    bench site(1);
    std::vector<forward> opened;
    for (std::uint16_t port = 1; port <= 12; ++port)
    {
        opened.push_back(site.open(port, at(1s)));
    }
    for (std::uint16_t port = 7; port <= 12; ++port)
    {
        site.send(bench::data(port, opened[port - 1U].token), at(1030ms));
    }
    CHECK(site.steering().settle(at(1100ms)).empty());
}

TEST_CASE("the time in which a packet waits to be sent is not silence")
{
    bench site(1);
    site.steering().decide(bench::opening(1), at(1s));
    site.steering().mark_sent(at(1050ms));
    CHECK(site.steering().settle(at(1100ms)).empty());
    CHECK(site.steering().settle(at(1110ms)).size() == 1);
}

TEST_CASE("a flood after an outage fills no target beyond its limit")
{
    // Guards against targets that refuse what one daemon sends them while all
    // callers come back at once.
    bench site(2);
    std::uint16_t started = 0;
    for (std::uint16_t port = 1; port <= 400; ++port)
    {
        const auto result = site.send(bench::opening(port), at(1s));
        started += result.chosen ? 1 : 0;
    }
    // 4 targets with 2 slots each, 4 flows a slot.
    CHECK(started == 32);
    // Callers that gave up leave no load behind.
    site.steering().settle(at(1100ms));
    CHECK(site.send(bench::opening(500), at(1100ms)).chosen);
}

TEST_CASE("a flow whose answer comes late counts as load again")
{
    bench site(1);
    const forward opened = site.open(1, at(1s));
    site.steering().settle(at(1100ms));
    CHECK(site.steering().observer().load_of(opened.target).in_flight == 0);
    site.send(bench::data(1, opened.token), at(1150ms));
    CHECK(site.steering().observer().load_of(opened.target).in_flight == 1);
}

TEST_CASE("a copy that comes with its original goes to the same target")
{
    // Guards against several targets for packets that waited in one queue.
    bench site(3);
    const forward opened = site.open(1, at(1s));
    CHECK(site.open(1, at(1001ms), 1).target == opened.target);
}
