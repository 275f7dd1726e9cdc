#include "catkinkeel/publication/reader_policy.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace catkinkeel;

namespace
{

member_view fleet(std::uint32_t per_data_centre)
{
    member_view view{.self = {1}};
    for (std::uint32_t id = 1; id <= 3 * per_data_centre; ++id)
    {
        view.members.push_back(
            {.id = {id},
             .data_centre = {static_cast<std::uint16_t>(id % 3 + 1)}});
    }
    return view;
}

} // namespace

TEST_CASE("every view of the same members gives the same two readers")
{
    member_view view = fleet(48);
    const auto readers = readers_of(view, {2});
    REQUIRE(readers.size() == 2);
    CHECK(view.find(readers[0])->data_centre == data_centre_id{2});
    view.self = {99};
    view.revision = 7;
    CHECK(readers_of(view, {2}) == readers);
    CHECK(is_reader(view, readers[0], {2}));
    CHECK(is_reader(view, readers[1], {2}));
    CHECK(!is_reader(view, readers[0], {1}));
}

TEST_CASE("a dead reader is replaced and the other one stays")
{
    member_view view = fleet(48);
    const auto before = readers_of(view, {2});
    for (member& each : view.members)
    {
        if (each.id == before[0])
        {
            each.state = liveness::dead;
        }
    }
    const auto after = readers_of(view, {2});
    REQUIRE(after.size() == 2);
    CHECK(after[0] == before[1]);
    CHECK(after[1] != before[0]);
}

TEST_CASE("a data centre with few or no VMs has few or no readers")
{
    CHECK(readers_of(fleet(1), {1}).size() == 1);
    CHECK(readers_of(fleet(1), {9}).empty());
    CHECK(!is_reader({}, {1}, {1}));
}

TEST_CASE("a VM without news reads itself, and not all at the same moment")
{
    const member_view view = fleet(48);
    const auto readers = readers_of(view, {1});
    const auto other = std::ranges::find_if(
        view.members,
        [&](const member& each)
        {
            return each.data_centre == data_centre_id{1} &&
                   std::ranges::find(readers, each.id) == readers.end();
        });
    REQUIRE(other != view.members.end());
    const instant news = instant{} + 100s;
    CHECK(watches_service(view, readers[0], {1}, news, news));
    CHECK(!watches_service(view, other->id, {1}, news, news + 4999ms));
    CHECK(watches_service(view, other->id, {1}, news, news + 7s));

    std::set<std::int64_t> tenths;
    for (const member& each : view.members)
    {
        CHECK(fallback_after(each.id) >= reader_fallback);
        CHECK(fallback_after(each.id) <
              reader_fallback + reader_fallback_jitter);
        tenths.insert(fallback_after(each.id) / 100ms);
    }
    CHECK(tenths.size() == 20);
}

TEST_CASE("a service that answers at once with nothing new is not read at once")
{
    random_source random(1);
    CHECK(watch_pause(watch_result::useful, random) == duration(0));
    CHECK(watch_pause(watch_result::useless, random) >= 1s);
    CHECK(watch_pause(watch_result::useless, random) < 1500ms);
}
