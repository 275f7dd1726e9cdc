// The duties of an edge daemon on loopback, with a source and a packet format
// of the test's own.

#include "catkinkeel/clock/clock.hpp"
#include "catkinkeel/edge/edge_daemon.hpp"
#include "catkinkeel/edge/snapshot_json.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstring>
#include <deque>
#include <functional>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace catkinkeel;
using namespace catkinkeel::edge;
namespace asio = boost::asio;

namespace
{

/// Longest wait for something that happens within milliseconds.
constexpr duration patience = 20s;

bool eventually(const std::function<bool()>& condition)
{
    const instant deadline = steady_now() + patience;
    while (!condition())
    {
        if (steady_now() > deadline)
        {
            return false;
        }
        std::this_thread::sleep_for(2ms);
    }
    return true;
}

/// A store that answers what the test says.
class scripted_source : public metadata_source
{
public:
    metadata_result read_all(read_consistency /*consistency*/) override
    {
        ++all_reads;
        return next(0s);
    }
    metadata_result read_changes(std::uint64_t /*revision*/, duration wait,
                                 read_consistency consistency) override
    {
        return consistency == read_consistency::any_replica
                   ? metadata_result(source_failure{"no replica"})
                   : next(wait);
    }
    [[nodiscard]] std::string name() const override
    {
        return "test";
    }
    void stop() override
    {
        const std::lock_guard lock(mutex_);
        stopped_ = true;
        changed_.notify_all();
    }
    void say(metadata_result result)
    {
        const std::lock_guard lock(mutex_);
        results_.push_back(std::move(result));
        changed_.notify_all();
    }

    std::atomic<int> all_reads{0};

private:
    metadata_result next(duration wait)
    {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, wait,
                          [&] { return stopped_ || !results_.empty(); });
        if (results_.empty())
        {
            return source_failure{"nothing to say"};
        }
        metadata_result result = std::move(results_.front());
        results_.pop_front();
        return result;
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<metadata_result> results_;
    bool stopped_ = false;
};

/// A packet of the test: one byte 'o' (opens) or 'd', and the token.
class letter_codec : public packet_codec
{
public:
    [[nodiscard]] std::optional<steering::flow_packet>
    decode(packet_view packet) const override
    {
        if (packet.bytes.size() != 5)
        {
            return std::nullopt;
        }
        steering::flow_packet facts{.key = {{{1}, 1}, {{2}, 443}}};
        facts.opens = packet.bytes[0] == std::byte{'o'};
        std::memcpy(&facts.token.value, packet.bytes.data() + 1, 4);
        return facts;
    }
    [[nodiscard]] outgoing
    encode_forward(const steering::forward& to, packet_view packet,
                   packet_storage& storage) const override
    {
        storage[0] = packet.bytes[0];
        std::memcpy(storage.data() + 1, &to.token.value, 4);
        return {.to = to.address, .packet = {std::span(storage).first(5)}};
    }
    [[nodiscard]] outgoing
    encode_refusal(packet_view /*packet*/,
                   packet_storage& storage) const override
    {
        storage[0] = std::byte{'r'};
        return {.to = refusals, .packet = {std::span(storage).first(1)}};
    }

    endpoint refusals;
};

steering::metadata_update site(const endpoint& target)
{
    steering::published_terms terms{.version = {3}};
    terms.references.push_back({"r", {{2}, 443}, {{"orderdesk", 1}}});
    return {.complete = true,
            .revision = 10,
            .changes = {steering::terms_published{terms},
                        steering::target_announced{{.name = "t",
                                                    .service = "orderdesk",
                                                    .address = target,
                                                    .data_centre = "a"}}}};
}

/// A port that was free a moment ago.
std::uint16_t free_port()
{
    asio::io_context context;
    const asio::ip::tcp::acceptor acceptor(
        context, {asio::ip::address_v4::loopback(), 0});
    return acceptor.local_endpoint().port();
}

std::string get(const endpoint& server, const std::string& path)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    boost::system::error_code error;
    socket.connect({asio::ip::address_v4(server.address.value), server.port},
                   error);
    asio::write(socket,
                asio::buffer("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n"),
                error);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    return answer;
}

/// A daemon before one target, which is a socket of the test.
struct running_site
{
    /// `others` are control addresses of daemons to ask for a snapshot.
    explicit running_site(std::vector<endpoint> others = {})
    {
        settings.snapshot_sources = std::move(others);
        socket = udp_socket::open({{0x7f000001}, 0}).value();
        codec->refusals = socket->local();
        settings.name = "vm-1";
        settings.data_centre = "a";
        settings.packets = {{0x7f000001}, free_udp_port()};
        settings.readiness = {{0x7f000001}, free_port()};
        settings.readiness_path = "/ready";
        settings.metrics = {{0x7f000001}, free_port()};
        settings.control = {{0x7f000001}, free_port()};
        settings.reading = {
            .pause = 5ms, .retry_first = 5ms, .retry_at_most = 10ms};
        settings.peers.notices = {{0x7f000001}, free_udp_port()};
        settings.departure = {.at_least = 20ms, .quiet = 20ms, .at_most = 10s};
        auto started = edge_daemon::start(settings, source, codec, events);
        REQUIRE(started);
        daemon = std::move(started).value();
    }

    static std::uint16_t free_udp_port()
    {
        return udp_socket::open({{0x7f000001}, 0}).value()->local().port;
    }

    void send(char kind, std::uint32_t token = 0) const
    {
        std::array<std::byte, 5> bytes{static_cast<std::byte>(kind)};
        std::memcpy(bytes.data() + 1, &token, 4);
        const outgoing datagram{.to = settings.packets, .packet = {bytes}};
        socket->send(std::span(&datagram, 1));
    }

    /// The next datagram that the test's socket gets; empty after `wait`.
    [[nodiscard]] std::string receive(duration wait = patience) const
    {
        packet_batch batch;
        if (socket->receive(batch, wait) != receive_status::received)
        {
            return "";
        }
        const auto bytes = batch.datagrams().front().payload.bytes;
        std::string text(bytes.size(), '\0');
        std::memcpy(text.data(), bytes.data(), bytes.size());
        return text;
    }

    [[nodiscard]] bool is_ready() const
    {
        return get(settings.readiness, "/ready").starts_with("HTTP/1.1 200");
    }

    std::shared_ptr<scripted_source> source =
        std::make_shared<scripted_source>();
    std::shared_ptr<letter_codec> codec = std::make_shared<letter_codec>();
    std::shared_ptr<event_channel> events = std::make_shared<event_channel>();
    std::shared_ptr<udp_socket> socket;
    edge_settings settings;
    std::shared_ptr<edge_daemon> daemon;
};

} // namespace

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

TEST_CASE("every event has the fields that its text names")
{
    // Guards against log lines that lack what an operator needs to explain a
    // failed request.
    running_site site;
    site.source->say(::site(site.socket->local()));
    REQUIRE(eventually([&] { return site.is_ready(); }));
    site.send('o');
    CHECK(site.receive().starts_with("o"));
    site.send('d', 12345);
    steering::metadata_update change;
    change.revision = 11;
    change.changes = {
        steering::terms_published{{.version = {5}}},
        steering::entry_rejected{"servers/x", "no address"},
        steering::data_centre_switched{"a", false},
        steering::data_centre_switched{"a", true},
        steering::terms_published{{.version = {4}}},
        steering::target_withdrawn{"t"},
    };
    site.source->say(change);
    const auto metrics_have = [&](const char* line)
    {
        return get(site.settings.metrics, "/metrics").find(line) !=
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

TEST_CASE("a snapshot that cannot be had is said, with the reason")
{
    // Guards against an error of a peer that is swallowed.
    const running_site site({{{0x7f000001}, free_port()}});
    bool said = false;
    while (!said)
    {
        const auto batch = site.events->ring().pop();
        REQUIRE(batch);
        for (const event_record& each : *batch)
        {
            if (each.number == event_number::snapshot_failed)
            {
                said = true;
                CHECK(missing_fields(each).empty());
            }
        }
    }
}

TEST_CASE("reporting never waits, and what was dropped is said")
{
    // Guards against a full log that stops the packet thread.
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

TEST_CASE("lines about flows are limited in a second and the rest is counted")
{
    const auto channel = std::make_shared<event_channel>();
    const auto metrics = std::make_shared<edge_metrics>();
    flow_journal journal(2, channel, metrics);
    CHECK(journal.admit(instant(10s)));
    CHECK(journal.admit(instant(10s)));
    CHECK_FALSE(journal.admit(instant(10500ms)));
    CHECK(journal.admit(instant(11s)));
    journal.flush();
    const auto lines = channel->ring().pop();
    REQUIRE(lines);
    REQUIRE(lines->size() == 1);
    CHECK(lines->front().number == event_number::records_dropped);
}

TEST_CASE("a daemon that starts while the store is away learns from another")
{
    // Guards against a restarted daemon that serves nobody during an outage.
    const running_site first;
    first.source->say(::site(first.socket->local()));
    REQUIRE(eventually([&] { return first.is_ready(); }));
    const running_site second({first.settings.control});
    REQUIRE(eventually([&] { return second.is_ready(); }));
    second.send('o');
    CHECK(first.receive().starts_with("o"));
    CHECK(get(second.settings.metrics, "/metrics")
              .find("catkinkeel_snapshots_taken_total 1") != std::string::npos);
}

namespace
{

/// A store that drops its history after two failed calls.
class compacted_source : public metadata_source
{
public:
    explicit compacted_source(const endpoint& target) : target_(target) {}

    metadata_result read_all(read_consistency /*consistency*/) override
    {
        steering::metadata_update update = site(target_);
        if (compacted)
        {
            update.revision = 30;
            std::get<steering::terms_published>(update.changes[0])
                .terms.version = {4};
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
    /// A cheap read and the dear one that replaces it.
    int failures_left_ = 2;
};

} // namespace

TEST_CASE("a peer's old snapshot does not replace what the store has dropped")
{
    // Guards against a daemon that takes the same old snapshot again and again
    // after a failed read, and never reads the store's newest terms.
    const running_site other;
    other.source->say(::site(other.socket->local()));
    REQUIRE(eventually([&] { return other.is_ready(); }));
    running_site site({other.settings.control});
    site.daemon.reset();
    const auto source =
        std::make_shared<compacted_source>(site.socket->local());
    site.daemon =
        edge_daemon::start(site.settings, source, site.codec, site.events)
            .value();
    REQUIRE(eventually([&] { return site.is_ready(); }));
    source->compacted = true;
    CHECK(eventually(
        [&]
        {
            return get(site.settings.metrics, "/metrics")
                       .find("catkinkeel_terms_version 4") != std::string::npos;
        }));
}

TEST_CASE("a daemon without terms has no snapshot to give")
{
    const running_site site;
    CHECK(
        get(site.settings.control, snapshot_path).starts_with("HTTP/1.1 503"));
}

TEST_CASE("a snapshot survives encoding; anything else is refused")
{
    steering::metadata_update update = ::site({{5}, 80});
    update.changes.emplace_back(steering::data_centre_switched{"b", false});
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
