#include "catkinkeel/event/event_log.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <thread>

using namespace catkinkeel;

namespace
{

const wall_time test_time{std::chrono::milliseconds{1'796'381'991'007}};

event_record packets_dropped_event(std::uint64_t count)
{
    return {event_number::packets_dropped,
            test_time,
            {field("count", count), field("reason", "hop_limit")}};
}

event_record member_joined_event(unsigned vm)
{
    return {
        event_number::member_joined,
        test_time,
        {field("vm", vm), field("data_centre", 1), field("incarnation", 0)}};
}

// Records the events written to it with their numbers of suppressed events.
struct recording_sink : event_sink
{
    std::vector<std::pair<event_record, std::uint64_t>>* written;

    explicit recording_sink(
        std::vector<std::pair<event_record, std::uint64_t>>& destination)
        : written(&destination)
    {
    }
    void write(const event_record& record, std::uint64_t suppressed) override
    {
        written->emplace_back(record, suppressed);
    }
};

} // namespace

// Guards against a catalogue entry that operators can't tell from another or
// that `find_event` doesn't find, and against a number outside the areas of the
// documentation.
TEST_CASE("catalogue numbers and names are unique and texts are not empty")
{
    std::set<event_number> numbers;
    std::set<std::string_view> names;
    for (const event_definition& row : event_catalogue())
    {
        INFO(row.name);
        CHECK(numbers.insert(row.number).second);
        CHECK(names.insert(row.name).second);
        CHECK(static_cast<unsigned>(row.number) / 1000 >= 1);
        CHECK(static_cast<unsigned>(row.number) / 1000 <= 8);
        CHECK_FALSE(row.text.empty());
        CHECK_FALSE(row.action.empty());
        CHECK(find_event(row.number) == &row);
    }
    CHECK(find_event(static_cast<event_number>(999)) == nullptr);
    CHECK(find_event(static_cast<event_number>(9999)) == nullptr);
}

// Guards against a page that was not generated again after a change of the
// catalogue.
TEST_CASE("docs/events.md matches the event catalogue")
{
    std::ifstream file(CATKINKEEL_SOURCE_DIR "/docs/events.md");
    std::ostringstream page;
    page << file.rdbuf();
    CHECK(page.str() == events_markdown());
}

// A caller that forgets a field must not crash the daemon or lose the log line.
TEST_CASE(
    "a field missing from a record is reported and rendered as a question mark")
{
    const event_record record{
        event_number::member_dead, test_time, {field("vm", 7)}};
    CHECK(missing_fields(record) == std::vector<std::string>{"data_centre"});
    CHECK(render_text(record) == "VM 7 of data centre ? is declared dead");
}

TEST_CASE("printing and parsing a wall time returns the same time")
{
    CHECK(to_string(test_time) == "2026-12-04T10:59:51.007Z");
    // The upper bound is the start of the year 10000.
    const bool passed = rc::check(
        []
        {
            const wall_time time{std::chrono::milliseconds{
                *rc::gen::inRange<std::int64_t>(0, 253'402'300'800'000)}};
            RC_ASSERT(parse_wall_time(to_string(time)) ==
                      outcome<wall_time>{time});
        });
    CHECK(passed);
    for (const char* text :
         {"", "2026-12-04", "2026-02-30T10:59:51.007Z",
          "2026-12-04T24:59:51.007Z", "2026-12-04T10:59:51.007z",
          "x026-12-04T10:59:51.007Z", "1969-12-04T10:59:51.007Z"})
    {
        INFO(text);
        CHECK_FALSE(parse_wall_time(text));
    }
}

// Guards against a request path with line breaks, blanks or quotes that looks
// like a log line or field of its own.
TEST_CASE("values received from the network cannot inject log lines or fields")
{
    const bool passed = rc::check(
        [](const std::string& value)
        {
            const event_record record{event_number::operators_request_refused,
                                      test_time,
                                      {field("path", value),
                                       field("caller", "127.0.0.1:1"),
                                       field("reason", "unknown path")}};
            const std::string key_value_line =
                render_line(record, log_format::key_value);
            RC_ASSERT(key_value_line.find('\n') == std::string::npos);
            const std::string json_line =
                render_line(record, log_format::json, 3);
            RC_ASSERT(json_line.find('\n') == std::string::npos);
            const auto parsed =
                nlohmann::json::parse(json_line, nullptr, false);
            RC_ASSERT(!parsed.is_discarded());
            RC_ASSERT(parsed["suppressed"] == 3);
            RC_ASSERT(parsed["fields"]["caller"] == "127.0.0.1:1");
        });
    CHECK(passed);
    CHECK(render_line({event_number::operators_request_refused,
                       test_time,
                       {field("path", "/x severity=critical"),
                        field("caller", ""), field("reason", "a\nb")}},
                      log_format::key_value) ==
          "time=2026-12-04T10:59:51.007Z event=8003 "
          "name=operators_request_refused severity=info "
          "path=\"/x severity=critical\" caller=\"\" reason=\"a\\nb\" "
          "text=\"request /x severity=critical from  refused: a\\nb\"");
}

// Guards against a log flooded by an event that occurs per packet.
TEST_CASE(
    "a repeated event is logged once per period with the suppressed count")
{
    std::vector<std::pair<event_record, std::uint64_t>> written;
    event_log log(std::make_unique<recording_sink>(written), 10);
    const instant start_instant{};
    // 600 occurrences within the log period of 60 s.
    for (int i = 0; i < 600; ++i)
    {
        log.report(packets_dropped_event(1), start_instant + i * 100ms);
    }
    CHECK(written.size() == 1);
    log.report(packets_dropped_event(1), start_instant + 60s);
    REQUIRE(written.size() == 2);
    CHECK(written[1].second == 599);
    // The limit applies per event number; member_joined has no limit.
    log.report(member_joined_event(1), start_instant + 60s);
    log.report(member_joined_event(2), start_instant + 60s);
    CHECK(written.size() == 4);
}

// Guards against a count of suppressed events that is never logged because no
// further event follows.
TEST_CASE(
    "suppressed occurrences are reported even if the event does not recur")
{
    std::vector<std::pair<event_record, std::uint64_t>> written;
    event_log log(std::make_unique<recording_sink>(written), 10);
    const instant start_instant{};
    log.report(packets_dropped_event(1), start_instant);
    log.report(packets_dropped_event(1), start_instant + 1s);
    log.report_suppressed(test_time, start_instant + 59s);
    CHECK(written.size() == 1);
    log.report_suppressed(test_time, start_instant + 60s);
    log.report_suppressed(test_time, start_instant + 180s);
    REQUIRE(written.size() == 2);
    CHECK(render_text(written[1].first) ==
          "1 events of number 6008 were not logged");
}

// Guards against unbounded memory use, and against sequence numbers that
// restart or shift when old entries are dropped.
TEST_CASE(
    "a full audit trail keeps the newest changes and ignores other events")
{
    audit_trail trail(3);
    CHECK_FALSE(trail.add(packets_dropped_event(1), {}));
    for (unsigned vm = 1; vm <= 5; ++vm)
    {
        CHECK(trail.add(member_joined_event(vm), {{7}, "probe", ""}));
    }
    CHECK(trail.dropped() == 2);
    const auto all = trail.entries(0, 100);
    REQUIRE(all.size() == 3);
    CHECK(all.front().sequence == 3);
    CHECK(all.back() ==
          audit_entry{5, member_joined_event(5), {{7}, "probe", ""}});
    CHECK(trail.entries(4, 100).size() == 1);
    CHECK(trail.entries(0, 1).front().sequence == 5);
    CHECK(trail.entries(9, 100).empty());
}

// Guards against a data race between threads that report events. member_joined
// has no log limit, so each report is also written.
TEST_CASE("concurrent reports lose no audit entry")
{
    std::vector<std::pair<event_record, std::uint64_t>> written;
    event_log log(std::make_unique<recording_sink>(written), 10'000);
    std::vector<std::jthread> threads;
    for (unsigned t = 0; t < 4; ++t)
    {
        threads.emplace_back(
            [&log, t]
            {
                for (unsigned i = 0; i < 500; ++i)
                {
                    log.report(member_joined_event(t * 1000 + i), instant{});
                }
            });
    }
    threads.clear();
    CHECK(written.size() == 2000);
    CHECK(log.audit().entries(0, 10'000).back().sequence == 2000);
}

// Guards against a severity filter that passes too much or too little: the
// warning is written, the info is not.
TEST_CASE("the Boost.Log sink writes whole lines at or above its severity")
{
    std::ostringstream stream;
    {
        boost_log_sink sink(stream, log_format::key_value, severity::warning);
        sink.write(packets_dropped_event(3), 0);
        sink.write(member_joined_event(1), 0);
    }
    CHECK(stream.str() ==
          render_line(packets_dropped_event(3), log_format::key_value) + "\n");
}
