#pragma once

// Entry daemons in the test process, with the platform's stand-in, targets and
// the fabric's egress as sockets of the test. Everything is on the loopback
// range; the second octet differs between concurrent runs of the program.

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

/// Long enough for a loaded machine; a wait that ends here fails its test.
constexpr duration wait_limit = 120s;
constexpr duration wait_step = 20ms;

/// Calls `holds` until it is true. False after the limit.
inline bool eventually(const std::function<bool()>& holds)
{
    const auto end = std::chrono::steady_clock::now() + wait_limit;
    while (std::chrono::steady_clock::now() < end)
    {
        if (holds())
        {
            return true;
        }
        std::this_thread::sleep_for(wait_step);
    }
    return false;
}

/// Keeps all logged events.
class memory_sink : public event_sink
{
public:
    struct store
    {
        std::mutex mutex;
        std::vector<event_record> records;
    };

    explicit memory_sink(std::shared_ptr<store> kept) : kept_(std::move(kept))
    {
    }
    void write(const event_record& record, std::uint64_t /*held*/) override
    {
        const std::lock_guard lock(kept_->mutex);
        kept_->records.push_back(record);
    }

private:
    std::shared_ptr<store> kept_;
};

struct http_reply
{
    /// 0 if there is no answer.
    int status = 0;
    std::string body;
};

inline http_reply ask(const endpoint& where, const std::string& path,
                      const std::string& method = "GET")
{
    std::array<char, 256> error{};
    mg_connection* connection =
        mg_connect_client(to_string(where.address).c_str(), where.port, 0,
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
        std::array<char, 4096> part{};
        int size = 0;
        while ((size = mg_read(connection, part.data(), part.size())) > 0)
        {
            reply.body.append(part.data(), static_cast<std::size_t>(size));
        }
    }
    mg_close_connection(connection);
    return reply;
}

/// One daemon with its settings and events.
struct entry
{
    daemon_settings settings;
    std::shared_ptr<memory_sink::store> log =
        std::make_shared<memory_sink::store>();
    std::shared_ptr<reporter> events = std::make_shared<reporter>(
        std::make_shared<event_log>(std::make_unique<memory_sink>(log), 1000));
    std::shared_ptr<entry_daemon> running;

    [[nodiscard]] outcome<done> start()
    {
        auto started = entry_daemon::start(settings, events);
        if (!started)
        {
            return started.error();
        }
        running = std::move(started).value();
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
        return ask(settings.operators, path);
    }
    /// The default document if the daemon does not answer.
    [[nodiscard]] status_document status() const
    {
        auto read =
            from_json<status_document>(get(std::string(status_path)).body);
        return read ? std::move(read).value() : status_document{};
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
/// whose only target drains.
class test_site
{
public:
    /// `net` is the third octet of the site's addresses.
    explicit test_site(std::uint8_t net)
        : net_(net),
          key_file_(std::filesystem::temp_directory_path() /
                    ("catkinkeel_daemon_test." + std::to_string(getpid()) +
                     "." + std::to_string(net)))
    {
        write_keys("1 " + std::string(64, '7') + "\n");
        platform = platform_standin::start(0).value();
        mg_init_library(0);
        std::array<const char*, 5> options{"listening_ports", "127.0.0.1:0",
                                           "num_threads", "4", nullptr};
        const mg_callbacks callbacks{};
        reports_ = mg_start(&callbacks, nullptr, options.data());
        REQUIRE(reports_ != nullptr);
        mg_set_request_handler(reports_, "/load", report, nullptr);
        mg_server_port port{};
        mg_get_server_ports(reports_, 1, &port);
        const endpoint report_at{{0x7f000001},
                                 static_cast<std::uint16_t>(port.port)};
        egress = udp_socket::open({address(200), 0}).value();
        objects = {.version = {1}, .published_by = "test"};
        objects.data_centres = {{.id = {1}, .name = "a", .region = {1}}};
        objects.services = {{.id = {1}, .name = "served"},
                            {.id = {2}, .name = "drained"}};
        for (std::uint32_t id = 1; id <= 3; ++id)
        {
            const auto last = static_cast<std::uint8_t>(100 + id);
            targets.push_back(udp_socket::open({address(last), 0}).value());
            objects.targets.push_back(
                {.id = {id},
                 .service = {id < 3 ? 1U : 2U},
                 .data_centre = {1},
                 .address = targets.back()->local(),
                 .report = report_at,
                 .wish = id < 3 ? target_wish::serve : target_wish::drain});
        }
        objects.references = {
            {.id = {1}, .public_endpoint = served(), .service = {1}},
            {.id = {2}, .public_endpoint = drained(), .service = {2}}};
        std::string list;
        for (std::uint32_t id = 1; id <= 2; ++id)
        {
            entries.push_back(std::make_unique<entry>());
            daemon_settings& s = entries.back()->settings;
            s.id = {id};
            s.name = "vm-" + std::to_string(id);
            s.data_centre = {1};
            const ipv4_address own = address(static_cast<std::uint8_t>(id));
            s.packets = {own, 6080};
            s.control = {own, 6081};
            s.operators = {own, 9080};
            s.egress = egress->local();
            s.configuration = s.vm_list = platform->address();
            s.max_vm_list_lag = std::chrono::seconds{1};
            s.key_file = key_file_.string();
            s.shutdown_time_limit = std::chrono::seconds{90};
            list += "[[vm]]\nid = " + std::to_string(id) +
                    "\ndata_centre = 1\ncontrol = \"" + to_string(s.control) +
                    "\"\npackets = \"" + to_string(s.packets) + "\"\n";
        }
        platform->set_vms(list);
    }
    ~test_site()
    {
        entries.clear();
        mg_stop(reports_);
        mg_exit_library();
        std::error_code ignored;
        std::filesystem::remove(key_file_, ignored);
    }
    test_site(const test_site&) = delete;
    test_site& operator=(const test_site&) = delete;

    [[nodiscard]] ipv4_address address(std::uint8_t last) const
    {
        const auto run = static_cast<std::uint32_t>(16 + getpid() % 200);
        return {(127U << 24U) | (run << 16U) |
                (static_cast<std::uint32_t>(net_) << 8U) | last};
    }
    [[nodiscard]] endpoint served() const
    {
        return {address(240), 443};
    }
    [[nodiscard]] endpoint drained() const
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
        for (const auto& each : entries)
        {
            REQUIRE(each->start());
        }
    }
    /// Whether `holds` becomes true for every daemon.
    [[nodiscard]] bool
    all_eventually(const std::function<bool(const entry&)>& holds) const
    {
        return std::ranges::all_of(
            entries, [&](const auto& each)
            { return eventually([&] { return holds(*each); }); });
    }

    std::shared_ptr<platform_standin> platform;
    published_objects objects;
    std::vector<std::shared_ptr<udp_socket>> targets;
    std::shared_ptr<udp_socket> egress;
    std::vector<std::unique_ptr<entry>> entries;

private:
    static int report(mg_connection* connection, void* /*unused*/)
    {
        const std::string body = R"({"instance": 1, "state": "ready", )"
                                 R"("connections": 0, "busy_slots": 0})";
        mg_printf(connection,
                  "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                  "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
                  body.size(), body.c_str());
        return 200;
    }

    std::uint8_t net_;
    std::filesystem::path key_file_;
    mg_context* reports_ = nullptr;
};

} // namespace catkinkeel::daemon_tests
