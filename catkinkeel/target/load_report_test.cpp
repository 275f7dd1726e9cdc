#include "catkinkeel/target/load_report.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>

using namespace catkinkeel;

namespace
{

const std::string valid_report =
    R"({"instance": 17, "state": "ready", "connections": 40, "busy_slots": 1})";

bool is_rejected(std::string_view text)
{
    return !parse_load_report(text).has_value();
}

std::string with_member(const std::string& member, const std::string& value)
{
    std::string text = valid_report;
    const std::size_t at = text.find('"' + member + "\": ") + member.size() + 4;
    return text.replace(at, text.find_first_of(",}", at) - at, value);
}

} // namespace

TEST_CASE("a report is parsed and unknown members are ignored")
{
    const load_report expected{17, report_state::ready, 40, 1};
    CHECK(parse_load_report(valid_report) == outcome<load_report>(expected));
    CHECK(parse_load_report(
              with_member("busy_slots", R"(1, "x": {"state": [0]})")) ==
          outcome<load_report>(expected));
    CHECK(parse_load_report(with_member("state", "\"cold\"")).value().state ==
          report_state::cold);
}

TEST_CASE("a string and a number never name the same instance")
{
    const auto text = parse_load_report(with_member("instance", "\"17\""));
    REQUIRE(text);
    CHECK(text.value().instance != 17);
    CHECK(text == parse_load_report(with_member("instance", "\"17\"")));
    CHECK(text != parse_load_report(with_member("instance", "\"18\"")));
}

TEST_CASE("a load report with a wrong type or a missing or duplicate member is "
          "rejected")
{
    for (const char* count : {"-1", "1.0", "1e2", "4294967296", "\"4\"", "null",
                              "true", "[4]", "99999999999999999999"})
    {
        CAPTURE(count);
        CHECK(is_rejected(with_member("connections", count)));
        CHECK(is_rejected(with_member("busy_slots", count)));
    }
    for (const char* instance :
         {"\"\"", "1.5", "-1", "null", "{}", "9223372036854775808"})
    {
        CAPTURE(instance);
        CHECK(is_rejected(with_member("instance", instance)));
    }
    CHECK(is_rejected(
        with_member("instance", '"' + std::string(129, 'a') + '"')));
    CHECK(is_rejected(with_member("state", "\"warm\"")));
    CHECK(is_rejected(with_member("state", "0")));
    CHECK(is_rejected(with_member("state", "\"ready\", \"state\": \"cold\"")));
    CHECK(is_rejected(
        R"({"state": "ready", "connections": 1, "busy_slots": 0})"));
    for (const char* body : {"", "null", "[]", "{", "{}", "17", "\"\\ud800\""})
    {
        CAPTURE(body);
        CHECK(is_rejected(body));
    }
    CHECK(is_rejected(valid_report + "x"));
}

TEST_CASE("a body that is too long or too deep does not exhaust the stack")
{
    CHECK(
        parse_load_report(valid_report + std::string(4096, ' ')).error().kind ==
        failure_kind::limit_exceeded);
    CHECK(is_rejected(std::string(4096, '[')));
    CHECK(is_rejected(
        with_member("state", std::string(2000, '[') + std::string(2000, ']'))));
}

TEST_CASE("no body stops the parser")
{
    CHECK(rc::check("random bytes", [](const std::string& body)
                    { (void)parse_load_report(body); }));
    CHECK(rc::check("a damaged report",
                    []
                    {
                        std::string body = valid_report;
                        const int damage_count = *rc::gen::inRange(1, 6);
                        for (int i = 0; i < damage_count; ++i)
                        {
                            const auto at =
                                *rc::gen::inRange<std::size_t>(0, body.size());
                            body[at] = *rc::gen::arbitrary<char>();
                            if (*rc::gen::arbitrary<bool>())
                            {
                                body.insert(at, body.substr(at / 2));
                            }
                        }
                        (void)parse_load_report(body);
                    }));
}
