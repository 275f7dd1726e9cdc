#include "catkinkeel/cli/published_set_tools.hpp"
#include "catkinkeel/contract/write_documents.hpp"
#include "catkinkeel/settings/settings.hpp"

#include <catch2/catch.hpp>

using namespace catkinkeel;

namespace
{

const toml_published_set_tools tools;

std::string read_sample(const std::string& name)
{
    return read_text_file(CATKINKEEL_SOURCE_DIR "/samples/objects/" + name,
                          {1 << 20})
        .value();
}

std::string replace_first(std::string text, const std::string& from,
                          const std::string& to)
{
    const auto position = text.find(from);
    REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

std::string format_findings(const std::vector<set_finding>& findings)
{
    std::string text;
    for (const set_finding& finding : findings)
    {
        text += to_string(finding) + "\n";
    }
    return text;
}

} // namespace

TEST_CASE("the sample sets are valid as a whole and in chunks")
{
    for (const char* name : {"exlibris.toml", "habimana.toml"})
    {
        const std::string text = read_sample(name);
        CHECK(format_findings(tools.check({{name, text}})).empty());
        const auto read =
            std::get<published_objects>(parse_whole_set(text, name));
        const set_documents split = split_set(read, 8);
        std::vector<object_document> documents{{"index", split.index}};
        for (const auto& chunk : split.chunks)
        {
            documents.push_back({chunk.entry.name, chunk.text});
        }
        CHECK(format_findings(tools.check(documents)).empty());
        CHECK(tools.diff({{name, text}}, documents).value().empty());
        // A damaged or missing chunk must not be accepted as a smaller set.
        documents.back().text += "# changed\n";
        CHECK(tools.check(documents).size() == 2);
        documents.pop_back();
        CHECK(tools.check(documents).at(0).rule == "content");
    }
}

TEST_CASE("findings name file, line, object, field and rule")
{
    const std::string valid_text = read_sample("exlibris.toml");
    const auto dangling = tools.check(
        {{"a.toml", replace_first(valid_text, "protocol = \"tcp\"\nservice = 1",
                                  "protocol = \"tcp\"\nservice = 9")}});
    REQUIRE_FALSE(dangling.empty());
    const set_finding& first = dangling.front();
    CHECK(first.document == "a.toml");
    CHECK(first.line == 27);
    CHECK(first.object == "reference 1");
    CHECK(first.field == "service");
    CHECK(first.rule == "reference_service_exists");
    CHECK_FALSE(first.warning);

    const auto mistyped = tools.check(
        {{"a.toml", replace_first(valid_text, "weight = 100", "weigth = 9")}});
    REQUIRE(mistyped.size() == 1);
    CHECK(mistyped[0].object == "target 1");
    CHECK(mistyped[0].rule == "unknown_key");
    CHECK(mistyped[0].line > 0);
    CHECK(tools.check({{"a.toml", "version ="}}).at(0).rule == "syntax");
    CHECK(tools.check({}).at(0).rule == "documents");
    CHECK(tools.check({{"a", valid_text}, {"b", valid_text}}).at(0).rule ==
          "documents");
}

TEST_CASE("a warning does not refuse a set")
{
    const auto findings = tools.check(
        {{"a.toml", read_sample("exlibris.toml") +
                        "\n[[service]]\nid = 77\nname = \"spare\"\n"}});
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].rule == "service_without_references");
    CHECK(findings[0].warning);
    CHECK(findings[0].line > 200);
}

TEST_CASE("a diff lists changed fields and their effect on flows")
{
    const std::string valid_text = read_sample("exlibris.toml");
    const std::string drained_text =
        replace_first(replace_first(valid_text, "version = 1", "version = 2"),
                      "\"serve\"", "\"drain\"");
    const auto changes = tools.diff({{"a", valid_text}}, {{"b", drained_text}});
    REQUIRE(changes);
    REQUIRE(changes.value().size() == 2);
    CHECK(changes.value()[0] ==
          set_change{"changed", "target 1", "state serve -> drain"});
    CHECK(changes.value()[1].kind == "effect");
    CHECK(changes.value()[1].detail.find("is drained") != std::string::npos);
    CHECK(tools.diff({{"a", valid_text}}, {{"b", "["}}).error().kind ==
          failure_kind::invalid_input);
}
