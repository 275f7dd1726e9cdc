// Tests of the check of configurations, most of them from the document to the
// findings.

#include "catkinkeel/base/text_file.hpp"
#include "catkinkeel/configuration_check/configuration_check.hpp"
#include "platform/store_documents.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>
#include <variant>

using namespace catkinkeel;
using namespace catkinkeel::configuration_check;
using platform::configuration_names;
using platform::parse_configuration_draft;

namespace
{

const std::string sample_directory =
    CATKINKEEL_SOURCE_DIR "/samples/configuration/";

std::string read(const std::string& file)
{
    const auto text = read_text_file(file, {1UL << 20U});
    REQUIRE(text);
    return text.value();
}

std::string clean_document()
{
    return read(sample_directory + "in_force.json");
}

std::string replace(std::string text, const std::string& from,
                    const std::string& to)
{
    const auto position = text.find(from);
    REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

std::string check(const std::string& document)
{
    return to_text(check_configuration(parse_configuration_draft(document),
                                       configuration_names));
}

std::string compare(const std::string& in_force, const std::string& next)
{
    return to_text(compare_configurations(parse_configuration_draft(in_force),
                                          parse_configuration_draft(next),
                                          configuration_names));
}

constexpr const char* no_findings = "0 errors, 0 warnings, 0 differences\n";

} // namespace

TEST_CASE("a sound configuration has no findings")
{
    // Guards against false alarms, which operators learn to ignore.
    const std::string clean = clean_document();
    CHECK(check(clean) == no_findings);
    const auto two_routes_of_equal_priority =
        replace(clean, "\"priority\": 0", "\"priority\": 1");
    CHECK(check(two_routes_of_equal_priority) == no_findings);
    CHECK(check(R"({"version":1,"routes":[{"name":"a","host":"198.18.0.1",)"
                R"("prefix":"/80/","service":"x"}],)"
                R"("services":[{"name":"x"}]})") == no_findings);
    CHECK(compare(clean, replace(clean, "7", "8")) == no_findings);
}

TEST_CASE("each fault of one field gives exactly its finding")
{
    // Guards against a fault that is missed, and against one that hides behind
    // follow-up findings.
    for (const auto& [from, to, expected] :
         {std::tuple{"198.18.0.2", "198.18.0.1",
                     "error: route status: never matches: route booking "
                     "further down has the same address 198.18.0.1:8443"},
          std::tuple{"\"name\": \"status\"", "\"name\": \"booking\"",
                     "warning: route booking: the name is used more than once"},
          std::tuple{"{\"name\": \"platefiles\"}",
                     "{\"name\": \"platefiles\"}, {\"name\": \"platefiles\"}",
                     "warning: service platefiles: is defined more than once"},
          std::tuple{"{\"name\": \"platefiles\"}",
                     "{\"name\": \"platefiles\"}, {\"name\": \"spare\"}",
                     "warning: service spare: no route uses it"},
          std::tuple{"\"service\": \"orderdesk\"", "\"service\": \"orderdesc\"",
                     "error: route status: service orderdesc is not defined"},
          std::tuple{"\"service\": \"orderdesk\"",
                     R"("backends": [{"service": "orderdesk", "weight": 1},)"
                     R"({"service": "platefiles", "weight": 0}])",
                     "warning: route status: service platefiles has weight 0"},
          std::tuple{"\"service\": \"orderdesk\"",
                     R"("backends": [{"service": "orderdesk", "weight": 0}])",
                     "warning: route status: all weights are 0, so service "
                     "orderdesk gets all"},
          std::tuple{"\"aim_ms\": 400", "\"aim_ms\": 2501",
                     "warning: route status: aim_ms 2501 is above "
                     "timeout_ms 2500"},
          std::tuple{"\"aim_ms\": 400, ", "",
                     "warning: route status: has a priority but no aim_ms"},
          std::tuple{"\"timeout_ms\": 2500", "\"timeout_ms\": 60001",
                     "warning: route status: timeout_ms 60001 is above "
                     "limits.idle_timeout_ms 60000"},
          std::tuple{", \"warmup_s\": 4", "",
                     "warning: service orderdesk: warmup_per_s limits"},
          std::tuple{"\"warmup_s\": 4", "\"warmup_s\": 0",
                     "warning: service orderdesk: warmup_per_s limits"},
          std::tuple{"2.5", "-1", "warning: service orderdesk: warmup_per_s"},
          std::tuple{"\"safe\"", "\"get\"",
                     "warning: route status: kind \"get\" is none of safe, "
                     "download, unsafe, upload"},
          std::tuple{"\"safe\"", "7", "warning: route status: kind \"\" is"},
          std::tuple{"\"timeout_ms\": 2500", "\"timeout_ms\": 0",
                     "warning: route status: timeout_ms is 0"},
          std::tuple{"\"timeout_ms\": 2500", "\"timeout_ms\": 86400001",
                     "warning: route status: timeout_ms is not a number"},
          std::tuple{"\"aim_ms\": 1200", "\"aim_ms\": -1",
                     "warning: route manifest: aim_ms is not a number"},
          std::tuple{"60000", "\"60000\"",
                     "warning: limits.idle_timeout_ms is not a number"},
          std::tuple{"\"priority\": 1", "\"priority\": 16",
                     "warning: route status: priority is not"}})
    {
        const auto findings = check_configuration(
            parse_configuration_draft(replace(clean_document(), from, to)),
            configuration_names);
        const std::string text = to_text(findings);
        CAPTURE(to, text);
        CHECK(has_faults(findings));
        CHECK(text.starts_with(expected));
        CHECK((text.ends_with("\n1 error, 0 warnings, 0 differences\n") ||
               text.ends_with("\n0 errors, 1 warning, 0 differences\n")));
    }
}

TEST_CASE("every invalid part is reported, and nothing that follows from it")
{
    // Guards against operators who correct one route at a time, and against a
    // service that counts as unused because its only route was rejected.
    std::string document = replace(clean_document(), "198.18.0.1", "x");
    document = replace(document, "\"/80/\"", "\"80\"");
    document = replace(document, "{\"name\": \"platefiles\"}",
                       "{\"name\": \"platefiles\"}, 5");
    const std::string text = check(document);
    CAPTURE(text);
    CHECK(text.find("error: route 1 (status): ") != std::string::npos);
    CHECK(text.find("error: route 3 (manifest): ") != std::string::npos);
    CHECK(text.find("error: service 3: ") != std::string::npos);
    CHECK(text.ends_with("3 errors, 0 warnings, 0 differences\n"));
    for (const char* unusable : {"", "[]", "{", "\xff"})
    {
        CHECK(check(unusable).ends_with("1 error, 0 warnings, "
                                        "0 differences\n"));
    }
    CHECK(check("{}").starts_with("error: missing or not an integer"));
}

TEST_CASE("the check and the daemon agree on what is rejected")
{
    // Guards against a document that the check finds clean and that daemons
    // reject as a whole.
    const std::string clean = clean_document();
    CHECK(rc::check(
        "random edits of a document",
        [&]
        {
            std::string text = clean;
            const auto edits = *rc::gen::inRange<std::size_t>(1, 4).as("edits");
            for (std::size_t i = 0; i < edits; ++i)
            {
                text[*rc::gen::inRange<std::size_t>(0, text.size())] =
                    *rc::gen::element('"', '0', '9', '-', '/', 'a', '{', ' ');
            }
            const auto draft = parse_configuration_draft(text);
            const auto change =
                platform::to_change({.key = "op/config", .value = text});
            const auto* published =
                std::get_if<steering::configuration_published>(&*change);
            RC_ASSERT((published != nullptr) == draft.rejected.empty());
            if (published != nullptr)
            {
                RC_ASSERT(published->configuration == draft.configuration);
            }
        }));
}

TEST_CASE("a version that is not higher than that in force is an error")
{
    // Guards against a change that every daemon ignores without a word.
    for (const char* version : {"7", "6"})
    {
        const auto next = replace(clean_document(), "7", version);
        CHECK(compare(clean_document(), next)
                  .starts_with("error: version " + std::string(version) +
                               " is not higher than 7, the version in force"));
    }
}

TEST_CASE("differences name the field, both values and the effect on flows")
{
    // Guards against a removal that operators do not notice, and against an
    // exit status that reports every intended change as a fault.
    const std::string clean = clean_document();
    std::string next = replace(clean, "\"version\": 7", "\"version\": 8");
    next = replace(next, "\"manifest\"", "\"log\"");
    next = replace(next, "\"aim_ms\": 400", "\"aim_ms\": 300");
    next = replace(next, "\"unsafe\"", "\"upload\"");
    next = replace(next, "2.5", "0.25");
    next = replace(next, "platefiles", "logs");
    next = replace(next, "{\"name\": \"platefiles\"}", "{\"name\": \"logs\"}");
    next = replace(next, "60000", "30000");
    const auto findings = compare_configurations(
        parse_configuration_draft(clean), parse_configuration_draft(next),
        configuration_names);
    CHECK_FALSE(has_faults(findings));
    CHECK(to_text(findings) ==
          "difference: route manifest: is removed\n"
          "difference: route booking: kind changes from unsafe to upload\n"
          "difference: route log: is added at 198.18.0.3:80 with logs weight "
          "1\n"
          "difference: route status: aim_ms changes from 400 to 300\n"
          "difference: route manifest: route log takes over its address "
          "198.18.0.3:80\n"
          "difference: service platefiles: is removed\n"
          "difference: service logs: is added\n"
          "difference: service orderdesk: warmup_per_s changes from 2.5 to "
          "0.25\n"
          "difference: service platefiles: loses its last route and gets no "
          "new flows\n"
          "difference: limits.idle_timeout_ms changes from 60000 to 30000\n"
          "0 errors, 0 warnings, 10 differences\n");
    // A changed address ends flows as a removal does.
    next = replace(clean, "\"version\": 7", "\"version\": 8");
    CHECK(compare(clean, replace(next, "198.18.0.3", "198.18.0.4")) ==
          "difference: route manifest: address changes from 198.18.0.3:80 to "
          "198.18.0.4:80\n"
          "difference: route manifest: new flows to 198.18.0.3:80 are refused, "
          "and its open flows end at the latest after the longest life of a "
          "flow\n"
          "0 errors, 0 warnings, 2 differences\n");
}

TEST_CASE("documents with rejected parts are not compared")
{
    // Guards against a rejected route that is shown as removed.
    const auto broken = replace(clean_document(), "198.18.0.1", "x");
    for (const auto& text :
         {compare(clean_document(), broken), compare(broken, clean_document())})
    {
        CAPTURE(text);
        CHECK(text.starts_with("error: not compared"));
        CHECK(text.ends_with("1 error, 0 warnings, 0 differences\n"));
    }
}

TEST_CASE("a finding is one line whatever the document's names contain")
{
    // Guards against a name that forges lines of the output.
    const auto text =
        check(replace(clean_document(), "\"service\": \"orderdesk\"",
                      "\"service\": \"a\\nerror: b\""));
    CHECK(text.find("service a?error: b is not defined") != std::string::npos);
}

TEST_CASE("the page shows the present output for the sample")
{
    // Guards against documentation that shows another output than operators
    // get.
    const auto in_force = parse_configuration_draft(clean_document());
    const auto next = parse_configuration_draft(
        read(sample_directory + "with_findings.json"));
    auto findings = check_configuration(next, configuration_names);
    const auto differences =
        compare_configurations(in_force, next, configuration_names);
    findings.insert(findings.end(), differences.begin(), differences.end());
    const auto page = read(CATKINKEEL_SOURCE_DIR "/docs/cli.md");
    CHECK(page.find(to_text(findings)) != std::string::npos);
}
