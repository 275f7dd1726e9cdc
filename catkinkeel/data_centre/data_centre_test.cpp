#include "catkinkeel/data_centre/bucket_map.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace catkinkeel;

namespace
{

published_objects three_data_centres()
{
    published_objects objects;
    objects.version = {1};
    for (std::uint16_t id = 1; id <= 3; ++id)
    {
        objects.data_centres.push_back(
            {.id = {id}, .name = "dc" + std::to_string(id), .region = {1}});
    }
    return objects;
}

/// Two VMs per data centre: 11, 12, 21, 22, 31, 32.
member_view six_vms()
{
    member_view view{.self = {11}, .revision = 1, .members = {}};
    for (std::uint32_t dc = 1; dc <= 3; ++dc)
    {
        for (std::uint32_t n = 1; n <= 2; ++n)
        {
            view.members.push_back(
                {.id = {dc * 10 + n},
                 .data_centre = {static_cast<std::uint16_t>(dc)}});
        }
    }
    return view;
}

bucket_id bucket(std::uint32_t value)
{
    return {static_cast<std::uint16_t>(value)};
}

} // namespace

TEST_CASE("a dead owner is replaced by the standby that held its state")
{
    const published_set set(three_data_centres());
    member_view view = six_vms();
    const bucket_map before(set, view);
    view.members[0].state = liveness::dead;
    const bucket_map after(set, view);
    for (std::uint32_t i = 0; i < bucket_count; ++i)
    {
        if (before.owner(bucket(i)) == vm_id{11})
        {
            REQUIRE(after.owner(bucket(i)) == before.standby(bucket(i)));
        }
        else
        {
            REQUIRE(after.owner(bucket(i)) == before.owner(bucket(i)));
        }
    }
}

TEST_CASE("ownership is spread evenly over the VMs")
{
    const published_set set(three_data_centres());
    const bucket_map map(set, six_vms());
    std::map<std::uint32_t, int> owned;
    for (std::uint32_t i = 0; i < bucket_count; ++i)
    {
        ++owned[map.owner(bucket(i))->value];
    }
    REQUIRE(owned.size() == 6);
    for (const auto& [vm, count] : owned)
    {
        INFO("vm " << vm);
        CHECK(count == Approx(bucket_count / 6.0).epsilon(0.1));
    }
}

TEST_CASE("a data centre out of service owns no bucket but stays a home")
{
    published_objects objects = three_data_centres();
    const bucket_map before(published_set(objects), six_vms());
    objects.data_centres[1].wish = data_centre_wish::out_of_service;
    const bucket_map after(published_set(objects), six_vms());
    for (std::uint32_t i = 0; i < bucket_count; ++i)
    {
        REQUIRE(after.owner(bucket(i))->value / 10 != 2);
        REQUIRE(after.home(bucket(i)) == before.home(bucket(i)));
    }
    CHECK(after.fingerprint() != before.fingerprint());
}

TEST_CASE("the only VM of a data centre has its standby in another one")
{
    member_view view = six_vms();
    view.members[0].state = liveness::dead;
    const bucket_map map(published_set(three_data_centres()), view);
    for (std::uint32_t i = 0; i < bucket_count; ++i)
    {
        if (map.owner(bucket(i)) == vm_id{12})
        {
            REQUIRE(map.standby(bucket(i)));
            REQUIRE(map.standby(bucket(i))->value / 10 != 1);
        }
    }
}

TEST_CASE("a VM whose data centre is not published owns no bucket")
{
    member_view view = six_vms();
    view.members[0].data_centre = {9};
    const bucket_map map(published_set(three_data_centres()), view);
    CHECK_FALSE(map.owner(bucket(0)));
}
