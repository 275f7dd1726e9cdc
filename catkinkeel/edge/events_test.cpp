// Tests of the events that an edge daemon logs.

#include "catkinkeel/edge/packet_duty.hpp"
#include "catkinkeel/edge/test_daemon.hpp"

#include <catch2/catch.hpp>

#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace catkinkeel;
using namespace catkinkeel::edge;
using namespace catkinkeel::edge::testing;

TEST_CASE("every event has the fields named in its message text")
{
    // Guards against log lines without the fields that an operator needs to
    // explain a failed request.
    daemon_fixture site;
    site.source->enqueue(::make_site_update(site.socket->local()));
    REQUIRE(eventually([&] { return site.is_ready(); }));
    site.send('o');
    CHECK(site.receive().starts_with("o"));
    site.send('d', 12345);
    steering::metadata_update change;
    change.revision = 11;
    change.changes = {
        steering::configuration_published{{.version = {5}}},
        steering::entry_rejected{"servers/x", "no address"},
        steering::data_centre_service_changed{"a", false},
        steering::data_centre_service_changed{"a", true},
        steering::configuration_published{{.version = {4}}},
        steering::target_withdrawn{"t"},
    };
    site.source->enqueue(change);
    const auto metrics_have = [&](const char* line)
    {
        return send_get(site.settings.metrics, "/metrics").find(line) !=
               std::string::npos;
    };
    REQUIRE(eventually([&] { return metrics_have("terms_version 5"); }));
    REQUIRE(
        eventually([&] { return metrics_have("reason=\"unknown_token\""); }));
    REQUIRE(eventually(
        [&] { return !metrics_have("store_reads_failed_total 0"); }));
    site.daemon->depart();
    site.daemon.reset();
    std::set<event_number> seen;
    site.events->ring().close();
    while (const auto batch = site.events->ring().pop())
    {
        for (const event_record& each : *batch)
        {
            CAPTURE(render_text(each));
            CHECK(missing_fields(each).empty());
            seen.insert(each.number);
        }
    }
    for (const event_number expected :
         {event_number::readiness_changed, event_number::departure_started,
          event_number::shutdown_finished, event_number::terms_in_effect,
          event_number::set_older_ignored, event_number::entry_rejected,
          event_number::data_centre_out, event_number::data_centre_in,
          event_number::target_standing, event_number::flow_placed,
          event_number::flow_discarded,
          event_number::configuration_unreachable})
    {
        CAPTURE(static_cast<int>(expected));
        CHECK(seen.contains(expected));
    }
}

TEST_CASE("an update of many targets logs few lines, after it takes effect")
{
    // Guards against a start whose log lines, one a target, take longer on a
    // small VM than all else, and that delays the first view until then.
    daemon_fixture site;
    steering::metadata_update update = ::make_site_update(site.socket->local());
    constexpr std::uint64_t target_count = 300;
    for (std::uint64_t i = 0; i < target_count; ++i)
    {
        steering::target_announcement target =
            std::get<steering::target_announced>(update.changes[1]).target;
        target.name = "t" + std::to_string(i);
        target.identity = i + 2;
        update.changes.emplace_back(steering::target_announced{target});
    }
    site.source->enqueue(update);
    REQUIRE(eventually([&] { return site.is_ready(); }));
    site.daemon.reset();
    site.events->ring().close();
    std::size_t standing_lines = 0;
    std::string counts;
    while (const auto batch = site.events->ring().pop())
    {
        for (const event_record& each : *batch)
        {
            CHECK(missing_fields(each).empty());
            standing_lines += each.number == event_number::target_standing;
            counts += each.number == event_number::target_standings
                          ? render_text(each)
                          : "";
        }
    }
    CHECK(standing_lines == 16);
    CHECK(counts.find("of 285 more targets") != std::string::npos);
    CHECK(counts.find("301 are open") != std::string::npos);
}

TEST_CASE("the reset of a withdrawn target's flow is logged and counted")
{
    // Guards against resets whose cause an operator cannot find.
    daemon_fixture site;
    site.settings.steering.releases_flows = true;
    site.daemon.reset();
    site.start(site.source);
    steering::metadata_update update = ::make_site_update(site.socket->local());
    auto target = std::get<steering::target_announced>(update.changes[1]);
    target.target.name = "t2";
    target.target.identity = 2;
    update.changes.emplace_back(target);
    // Draining targets are withdrawn without delay.
    target.target.name = "t";
    target.target.state = steering::announced_state::draining;
    update.changes.emplace_back(target);
    update.changes.emplace_back(steering::target_withdrawn{"t"});
    update.complete = false;
    site.source->enqueue(update);
    REQUIRE(eventually([&] { return site.is_ready(); }));
    site.send('q', steering::token_of("t").value);
    CHECK(site.receive().starts_with("q"));
    std::this_thread::sleep_for(steering::min_copy_interval + 10ms);
    site.send('q', steering::token_of("t").value);
    CHECK(site.receive() == "r");
    const std::string metrics = send_get(site.settings.metrics, "/metrics");
    CHECK(metrics.find("flows_reset_total{reason=\"withdrawn\"} 1") !=
          std::string::npos);
    site.daemon.reset();
    site.events->ring().close();
    std::size_t lines = 0;
    while (const auto batch = site.events->ring().pop())
    {
        for (const event_record& each : *batch)
        {
            CHECK(missing_fields(each).empty());
            CHECK(each.number != event_number::flow_refused);
            lines += each.number == event_number::flow_reset;
        }
    }
    CHECK(lines == 1);
}

TEST_CASE("a failed snapshot request is logged with its reason")
{
    // Guards against a peer's error that is discarded without a log line.
    const tcp_port_reservation refusing;
    const daemon_fixture site({refusing.local()});
    bool reported = false;
    while (!reported)
    {
        const auto batch = site.events->ring().pop();
        REQUIRE(batch);
        for (const event_record& each : *batch)
        {
            if (each.number == event_number::snapshot_failed)
            {
                reported = true;
                CHECK(missing_fields(each).empty());
            }
        }
    }
}

TEST_CASE("reporting never blocks, and the number of dropped events is logged")
{
    // Guards against a full log ring that blocks the packet thread.
    const auto channel = std::make_shared<event_channel>();
    for (std::size_t i = 0; i < event_ring_size + 5; ++i)
    {
        channel->report(event_number::settings_reloaded,
                        {field("result", "x")});
    }
    std::ostringstream out;
    {
        const auto log = std::make_shared<event_log>(
            std::make_unique<boost_log_sink>(out, log_format::key_value,
                                             severity::info,
                                             log_flush::by_owner),
            1);
        const log_duty writer(channel, log, [&] { out.flush(); });
    }
    CHECK(out.str().find("name=records_dropped severity=warning count=5") !=
          std::string::npos);
}

TEST_CASE(
    "log lines about flows are limited per second and the rest is counted")
{
    const auto channel = std::make_shared<event_channel>();
    const auto metrics = std::make_shared<edge_metrics>();
    flow_log flow_lines(2, channel, metrics);
    CHECK(flow_lines.try_admit(instant(10s)));
    CHECK(flow_lines.try_admit(instant(10s)));
    CHECK_FALSE(flow_lines.try_admit(instant(10500ms)));
    CHECK(flow_lines.try_admit(instant(11s)));
    flow_lines.flush();
    const auto lines = channel->ring().pop();
    REQUIRE(lines);
    REQUIRE(lines->size() == 1);
    CHECK(lines->front().number == event_number::records_dropped);
}

TEST_CASE("series of references and services that hold back are bounded")
{
    // Guards against a series for each of thousands of references.
    edge_metrics metrics;
    for (int i = 0; i < 70; ++i)
    {
        const std::string name = "r" + std::to_string(i);
        metrics.count_not_admitted(name, "held_back");
        metrics.set_admission(name, 0.5, 100ms);
    }
    metrics.count_not_admitted("r0", "delayed");
    const std::string text = metrics.text();
    const auto has = [&](const std::string& line)
    {
        return text.find(line) != std::string::npos;
    };
    CHECK(has("not_admitted_total{reason=\"held_back\",reference=\"r63\"} 1"));
    CHECK(has("not_admitted_total{reason=\"held_back\",reference=\"\"} 6"));
    CHECK(has("not_admitted_total{reason=\"delayed\",reference=\"r0\"} 1"));
    CHECK(has("admission_level{service=\"r63\"} 0.5"));
    CHECK(has("admission_wait_seconds{service=\"r63\"} 0.1"));
    CHECK_FALSE(has("r64"));
}

TEST_CASE("the events of a suspicion tell its evidence and its end")
{
    // Guards against a target that loses its flows without a trace in the
    // log.
    steering::suspicion_change change{
        "t7", steering::suspicion_cause::evidence, {1, 5, 3}, instant(10s)};
    const auto has = [&](const char* text)
    {
        const event_record line = make_suspicion_event(change, instant(13s));
        return missing_fields(line).empty() &&
               render_text(line).find(text) != std::string::npos;
    };
    CHECK(has("t7 look like errors: 1 of this daemon's own flows, 5 reported "
              "by 3 other daemons"));
    change.cause = steering::suspicion_cause::trial_answered;
    CHECK(has("t7 is no longer suspected after 3000 ms: trial_answered"));
}
