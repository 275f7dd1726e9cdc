#include "catkinkeel/contract/diff.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace catkinkeel;

namespace
{

published_objects two_services()
{
    return {.version = {1},
            .services = {{.id = {1}, .name = "orderdesk"},
                         {.id = {2}, .name = "platefiles"}},
            .data_centres = {{.id = {1}, .name = "zilina-a", .region = {1}},
                             {.id = {2}, .name = "trnava-c", .region = {1}}},
            .targets = {{{1}, {1}, {1}, {{1}, 80}, {{1}, 81}},
                        {{2}, {1}, {2}, {{2}, 80}, {{2}, 81}},
                        {{3}, {2}, {1}, {{3}, 80}, {{3}, 81}}},
            .references = {{{1}, {{9}, 443}, protocol::tcp, {1}},
                           {{2}, {{9}, 444}, protocol::tcp, {2}}}};
}

/// A change of the set and its description.
struct change
{
    void (*mutate)(published_objects&);
    /// Text that some line of the description must contain.
    std::string expected_text;
};

using objects = published_objects;

const std::vector<change> changes{
    {[](objects& o) { o.targets[0].wish = target_wish::drain; },
     "target 1 (0.0.0.1:80, service orderdesk, data centre zilina-a) is "
     "drained: established flows stay until they end; it gets no new flows"},
    {[](objects& o) { o.targets[0].weight = 50; }, "weight from 100 to 50"},
    {[](objects& o) { o.targets[0].address.port = 90; },
     "takes the identifier of target 1 (0.0.0.1:80"},
    {[](objects& o) { o.targets[0].slots = 4; }, "has 4 slots"},
    {[](objects& o) { o.targets[0].report.port = 90; }, "reports its load at"},
    {[](objects& o) { o.targets[0].data_centre = {2}; },
     "was in data centre zilina-a"},
    {[](objects& o) { o.targets.pop_back(); },
     "service platefiles, data centre zilina-a) is removed: its established "
     "flows end"},
    {[](objects& o) {
         o.targets.push_back({{4}, {1}, {1}, {{4}, 80}, {{4}, 81}});
     },
     "is added: it starts cold"},
    {[](objects& o) { o.references[0].service = {2}; },
     "0.0.0.9:443 tcp moves from service orderdesk to service platefiles: "
     "established flows stay with service orderdesk; new flows go to service "
     "platefiles"},
    {[](objects& o) { o.references.pop_back(); },
     "0.0.0.9:444 tcp is no longer bound to service platefiles"},
    {[](objects& o) { o.references[0].transport = protocol::udp; },
     "0.0.0.9:443 udp is bound to service orderdesk"},
    {[](objects& o) { o.services[0].name = "orders"; },
     "service orderdesk is renamed to orders: no effect on flows"},
    {[](objects& o) { o.services[0].new_flows_per_second = 7; },
     "admits 7 new flows a second"},
    {[](objects& o) {
         o.services.push_back({{3}, "proofs"});
     },
     "service proofs is added"},
    {[](objects& o) { o.services.pop_back(); },
     "service platefiles is removed"},
    {[](objects& o)
     { o.data_centres[0].wish = data_centre_wish::out_of_service; },
     "data centre zilina-a is taken out of service: established flows that "
     "end there are abandoned"},
    {[](objects& o) { o.data_centres[0].name = "zilina-z"; },
     "data centre zilina-a is renamed to zilina-z"},
    {[](objects& o) { o.data_centres[0].region = {2}; }, "moves to region 2"},
    {[](objects& o) { o.data_centres.pop_back(); },
     "data centre trnava-c is removed"},
    {[](objects& o) {
         o.data_centres.push_back({{3}, "zilina-b", {1}});
     },
     "data centre zilina-b is added"},
};

} // namespace

// Guards against a change that operators are not shown, or that is described
// with another effect on flows.
TEST_CASE("every kind of change is found and described in the users' terms")
{
    const published_set before(two_services());
    CHECK(diff_sets(before, before).empty());
    CHECK(describe(diff_sets(before, before)).empty());
    for (const change& each : changes)
    {
        auto objects = two_services();
        objects.version = {2};
        each.mutate(objects);
        const auto lines = describe(diff_sets(before, published_set(objects)));
        INFO(each.expected_text);
        CHECK(std::ranges::any_of(
            lines, [&](const std::string& line)
            { return line.find(each.expected_text) != std::string::npos; }));
        // The reverse change must be described too.
        CHECK(!describe(diff_sets(published_set(objects), before)).empty());
    }
}

// Guards against a moved endpoint that is described as an unbound one and a new
// one because the reference has a new identifier.
TEST_CASE("a moved endpoint is found although its reference was replaced")
{
    auto objects = two_services();
    objects.references[0] = {{7}, {{9}, 443}, protocol::tcp, {2}};
    const auto diff =
        diff_sets(published_set(two_services()), published_set(objects));
    REQUIRE(diff.moved_references.size() == 1);
    CHECK(diff.moved_references[0] ==
          moved_reference{{7}, {{9}, 443}, protocol::tcp, {1}, {2}});
    CHECK(describe(diff).size() == 1);
}

// Guards against callers of `diff_sets` that act on an unaffected object or
// miss an affected one.
TEST_CASE("the lists by effect contain exactly the affected objects")
{
    auto objects = two_services();
    objects.targets[0].wish = target_wish::drain;
    objects.targets[1].weight = 3;
    objects.targets[2].service = {1};
    objects.data_centres[1].wish = data_centre_wish::out_of_service;
    const published_set before(two_services());
    const published_set after(objects);
    const auto diff = diff_sets(before, after);
    CHECK(diff.drained == std::vector<target_id>{{1}});
    CHECK(diff.weights == std::vector<weight_change>{{{2}, 100, 3}});
    CHECK(diff.replaced == std::vector<target_id>{{3}});
    CHECK(diff.removed_from_service == std::vector<data_centre_id>{{2}});
    const auto reverse = diff_sets(after, before);
    CHECK(reverse.drain_cancelled == std::vector<target_id>{{1}});
    CHECK(reverse.returned_to_service == std::vector<data_centre_id>{{2}});
}
