#include "catkinkeel/base/random.hpp"
#include "catkinkeel/link/drop.hpp"
#include "catkinkeel/operators/documents.hpp"
#include "catkinkeel/operators/enum_names.hpp"
#include "catkinkeel/operators/metrics.hpp"
#include "catkinkeel/packet/reject_reason.hpp"
#include "catkinkeel/packet/udp_socket.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

using namespace catkinkeel;

namespace
{

std::string read_source_file(const std::string& name)
{
    std::ifstream file(CATKINKEEL_SOURCE_DIR "/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

const daemon_identity identity{
    {1}, "zilina-a-1", {1}, "0.1.0", wall_time{std::chrono::seconds{1000}}};

status_document sample_status()
{
    status_document document;
    document.daemon = identity;
    document.uptime_seconds = 70;
    document.shutting_down = true;
    document.set = {{7},
                    wall_time{std::chrono::seconds{900}},
                    "jana",
                    refused_set{{8}, wall_time{}, {"\"x\" is dangling"}}};
    document.members = {
        {{2}, {1}, {{0x0a000001}, 6081}, 3, liveness::suspect, true, {7}}};
    document.data_centres = {
        {{1}, "zilina-a", data_centre_wish::out_of_service, 2, 8192}};
    document.targets = {{.id = {11},
                         .service = {1},
                         .data_centre = {1},
                         .address = {{0x0a000002}, 80},
                         .wish = target_wish::drain,
                         .reason = admission_limit_reason::ramping,
                         .limit = 4,
                         .held = 3,
                         .connections = 9,
                         .busy_slots = 1,
                         .report_age_ms = 250,
                         .steward = {2}}};
    document.buckets = {1, 2, 3, 4};
    document.flows = {5, 6, 7, 8, 9, 10};
    document.replication = {11, 12, 13};
    document.control = {{2048}, {14}, {15}};
    document.dropped_packets = {{"hop_limit", 16}};
    return document;
}

explain_document sample_explain()
{
    return {.daemon = identity,
            .caller = {{0x0a000009}, 5},
            .public_endpoint = {{0x0a000008}, 443},
            .transport = protocol::udp,
            .in_effect = {7},
            .bucket = {16383},
            .home = {2},
            .owner = {3},
            .standby = {4},
            .holder = true,
            .reference = reference_id{5},
            .service = std::nullopt,
            .action = explained_action::deliver,
            .source = explained_source::base_table,
            .target = target_id{11},
            .reason = "warm",
            .candidates = {{{11}, 100, 3, 2000, admission_limit_reason::warm}}};
}

audit_document sample_audit()
{
    const event_record event{
        event_number::set_in_effect,
        wall_time{std::chrono::seconds{5}},
        {field("version", 7), field("published_by", "jana")}};
    return {identity,
            3,
            {make_audit_line({4, event, {{7}, "published set", "jana"}})}};
}

// Whether metric names may contain `c`.
bool is_name_character(char c)
{
    return c == '_' || (c >= 'a' && c <= 'z');
}

template <class Document>
void check_round_trip(const Document& document)
{
    const auto decoded = from_json<Document>(to_json(document));
    INFO(to_json(document));
    REQUIRE(decoded);
    CHECK(decoded.value() == document);
}

// Edits the JSON text of a document at random. The decoder must neither crash
// nor throw, and a document that it accepts must be valid.
template <class Document>
void check_mutations(const Document& document)
{
    const std::string original = to_json(document);
    const std::vector<std::string> tokens{
        "{",     "}",   "[",    "]",     "\"",
        ":",     ",",   "null", "true",  "-1",
        "1e99",  "1.5", "\\",   "\\u",   "\xff",
        "[[",    "{}",  "[]",   "0",     "\"\"",
        "99999", " ",   "7",    "\\ud8", "9223372036854775808"};
    const bool passed = rc::check(
        [&](std::uint64_t seed)
        {
            random_source random(seed);
            std::string text = original;
            const std::uint64_t edit_count = 1 + random.below(4);
            for (std::uint64_t i = 0; i < edit_count; ++i)
            {
                const std::size_t position = random.below(text.size() + 1);
                switch (random.below(3))
                {
                case 0:
                    text.erase(position, random.below(20));
                    break;
                case 1:
                    text.insert(position, tokens[random.below(tokens.size())]);
                    break;
                default:
                    text.insert(position, 1,
                                static_cast<char>(random.below(256)));
                }
            }
            const auto decoded = from_json<Document>(text);
            if (decoded)
            {
                // An accepted document is the same after encoding and decoding.
                RC_ASSERT(from_json<Document>(to_json(decoded.value())) ==
                          decoded);
            }
        });
    CHECK(passed);
}

// `enumerator_count` is stated by hand. Detects a row that is missing from the
// name table and a name that two enumerators share.
template <class Enum>
void check_names(std::size_t enumerator_count)
{
    std::set<std::string_view> names;
    for (const enum_name<Enum>& row : names_of(Enum{}))
    {
        names.insert(row.name);
    }
    CHECK(names.size() == enumerator_count);
}

} // namespace

// Guards against a member that the table of JSON fields lacks: nearly every
// member of the samples differs from its default.
TEST_CASE("encoding and decoding a document returns the same document")
{
    check_round_trip(sample_status());
    check_round_trip(status_document{});
    check_round_trip(sample_audit());
    check_round_trip(sample_explain());
    check_round_trip(explain_document{});
}

// Guards against a crash of the command-line tool on a response that was cut
// off or altered.
TEST_CASE("no mutation of a document crashes the decoder")
{
    check_mutations(sample_status());
    check_mutations(sample_audit());
    check_mutations(sample_explain());
    // Nesting this deep would overflow the stack of a recursive decoder.
    CHECK_FALSE(from_json<status_document>(std::string(200'000, '[')));
}

TEST_CASE("the error for an invalid document names the wrong field")
{
    const auto error = [](const std::string& text)
    {
        return from_json<status_document>(text).error().message;
    };
    CHECK(error("") == "not a JSON object");
    CHECK(error("{}") == "the field \"kind\" is not status");
    CHECK(error(to_json(sample_audit())) == "the field \"kind\" is not status");
    CHECK(error(R"({"kind":"status","format":2})") ==
          "the field \"format\" is not 1");
    const std::string head = R"({"kind":"status","format":1,)";
    CHECK(error(head + R"("targets":[{"id":1},{"id":-1}]})") ==
          "targets[1].id: must be an integer from 0 to 4294967295");
    CHECK(error(head + R"("daemon":{"data_centre":65536}})") ==
          "daemon.data_centre: must be an integer from 0 to 65535");
    CHECK(error(head + R"("members":[{"state":"lazy"}]})") ==
          "members[0].state: unknown value");
    CHECK(error(head + R"("set":{"since":"today"}})").rfind("set.since: ", 0) ==
          0);
}

// Guards against a command-line tool that can't read a daemon of the previous
// or next release.
TEST_CASE(
    "a document may have unknown fields and lack known ones of this release")
{
    const auto decoded = from_json<status_document>(
        R"({"kind":"status","format":1,"uptime_seconds":5,"new":{"x":[1]}})");
    REQUIRE(decoded);
    CHECK(decoded.value().uptime_seconds == 5);
    CHECK(decoded.value().members.empty());
}

TEST_CASE("an audit line contains text, kind of change, cause and publisher")
{
    const audit_line line = sample_audit().entries.at(0);
    CHECK(line.text == "set 7 is in effect, published by jana");
    CHECK(line.change == "set");
    CHECK(line.event == 2002);
    CHECK(line.cause == "published set");
    CHECK(line.published_by == "jana");
}

TEST_CASE("request paths have all parameters; a flow error names the wrong one")
{
    const auto key = parse_flow_key("10.0.0.1:40000", "10.0.0.2:443", "tcp");
    REQUIRE(key);
    CHECK(explain_request_path(key.value()) ==
          "/v1/explain?caller=10.0.0.1:40000&public=10.0.0.2:443&protocol=tcp");
    CHECK(audit_request_path({5, 10}) == "/v1/audit?after=5&limit=10");
    CHECK(parse_flow_key("x", "10.0.0.2:443", "tcp")
              .error()
              .message.rfind("caller: ", 0) == 0);
    CHECK(parse_flow_key("10.0.0.1:1", "y", "tcp")
              .error()
              .message.rfind("public: ", 0) == 0);
    CHECK(parse_flow_key("10.0.0.1:1", "10.0.0.2:443", "z")
              .error()
              .message.rfind("protocol: ", 0) == 0);
}

TEST_CASE("audit parameters have defaults; an error names the wrong one")
{
    CHECK(parse_audit_query("", "").value() == audit_query{});
    CHECK(parse_audit_query("18446744073709551615", "5").value() ==
          audit_query{18446744073709551615ULL, 5});
    for (const char* text : {"-1", "x", "1x", " 1", "18446744073709551616"})
    {
        INFO(text);
        CHECK(parse_audit_query(text, "").error().message.rfind("after: ", 0) ==
              0);
        CHECK(parse_audit_query("", text).error().message.rfind("limit: ", 0) ==
              0);
    }
    CHECK_FALSE(parse_audit_query("", "0"));
}

TEST_CASE("every enumerator has a unique name; other values are unknown")
{
    check_names<liveness>(4);
    check_names<target_wish>(2);
    check_names<data_centre_wish>(2);
    check_names<admission_limit_reason>(6);
    check_names<protocol>(2);
    check_names<explained_action>(4);
    check_names<explained_source>(6);
    check_names<refusal_reason>(4);
    check_names<discard_reason>(8);
    CHECK(name_of(static_cast<liveness>(99)) == "unknown");
}

// Guards against a page that was not generated again after a change of the
// definitions.
TEST_CASE("docs/metrics.md matches the metric definitions")
{
    CHECK(read_source_file("docs/metrics.md") == metrics_markdown());
}

// The Prometheus naming conventions: the suffix of a name tells its kind and
// unit.
TEST_CASE("metric definitions are unique, well named and consistent")
{
    std::set<std::string_view> names;
    for (const metric_definition& row : metric_definitions())
    {
        INFO(row.name);
        CHECK(names.insert(row.name).second);
        CHECK(row.name.starts_with("catkinkeel_"));
        CHECK(std::ranges::all_of(row.name, is_name_character));
        CHECK((row.kind == metric_kind::counter) ==
              row.name.ends_with("_total"));
        CHECK((row.unit == "s") == row.name.ends_with("_seconds"));
        CHECK((row.unit == "B") ==
              (row.name.find("_bytes") != std::string_view::npos));
        CHECK(row.label.empty() == (row.label_values == nullptr));
        CHECK(row.label.empty() ==
              std::holds_alternative<double metrics_snapshot::*>(
                  row.snapshot_field));
    }
}

// Guards against drops that are counted under a label value that is not
// exported.
TEST_CASE("every drop reason of packets and messages has a series")
{
    metrics_snapshot snapshot;
    for (const auto& row : names_of(discard_reason{}))
    {
        snapshot.packets_dropped[std::string(row.name)] = 1;
    }
    for (const auto& row : reject_reason_rows)
    {
        snapshot.packets_dropped[std::string(row.name)] = 1;
    }
    for (const auto& row : socket_drop_rows)
    {
        snapshot.packets_dropped[std::string(row.name)] = 1;
    }
    for (std::size_t i = 0; i < drop_reason_count; ++i)
    {
        snapshot.messages_dropped[std::string(
            to_string(static_cast<drop_reason>(i)))] = 1;
    }
    for (const auto& family : collect_metrics(snapshot))
    {
        const bool is_drop_family =
            family.name == "catkinkeel_packets_dropped_total" ||
            family.name == "catkinkeel_messages_dropped_total";
        double total = 0;
        for (const auto& metric : family.metric)
        {
            total += metric.counter.value;
        }
        const std::size_t expected =
            family.name == "catkinkeel_packets_dropped_total"
                ? snapshot.packets_dropped.size()
                : snapshot.messages_dropped.size();
        CHECK((!is_drop_family || total == static_cast<double>(expected)));
    }
}

// Guards against an alert that can never fire because a metric was renamed.
TEST_CASE("the alerts use only existing metrics and label values")
{
    const std::string alerts = read_source_file("samples/alerts.yml");
    const std::string exported = metrics_text({});
    std::size_t name_count = 0;
    for (std::size_t position = alerts.find("catkinkeel_");
         position != std::string::npos;
         position = alerts.find("catkinkeel_", position + 1), ++name_count)
    {
        const std::string_view rest = std::string_view(alerts).substr(position);
        const auto* const end =
            std::ranges::find_if_not(rest, is_name_character);
        const std::string name(rest.begin(), end);
        INFO(name);
        CHECK((exported.find("\n" + name + " ") != std::string::npos ||
               exported.find("\n" + name + "{") != std::string::npos));
        // A label selector {label="value"} must match an exported series. One
        // with a regular expression, {label=~"..."}, is not checked.
        if (*end == '{' && std::find(end, rest.end(), '=')[1] == '"')
        {
            const std::string series(rest.begin(),
                                     std::find(end, rest.end(), '}') + 1);
            INFO(series);
            CHECK(exported.find("\n" + series + " ") != std::string::npos);
        }
    }
    // Fails if the search above finds hardly any metric, so that the test would
    // pass without checking anything.
    CHECK(name_count > 10);
}

// Guards against a number of series that grows with the values in the snapshot.
TEST_CASE("an unlisted label value can't add a series")
{
    metrics_snapshot snapshot;
    snapshot.members = {{"alive", 6}, {"10.0.0.1", 1}};
    const std::string text = metrics_text(snapshot);
    CHECK(text.find("catkinkeel_members{state=\"alive\"} 6\n") !=
          std::string::npos);
    CHECK(text.find("catkinkeel_members{state=\"dead\"} 0\n") !=
          std::string::npos);
    CHECK(text.find("10.0.0.1") == std::string::npos);
}
