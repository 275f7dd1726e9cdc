// Tests of the duties of an edge daemon: views, forwarding and departure.

#include "catkinkeel/edge/test_daemon.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <cstring>
#include <string>
#include <thread>

using namespace catkinkeel;
using namespace catkinkeel::edge;
using namespace catkinkeel::edge::testing;

TEST_CASE("a daemon becomes ready and forwards once it has a configuration")
{
    daemon_fixture site;
    CHECK(send_get(site.settings.readiness, "/ready")
              .starts_with("HTTP/1.1 503"));
    site.source->enqueue(::make_site_update(site.socket->local()));
    REQUIRE(eventually([&] { return site.is_ready(); }));
    site.send('o');
    const std::string opened = site.receive();
    REQUIRE(opened.size() == 5);
    CHECK(opened[0] == 'o');
    std::uint32_t token = 0;
    std::memcpy(&token, opened.data() + 1, 4);
    CHECK(token == steering::token_of("t").value);
    site.send('d', token);
    CHECK(site.receive().starts_with("d"));
    CHECK(send_get(site.settings.metrics, "/metrics")
              .find("catkinkeel_flows_opened_total 1") != std::string::npos);
}

TEST_CASE(
    "packets received before the first view are forwarded once it arrives")
{
    // Guards against dropping packets that arrive while a daemon starts.
    daemon_fixture site;
    site.source->enqueue(::make_site_update(site.socket->local()));
    site.send('o');
    CHECK(site.receive().starts_with("o"));
}

TEST_CASE("a daemon stays ready and forwards while the store is unreachable")
{
    daemon_fixture site;
    site.source->enqueue(::make_site_update(site.socket->local()));
    REQUIRE(eventually([&] { return site.is_ready(); }));
    // The source has no further results, so its reads fail from here on.
    REQUIRE(eventually(
        [&]
        {
            return send_get(site.settings.metrics, "/metrics")
                       .find("store_reads_failed_total 0") == std::string::npos;
        }));
    CHECK(site.is_ready());
    site.send('o');
    CHECK(site.receive().starts_with("o"));
}

TEST_CASE("a full read follows after the store has lost its history")
{
    // Guards against a daemon that waits for changes that the store has
    // dropped.
    daemon_fixture site;
    site.source->enqueue(::make_site_update(site.socket->local()));
    REQUIRE(eventually([&] { return site.is_ready(); }));
    const int reads_before = site.source->all_reads;
    site.source->enqueue(history_lost{});
    CHECK(eventually([&] { return site.source->all_reads > reads_before; }));
}

TEST_CASE("a departing daemon is not ready but forwards until packets stop")
{
    daemon_fixture site;
    site.source->enqueue(::make_site_update(site.socket->local()));
    REQUIRE(eventually([&] { return site.is_ready(); }));
    std::atomic<bool> ended{false};
    std::thread departing(
        [&]
        {
            site.daemon->depart();
            ended = true;
        });
    REQUIRE(eventually([&] { return !site.is_ready(); }));
    site.send('o');
    CHECK(site.receive().starts_with("o"));
    departing.join();
    CHECK(ended);
}

TEST_CASE("forwarding ends after a quiet period or at the time limit")
{
    const departure_settings settings{.min_forwarding_time = 1500ms,
                                      .quiet_period = 300ms,
                                      .max_forwarding_time = 4s};
    CHECK_FALSE(may_exit(settings, 1s, 10s));
    CHECK_FALSE(may_exit(settings, 2s, 100ms));
    CHECK(may_exit(settings, 2s, 300ms));
    CHECK(may_exit(settings, 4s, 0s));
}

TEST_CASE("the retry delay doubles with each failed read up to its maximum")
{
    const reading_settings settings{.first_retry_delay = 100ms,
                                    .max_retry_delay = 1s};
    CHECK(retry_delay(settings, 1) == 100ms);
    CHECK(retry_delay(settings, 2) == 200ms);
    CHECK(retry_delay(settings, 4) == 800ms);
    CHECK(retry_delay(settings, 5) == 1s);
    CHECK(retry_delay(settings, 1000) == 1s);
}
