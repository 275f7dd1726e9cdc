#pragma once

// Stand-ins for a small deployment: the platform's store, its routers, clients
// and targets, as PROTOCOL.md describes them. They run in one process, which
// also starts and signals the daemons under test. Only POSIX is used.

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review
{

/// Milliseconds on the steady clock since the start of the program.
double now_ms();

/// Writes lines with times to record.txt. Thread-safe.
class record_file
{
public:
    explicit record_file(const std::string& path) : out_(path) {}
    void line(const std::string& text);

private:
    std::mutex mutex_;
    std::ofstream out_;
};

/// The platform's metadata store. Thread-safe. Reads are linearizable unless
/// the caller asks for `serializable`; those are answered by the followers in
/// turn, each of which is `follower_lag_ms` behind.
class store
{
public:
    struct settings
    {
        std::uint16_t port = 0;
        std::vector<double> follower_lag_ms;
        /// Whether a follower also answers a watch with `serializable`.
        bool watches_at_followers = false;
        /// "items (at most about 500 items or 1 MB)"
        std::size_t max_items = 500;
        std::size_t max_page_bytes = 1'000'000;
        double answer_ms = 4;
        /// Speed at which one machine gets an answer over its link; 0: no
        /// limit.
        double link_mbps = 0;
    };

    store(settings s, record_file& record);
    ~store();

    /// Writes the item and returns the time of the confirmation.
    double put(const std::string& key, const std::string& value);
    double remove(const std::string& key);

    /// Called for every range read and watch with its path.
    std::function<void(const std::string&)> on_read;

private:
    struct version
    {
        std::uint64_t revision = 0;
        bool removed = false;
        std::string value;
    };
    struct change
    {
        std::uint64_t revision = 0;
        double at = 0;
        std::string key;
    };

    double write(const std::string& key, version next);
    void serve();
    void serve_connection(int connection);
    std::string answer_range(const std::string& path);
    std::string answer_watch(const std::string& path);
    /// Revision that a follower `lag` ms behind has; the newest one for 0.
    std::uint64_t revision_at(double lag) const;
    const version* find(const std::string& key, std::uint64_t revision) const;
    double next_lag(bool serializable);

    settings settings_;
    record_file& record_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 100;
    std::map<std::string, std::vector<version>> items_;
    std::vector<change> log_;
    std::size_t next_follower_ = 0;
    int listener_ = -1;
    std::atomic<bool> stopping_{false};
    std::atomic<int> connections_{0};
    std::thread thread_;
};

/// One process of the edge daemon on a machine of its own address.
class daemon
{
public:
    struct settings
    {
        std::string name;
        std::string zone;
        std::string ip;
        std::string settings_file;
        std::string log_file;
        std::uint16_t packet_port = 0;
        std::uint16_t readiness_port = 0;
    };

    daemon(settings s, record_file& record);
    ~daemon();

    void start();
    void signal(int number);
    /// SIGTERM, then SIGKILL after `grace_ms`, then a start.
    void restart(double grace_ms, double pause_ms);
    void freeze(double for_ms);
    void kill();

    /// Polls readiness as the platform does: twice a second, two misses take
    /// the daemon out of rotation.
    void poll_readiness();

    [[nodiscard]] bool in_rotation() const
    {
        return in_rotation_;
    }
    /// Whether for `stability_ms` nothing was done to the process.
    [[nodiscard]] bool in_touch(double stability_ms) const
    {
        return !disturbed_now_ && now_ms() - disturbed_at_ >= stability_ms;
    }
    [[nodiscard]] const settings& site() const
    {
        return settings_;
    }

private:
    void disturb(bool ongoing, const std::string& what);

    settings settings_;
    record_file& record_;
    pid_t pid_ = -1;
    std::atomic<bool> in_rotation_{false};
    int misses_ = 0;
    std::atomic<bool> disturbed_now_{false};
    std::atomic<double> disturbed_at_{0};
};

struct target_info
{
    std::string id;
    std::uint64_t identity = 0;
    std::string service;
    std::string zone;
    std::string ip;
    std::uint16_t port = 0;
};

/// What one target took: the opening packet of a flow that then opened, and the
/// request on it.
struct run
{
    std::string attempt;
    target_info target;
    /// When the client sent the first packet of the flow, when the opening
    /// packet arrived that opened the flow, and through which daemon.
    double sent_at = 0;
    double arrived_at = 0;
    std::string daemon_ip;
    std::string reference;
};

/// Routers, clients and targets. One thread.
class packet_world
{
public:
    struct settings
    {
        std::uint16_t packet_port = 0;
        /// Address of the client of each zone.
        std::map<std::string, std::string> clients;
        double flows_per_second = 100;
        double work_ms = 25;
        double deadline_ms = 2000;
        unsigned retries = 2;
        unsigned seed = 1;
    };
    struct reference
    {
        std::string ip;
        std::uint16_t port = 0;
    };

    packet_world(settings s, std::vector<std::shared_ptr<daemon>> daemons,
                 record_file& record);
    ~packet_world();

    void add_target(const target_info& info);
    void remove_target(const std::string& id);
    void set_references(std::vector<reference> references);
    void start_load();
    void stop_load();

    /// Called on the packet thread when a target starts to run a request.
    std::function<void(const run&)> on_run;

    /// Called on the packet thread when an attempt ends at the client.
    std::function<void(double first_sent, bool answered)> on_end;

    struct totals
    {
        std::uint64_t attempts = 0, answered = 0, refused = 0, failed = 0;
        std::uint64_t cut_at_exit = 0;
    };
    totals counts();

private:
    struct flow_key
    {
        std::uint32_t client = 0;
        std::uint16_t client_port = 0;
        std::uint32_t reference = 0;
        std::uint16_t reference_port = 0;
        friend auto operator<=>(const flow_key&, const flow_key&) = default;
    };
    struct packet
    {
        std::uint32_t src = 0, dst = 0, echo = 0, seq = 0, ack = 0;
        std::uint16_t sport = 0, dport = 0;
        std::uint8_t flags = 0;
        std::string data;
        bool valid_sum = false;
        bool zero_sum = false;
    };
    struct client_flow
    {
        flow_key key;
        std::string zone;
        std::string attempt;
        unsigned tries = 0;
        double first_sent = 0;
        double deadline = 0;
        std::uint32_t seq = 0, peer_seq = 0, echo = 0;
        bool open = false;
        unsigned copies = 0;
        std::string request;
    };
    struct target_flow
    {
        std::uint32_t seq = 0, peer_seq = 0, echo = 0;
        bool open = false, running = false, answered = false, closed = false;
        double opening_arrived = 0;
        std::string opening_daemon;
        std::string answer;
        unsigned sends = 0;
    };
    struct target
    {
        target_info info;
        int socket = -1;
        std::map<flow_key, target_flow> flows;
    };
    struct timer
    {
        double at = 0;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const timer& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void run_loop();
    void after(double delay_ms, std::function<void()> action);
    void open_flow(const std::string& zone, unsigned tries);
    void send_opening(const flow_key& key);
    void send_request(const flow_key& key, double wait_ms);
    void finish(const flow_key& key, const std::string& how);
    void on_client_packet(const packet& p);
    void on_target_packet(target& t, std::uint64_t identity, const packet& p,
                          const std::string& from);
    void send_answer(const std::string& id, const flow_key& key,
                     double wait_ms);
    void send_to_client(int socket, packet p);
    void send_to_daemon(const client_flow& flow, packet p);
    const daemon* route(const client_flow& flow) const;
    static std::string encode(packet p);
    static bool decode(const char* bytes, std::size_t size, packet& p);

    settings settings_;
    std::vector<std::shared_ptr<daemon>> daemons_;
    record_file& record_;
    std::mutex mutex_;
    std::vector<std::function<void()>> posted_;
    std::vector<reference> references_;
    std::map<std::string, int> client_sockets_;
    std::map<int, std::string> client_zone_;
    std::map<std::string, target> targets_;
    std::map<int, std::string> target_ids_;
    std::map<flow_key, client_flow> flows_;
    std::priority_queue<timer> timers_;
    std::uint64_t timer_order_ = 0;
    std::uint64_t attempts_ = 0;
    std::uint16_t next_port_ = 20000;
    std::mt19937 random_;
    totals totals_;
    bool load_ = false;
    int epoll_ = -1;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

/// Text of the settings file of one machine (DEPLOY.md).
struct machine_settings
{
    std::string name, zone, ip;
    std::map<std::string, std::string> zones;
    std::uint16_t packet_port = 0, readiness_port = 0, control_port = 0;
    std::uint16_t notice_port = 0, store_port = 0;
    std::vector<std::string> seeds;
    /// `config_apply_ms`, `drain_ms` and `stability_ms`.
    int apply_ms = 3000, drain_ms = 3000, stability_ms = 4000;
};
std::string settings_text(const machine_settings& machine);

/// JSON texts of the store's items (PROTOCOL.md).
std::string target_entry(const target_info& target, const std::string& state,
                         std::int64_t born);
struct route_text
{
    std::string name, host, service;
    std::uint16_t port = 0;
};
std::string configuration_text(std::uint64_t version,
                               const std::vector<route_text>& routes,
                               const std::vector<std::string>& services);

bool is_free(const std::string& address, std::uint16_t port);

/// Binds a UDP port for as long as the process runs; false if it is in use.
bool claim(const std::string& address, std::uint16_t port);

/// A UDP and TCP port that is free on all of `addresses`.
std::uint16_t free_port(const std::vector<std::string>& addresses);

} // namespace review
