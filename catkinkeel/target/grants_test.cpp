// Tests of the division of the ramp limit, the expiry of grants, and the
// change from grants to shares. cold_bound_test.cpp checks the bound over all
// VMs.

#include "catkinkeel/base/random.hpp"
#include "catkinkeel/target/target_registry.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <vector>

using namespace catkinkeel;

namespace
{

constexpr target_id test_target{7};
constexpr std::uint32_t capacity = 2000;
constexpr std::size_t vm_count = 3;

struct equal_demand final : traffic_demand
{
    [[nodiscard]] double expected_share(target_id /*id*/) const override
    {
        return 1.0 / vm_count;
    }
};

published_set_ptr make_set()
{
    return std::make_shared<const published_set>(
        published_objects{.version = {1},
                          .services = {{.id = {1}}},
                          .data_centres = {{.id = {1}}},
                          .targets = {{.id = test_target,
                                       .service = {1},
                                       .data_centre = {1},
                                       .connections = capacity}}});
}

vm_id id_of(std::size_t i)
{
    return {static_cast<std::uint32_t>(i + 1)};
}

/// VMs of one data centre that place flows on the target up to their limits.
struct simulated_data_centre
{
    published_set_ptr set = make_set();
    instant now{1000s};
    std::vector<target_registry> vms;
    std::array<std::uint32_t, vm_count> held_flows{};
    random_source random{5};
    /// One in this many messages is lost; 0 means that none is.
    std::uint64_t loss_one_in = 0;

    simulated_data_centre()
    {
        for (std::size_t i = 0; i < vm_count; ++i)
        {
            vms.emplace_back(std::make_shared<steward_rule>(), i + 1);
            vms.back().apply_set(set, now);
        }
    }
    [[nodiscard]] std::uint32_t total_flows() const
    {
        return held_flows[0] + held_flows[1] + held_flows[2];
    }
    [[nodiscard]] admission_limit admission(std::size_t i) const
    {
        return vms[i].admission_limit_of(*set->find_target(test_target),
                                         1.0 / vm_count, held_flows.at(i), now);
    }
    void send(std::size_t from, std::size_t to, const target_update& update)
    {
        if (loss_one_in == 0 || random.below(loss_one_in) != 0)
        {
            vms[to].apply_update(id_of(from), update, now);
        }
    }
    void tick()
    {
        now += 100ms;
        steward_view view{
            .data_centre = {1}, .list_as_of = now, .listed_since = instant{0s}};
        for (std::size_t i = 0; i < vm_count; ++i)
        {
            view.possibly_alive.push_back({id_of(i), {1}, true, now, now});
        }
        for (std::size_t i = 0; i < vm_count; ++i)
        {
            view.self = id_of(i);
            vms[i].apply_steward_view(view, now);
            vms[i].tick(now);
            if (!vms[i].targets_to_poll(now).empty())
            {
                vms[i].apply_report(
                    test_target,
                    load_report{5, report_state::ready, total_flows(), 0},
                    held_flows.at(i), now);
            }
            const target_update update = vms[i].take_updates(now);
            for (std::size_t to = 0; to < vm_count; ++to)
            {
                send(i, to, update);
            }
            for (const auto& [to, grant_update] :
                 vms[i].take_grant_updates(equal_demand{}, now))
            {
                send(i, to.value - 1, grant_update);
            }
        }
        for (std::size_t i = 0; i < vm_count; ++i)
        {
            held_flows.at(i) = std::max(held_flows.at(i), admission(i).limit);
        }
    }
};

} // namespace

TEST_CASE(
    "a division neither exceeds the ramp limit nor lowers a granted limit")
{
    CHECK(rc::check(
        "steps",
        [](std::uint64_t seed)
        {
            random_source random(seed);
            instant now{1000s};
            grant_ledger ledger;
            for (std::uint32_t limit = 2; limit <= 4096; limit *= 2)
            {
                now += 5s;
                ledger.steward_share =
                    static_cast<std::uint16_t>(random.below(1001));
                for (std::uint64_t i = random.below(40); i > 0; --i)
                {
                    ledger = ledger.after_request(
                        {.vm = id_of(random.below(9)),
                         .session = random.below(3),
                         .request_time_ms = random.below(99),
                         .share_permille =
                             static_cast<std::uint16_t>(random.below(1001)),
                         .requested_at = now},
                        now);
                }
                const auto total_flows =
                    static_cast<std::uint32_t>(random.below(2ULL * limit));
                const grant_ledger next = after_ramp_step(
                    ledger, {limit, capacity, total_flows, seed}, now);
                RC_ASSERT(next.granted_total() <= limit);
                RC_ASSERT(next.steward_limit() >= ledger.steward_limit());
                RC_ASSERT(std::ranges::equal(ledger.requesters, next.requesters,
                                             [](const grant_requester& before,
                                                const grant_requester& after) {
                                                 return before.limit <=
                                                        after.limit;
                                             }));
                ledger = next;
            }
        }));
}

TEST_CASE("the capacity is not exceeded while VMs change from grants to shares")
{
    simulated_data_centre zone;
    zone.loss_one_in = GENERATE(0, 3, 2);
    for (int i = 0; i < 900; ++i)
    {
        zone.tick();
        REQUIRE(zone.total_flows() <= capacity);
    }
    CHECK(zone.admission(0).reason == admission_limit_reason::warm);
    CHECK(zone.admission(1).reason == admission_limit_reason::warm);
    CHECK(zone.admission(2).reason == admission_limit_reason::warm);
}

TEST_CASE(
    "all VMs place flows on a cold target, and an unrenewed grant expires")
{
    simulated_data_centre zone;
    while (zone.total_flows() < 64)
    {
        zone.tick();
    }
    CHECK(*std::ranges::min_element(zone.held_flows) >= 20);
    // No message arrives any more, so no grant is renewed.
    zone.loss_one_in = 1;
    const auto vms_with_limit = [&zone]
    {
        int count = 0;
        for (std::size_t i = 0; i < vm_count; ++i)
        {
            count += zone.admission(i).limit > 0 ? 1 : 0;
        }
        return count;
    };
    const instant isolated_since = zone.now;
    while (zone.now - isolated_since < grant_lifetime)
    {
        zone.tick();
    }
    CHECK(vms_with_limit() == 1);
}

TEST_CASE("a grant for an earlier process or another start is not used")
{
    simulated_data_centre zone;
    zone.loss_one_in = 1;
    zone.tick();
    target_update update{.grants = {1, 1000100, {{test_target, 5, 100}}}};
    update.changes = {{.id = test_target, .instance = 5, .sequence = 1}};
    std::uint32_t expected = 0;
    SECTION("this process and this start")
    {
        expected = 100;
    }
    SECTION("earlier process")
    {
        update.grants.session = 0;
    }
    SECTION("another start")
    {
        update.grants.entries.front().instance = 4;
    }
    SECTION("requested too long ago")
    {
        update.grants.request_time_ms -= 10'000;
    }
    SECTION("requested in the future")
    {
        update.grants.request_time_ms += 1;
    }
    zone.vms[0].apply_update(id_of(1), update, zone.now);
    CHECK(zone.admission(0).limit == expected);
}
