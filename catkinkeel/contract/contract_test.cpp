#include "catkinkeel/contract/published_set.hpp"

#include <catch2/catch.hpp>

using namespace catkinkeel;

namespace
{

/// Two services, whose targets are not in the order of identifiers.
published_objects two_services()
{
    return {.version = {3},
            .published_by = "",
            .services = {{.id = {2}, .name = "platefiles"},
                         {.id = {1}, .name = "orderdesk"}},
            .data_centres = {{.id = {1}, .name = "zilina-a", .region = {1}}},
            .targets = {{.id = {12}, .service = {2}, .data_centre = {1}},
                        {.id = {11}, .service = {1}, .data_centre = {1}},
                        {.id = {10}, .service = {1}, .data_centre = {1}}},
            .references = {{.id = {5},
                            .public_endpoint = {{0x0a000001}, 443},
                            .service = {1}}}};
}

} // namespace

// Guards against flows that are sent to a target of another service because the
// objects were published in another order than that of their identifiers.
TEST_CASE("a look-up never returns an object of another service")
{
    const published_set set(two_services());
    REQUIRE(set.targets_of({1}).size() == 2);
    CHECK(set.targets_of({1})[0].id == target_id{10});
    REQUIRE(set.targets_of({2}).size() == 1);
    CHECK(set.targets_of({2})[0].id == target_id{12});
    CHECK(set.targets_of({9}).empty());
    CHECK(set.find_target({11})->service == service_id{1});
    CHECK(set.find_target({99}) == nullptr);
}

// Guards against UDP packets that are accepted for a TCP listener, or packets
// for another port.
TEST_CASE("a reference is found by endpoint and protocol together")
{
    const published_set set(two_services());
    const endpoint public_endpoint{{0x0a000001}, 443};
    REQUIRE(set.find_reference(public_endpoint, protocol::tcp) != nullptr);
    CHECK(set.find_reference(public_endpoint, protocol::udp) == nullptr);
    CHECK(set.find_reference({{0x0a000001}, 444}, protocol::tcp) == nullptr);
}

// Guards against placing flows in a data centre that was removed from the set.
TEST_CASE("a data centre that is not in the set is not in service")
{
    const published_set set(two_services());
    CHECK(set.in_service({1}));
    CHECK_FALSE(set.in_service({2}));
}
