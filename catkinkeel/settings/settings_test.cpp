#include "catkinkeel/base/random.hpp"
#include "catkinkeel/settings/settings.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace catkinkeel;

namespace
{

std::string source_file(const std::string& name)
{
    return read_text_file(CATKINKEEL_SOURCE_DIR "/" + name, max_settings_size)
        .value();
}

std::string exlibris_sample()
{
    return source_file("samples/settings/exlibris-zilina-a-1.toml");
}

std::string habimana_sample()
{
    return source_file("samples/settings/habimana-kg-nyarugenge-1.toml");
}

/// Only the required keys.
const std::string minimal = "[vm]\n"
                            "id = 9\n"
                            "name = \"x\"\n"
                            "data_centre = 1\n"
                            "[endpoints]\n"
                            "packets = \"10.0.0.9:6080\"\n"
                            "control = \"10.0.0.9:6081\"\n"
                            "egress = \"10.0.0.1:6080\"\n"
                            "[platform]\n"
                            "configuration = \"10.0.0.2:80\"\n"
                            "vm_list = \"10.0.0.3:80\"\n"
                            "[keys]\n"
                            "file = \"k\"\n";

/// The formatted problems of a settings text; empty if it is valid.
std::vector<std::string> problems_of(const std::string& text)
{
    const settings_result result = parse_settings(text);
    std::vector<std::string> texts;
    if (const auto* problems =
            std::get_if<std::vector<settings_problem>>(&result))
    {
        for (const settings_problem& problem : *problems)
        {
            texts.push_back(to_string(problem));
        }
    }
    return texts;
}

/// `text` with the first occurrence of `from` replaced by `to`.
std::string replaced(std::string text, const std::string& from,
                     const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

using text_list = std::vector<std::string>;

} // namespace

// Guards against a page that was not generated again after a change of the
// keys.
TEST_CASE("docs/settings.md matches the table of keys")
{
    CHECK(source_file("docs/settings.md") == settings_markdown());
}

// Guards against a change of the keys or rules that refuses settings in use.
TEST_CASE("the sample settings are accepted")
{
    const settings_result first = parse_settings(exlibris_sample());
    CHECK(problems_of(exlibris_sample()).empty());
    const auto& zilina = std::get<daemon_settings>(first);
    CHECK(zilina.id == vm_id{1});
    CHECK(zilina.name == "zilina-a-1");
    CHECK(zilina.tcp_idle_timeout == std::chrono::seconds{900});
    REQUIRE(zilina.peers.size() == 3);
    CHECK(zilina.peers[2] ==
          peer_settings{{5}, {3}, {{0x0a47030b}, 6081}, {{0x0a47030b}, 6080}});

    CHECK(problems_of(habimana_sample()).empty());
    const settings_result second = parse_settings(habimana_sample());
    const auto& kigali = std::get<daemon_settings>(second);
    CHECK(kigali.load_bound == 0.03);
    CHECK(kigali.log_encoding == log_format::json);
    CHECK(kigali.peers.size() == 6);
}

// Guards against an unintended change of a default.
TEST_CASE("an omitted key keeps its documented default")
{
    const settings_result result = parse_settings(minimal);
    REQUIRE(problems_of(minimal).empty());
    const auto& settings = std::get<daemon_settings>(result);
    CHECK(settings.operators == endpoint{{0x7f000001}, 9080});
    CHECK(settings.control_budget == byte_count{2048});
    CHECK(settings.tcp_idle_timeout == std::chrono::seconds{300});
    CHECK(settings.log_level == severity::info);
    CHECK(settings.peers.empty());
}

// Guards against an unreadable or overlong file that is taken for an empty one
// or read without a limit.
TEST_CASE("a file that can't be read or is too long is a failure")
{
    const std::string docs = CATKINKEEL_SOURCE_DIR "/docs";
    CHECK(read_text_file(docs + "/none", {100}).error().kind ==
          failure_kind::unavailable);
    CHECK(read_text_file(docs, {100}).error().kind ==
          failure_kind::unavailable);
    CHECK(read_text_file(docs + "/design.md", {100}).error().kind ==
          failure_kind::limit_exceeded);
}

// Guards against operators who have to restart the daemon for each problem, and
// against values that are accepted with the wrong type or range.
TEST_CASE("every problem of a file is reported at once with its line")
{
    const std::string file = "[vm]\n"
                             "id = \"one\"\n"
                             "name = \"\"\n"
                             "data_centre = 70000\n"
                             "[endpoints]\n"
                             "packets = \"10.0.0.9\"\n"
                             "controll = \"10.0.0.9:6081\"\n"
                             "egress = 5\n"
                             "[platfrom]\n"
                             "[keys]\n"
                             "file = \"k\"\n"
                             "[flows]\n"
                             "load_bound = nan\n"
                             "[log]\n"
                             "level = \"loud\"\n";
    const std::string no_endpoint = parse_endpoint("10.0.0.9").error().message;
    const std::string unknown_key =
        "line 7: endpoints.controll: unknown key; did "
        "you mean endpoints.control?";
    const std::string wrong_type = "line 8: endpoints.egress: must be a string "
                                   "\"address:port\", not an integer";
    const std::string bad_severity =
        "line 15: log.level: must be one of \"debug\", "
        "\"info\", \"warning\", \"error\", "
        "\"critical\"";
    CHECK(problems_of(file) ==
          text_list{"endpoints.control: required key is missing",
                    "platform.configuration: required key is missing",
                    "platform.vm_list: required key is missing",
                    "line 2: vm.id: must be an integer, not a string",
                    "line 3: vm.name: length in bytes must be from 1 to 64",
                    "line 4: vm.data_centre: value must be from 1 to 65535",
                    "line 6: endpoints.packets: " + no_endpoint, unknown_key,
                    wrong_type,
                    "line 9: platfrom: unknown key; did you mean platform?",
                    "line 13: flows.load_bound: value must be from 0.01 to 1",
                    bad_severity});
}

// Guards against multi-line messages of toml11 and against the loss of the
// line.
TEST_CASE("a syntax error names its line")
{
    const auto problems = problems_of(minimal + "[flows\ncapacity = 5\n");
    REQUIRE(problems.size() == 1);
    CHECK(problems[0].rfind("line 14: ", 0) == 0);
    CHECK(problems[0].find('\n') == std::string::npos);
}

// Guards against an identifier that is truncated to 32 bits.
TEST_CASE("out-of-range and non-integer numbers are rejected without wrapping")
{
    for (const char* number : {"-1", "0", "4294967296", "9223372036854775808",
                               "99999999999999999999999", "1e3", "1.0"})
    {
        INFO(number);
        CHECK_FALSE(problems_of(replaced(minimal, "id = 9",
                                         "id = " + std::string(number)))
                        .empty());
    }
    CHECK(problems_of(replaced(minimal, "id = 9", "id = 4294967295")).empty());
}

// Guards against a daemon that starts with valid values that contradict each
// other, such as two listeners at one endpoint.
TEST_CASE("contradictory settings are rejected")
{
    CHECK(
        problems_of(replaced(minimal, "egress = \"10.0.0.1:6080\"",
                             "egress = \"10.0.0.9:6080\"")) ==
        text_list{"line 8: endpoints.egress: is the same as endpoints.packets "
                  "(10.0.0.9:6080)"});
    CHECK(problems_of(replaced(minimal, "egress",
                               "operators = \"10.0.0.9:6081\"\negress")) ==
          text_list{"line 8: endpoints.operators: is the same as "
                    "endpoints.control (10.0.0.9:6081)"});
    const std::string peer = "[[peers]]\n"
                             "id = 4\n"
                             "data_centre = 1\n"
                             "control = \"10.0.0.4:6081\"\n"
                             "packets = \"10.0.0.4:6080\"\n";
    CHECK(problems_of(minimal + peer).empty());
    CHECK(problems_of(minimal + peer + peer) ==
          text_list{"line 14: peers: id 4 occurs twice"});
    CHECK(problems_of(minimal + peer + replaced(peer, "id = 4", "id = 5")) ==
          text_list{
              "line 14: peers: peers 4 and 5 have the same control endpoint",
              "line 14: peers: peers 4 and 5 have the same packets "
              "endpoint"});
    CHECK(
        problems_of(minimal + replaced(peer, "id = 4", "id = 9")) ==
        text_list{"line 14: peers: peer 9 has the id or an endpoint of this VM "
                  "but differs from it"});
    CHECK(problems_of(minimal + replaced(peer, "id = 4", "idd = 4")) ==
          text_list{"line 14: peers.id: required key is missing",
                    "line 15: peers.idd: unknown key; did you mean id?"});
}

// Guards against a stack overflow in the recursive parser toml11.
TEST_CASE("deeply nested or overlong text can't exhaust the stack")
{
    std::string dotted = "a";
    for (int i = 0; i < 100'000; ++i)
    {
        dotted += ".a";
    }
    for (const std::string& text :
         {"a = " + std::string(100'000, '['),
          "a = " + std::string(100'000, '{'), dotted + " = 1\n",
          std::string(1'000'000, '\n')})
    {
        CHECK(problems_of(text).size() == 1);
    }
}

// Guards against crashes, and against an invalid text without a problem.
TEST_CASE("no mutation of a settings file crashes the parser")
{
    const std::vector<std::string> seeds{exlibris_sample(), habimana_sample(),
                                         minimal};
    const std::vector<std::string> tokens{
        "[",           "]",      "[[",   "]]",   "{",      "}",
        "\"",          "\"\"\"", "'",    "'''",  "=",      ".",
        ",",           "\n",     "\r\n", "\\u",  "#",      std::string(1, '\0'),
        "1e9",         "-0",     "0x",   "0b2",  "inf",    "nan",
        "1_0",         "true",   "\\",   "12:0", "\xff",   "\xc3",
        "\\UFFFFFFFF", "+",      "_",    "vm.",  "1979-5", "[vm]\n",
        "peers = 1\n"};
    const bool holds = rc::check(
        [&](std::uint64_t seed)
        {
            random_source random(seed);
            std::string text = seeds[random.below(seeds.size())];
            const std::uint64_t change_count = 1 + random.below(8);
            for (std::uint64_t i = 0; i < change_count; ++i)
            {
                const std::size_t at = random.below(text.size() + 1);
                const std::size_t count = random.below(40);
                switch (random.below(4))
                {
                case 0:
                    text.erase(at, count);
                    break;
                case 1:
                    text.insert(at, tokens[random.below(tokens.size())]);
                    break;
                case 2:
                    text.insert(
                        at, text.substr(random.below(text.size() + 1), count));
                    break;
                default:
                    text.insert(at, 1, static_cast<char>(random.below(256)));
                }
            }
            const settings_result result = parse_settings(text);
            if (const auto* problems =
                    std::get_if<std::vector<settings_problem>>(&result))
            {
                RC_ASSERT(!problems->empty());
                RC_ASSERT(std::ranges::is_sorted(*problems));
            }
        });
    CHECK(holds);
}
