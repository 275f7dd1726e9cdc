#include "catkinkeel/target/load_report.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>

using namespace catkinkeel;

namespace
{

const std::string good =
    R"({"instance": 17, "state": "ready", "connections": 40, "busy_slots": 1})";

bool refused(std::string_view text)
{
    return !parse_load_report(text).has_value();
}

std::string with(const std::string& member, const std::string& value)
{
    std::string text = good;
    const std::size_t at = text.find('"' + member + "\": ") + member.size() + 4;
    return text.replace(at, text.find_first_of(",}", at) - at, value);
}

} // namespace

TEST_CASE("a report is read, and members that are not known are ignored")
{
    const load_report expected{17, report_state::ready, 40, 1};
    CHECK(parse_load_report(good) == outcome<load_report>(expected));
    CHECK(parse_load_report(with("busy_slots", R"(1, "x": {"state": [0]})")) ==
          outcome<load_report>(expected));
    CHECK(parse_load_report(with("state", "\"cold\"")).value().state ==
          report_state::cold);
}

TEST_CASE("a string and a number never name the same instance")
{
    const auto text = parse_load_report(with("instance", "\"17\""));
    REQUIRE(text);
    CHECK(text.value().instance != 17);
    CHECK(text == parse_load_report(with("instance", "\"17\"")));
    CHECK(text != parse_load_report(with("instance", "\"18\"")));
}

TEST_CASE("a wrong type, a missing or doubled member is not taken for a load")
{
    for (const char* count : {"-1", "1.0", "1e2", "4294967296", "\"4\"", "null",
                              "true", "[4]", "99999999999999999999"})
    {
        CAPTURE(count);
        CHECK(refused(with("connections", count)));
        CHECK(refused(with("busy_slots", count)));
    }
    for (const char* instance :
         {"\"\"", "1.5", "-1", "null", "{}", "9223372036854775808"})
    {
        CAPTURE(instance);
        CHECK(refused(with("instance", instance)));
    }
    CHECK(refused(with("instance", '"' + std::string(129, 'a') + '"')));
    CHECK(refused(with("state", "\"warm\"")));
    CHECK(refused(with("state", "0")));
    CHECK(refused(with("state", "\"ready\", \"state\": \"cold\"")));
    CHECK(refused(R"({"state": "ready", "connections": 1, "busy_slots": 0})"));
    for (const char* body : {"", "null", "[]", "{", "{}", "17", "\"\\ud800\""})
    {
        CAPTURE(body);
        CHECK(refused(body));
    }
    CHECK(refused(good + "x"));
}

TEST_CASE("a body that is too long or too deep does not exhaust the stack")
{
    CHECK(parse_load_report(good + std::string(4096, ' ')).error().kind ==
          failure_kind::limit_exceeded);
    CHECK(refused(std::string(4096, '[')));
    CHECK(refused(
        with("state", std::string(2000, '[') + std::string(2000, ']'))));
}

TEST_CASE("no body stops the parser")
{
    CHECK(rc::check("random bytes", [](const std::string& body)
                    { (void)parse_load_report(body); }));
    CHECK(rc::check("a damaged report",
                    []
                    {
                        std::string body = good;
                        const int damages = *rc::gen::inRange(1, 6);
                        for (int i = 0; i < damages; ++i)
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
