// The duties of an edge daemon: views, forwarding, departure.

#include "catkinkeel/edge/test_daemon.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <cstring>
#include <string>
#include <thread>

using namespace catkinkeel;
using namespace catkinkeel::edge;
using namespace catkinkeel::edge::testing;

TEST_CASE("a daemon is ready once it has terms, and then forwards")
{
    running_site site;
    CHECK(get(site.settings.readiness, "/ready").starts_with("HTTP/1.1 503"));
    site.source->say(::site(site.socket->local()));
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
    CHECK(get(site.settings.metrics, "/metrics")
              .find("catkinkeel_flows_opened_total 1") != std::string::npos);
}

TEST_CASE("packets that come before the first view are served by it")
{
    // Guards against dropping what callers send while a daemon starts.
    running_site site;
    site.source->say(::site(site.socket->local()));
    site.send('o');
    CHECK(site.receive().starts_with("o"));
}

TEST_CASE("a daemon stays ready and forwards while the store is away")
{
    running_site site;
    site.source->say(::site(site.socket->local()));
    REQUIRE(eventually([&] { return site.is_ready(); }));
    // The source fails from now on.
    REQUIRE(eventually(
        [&]
        {
            return get(site.settings.metrics, "/metrics")
                       .find("store_reads_failed_total 0") == std::string::npos;
        }));
    CHECK(site.is_ready());
    site.send('o');
    CHECK(site.receive().starts_with("o"));
}

TEST_CASE("everything is read again after the history was lost")
{
    // Guards against a daemon that waits for changes it can never see.
    running_site site;
    site.source->say(::site(site.socket->local()));
    REQUIRE(eventually([&] { return site.is_ready(); }));
    const int before = site.source->all_reads;
    site.source->say(history_lost{});
    CHECK(eventually([&] { return site.source->all_reads > before; }));
}

TEST_CASE("a departing daemon is not ready but forwards until it is quiet")
{
    running_site site;
    site.source->say(::site(site.socket->local()));
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

TEST_CASE("forwarding ends when nobody sends, and in any case in time")
{
    const departure_settings settings{
        .at_least = 1500ms, .quiet = 300ms, .at_most = 4s};
    CHECK_FALSE(may_end(settings, 1s, 10s));
    CHECK_FALSE(may_end(settings, 2s, 100ms));
    CHECK(may_end(settings, 2s, 300ms));
    CHECK(may_end(settings, 4s, 0s));
}

TEST_CASE("failed reads are repeated less and less often")
{
    const reading_settings settings{.retry_first = 100ms, .retry_at_most = 1s};
    CHECK(retry_delay(settings, 1) == 100ms);
    CHECK(retry_delay(settings, 2) == 200ms);
    CHECK(retry_delay(settings, 4) == 800ms);
    CHECK(retry_delay(settings, 5) == 1s);
    CHECK(retry_delay(settings, 1000) == 1s);
}
