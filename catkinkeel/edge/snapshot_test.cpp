// Tests of snapshots that daemons request from each other while the store is
// unreachable.

#include "catkinkeel/edge/http_server.hpp"
#include "catkinkeel/edge/snapshot_json.hpp"
#include "catkinkeel/edge/snapshot_reader.hpp"
#include "catkinkeel/edge/test_daemon.hpp"
#include "catkinkeel/testing/slow_link.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

using namespace catkinkeel;
using namespace catkinkeel::edge;
using namespace catkinkeel::edge::testing;

TEST_CASE("a snapshot with odd values is refused as a whole")
{
    // Guards against a peer that hands on an entry that the store's decoder
    // would have rejected, and against numbers that are truncated.
    const std::string valid = to_json(::make_site_update({{0x7f000001}, 9}));
    REQUIRE(parse_snapshot(valid));
    const auto replaced = [&](const std::string& name, const std::string& value)
    {
        std::string text = valid;
        const auto begin = text.find("\"" + name + "\":") + name.size() + 3;
        return text.replace(begin, text.find_first_of(",}", begin) - begin,
                            value);
    };
    for (const char* name : {"slots", "identity", "warm_up_ms", "started_ms",
                             "revision", "version"})
    {
        for (const char* value : {"-1", "1.5", "1e400", "18446744073709551616",
                                  "null", "\"1\"", "[[[[[[[[[1]]]]]]]]]"})
        {
            const std::string text = replaced(name, value);
            CAPTURE(text);
            CHECK_FALSE(parse_snapshot(text));
        }
    }
    for (const char* value : {"0", "1000001", "4294967298"})
    {
        CHECK_FALSE(parse_snapshot(replaced("slots", value)));
    }
    CHECK_FALSE(parse_snapshot(replaced("warm_up_ms", "86400001")));
    CHECK_FALSE(parse_snapshot(replaced("started_ms", "9223372036854775808")));
    for (const auto& [name, value] :
         {std::pair{"slots", "1000000"}, std::pair{"warm_up_ms", "86400000"},
          std::pair{"started_ms", "9223372036854775807"}})
    {
        CAPTURE(name);
        CHECK(parse_snapshot(replaced(name, value)));
    }
    std::string low_priority = valid;
    const std::string terms = "[true,2,150,2000]";
    low_priority.replace(low_priority.find(terms), terms.size(),
                         "[true,16,150,2000]");
    CHECK_FALSE(parse_snapshot(low_priority));
    CHECK_FALSE(parse_snapshot(replaced("identity", "0")));
    CHECK_FALSE(parse_snapshot(replaced("address", "\"10.0.0.1:0\"")));
    CHECK_FALSE(parse_snapshot(std::string(1'000'000, '[')));
    CHECK_FALSE(parse_snapshot(""));
}

TEST_CASE("a daemon that starts without the store uses a peer's snapshot")
{
    // Guards against a daemon that restarts during an outage of the store and
    // forwards no packets.
    const daemon_fixture first;
    first.source->enqueue(::make_site_update(first.socket->local()));
    REQUIRE(eventually([&] { return first.is_ready(); }));
    const daemon_fixture second({first.settings.control});
    REQUIRE(eventually([&] { return second.is_ready(); }));
    second.send('o');
    CHECK(first.receive().starts_with("o"));
    CHECK(send_get(second.settings.metrics, "/metrics")
              .find("catkinkeel_snapshots_taken_total 1") != std::string::npos);
}

namespace
{

/// A full update of the design size: 24,000 targets of 200 services behind
/// 6,100 addresses, with names as long as the platform's.
steering::metadata_update make_largest_update()
{
    constexpr std::uint32_t target_count = 24'000;
    constexpr std::uint32_t reference_count = 6'100;
    constexpr std::uint32_t service_count = 200;
    const auto service_name = [](std::uint32_t i)
    {
        return "orders" + std::to_string(i % service_count) + "a";
    };
    steering::published_configuration configuration{.version = {4711}};
    for (std::uint32_t i = 0; i < reference_count; ++i)
    {
        configuration.references.push_back(
            {"route-" + std::to_string(i),
             {{0xc6120000U + i}, 8443},
             {{service_name(i), 90}, {service_name(i + 1), 10}},
             {true, 2, 400ms, 2500ms}});
    }
    steering::metadata_update update{
        .complete = true,
        .revision = 123'456'789,
        .changes = {steering::configuration_published{configuration}}};
    constexpr std::uint64_t first_identity = 0x9e3779b97f4a7c15U;
    for (std::uint32_t i = 0; i < target_count; ++i)
    {
        constexpr std::int64_t started_ms = 1'767'225'600'000;
        update.changes.emplace_back(steering::target_announced{
            {.name = "i-" + std::to_string(1'000'000'000'000'000 + i),
             .identity = first_identity + i,
             .service = service_name(i),
             .address = {{0x0a800000U + i}, 8080},
             .data_centre = "zilina-" + std::string(1, "abcd"[i % 4]),
             .slots = 2,
             .started_ms = started_ms + i}});
    }
    return update;
}

/// Answers one request with `body` at the rate of a link of 10 Mbit/s.
class slow_snapshot_server
{
public:
    explicit slow_snapshot_server(std::string body)
        : thread_([this, body = std::move(body)] { serve(body); })
    {
    }
    ~slow_snapshot_server()
    {
        thread_.join();
    }
    slow_snapshot_server(const slow_snapshot_server&) = delete;
    slow_snapshot_server& operator=(const slow_snapshot_server&) = delete;

    [[nodiscard]] endpoint address() const
    {
        return {any_loopback_port.address, acceptor_.local_endpoint().port()};
    }

private:
    void serve(const std::string& body)
    {
        boost::system::error_code error;
        asio::ip::tcp::socket socket(context_);
        acceptor_.accept(socket, error);
        asio::streambuf request;
        asio::read_until(socket, request, "\r\n\r\n", error);
        const std::string header =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            "Content-Length: " +
            std::to_string(body.size()) + "\r\n\r\n";
        asio::write(socket, asio::buffer(header), error);
        catkinkeel::testing::send_slowly(socket, body, 10);
    }

    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_{context_,
                                      {asio::ip::address_v4::loopback(), 0}};
    std::thread thread_;
};

} // namespace

TEST_CASE("a snapshot of the design size is read over a link of 10 Mbit/s")
{
    // Guards against a daemon on such a link that never gets a view while the
    // store is unreachable: each transfer ended after 3 s and began anew.
    const steering::metadata_update update = make_largest_update();
    std::string text = to_json(update);
    CAPTURE(text.size());
    CHECK(text.size() > 5'500'000);
    const slow_snapshot_server server(std::move(text));
    const edge_settings defaults;
    snapshot_reader reader({server.address()}, defaults.snapshot_timeout,
                           defaults.snapshot_transfer);
    const metadata_result result = reader.read();
    const auto* failed = std::get_if<source_failure>(&result);
    INFO((failed != nullptr ? failed->reason : ""));
    REQUIRE(std::holds_alternative<steering::metadata_update>(result));
    CHECK(std::get<steering::metadata_update>(result).changes.size() ==
          update.changes.size());
}

TEST_CASE("only a large snapshot delays the next read of the store")
{
    // Guards against a daemon that ignores a store that became reachable while
    // a peer sends a small snapshot slowly, or any snapshot without end.
    const body_timeouts timeouts = edge_settings().snapshot_transfer;
    CHECK(transfer_limit(timeouts, std::nullopt) == 3s);
    CHECK(transfer_limit(timeouts, 1'800'000) == 3s);
    CHECK(transfer_limit(timeouts, max_snapshot_bytes) == 10s);
}

namespace
{

/// A metadata source that, once `compacted`, fails two reads and then has lost
/// its history.
class compacted_source : public metadata_source
{
public:
    explicit compacted_source(const endpoint& target) : target_(target) {}

    metadata_result read_all(read_consistency /*consistency*/) override
    {
        steering::metadata_update update = make_site_update(target_);
        if (compacted)
        {
            update.revision = 30;
            std::get<steering::configuration_published>(update.changes[0])
                .configuration.version = {4};
        }
        return update;
    }
    metadata_result read_changes(std::uint64_t revision, duration /*wait*/,
                                 read_consistency /*consistency*/) override
    {
        std::this_thread::sleep_for(1ms);
        if (!compacted)
        {
            return steering::metadata_update{.revision = 10};
        }
        if (failures_left_ > 0)
        {
            --failures_left_;
            return source_failure{"connection reset"};
        }
        return revision < 30 ? metadata_result(history_lost{})
                             : steering::metadata_update{.revision = 30};
    }
    [[nodiscard]] std::string name() const override
    {
        return "compacted";
    }
    void stop() override {}

    std::atomic<bool> compacted{false};

private:
    endpoint target_;
    /// One read from a replica and the read of the newest state that replaces
    /// it.
    int failures_left_ = 2;
};

} // namespace

TEST_CASE("a peer's old snapshot does not replace a full read of the store")
{
    // Guards against a daemon that uses the same old snapshot after every
    // failed read and never reads the store's newest configuration.
    const daemon_fixture other;
    other.source->enqueue(::make_site_update(other.socket->local()));
    REQUIRE(eventually([&] { return other.is_ready(); }));
    daemon_fixture site({other.settings.control});
    site.daemon.reset();
    const auto source =
        std::make_shared<compacted_source>(site.socket->local());
    site.start(source);
    REQUIRE(eventually([&] { return site.is_ready(); }));
    source->compacted = true;
    CHECK(eventually(
        [&]
        {
            return send_get(site.settings.metrics, "/metrics")
                       .find("catkinkeel_terms_version 4") != std::string::npos;
        }));
}

TEST_CASE("slow readers of snapshots do not delay readiness checks")
{
    // Guards against routers that take a daemon out of rotation because all
    // threads of its HTTP server are sending snapshots over slow links.
    daemon_fixture site;
    steering::metadata_update update = ::make_site_update(site.socket->local());
    auto& references =
        std::get<steering::configuration_published>(update.changes[0])
            .configuration.references;
    // More than the kernel buffers for a connection whose client reads nothing.
    constexpr std::uint32_t reference_count = 100'000;
    for (std::uint32_t i = 0; i < reference_count; ++i)
    {
        references.push_back(
            {"r" + std::to_string(i), {{i + 1000}, 80}, {{"orderdesk", 1}}});
    }
    site.source->enqueue(std::move(update));
    REQUIRE(eventually([&] { return site.is_ready(); }));
    asio::io_context context;
    std::vector<asio::ip::tcp::socket> slow_readers;
    for (int i = 0; i < 2 * max_concurrent_snapshots; ++i)
    {
        slow_readers.emplace_back(context);
        slow_readers.back().open(asio::ip::tcp::v4());
        slow_readers.back().set_option(
            asio::socket_base::receive_buffer_size(4096));
        slow_readers.back().connect(
            {asio::ip::address_v4::loopback(), site.settings.control.port});
        asio::write(slow_readers.back(),
                    asio::buffer(std::string("GET ") + snapshot_path +
                                 " HTTP/1.1\r\nHost: x\r\n\r\n"));
    }
    const instant started = steady_now();
    CHECK(site.is_ready());
    CHECK(steady_now() - started < 500ms);
}

TEST_CASE("a daemon without a configuration serves no snapshot")
{
    const daemon_fixture site;
    CHECK(send_get(site.settings.control, snapshot_path)
              .starts_with("HTTP/1.1 503"));
}

TEST_CASE("a snapshot equals its decoded encoding; other input is rejected")
{
    steering::metadata_update update = ::make_site_update({{5}, 80});
    update.changes.emplace_back(
        steering::data_centre_service_changed{"b", false});
    const auto decoded = parse_snapshot(to_json(update));
    REQUIRE(decoded);
    CHECK(decoded.value().revision == update.revision);
    CHECK(decoded.value().complete);
    CHECK(decoded.value().changes.size() == update.changes.size());
    for (const steering::metadata_change& change : update.changes)
    {
        CHECK(std::ranges::find(decoded.value().changes, change) !=
              decoded.value().changes.end());
    }
    for (const char* text :
         {"", "{}", "[]", R"({"format":2})", R"({"format":1,"revision":"x"})"})
    {
        CHECK_FALSE(parse_snapshot(text));
    }
}
