#pragma once

// A small deployment on loopback addresses for the cases of the second review:
// real edge daemons as separate processes, and stand-ins for the platform's
// store, the targets, the routers and the callers. All stand-ins run on one
// thread and follow ../given/kit/more/system/PROTOCOL.md.
//
// Example:
//   site deployment(settings, record_file);
//   deployment.at(12s, [&] { deployment.deny_store(3, true); });
//   deployment.run(30s);
//   for (const arrival& each : deployment.arrivals()) { ... }

// clang-format off
// Boost 1.74 uses std::exchange without including its header.
#include <utility>
// clang-format on

#include <boost/asio.hpp>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace review
{

namespace asio = boost::asio;
using namespace std::chrono_literals;
using clock = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

/// The bounds that the small deployments have (SYSTEM.md), in their settings
/// files and in the checks.
inline constexpr milliseconds stability = 4000ms;
inline constexpr milliseconds drain_bound = 3000ms;
inline constexpr milliseconds apply_bound = 3000ms;
inline constexpr milliseconds evacuation_bound = 5000ms;
inline constexpr milliseconds heartbeat = 1200ms;

struct service_settings
{
    std::string name;
    /// Number of targets in each zone.
    std::vector<unsigned> targets;
};

struct route_settings
{
    std::string name;
    std::string service;
    /// Port of the route's address.
    std::uint16_t port = 0;
    /// Kind of its requests.
    std::string kind;
    unsigned timeout_ms = 0;
    unsigned aim_ms = 0;
    unsigned priority = 2;
    double per_second = 0;
    milliseconds work{};
    unsigned answer_bytes = 0;
};

struct site_settings
{
    std::vector<std::string> zones;
    unsigned daemons_per_zone = 2;
    std::vector<service_settings> services;
    std::vector<route_settings> routes;
    /// Bounds of the site.
    milliseconds stability = review::stability;
    milliseconds drain = drain_bound;
    milliseconds apply = apply_bound;
    milliseconds evacuation = evacuation_bound;
    /// Speed of each daemon's link to the store; 0 for no limit.
    std::uint64_t link_bytes_per_second = 0;
    /// Age of the state that reads with `serializable` = 1 return.
    milliseconds replica_age{};
    std::vector<std::string> contracts;
};

/// Settings like those of sites/exlibris-centrala.toml: 6 daemons in 3 zones,
/// services of 14 and 4 targets, the kinds of requests of its sheet. Previews
/// are fewer, so that the case runs on any machine.
site_settings small_deployment();

/// An opening packet that a target took.
struct arrival
{
    milliseconds at{};
    unsigned target = 0;
    /// The daemon that sent it on.
    unsigned daemon = 0;
};

/// When the store had no entry of a target, or one that says that it drains.
struct absence
{
    unsigned target = 0;
    milliseconds from{};
    milliseconds until = milliseconds::max();
};

/// A request that a target had begun or queued when it crashed.
struct lost_request
{
    milliseconds at{};
    unsigned target = 0;
    /// When the target took the opening packet of the request's flow.
    milliseconds opened{};
};

/// How callers' attempts ended.
struct outcome_counts
{
    unsigned served = 0;
    unsigned refused = 0;
    unsigned unanswered = 0;
};

class site
{
public:
    site(site_settings settings, const std::string& record_file);
    ~site();
    site(const site&) = delete;
    site& operator=(const site&) = delete;

    /// Calls `action` at this time after the start of the daemons.
    void at(milliseconds moment, std::function<void()> action);

    /// Starts the daemons, plays the traffic from 4 s on until `length`, and
    /// ends the daemons. Returns false if a daemon could not serve.
    bool run(milliseconds length);

    /// The store answers every call of the daemon with 503, or serves it again.
    void deny_store(unsigned daemon, bool denied);
    /// The target's writes do not reach the store, or reach it again. Callers
    /// and daemons reach the target all the while.
    void cut_from_store(unsigned target, bool cut);
    /// The target announces that it is draining. It serves on.
    void drain(unsigned target);
    /// Publishes a newer version of the configuration, which has as many idle
    /// routes beside those of the settings. Returns its size in bytes.
    std::size_t publish_configuration(unsigned idle_routes);
    /// The target ends without notice and never comes back.
    void crash_target(unsigned target);
    [[nodiscard]] unsigned daemon_count() const;
    [[nodiscard]] std::vector<unsigned>
    targets_of(const std::string& service) const;
    [[nodiscard]] std::string target_name(unsigned target) const;

    [[nodiscard]] const std::vector<arrival>& arrivals() const
    {
        return arrivals_;
    }
    [[nodiscard]] const std::vector<absence>& absences() const
    {
        return absences_;
    }
    [[nodiscard]] const std::vector<lost_request>& lost_requests() const
    {
        return lost_requests_;
    }
    [[nodiscard]] const outcome_counts& outcomes() const
    {
        return outcomes_;
    }

    /// Whether the daemon has been in touch for the whole time that the rules
    /// ask for before `moment`.
    [[nodiscard]] bool in_touch(unsigned daemon, milliseconds moment) const;

    void record(const std::string& line);
    [[nodiscard]] milliseconds now() const;

private:
    struct daemon_process;
    struct target_state;
    struct caller_flow;
    class store;
    friend class store;

    [[nodiscard]] std::string entry_of(unsigned target) const;
    void start_daemon(unsigned index);
    void stop_daemons();
    void probe(unsigned daemon);
    void beat(unsigned target);
    void receive_at_target(unsigned target);
    void handle_at_target(unsigned target, const unsigned char* bytes,
                          std::size_t size, unsigned daemon);
    void receive_at_caller(unsigned caller);
    void open_flow(unsigned route, unsigned caller, unsigned tries_left,
                   std::uint64_t request);
    void send(caller_flow& flow, std::uint8_t flags, const std::string& data);
    void end_flow(const std::shared_ptr<caller_flow>& flow,
                  const std::string& how);
    void play_route(unsigned route);
    void work(unsigned target);

    site_settings settings_;
    std::ofstream record_;
    std::string folder_;
    unsigned network_ = 0;
    asio::io_context context_;
    /// Ends the run, and with it the daemons, if the script is ended.
    asio::signal_set signals_{context_, SIGINT, SIGTERM};
    bool interrupted_ = false;
    clock::time_point started_;
    bool traffic_stopped_ = false;
    std::unique_ptr<store> store_;
    std::vector<std::unique_ptr<daemon_process>> daemons_;
    std::vector<std::unique_ptr<target_state>> targets_;
    std::vector<std::unique_ptr<asio::ip::udp::socket>> caller_sockets_;
    std::vector<std::uint16_t> next_ports_;
    std::map<std::pair<std::uint32_t, std::uint16_t>,
             std::shared_ptr<caller_flow>>
        flows_;
    std::uint64_t last_request_ = 0;
    std::uint64_t version_ = 0;
    std::vector<arrival> arrivals_;
    std::vector<absence> absences_;
    std::vector<lost_request> lost_requests_;
    outcome_counts outcomes_;
};

/// Whether the environment asks for the run without the disruption.
bool trouble();

} // namespace review
