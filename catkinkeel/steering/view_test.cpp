#include "catkinkeel/steering/steering_samples.hpp"
#include "catkinkeel/steering/view.hpp"

#include <catch2/catch.hpp>

using namespace catkinkeel;
using namespace catkinkeel::steering;

namespace
{

/// A view with two targets that share a token. The first belongs to service
/// `first_target_service`, the second to service 0.
view_data targets_sharing_token(std::uint32_t first_target_service)
{
    view_data parts;
    parts.services = {{"orderdesk"}, {"platefiles"}};
    parts.data_centres = {"zilina-a"};
    parts.references = {{.name = "r",
                         .address = address(1, 443),
                         .weighted_services = {{{0}, 1}},
                         .permitted_services = {{0}}}};
    parts.targets = {{.id = {1},
                      .name = "later",
                      .token = {77},
                      .started_ms = 2000,
                      .service = {first_target_service}},
                     {.id = {2},
                      .name = "earlier",
                      .token = {77},
                      .started_ms = 1000,
                      .service = {0}}};
    return parts;
}

} // namespace

TEST_CASE("tokens depend only on the name and are never `no_token`")
{
    // The value is fixed because another hash function would break the flows
    // that are open during an upgrade.
    CHECK(token_of("i-7f3a91c2") == token_of(std::string("i-7f3a91c2")));
    CHECK(token_of("i-7f3a91c2") != token_of("i-7f3a91c3"));
    CHECK(token_of("") != no_token);
    CHECK(token_of("i-7f3a91c2").value == 0xc654b0d8U);
}

TEST_CASE("of two targets with one token only the older one gets new flows")
{
    // Guards against steering a packet to the wrong one of the two targets.
    const steering_view view(targets_sharing_token(0));
    CHECK(view.parts().targets[0].standing == target_standing::token_taken);
    CHECK(view.eligible_targets({0}).size() == 1);
    const view_reference& reference = view.parts().references[0];
    const view_target* found = view.find_target(reference, {77});
    REQUIRE(found != nullptr);
    CHECK(found->name == "earlier");
}

TEST_CASE(
    "the target of a shared token does not depend on the order of targets")
{
    view_data swapped = targets_sharing_token(0);
    std::swap(swapped.targets[0], swapped.targets[1]);
    const steering_view view(swapped);
    const view_target* found =
        view.find_target(view.parts().references[0], {77});
    REQUIRE(found != nullptr);
    CHECK(found->name == "earlier");
}

TEST_CASE("a token reaches only services that the reference permits")
{
    // Guards against clients that forge a token.
    view_data parts = targets_sharing_token(1);
    parts.targets[1].token = {78};
    const steering_view view(parts);
    CHECK(view.find_target(view.parts().references[0], {77}) == nullptr);
    CHECK(view.find_target(view.parts().references[0], no_token) == nullptr);
    CHECK(view.find_target(view.parts().references[0], {79}) == nullptr);
    CHECK(view.find_target(view.parts().references[0], {78}) != nullptr);
}
