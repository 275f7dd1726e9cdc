// Division of the ramp limit, the life of grants, and the change from grants
// to shares. cold_bound_test.cpp checks the bound over all VMs.

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

constexpr target_id subject{7};
constexpr std::uint32_t capacity = 2000;
constexpr std::size_t fleet = 3;

struct equal_demand final : traffic_demand
{
    [[nodiscard]] double part_of(target_id /*id*/) const override
    {
        return 1.0 / fleet;
    }
};

published_set_ptr make_set()
{
    return std::make_shared<const published_set>(
        published_objects{.version = {1},
                          .services = {{.id = {1}}},
                          .data_centres = {{.id = {1}}},
                          .targets = {{.id = subject,
                                       .service = {1},
                                       .data_centre = {1},
                                       .connections = capacity}}});
}

vm_id id_of(std::size_t i)
{
    return {static_cast<std::uint32_t>(i + 1)};
}

/// VMs of one data centre that fill the target up to their limits.
struct data_centre_of_vms
{
    published_set_ptr set = make_set();
    instant now{1000s};
    std::vector<target_registry> vms;
    std::array<std::uint32_t, fleet> held{};
    random_source random{5};
    /// One in so many letters is lost; 0 loses none.
    std::uint64_t loss = 0;

    data_centre_of_vms()
    {
        for (std::size_t i = 0; i < fleet; ++i)
        {
            vms.emplace_back(std::make_shared<steward_rule>(), i + 1);
            vms.back().apply_set(set, now);
        }
    }
    [[nodiscard]] std::uint32_t carried() const
    {
        return held[0] + held[1] + held[2];
    }
    [[nodiscard]] bearing bears(std::size_t i) const
    {
        return vms[i].bearing_of(*set->find_target(subject), 1.0 / fleet,
                                 held.at(i), now);
    }
    void send(std::size_t from, std::size_t to, const target_news& news)
    {
        if (loss == 0 || random.below(loss) != 0)
        {
            vms[to].apply_news(id_of(from), news, now);
        }
    }
    void tick()
    {
        now += 100ms;
        steward_view view{
            .data_centre = {1}, .list_as_of = now, .listed_since = instant{0s}};
        for (std::size_t i = 0; i < fleet; ++i)
        {
            view.possibly_alive.push_back({id_of(i), {1}, true, now, now});
        }
        for (std::size_t i = 0; i < fleet; ++i)
        {
            view.self = id_of(i);
            vms[i].apply_stewardship(view, now);
            vms[i].tick(now);
            if (!vms[i].targets_to_poll(now).empty())
            {
                vms[i].apply_report(
                    subject, load_report{5, report_state::ready, carried(), 0},
                    held.at(i), now);
            }
            const target_news news = vms[i].take_news(now);
            for (std::size_t to = 0; to < fleet; ++to)
            {
                send(i, to, news);
            }
            for (const auto& [to, letter] :
                 vms[i].take_grant_news(equal_demand{}, now))
            {
                send(i, to.value - 1, letter);
            }
        }
        for (std::size_t i = 0; i < fleet; ++i)
        {
            held.at(i) = std::max(held.at(i), bears(i).limit);
        }
    }
};

} // namespace

TEST_CASE("a division neither exceeds the step nor takes back a limit")
{
    CHECK(rc::check(
        "steps",
        [](std::uint64_t seed)
        {
            random_source random(seed);
            instant now{1000s};
            grant_book book;
            for (std::uint32_t limit = 2; limit <= 4096; limit *= 2)
            {
                now += 5s;
                book.own_part = static_cast<std::uint16_t>(random.below(1001));
                for (std::uint64_t i = random.below(40); i > 0; --i)
                {
                    book = book.with_request(
                        {.vm = id_of(random.below(9)),
                         .session = random.below(3),
                         .stamp = random.below(99),
                         .part = static_cast<std::uint16_t>(random.below(1001)),
                         .asked = now},
                        now);
                }
                const auto carried =
                    static_cast<std::uint32_t>(random.below(2ULL * limit));
                const grant_book next =
                    with_step(book, {limit, capacity, carried, seed}, now);
                RC_ASSERT(next.given() <= limit);
                RC_ASSERT(next.own() >= book.own());
                RC_ASSERT(std::ranges::equal(
                    book.claimants, next.claimants,
                    [](const claimant& before, const claimant& after)
                    { return before.limit <= after.limit; }));
                book = next;
            }
        }));
}

TEST_CASE("while grants change to shares the capacity is not exceeded")
{
    data_centre_of_vms world;
    world.loss = GENERATE(0, 3, 2);
    for (int i = 0; i < 900; ++i)
    {
        world.tick();
        REQUIRE(world.carried() <= capacity);
    }
    CHECK(world.bears(0).reason == bearing_reason::warm);
    CHECK(world.bears(1).reason == bearing_reason::warm);
    CHECK(world.bears(2).reason == bearing_reason::warm);
}

TEST_CASE("all VMs place on a cold target, and a grant lapses without refresh")
{
    data_centre_of_vms world;
    while (world.carried() < 64)
    {
        world.tick();
    }
    CHECK(*std::ranges::min_element(world.held) >= 20);
    // Nothing arrives any more; late answers would extend no grant.
    world.loss = 1;
    const auto holding = [&world]
    {
        int count = 0;
        for (std::size_t i = 0; i < fleet; ++i)
        {
            count += world.bears(i).limit > 0 ? 1 : 0;
        }
        return count;
    };
    const instant silent_since = world.now;
    while (world.now - silent_since < grant_life)
    {
        world.tick();
    }
    CHECK(holding() == 1);
}

TEST_CASE("a grant for an earlier process or another start is not used")
{
    data_centre_of_vms world;
    world.loss = 1;
    world.tick();
    target_news news{.grants = {1, 1000100, {{subject, 5, 100}}}};
    news.changes = {{.id = subject, .instance = 5, .sequence = 1}};
    std::uint32_t expected = 0;
    SECTION("this process and this start")
    {
        expected = 100;
    }
    SECTION("earlier process")
    {
        news.grants.session = 0;
    }
    SECTION("another start")
    {
        news.grants.given.front().instance = 4;
    }
    SECTION("asked too long ago")
    {
        news.grants.stamp -= 10'000;
    }
    SECTION("not asked yet")
    {
        news.grants.stamp += 1;
    }
    world.vms[0].apply_news(id_of(1), news, world.now);
    CHECK(world.bears(0).limit == expected);
}
