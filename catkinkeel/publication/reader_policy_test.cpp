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
    const auto readers = select_readers(view, {2});
    REQUIRE(readers.size() == 2);
    CHECK(view.find(readers[0])->data_centre == data_centre_id{2});
    view.self = {99};
    view.revision = 7;
    CHECK(select_readers(view, {2}) == readers);
    CHECK(is_reader(view, readers[0], {2}));
    CHECK(is_reader(view, readers[1], {2}));
    CHECK(!is_reader(view, readers[0], {1}));
}

TEST_CASE("a dead reader is replaced and the other one stays")
{
    member_view view = fleet(48);
    const auto before = select_readers(view, {2});
    for (member& each : view.members)
    {
        if (each.id == before[0])
        {
            each.state = liveness::dead;
        }
    }
    const auto after = select_readers(view, {2});
    REQUIRE(after.size() == 2);
    CHECK(after[0] == before[1]);
    CHECK(after[1] != before[0]);
}

TEST_CASE("a data centre with few or no VMs has few or no readers")
{
    CHECK(select_readers(fleet(1), {1}).size() == 1);
    CHECK(select_readers(fleet(1), {9}).empty());
    CHECK(!is_reader({}, {1}, {1}));
}

TEST_CASE("a VM that receives no version reads itself, and VMs read at "
          "different times")
{
    const member_view view = fleet(48);
    const auto readers = select_readers(view, {1});
    const auto non_reader = std::ranges::find_if(
        view.members,
        [&](const member& each)
        {
            return each.data_centre == data_centre_id{1} &&
                   std::ranges::find(readers, each.id) == readers.end();
        });
    REQUIRE(non_reader != view.members.end());
    const instant last_version = instant{} + 100s;
    CHECK(should_watch_service(view, readers[0], {1}, last_version,
                               last_version));
    CHECK(!should_watch_service(view, non_reader->id, {1}, last_version,
                                last_version + 4999ms));
    CHECK(should_watch_service(view, non_reader->id, {1}, last_version,
                               last_version + 7s));

    std::set<std::int64_t> delays_100ms;
    for (const member& each : view.members)
    {
        CHECK(fallback_delay(each.id) >= reader_fallback_delay);
        CHECK(fallback_delay(each.id) <
              reader_fallback_delay + reader_fallback_jitter);
        delays_100ms.insert(fallback_delay(each.id) / 100ms);
    }
    CHECK(delays_100ms.size() == 20);
}

TEST_CASE(
    "a service that answers at once with an old index is read after a delay")
{
    random_source random(1);
    CHECK(watch_delay(watch_result::usable, random) == duration(0));
    CHECK(watch_delay(watch_result::unusable, random) >= 1s);
    CHECK(watch_delay(watch_result::unusable, random) < 1500ms);
}
