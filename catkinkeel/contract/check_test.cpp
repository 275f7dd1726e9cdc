#include "catkinkeel/contract/check.hpp"
#include "catkinkeel/contract/documents.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

using namespace catkinkeel;

namespace
{

published_objects sample(const std::string& name)
{
    std::ifstream file(std::string(CATKINKEEL_SAMPLES) + "/" + name);
    std::stringstream text;
    text << file.rdbuf();
    const auto read = parse_whole_set(text.str(), name);
    REQUIRE(std::holds_alternative<published_objects>(read));
    return std::get<published_objects>(read);
}

/// Changes a valid set.
using mutation = void (*)(published_objects&);

/// A change that makes the sample set invalid, with the rule and the object of
/// the expected error.
struct bad_set
{
    mutation change;
    std::string_view rule;
    object_kind error_kind;
    std::uint64_t error_id;
};

using kind = object_kind;
using objects = published_objects;

const std::vector<bad_set> bad_sets{
    {[](objects& o) { o.version = {0}; }, "version_zero", kind::set, 0},
    {[](objects& o) { o.published_by = std::string(129, 'a'); }, "published_by",
     kind::set, 1},
    {[](objects& o) { o.published_by = "a\nb"; }, "published_by", kind::set, 1},
    {[](objects& o) { o.services.resize(16384); }, "service_count", kind::set,
     1},
    {[](objects& o) { o.data_centres.resize(65); }, "data_centre_count",
     kind::set, 1},
    {[](objects& o) { o.targets.resize(65536); }, "target_count", kind::set, 1},
    {[](objects& o) { o.references.resize(16384); }, "reference_count",
     kind::set, 1},
    {[](objects& o) { o.data_centres.clear(); }, "no_data_centre", kind::set,
     1},
    {[](objects& o)
     {
         for (data_centre& each : o.data_centres)
         {
             each.wish = data_centre_wish::out_of_service;
         }
     },
     "no_data_centre_in_service", kind::set, 1},
    {[](objects& o) { o.services[0].id = {0}; }, "service_id_zero",
     kind::service, 0},
    {[](objects& o) { o.data_centres[0].id = {0}; }, "data_centre_id_zero",
     kind::data_centre, 0},
    {[](objects& o) { o.targets[0].id = {0}; }, "target_id_zero", kind::target,
     0},
    {[](objects& o) { o.references[0].id = {0}; }, "reference_id_zero",
     kind::reference, 0},
    {[](objects& o) { o.services[1].id = {1}; }, "duplicate_service_id",
     kind::service, 1},
    {[](objects& o) { o.data_centres[1].id = {1}; }, "duplicate_data_centre_id",
     kind::data_centre, 1},
    {[](objects& o) { o.targets[1].id = {1}; }, "duplicate_target_id",
     kind::target, 1},
    {[](objects& o) { o.references[1].id = {1}; }, "duplicate_reference_id",
     kind::reference, 1},
    {[](objects& o) { o.services[0].name = ""; }, "service_name_empty",
     kind::service, 1},
    {[](objects& o) { o.services[0].name = std::string(65, 'a'); },
     "service_name_length", kind::service, 1},
    {[](objects& o) { o.services[0].name = "Order Desk"; },
     "service_name_characters", kind::service, 1},
    {[](objects& o) { o.services[1].name = "orderdesk"; },
     "duplicate_service_name", kind::service, 2},
    {[](objects& o) { o.data_centres[2].name = ""; }, "data_centre_name_empty",
     kind::data_centre, 3},
    {[](objects& o) { o.data_centres[2].name = std::string(65, 'a'); },
     "data_centre_name_length", kind::data_centre, 3},
    {[](objects& o) { o.data_centres[2].name = "a/b"; },
     "data_centre_name_characters", kind::data_centre, 3},
    {[](objects& o) { o.data_centres[2].name = "zilina-a"; },
     "duplicate_data_centre_name", kind::data_centre, 3},
    {[](objects& o) { o.services[0].new_flows_per_second = 100'000'001; },
     "new_flows_per_second_range", kind::service, 1},
    {[](objects& o)
     { o.services[0].new_flows_per_second_per_network = 4'000'000'000; },
     "new_flows_per_second_per_network_range", kind::service, 1},
    {[](objects& o) { o.targets[4].service = {9}; }, "target_service_exists",
     kind::target, 5},
    {[](objects& o) { o.targets[4].data_centre = {9}; },
     "target_data_centre_exists", kind::target, 5},
    {[](objects& o) { o.targets[4].address.port = 0; }, "address_port",
     kind::target, 5},
    {[](objects& o) { o.targets[4].report.port = 0; }, "report_port",
     kind::target, 5},
    {[](objects& o) { o.targets[4].address.address = {}; }, "address_unicast",
     kind::target, 5},
    {[](objects& o) { o.targets[4].report.address = {0xe0000001}; },
     "report_unicast", kind::target, 5},
    {[](objects& o) { o.targets[4].weight = 0; }, "weight_range", kind::target,
     5},
    {[](objects& o) { o.targets[4].weight = 1001; }, "weight_range",
     kind::target, 5},
    {[](objects& o) { o.targets[4].slots = 0; }, "slots_range", kind::target,
     5},
    {[](objects& o) { o.targets[4].slots = 10'001; }, "slots_range",
     kind::target, 5},
    {[](objects& o) { o.targets[4].connections = 0; }, "connections_range",
     kind::target, 5},
    {[](objects& o) { o.targets[4].connections = 1'000'001; },
     "connections_range", kind::target, 5},
    {[](objects& o) { o.targets[4].address = o.targets[3].address; },
     "duplicate_target_address", kind::target, 5},
    {[](objects& o) { o.references[1].service = {9}; },
     "reference_service_exists", kind::reference, 2},
    {[](objects& o) { o.references[1].public_endpoint.port = 0; },
     "address_port", kind::reference, 2},
    {[](objects& o) { o.references[1].public_endpoint.address = {0xffffffff}; },
     "address_unicast", kind::reference, 2},
    {[](objects& o)
     { o.references[1].public_endpoint = o.references[0].public_endpoint; },
     "reference_conflict", kind::reference, 2},
    {[](objects& o) {
         o.references[1].public_endpoint.address = o.targets[0].address.address;
     },
     "public_address_is_target", kind::reference, 2},
    {[](objects& o)
     {
         std::erase_if(o.targets, [](const target& each)
                       { return each.service == service_id{2}; });
     },
     "service_without_target", kind::service, 2},
};

bool contains_rule(const std::vector<object_error>& errors,
                   std::string_view rule)
{
    return std::ranges::find(errors, rule, &object_error::rule) != errors.end();
}

} // namespace

// Guards against a rule that refuses or warns about a valid site.
TEST_CASE("the samples contain both users' sites and pass every rule")
{
    const auto exlibris = sample("exlibris.toml");
    CHECK(check_objects(exlibris).empty());
    CHECK(find_warnings(exlibris, nullptr).empty());
    CHECK(exlibris.data_centres.size() == 3);
    const published_set exlibris_set(exlibris);
    CHECK(exlibris_set.targets_of({1}).size() == 14);
    CHECK(exlibris_set.targets_of({2}).size() == 4);

    const auto habimana = sample("habimana.toml");
    CHECK(check_objects(habimana).empty());
    CHECK(find_warnings(habimana, nullptr).empty());
    CHECK(habimana.data_centres.size() == 4);
    const published_set habimana_set(habimana);
    CHECK(habimana_set.targets_of({1}).size() == 14);
    CHECK(habimana_set.targets_of({2}).size() == 4);
    CHECK(habimana.targets[0].slots == 2);
    CHECK(habimana.targets[0].connections == 2000);
}

// Guards against a rule that no longer detects its violation, which would let
// an invalid set take effect, or that reports the wrong object.
TEST_CASE(
    "each invalid set is refused with an error that identifies its object")
{
    const auto good = sample("exlibris.toml");
    REQUIRE(bad_sets.size() >= 40);
    std::set<std::string_view> seen;
    for (const bad_set& each : bad_sets)
    {
        auto bad = good;
        each.change(bad);
        const auto errors = check_objects(bad);
        const auto expected =
            std::ranges::find_if(errors,
                                 [&](const object_error& error)
                                 {
                                     return error.rule == each.rule &&
                                            error.kind == each.error_kind &&
                                            error.id == each.error_id &&
                                            !error.message.empty();
                                 });
        INFO(each.rule);
        CHECK(expected != errors.end());
        seen.insert(each.rule);
    }
    // A rule without an entry in `bad_sets` would not be tested.
    for (const std::string_view rule : rule_ids())
    {
        INFO(rule);
        CHECK(seen.contains(rule));
    }
}

// Guards against unlimited memory for errors when all targets are invalid.
TEST_CASE("the number of reported errors is bounded")
{
    auto bad = sample("exlibris.toml");
    bad.targets.assign(24'000, target{});
    CHECK(check_objects(bad).size() == max_object_error_count);
}

// Guards against a warning that is lost, and against a rule that refuses a set
// that is merely unusual.
TEST_CASE("a suspect change causes a warning but is not refused")
{
    struct suspect_change
    {
        mutation change;
        std::string_view rule;
    };
    const std::vector<suspect_change> cases{
        {[](objects& o) { o.references.pop_back(); },
         "service_without_references"},
        {[](objects& o)
         {
             std::erase_if(o.targets, [](const target& each)
                           { return each.data_centre == data_centre_id{3}; });
         },
         "service_not_in_data_centre"},
        {[](objects& o)
         {
             for (target& each : o.targets)
             {
                 each.wish = target_wish::drain;
             }
         },
         "service_not_served"},
        {[](objects& o) { o.targets.back().address = o.targets[0].address; },
         "target_address_shared"},
        {[](objects& o)
         {
             o.services[0].new_flows_per_second = 5;
             o.services[0].new_flows_per_second_per_network = 6;
         },
         "network_limit_above_service"},
        {[](objects& o) { o.references[0].service = {2}; }, "reference_moved"},
        {[](objects& o) { o.targets[0].address.port = 9; }, "target_replaced"},
        {[](objects& o) { o.targets.pop_back(); },
         "target_removed_without_drain"},
        {[](objects& o) { std::swap(o.services[0].name, o.services[1].name); },
         "service_name_reused"},
        {[](objects& o)
         {
             o.data_centres.pop_back();
             std::erase_if(o.targets, [](const target& each)
                           { return each.data_centre == data_centre_id{3}; });
         },
         "data_centre_removed_in_service"},
    };
    const published_set before(sample("exlibris.toml"));
    for (const suspect_change& each : cases)
    {
        auto after = before.objects();
        each.change(after);
        INFO(each.rule);
        CHECK(check_objects(after).empty());
        CHECK(contains_rule(find_warnings(after, &before), each.rule));
    }
    // Every warning has a case.
    CHECK(cases.size() == warning_ids().size());
}
