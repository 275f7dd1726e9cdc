#pragma once

// An edge daemon on loopback for tests, with a scripted metadata source and a
// test packet format.

#include "catkinkeel/clock/clock.hpp"
#include "catkinkeel/edge/edge_daemon.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <condition_variable>
#include <cstring>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace catkinkeel::edge::testing
{

namespace asio = boost::asio;

/// Timeout of conditions that normally hold within milliseconds.
inline constexpr duration eventually_timeout = 20s;

/// Polls `condition`; returns false if it does not hold within the timeout.
inline bool eventually(const std::function<bool()>& condition)
{
    const instant deadline = steady_now() + eventually_timeout;
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

/// A metadata source that returns the results enqueued by the test, and fails
/// when there are none.
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
    void enqueue(metadata_result result)
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
            return source_failure{"no result enqueued"};
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

/// Codec of test packets: one byte, 'o' for an opening packet, 'q' for one with
/// data or 'd' for any other, and the token. 'n' is an opening packet with the
/// caller's port in place of the token. A packet that begins with 'x' makes it
/// throw.
class test_codec : public packet_codec
{
public:
    [[nodiscard]] std::optional<steering::flow_packet>
    decode(packet_view packet) const override
    {
        if (packet.bytes.size() != 5)
        {
            return std::nullopt;
        }
        if (packet.bytes[0] == std::byte{'x'})
        {
            throw std::runtime_error("unexpected packet");
        }
        steering::flow_packet facts{.key = {{{1}, 1}, {{2}, 443}}};
        facts.opens = packet.bytes[0] == std::byte{'o'};
        facts.segment.data_bytes = packet.bytes[0] == std::byte{'q'} ? 100 : 0;
        std::memcpy(&facts.token.value, packet.bytes.data() + 1, 4);
        if (packet.bytes[0] == std::byte{'n'})
        {
            facts.opens = true;
            facts.key.caller.port =
                static_cast<std::uint16_t>(facts.token.value);
        }
        return facts;
    }
    [[nodiscard]] outgoing_datagram
    encode_forward(const steering::forward& to, packet_view packet,
                   packet_storage& storage) const override
    {
        storage[0] = packet.bytes[0];
        std::memcpy(storage.data() + 1, &to.token.value, 4);
        return {.to = to.address, .packet = {std::span(storage).first(5)}};
    }
    [[nodiscard]] outgoing_datagram
    encode_refusal(packet_view /*packet*/,
                   packet_storage& storage) const override
    {
        storage[0] = std::byte{'r'};
        return {.to = refusals, .packet = {std::span(storage).first(1)}};
    }

    endpoint refusals;
};

/// A full update with one reference, and one target at address `target`.
inline steering::metadata_update make_site_update(const endpoint& target)
{
    steering::published_configuration configuration{.version = {3}};
    configuration.references.push_back(
        {"r", {{2}, 443}, {{"orderdesk", 1}}, {true, 2, 150ms, 2s}});
    return {.complete = true,
            .revision = 10,
            .changes = {steering::configuration_published{configuration},
                        steering::target_announced{{.name = "t",
                                                    .identity = 1,
                                                    .service = "orderdesk",
                                                    .address = target,
                                                    .data_centre = "a"}}}};
}

/// Any free port of the loopback address.
inline constexpr endpoint any_loopback_port{{0x7f000001}, 0};

/// Holds a TCP port of the loopback address without listening on it: the kernel
/// assigns the port to no other socket and refuses connections to it. A server
/// that sets SO_REUSEADDR, as CivetWeb does, can listen on the port meanwhile.
class tcp_port_reservation
{
public:
    tcp_port_reservation()
    {
        socket_.open(asio::ip::tcp::v4());
        // Both sockets need the option for the server's bind to succeed.
        socket_.set_option(asio::socket_base::reuse_address(true));
        socket_.bind({asio::ip::address_v4::loopback(), 0});
    }

    [[nodiscard]] endpoint local() const
    {
        return {any_loopback_port.address, socket_.local_endpoint().port()};
    }

private:
    asio::io_context context_;
    asio::ip::tcp::socket socket_{context_};
};

inline std::string send_get(const endpoint& server, const std::string& path)
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

/// A daemon with one target, which is a socket of the test.
struct daemon_fixture
{
    /// `snapshot_servers` are control addresses of daemons from which this one
    /// requests snapshots.
    explicit daemon_fixture(std::vector<endpoint> snapshot_servers = {})
    {
        settings.snapshot_sources = std::move(snapshot_servers);
        socket = udp_socket::open(any_loopback_port).value();
        codec->refusals = socket->local();
        settings.name = "vm-1";
        settings.data_centre = "a";
        settings.readiness = readiness_port.local();
        settings.readiness_path = "/ready";
        settings.metrics = metrics_port.local();
        settings.control = control_port.local();
        settings.reading = {.min_read_period = 5ms,
                            .first_retry_delay = 5ms,
                            .max_retry_delay = 10ms};
        settings.departure = {.min_forwarding_time = 20ms,
                              .quiet_period = 20ms,
                              .max_forwarding_time = 10s};
        start(source);
    }

    /// Starts a daemon that reads from `metadata`, on new UDP ports and on the
    /// reserved TCP ports.
    void start(std::shared_ptr<metadata_source> metadata)
    {
        // Both sockets are open at the same time, so that their ports differ.
        auto packet_port = udp_socket::open(any_loopback_port).value();
        auto notice_port = udp_socket::open(any_loopback_port).value();
        settings.packets = packet_port->local();
        settings.peers.notice_endpoint = notice_port->local();
        // The daemon's UDP sockets do not set SO_REUSEADDR, so their ports are
        // released right before they are bound.
        packet_port.reset();
        notice_port.reset();
        auto started =
            edge_daemon::start(settings, std::move(metadata), codec, events);
        INFO("start: " << (started ? "succeeded" : started.error().message));
        REQUIRE(started);
        daemon = std::move(started).value();
    }

    void send(char kind, std::uint32_t token = 0) const
    {
        std::array<std::byte, 5> bytes{static_cast<std::byte>(kind)};
        std::memcpy(bytes.data() + 1, &token, 4);
        const outgoing_datagram datagram{.to = settings.packets,
                                         .packet = {bytes}};
        socket->send(std::span(&datagram, 1));
    }

    /// Returns the next datagram received by the test's socket; empty after a
    /// timeout of `wait`.
    [[nodiscard]] std::string receive(duration wait = eventually_timeout) const
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
        return send_get(settings.readiness, "/ready")
            .starts_with("HTTP/1.1 200");
    }

    std::shared_ptr<scripted_source> source =
        std::make_shared<scripted_source>();
    std::shared_ptr<test_codec> codec = std::make_shared<test_codec>();
    std::shared_ptr<event_channel> events = std::make_shared<event_channel>();
    std::shared_ptr<udp_socket> socket;
    tcp_port_reservation readiness_port;
    tcp_port_reservation metrics_port;
    tcp_port_reservation control_port;
    edge_settings settings;
    std::shared_ptr<edge_daemon> daemon;
};

/// Whether the daemon's metrics contain `line`.
inline bool has_metric(const daemon_fixture& site, const std::string& line)
{
    return send_get(site.settings.metrics, "/metrics").find(line) !=
           std::string::npos;
}

} // namespace catkinkeel::edge::testing
