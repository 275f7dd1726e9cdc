#pragma once

// Test fixture: entry daemons in the test process with a stand-in of the
// platform; targets and the fabric's egress are sockets of the test. All
// addresses are loopback addresses; the second octet differs between concurrent
// runs of the program.

#include "catkinkeel/daemon/daemon.hpp"
#include "catkinkeel/operators/documents.hpp"
#include "catkinkeel/packet/udp_socket.hpp"
#include "standins/platform_standin.hpp"

#include <catch2/catch.hpp>
#include <civetweb.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace catkinkeel::daemon_tests
{

/// Maximum time to wait for a condition; long enough for a loaded machine. The
/// test fails when it elapses.
constexpr duration wait_timeout = 120s;
constexpr duration poll_interval = 20ms;

/// Polls `condition` until it is true. Returns false after `wait_timeout`.
inline bool wait_until(const std::function<bool()>& condition)
{
    const auto end = std::chrono::steady_clock::now() + wait_timeout;
    while (std::chrono::steady_clock::now() < end)
    {
        if (condition())
        {
            return true;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return false;
}

/// Stores all logged events in memory.
class memory_sink : public event_sink
{
public:
    struct store
    {
        std::mutex mutex;
        std::vector<event_record> records;
    };

    explicit memory_sink(std::shared_ptr<store> shared_store)
        : store_(std::move(shared_store))
    {
    }
    void write(const event_record& record,
               std::uint64_t /*suppressed*/) override
    {
        const std::lock_guard lock(store_->mutex);
        store_->records.push_back(record);
    }

private:
    std::shared_ptr<store> store_;
};

struct http_reply
{
    /// 0 if there is no response.
    int status = 0;
    std::string body;
};

inline http_reply http_request(const endpoint& server, const std::string& path,
                               const std::string& method = "GET")
{
    std::array<char, 256> error{};
    mg_connection* connection =
        mg_connect_client(to_string(server.address).c_str(), server.port, 0,
                          error.data(), error.size());
    if (connection == nullptr)
    {
        return {};
    }
    mg_printf(connection,
              "%s %s HTTP/1.1\r\nHost: test\r\nContent-Length: 0\r\n"
              "Connection: close\r\n\r\n",
              method.c_str(), path.c_str());
    http_reply reply;
    if (mg_get_response(connection, error.data(), error.size(), 10'000) >= 0)
    {
        reply.status = mg_get_response_info(connection)->status_code;
        std::array<char, 4096> buffer{};
        int size = 0;
        while ((size = mg_read(connection, buffer.data(), buffer.size())) > 0)
        {
            reply.body.append(buffer.data(), static_cast<std::size_t>(size));
        }
    }
    mg_close_connection(connection);
    return reply;
}

/// A daemon with its settings and logged events.
struct test_daemon
{
    daemon_settings settings;
    std::shared_ptr<memory_sink::store> log =
        std::make_shared<memory_sink::store>();
    std::shared_ptr<event_reporter> events = std::make_shared<event_reporter>(
        std::make_shared<event_log>(std::make_unique<memory_sink>(log), 1000));
    std::shared_ptr<entry_daemon> instance;

    [[nodiscard]] outcome<done> start()
    {
        auto started = entry_daemon::start(settings, events);
        if (!started)
        {
            return started.error();
        }
        instance = std::move(started).value();
        return done{};
    }

    [[nodiscard]] std::vector<event_record> logged(event_number number) const
    {
        const std::lock_guard lock(log->mutex);
        std::vector<event_record> found;
        for (const event_record& each : log->records)
        {
            if (each.number == number)
            {
                found.push_back(each);
            }
        }
        return found;
    }

    [[nodiscard]] http_reply get(const std::string& path) const
    {
        return http_request(settings.operators, path);
    }
    /// The default document if the daemon does not respond.
    [[nodiscard]] status_document status() const
    {
        auto document =
            from_json<status_document>(get(std::string(status_path)).body);
        return document ? std::move(document).value() : status_document{};
    }
    [[nodiscard]] bool ready() const
    {
        return get("/readyz").status == 200;
    }
    [[nodiscard]] bool has_in_effect(std::uint64_t version) const
    {
        return status().set.in_effect == set_version{version};
    }
};

/// A data centre with two entry VMs, a service with two targets, and a service
/// whose only target is draining.
class test_site
{
public:
    /// `third_octet` of the site's addresses; unique within the program.
    explicit test_site(std::uint8_t third_octet)
        : third_octet_(third_octet),
          key_file_(std::filesystem::temp_directory_path() /
                    ("catkinkeel_daemon_test." + std::to_string(getpid()) +
                     "." + std::to_string(third_octet)))
    {
        write_keys("1 " + std::string(64, '7') + "\n");
        platform = platform_standin::start(0).value();
        mg_init_library(0);
        std::array<const char*, 5> options{"listening_ports", "127.0.0.1:0",
                                           "num_threads", "4", nullptr};
        const mg_callbacks callbacks{};
        report_server_ = mg_start(&callbacks, nullptr, options.data());
        REQUIRE(report_server_ != nullptr);
        mg_set_request_handler(report_server_, "/load", serve_load_report,
                               nullptr);
        mg_server_port port{};
        mg_get_server_ports(report_server_, 1, &port);
        const endpoint report_endpoint{{0x7f000001},
                                       static_cast<std::uint16_t>(port.port)};
        egress = udp_socket::open({address(200), 0}).value();
        objects = {.version = {1}, .published_by = "test"};
        objects.data_centres = {{.id = {1}, .name = "a", .region = {1}}};
        objects.services = {{.id = {1}, .name = "served"},
                            {.id = {2}, .name = "drained"}};
        for (std::uint32_t id = 1; id <= 3; ++id)
        {
            const auto last_octet = static_cast<std::uint8_t>(100 + id);
            targets.push_back(
                udp_socket::open({address(last_octet), 0}).value());
            objects.targets.push_back(
                {.id = {id},
                 .service = {id < 3 ? 1U : 2U},
                 .data_centre = {1},
                 .address = targets.back()->local(),
                 .report = report_endpoint,
                 .wish = id < 3 ? target_wish::serve : target_wish::drain});
        }
        objects.references = {
            {.id = {1}, .public_endpoint = served_endpoint(), .service = {1}},
            {.id = {2}, .public_endpoint = drained_endpoint(), .service = {2}}};
        std::string vm_list_text;
        for (std::uint32_t id = 1; id <= 2; ++id)
        {
            daemons.push_back(std::make_unique<test_daemon>());
            daemon_settings& vm_settings = daemons.back()->settings;
            vm_settings.id = {id};
            vm_settings.name = "vm-" + std::to_string(id);
            vm_settings.data_centre = {1};
            const ipv4_address own_address =
                address(static_cast<std::uint8_t>(id));
            vm_settings.packets = {own_address, 6080};
            vm_settings.control = {own_address, 6081};
            vm_settings.operators = {own_address, 9080};
            vm_settings.egress = egress->local();
            vm_settings.configuration = vm_settings.vm_list =
                platform->address();
            vm_settings.max_vm_list_lag = std::chrono::seconds{1};
            vm_settings.key_file = key_file_.string();
            vm_settings.shutdown_time_limit = std::chrono::seconds{90};
            vm_list_text += "[[vm]]\nid = " + std::to_string(id) +
                            "\ndata_centre = 1\ncontrol = \"" +
                            to_string(vm_settings.control) +
                            "\"\npackets = \"" +
                            to_string(vm_settings.packets) + "\"\n";
        }
        platform->set_vms(vm_list_text);
    }
    ~test_site()
    {
        daemons.clear();
        mg_stop(report_server_);
        mg_exit_library();
        std::error_code ignored;
        std::filesystem::remove(key_file_, ignored);
    }
    test_site(const test_site&) = delete;
    test_site& operator=(const test_site&) = delete;

    [[nodiscard]] ipv4_address address(std::uint8_t last_octet) const
    {
        const auto second_octet =
            static_cast<std::uint32_t>(16 + getpid() % 200);
        return {(127U << 24U) | (second_octet << 16U) |
                (static_cast<std::uint32_t>(third_octet_) << 8U) | last_octet};
    }
    [[nodiscard]] endpoint served_endpoint() const
    {
        return {address(240), 443};
    }
    [[nodiscard]] endpoint drained_endpoint() const
    {
        return {address(241), 443};
    }
    void write_keys(const std::string& text) const
    {
        std::ofstream(key_file_) << text;
    }
    void publish(std::uint64_t version)
    {
        objects.version = {version};
        platform->publish(objects);
    }
    void start_all() const
    {
        for (const auto& each : daemons)
        {
            REQUIRE(each->start());
        }
    }
    /// Polls `condition` for one daemon after the other. Returns whether it
    /// became true for every daemon.
    [[nodiscard]] bool wait_until_all(
        const std::function<bool(const test_daemon&)>& condition) const
    {
        return std::ranges::all_of(
            daemons, [&](const auto& each)
            { return wait_until([&] { return condition(*each); }); });
    }

    std::shared_ptr<platform_standin> platform;
    published_objects objects;
    std::vector<std::shared_ptr<udp_socket>> targets;
    std::shared_ptr<udp_socket> egress;
    std::vector<std::unique_ptr<test_daemon>> daemons;

private:
    static int serve_load_report(mg_connection* connection, void* /*unused*/)
    {
        const std::string body = R"({"instance": 1, "state": "ready", )"
                                 R"("connections": 0, "busy_slots": 0})";
        mg_printf(connection,
                  "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                  "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
                  body.size(), body.c_str());
        return 200;
    }

    std::uint8_t third_octet_;
    std::filesystem::path key_file_;
    mg_context* report_server_ = nullptr;
};

} // namespace catkinkeel::daemon_tests
