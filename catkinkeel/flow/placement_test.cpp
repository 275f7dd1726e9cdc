#include "catkinkeel/base/random.hpp"
#include "catkinkeel/data_centre/bucket_map.hpp"
#include "catkinkeel/flow/placement.hpp"

#include <catch2/catch.hpp>

#include <cmath>
#include <map>

using namespace catkinkeel;

namespace
{

/// One service with 5, 5 and 4 targets in its three data centres.
published_objects uneven_targets()
{
    published_objects objects;
    objects.version = {1};
    objects.services.push_back({.id = {1}, .name = "orderdesk"});
    std::uint32_t next = 100;
    for (std::uint16_t dc = 1; dc <= 3; ++dc)
    {
        objects.data_centres.push_back({.id = {dc}, .region = {1}});
        for (int n = 0; n < (dc == 3 ? 4 : 5); ++n)
        {
            objects.targets.push_back(
                {.id = {next++}, .service = {1}, .data_centre = {dc}});
        }
    }
    return objects;
}

std::map<std::uint32_t, int> placements(const published_set& set, int flows)
{
    const auto group = data_centre_group(set, {1});
    const placement_plan plan(set, group, {});
    random_source random(7);
    std::map<std::uint32_t, int> counts;
    for (int i = 0; i < flows; ++i)
    {
        const std::uint64_t hash = random.next();
        const auto table =
            plan.table({1}, home_data_centre(bucket_of(hash), group));
        ++counts[choose_target(*table, hash)->value];
    }
    return counts;
}

} // namespace

TEST_CASE("equal targets get equal shares although data centres differ in size")
{
    // Guards against targets in a small data centre that get more flows because
    // all flows of that home data centre stay there.
    constexpr int per_target = 4000;
    const auto counts =
        placements(published_set(uneven_targets()), 14 * per_target);
    REQUIRE(counts.size() == 14);
    for (const auto& [target, count] : counts)
    {
        INFO("target " << target);
        // Five standard deviations of a Poisson count.
        CHECK(std::abs(count - per_target) < 5 * std::sqrt(per_target));
    }
}

TEST_CASE("a target of weight 300 gets three times the flows of weight 100")
{
    // Guards against selection that is not proportional to the weights.
    published_objects objects = uneven_targets();
    objects.targets.resize(2);
    objects.targets[1].weight = 300;
    auto counts = placements(published_set(objects), 40000);
    CHECK(counts[101] == Approx(3.0 * counts[100]).epsilon(0.05));
}

TEST_CASE("few flows move besides those of draining targets")
{
    // Guards against a change of a few targets that reshuffles the others'
    // flows.
    published_objects objects = uneven_targets();
    const published_set before(objects);
    objects.targets[0].wish = target_wish::drain;
    objects.targets[5].wish = target_wish::drain;
    const published_set after(objects);
    const auto group = data_centre_group(before, {1});
    const placement_plan old_plan(before, group, {});
    const placement_plan new_plan(after, group, old_plan);
    random_source random(11);
    int moved = 0;
    constexpr int flows = 20000;
    for (int i = 0; i < flows; ++i)
    {
        const std::uint64_t hash = random.next();
        const data_centre_id home = home_data_centre(bucket_of(hash), group);
        const auto old_choice = choose_target(*old_plan.table({1}, home), hash);
        const auto new_choice = choose_target(*new_plan.table({1}, home), hash);
        CHECK(new_choice != target_id{100});
        moved += old_choice != new_choice ? 1 : 0;
    }
    // 2 of 14 targets drain, so a seventh of the flows must move; the changed
    // weights of data centres move a few more.
    CHECK(moved < flows / 4);
}

TEST_CASE("a table that did not change is shared with the previous plan")
{
    // Guards against plans that copy unchanged tables, which would make the
    // comparison of tables on each new set expensive.
    published_objects objects = uneven_targets();
    objects.services.push_back({.id = {2}, .name = "platefiles"});
    objects.targets.push_back(
        {.id = {200}, .service = {2}, .data_centre = {1}});
    const published_set before(objects);
    objects.targets[0].wish = target_wish::drain;
    const published_set after(objects);
    const auto group = data_centre_group(before, {1});
    const placement_plan old_plan(before, group, {});
    const placement_plan new_plan(after, group, old_plan);
    CHECK(old_plan.table({2}, {1}) == new_plan.table({2}, {1}));
    CHECK(old_plan.table({1}, {1}) != new_plan.table({1}, {1}));
}

TEST_CASE("a service without an in-service target has no table")
{
    // Guards against an empty table, from which no target can be selected.
    published_objects objects = uneven_targets();
    for (data_centre& each : objects.data_centres)
    {
        each.wish = data_centre_wish::out_of_service;
    }
    const published_set set(objects);
    const placement_plan plan(set, data_centre_group(set, {1}), {});
    CHECK(plan.table({1}, {1}) == nullptr);
}
