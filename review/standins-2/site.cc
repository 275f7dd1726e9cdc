#include "site.h"

#include <algorithm>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <functional>
#include <nlohmann/json.hpp>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;
using nlohmann::json;

namespace
{

constexpr std::uint16_t packet_port = 8172;
constexpr std::uint16_t readiness_port = 8167;
constexpr std::uint16_t control_port = 8166;
constexpr std::uint16_t store_port = 8169;
constexpr std::uint16_t target_port = 8080;
constexpr unsigned callers_per_zone = 2;

constexpr std::uint8_t flag_syn = 64;
constexpr std::uint8_t flag_ack = 8;
constexpr std::uint8_t flag_fin = 2;
constexpr std::uint8_t flag_rst = 1;
constexpr std::size_t head_bytes = 36;
constexpr std::size_t id_bytes = 8;

std::uint32_t load(const unsigned char* bytes, std::size_t size)
{
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < size; ++i)
    {
        value = (value << 8U) | bytes[i];
    }
    return value;
}

void store_number(unsigned char* bytes, std::size_t size, std::uint32_t value)
{
    for (std::size_t i = size; i > 0; --i)
    {
        bytes[i - 1] = static_cast<unsigned char>(value);
        value >>= 8U;
    }
}

struct packet
{
    std::uint32_t source = 0;
    std::uint16_t source_port = 0;
    std::uint32_t destination = 0;
    std::uint16_t destination_port = 0;
    std::uint32_t echo = 0;
    std::uint8_t flags = 0;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::string data{};
};

/// The daemons don't know the key of `sum`, so any number but 0 does.
constexpr std::uint32_t placeholder_sum = 0x5eed0002;

std::vector<unsigned char> encode(const packet& each)
{
    std::vector<unsigned char> bytes(head_bytes + each.data.size());
    store_number(&bytes[0], 4, placeholder_sum);
    store_number(&bytes[4], 4, each.source);
    store_number(&bytes[8], 2, each.source_port);
    store_number(&bytes[10], 4, each.destination);
    store_number(&bytes[14], 2, each.destination_port);
    store_number(&bytes[16], 4, each.echo);
    bytes[20] = each.flags;
    store_number(&bytes[26], 2, static_cast<std::uint32_t>(each.data.size()));
    store_number(&bytes[28], 4, each.sequence);
    store_number(&bytes[32], 4, each.acknowledged);
    std::memcpy(bytes.data() + head_bytes, each.data.data(), each.data.size());
    return bytes;
}

std::optional<packet> decode(const unsigned char* bytes, std::size_t size)
{
    if (size < head_bytes)
    {
        return std::nullopt;
    }
    return packet{load(bytes + 4, 4),
                  static_cast<std::uint16_t>(load(bytes + 8, 2)),
                  load(bytes + 10, 4),
                  static_cast<std::uint16_t>(load(bytes + 14, 2)),
                  load(bytes + 16, 4),
                  bytes[20],
                  load(bytes + 28, 4),
                  load(bytes + 32, 4),
                  std::string(reinterpret_cast<const char*>(bytes) + head_bytes,
                              size - head_bytes)};
}

std::string encode_base64(const std::string& text)
{
    constexpr const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                   "abcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t i = 0; i < text.size(); i += 3)
    {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
        {
            group =
                (group << 8U) |
                (i + j < text.size() ? static_cast<unsigned char>(text[i + j])
                                     : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j)
        {
            encoded += i + j > text.size()
                           ? '='
                           : digits[(group >> (18 - 6 * j)) & 63U];
        }
    }
    return encoded;
}

asio::ip::address_v4 address(unsigned network, unsigned part, unsigned host)
{
    return asio::ip::address_v4((127U << 24U) | (network << 16U) |
                                (part << 8U) | host);
}

std::uint64_t mix(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15U;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

std::string query(const std::string& path, const std::string& name)
{
    for (const char* mark : {"?", "&"})
    {
        const auto found = path.find(mark + name + "=");
        if (found != std::string::npos)
        {
            const auto begin = found + 2 + name.size();
            return path.substr(begin, path.find('&', begin) - begin);
        }
    }
    return "";
}

std::string decode_query(const std::string& text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] == '%' && i + 2 < text.size())
        {
            decoded += static_cast<char>(
                std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        else
        {
            decoded += text[i];
        }
    }
    return decoded;
}

} // namespace

bool trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

site_settings small_deployment()
{
    return {.zones = {"zilina-a", "zilina-b", "trnava-c"},
            .daemons_per_zone = 2,
            .services = {{"platefiles", {5, 5, 4}}, {"orderdesk", {2, 1, 1}}},
            .routes = {{"proof-view", "platefiles", 8443, "safe", 2000, 150, 2,
                        60, 22ms, 1000},
                       {"order-submit", "orderdesk", 8080, "unsafe", 2500, 150,
                        1, 80, 29ms, 600},
                       {"plate-download", "platefiles", 8444, "download", 8000,
                        500, 2, 25, 5ms, 1100}},
            .replica_age = 0ms,
            .contracts = {"base", "drain", "config", "cost", "recover", "flows",
                          "places", "platform"}};
}

/// The platform's metadata store. Each daemon has an address of its own for it,
/// so that single daemons can be turned away.
class site::store
{
public:
    explicit store(site& owner) : site_(owner) {}

    void listen(unsigned daemon, const tcp::endpoint& local)
    {
        denied_.push_back(false);
        link_free_at_.emplace_back();
        acceptors_.push_back(
            std::make_unique<tcp::acceptor>(site_.context_, local));
        accept(daemon);
    }

    void put(const std::string& key, const std::string& value)
    {
        created_.emplace(key, revision_ + 1);
        ++revision_;
        history_.push_back({revision_, site_.now(), key, value,
                            item_text(key, value, revision_)});
    }

    void remove(const std::string& key)
    {
        created_.erase(key);
        ++revision_;
        history_.push_back(
            {revision_, site_.now(), key, std::nullopt,
             json{{"key", key}, {"revision", revision_}, {"removed", true}}
                 .dump()});
    }

    [[nodiscard]] bool has(const std::string& key) const
    {
        return created_.contains(key);
    }

    void deny(unsigned daemon, bool denied)
    {
        denied_[daemon] = denied;
    }

private:
    struct change
    {
        std::uint64_t revision = 0;
        milliseconds at{};
        std::string key;
        std::optional<std::string> value;
        /// The event as JSON.
        std::string text;
    };

    struct session
    {
        session(tcp::socket peer, asio::io_context& context)
            : socket(std::move(peer)), timer(context)
        {
        }
        tcp::socket socket;
        asio::steady_timer timer;
        asio::streambuf request{8192};
        unsigned daemon = 0;
        std::string path;
        std::string reply;
        clock::time_point deadline;
    };
    using session_pointer = std::shared_ptr<session>;

    void accept(unsigned daemon)
    {
        acceptors_[daemon]->async_accept(
            [this, daemon](error_code error, tcp::socket socket)
            {
                if (!error)
                {
                    const auto each = std::make_shared<session>(
                        std::move(socket), site_.context_);
                    each->daemon = daemon;
                    read(daemon, each);
                }
                accept(daemon);
            });
    }

    void read(unsigned daemon, const session_pointer& each)
    {
        asio::async_read_until(
            each->socket, each->request, "\r\n\r\n",
            [this, daemon, each](error_code error, std::size_t)
            {
                if (!error)
                {
                    handle(daemon, each);
                }
            });
    }

    void handle(unsigned daemon, const session_pointer& each)
    {
        std::istream stream(&each->request);
        std::string method;
        stream >> method >> each->path;
        if (denied_[daemon])
        {
            respond(each, 503, "{}");
            return;
        }
        if (each->path.starts_with("/-/kv-range"))
        {
            respond(each, 200, range(each->path));
            return;
        }
        if (!each->path.starts_with("/-/kv-watch"))
        {
            respond(each, 404, "{}");
            return;
        }
        const std::string wait = query(each->path, "wait_ms");
        each->deadline =
            clock::now() + milliseconds(wait.empty() ? 0 : std::stoi(wait));
        watch(each);
    }

    void watch(const session_pointer& each)
    {
        const std::uint64_t after = std::stoull(query(each->path, "after"));
        const std::uint64_t visible = visible_revision(each->path);
        const std::string prefix = decode_query(query(each->path, "prefix"));
        std::string events;
        for (const change& item : history_)
        {
            if (item.revision > after && item.revision <= visible &&
                item.key.starts_with(prefix))
            {
                events += (events.empty() ? "" : ",") + item.text;
            }
        }
        if (events.empty() && clock::now() < each->deadline)
        {
            each->timer.expires_after(10ms);
            each->timer.async_wait([this, each](error_code) { watch(each); });
            return;
        }
        respond(each, 200,
                "{\"events\":[" + events +
                    "],\"as_of\":" + std::to_string(visible) + "}");
    }

    std::string range(const std::string& path) const
    {
        const std::uint64_t visible = visible_revision(path);
        const std::string prefix = decode_query(query(path, "prefix"));
        const std::string after = decode_query(query(path, "after"));
        std::map<std::string, const change*> state;
        for (const change& item : history_)
        {
            if (item.revision <= visible)
            {
                state[item.key] = item.value ? &item : nullptr;
            }
        }
        std::string items;
        unsigned count = 0;
        bool more = false;
        for (const auto& [key, item] : state)
        {
            if (item == nullptr || !key.starts_with(prefix) || key <= after)
            {
                continue;
            }
            more = count >= 500;
            if (more)
            {
                break;
            }
            ++count;
            items += (items.empty() ? "" : ",") + item->text;
        }
        return "{\"items\":[" + items +
               "],\"has_more\":" + (more ? "true" : "false") +
               ",\"as_of\":" + std::to_string(visible) + "}";
    }

    [[nodiscard]] std::uint64_t visible_revision(const std::string& path) const
    {
        if (query(path, "serializable") != "1")
        {
            return revision_;
        }
        // The first configuration and the first entries are older than any
        // replica.
        std::uint64_t visible = 100;
        for (const change& item : history_)
        {
            const bool old_enough =
                item.at + site_.settings_.replica_age <= site_.now();
            visible = old_enough || item.at < 1s ? item.revision : visible;
        }
        return visible;
    }

    static std::string item_text(const std::string& key,
                                 const std::string& value,
                                 std::uint64_t revision)
    {
        return json{{"key", key},
                    {"value", encode_base64(value)},
                    {"revision", revision},
                    {"created", revision},
                    {"lease", 0}}
            .dump();
    }

    void respond(const session_pointer& each, int status,
                 const std::string& body)
    {
        each->reply = "HTTP/1.1 " + std::to_string(status) +
                      " X\r\nContent-Type: application/json\r\n"
                      "Content-Length: " +
                      std::to_string(body.size()) +
                      "\r\nConnection: close\r\n\r\n" + body;
        write_rest(each, 0);
    }

    /// Writes the reply in parts at the speed of the daemon's link.
    void write_rest(const session_pointer& each, std::size_t written)
    {
        constexpr std::size_t max_part = 16'384;
        const std::uint64_t speed = site_.settings_.link_bytes_per_second;
        const std::size_t rest = each->reply.size() - written;
        const std::size_t part = speed == 0 ? rest : std::min(rest, max_part);
        if (part == 0)
        {
            error_code ignored;
            each->socket.shutdown(tcp::socket::shutdown_both, ignored);
            return;
        }
        clock::time_point& free_at = link_free_at_[each->daemon];
        free_at = std::max(free_at, clock::now());
        each->timer.expires_at(free_at);
        if (speed != 0)
        {
            free_at += std::chrono::microseconds(1'000'000 * part / speed);
        }
        each->timer.async_wait(
            [this, each, written, part](error_code)
            {
                asio::async_write(
                    each->socket,
                    asio::buffer(each->reply.data() + written, part),
                    [this, each, written, part](error_code error, std::size_t)
                    {
                        if (!error)
                        {
                            write_rest(each, written + part);
                        }
                    });
            });
    }

    site& site_;
    std::uint64_t revision_ = 100;
    std::vector<change> history_;
    std::map<std::string, std::uint64_t> created_;
    std::vector<bool> denied_;
    std::vector<clock::time_point> link_free_at_;
    std::vector<std::unique_ptr<tcp::acceptor>> acceptors_;
};

struct site::daemon_process
{
    std::string name;
    unsigned zone = 0;
    asio::ip::address_v4 ip;
    pid_t pid = 0;
    /// Consecutive failed readiness checks; 2 put it out of rotation.
    unsigned misses = 2;
    bool was_ready = false;
    struct span
    {
        milliseconds from{};
        milliseconds until = milliseconds::max();
    };
    std::vector<span> disturbed;
};

struct site::target_state
{
    struct flow
    {
        std::uint32_t next_from_caller = 0;
        bool requested = false;
        milliseconds opened{};
        bool answered = false;
        packet answer;
    };
    struct job
    {
        std::pair<std::uint64_t, std::uint64_t> flow;
        milliseconds work{};
    };

    explicit target_state(asio::io_context& context)
        : socket(context), beat_timer(context)
    {
    }

    std::string id;
    std::uint64_t identity = 0;
    std::string service;
    unsigned zone = 0;
    asio::ip::address_v4 ip;
    udp::socket socket;
    udp::endpoint sender;
    std::array<unsigned char, 2048> buffer{};
    asio::steady_timer beat_timer;
    bool cut = false;
    bool crashed = false;
    bool draining = false;
    std::uint64_t sequence = 0;
    milliseconds last_beat{};
    std::map<std::pair<std::uint64_t, std::uint64_t>, flow> flows;
    std::deque<job> queue;
    unsigned busy = 0;
};

struct site::caller_flow
{
    explicit caller_flow(asio::io_context& context)
        : timer(context), deadline(context)
    {
    }

    std::uint64_t request = 0;
    unsigned route = 0;
    unsigned caller = 0;
    unsigned tries_left = 0;
    std::uint16_t port = 0;
    packet head;
    std::string text;
    bool open = false;
    bool done = false;
    unsigned copies = 0;
    asio::steady_timer timer;
    asio::steady_timer deadline;
};

site::site(site_settings settings, const std::string& record_file)
    : settings_(std::move(settings)),
      record_(record_file),
      started_(clock::now()),
      store_(std::make_unique<store>(*this))
{
    std::string pattern =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr)
    {
        throw std::runtime_error("cannot create a temporary folder");
    }
    folder_ = pattern;
    // A second byte of the addresses at which the packet port is free.
    for (unsigned i = 0; i < 100 && network_ == 0; ++i)
    {
        const unsigned candidate =
            64 + (static_cast<unsigned>(::getpid()) + 7 * i) % 128;
        error_code error;
        tcp::acceptor test(context_);
        test.open(tcp::v4());
        test.bind({address(candidate, 1, 10), readiness_port}, error);
        network_ = error ? 0 : candidate;
    }
    const unsigned count = static_cast<unsigned>(settings_.zones.size()) *
                           settings_.daemons_per_zone;
    for (unsigned i = 0; i < count; ++i)
    {
        auto each = std::make_unique<daemon_process>();
        each->zone = i / settings_.daemons_per_zone;
        each->name = "frontend-" + settings_.zones[each->zone] + "-" +
                     std::to_string(i % settings_.daemons_per_zone + 1);
        each->ip = address(network_, 1, 10 + i);
        daemons_.push_back(std::move(each));
        store_->listen(i, {address(network_, 3, 10 + i), store_port});
    }
    for (const service_settings& service : settings_.services)
    {
        for (unsigned zone = 0; zone < service.targets.size(); ++zone)
        {
            for (unsigned i = 0; i < service.targets[zone]; ++i)
            {
                auto each = std::make_unique<target_state>(context_);
                const auto index = static_cast<unsigned>(targets_.size());
                each->identity =
                    mix(started_.time_since_epoch().count() + index) >> 24U;
                each->identity |= 1;
                std::array<char, 32> id{};
                std::snprintf(id.data(), id.size(), "i-%010llx",
                              static_cast<unsigned long long>(each->identity));
                each->id = id.data();
                each->service = service.name;
                each->zone = zone;
                each->ip = address(network_, 2, 10 + index);
                each->socket.open(udp::v4());
                each->socket.bind({each->ip, target_port});
                targets_.push_back(std::move(each));
            }
        }
    }
    const auto callers =
        static_cast<unsigned>(settings_.zones.size()) * callers_per_zone;
    for (unsigned i = 0; i < callers; ++i)
    {
        caller_sockets_.push_back(std::make_unique<udp::socket>(
            context_,
            udp::endpoint(address(network_, 4, 10 + i), packet_port)));
        next_ports_.push_back(1024);
    }
}

site::~site()
{
    stop_daemons();
    error_code ignored;
    std::filesystem::remove_all(folder_);
}

milliseconds site::now() const
{
    return std::chrono::duration_cast<milliseconds>(clock::now() - started_);
}

void site::record(const std::string& line)
{
    record_ << now().count() << " ms " << line << '\n';
}

void site::at(milliseconds moment, std::function<void()> action)
{
    const auto timer =
        std::make_shared<asio::steady_timer>(context_, started_ + moment);
    timer->async_wait([timer, action = std::move(action)](error_code)
                      { action(); });
}

unsigned site::daemon_count() const
{
    return static_cast<unsigned>(daemons_.size());
}

std::vector<unsigned> site::targets_of(const std::string& service) const
{
    std::vector<unsigned> found;
    for (unsigned i = 0; i < targets_.size(); ++i)
    {
        if (targets_[i]->service == service)
        {
            found.push_back(i);
        }
    }
    return found;
}

std::string site::target_name(unsigned target) const
{
    return targets_[target]->id;
}

bool site::in_touch(unsigned daemon, milliseconds moment) const
{
    return std::ranges::none_of(daemons_[daemon]->disturbed,
                                [&](const daemon_process::span& each)
                                {
                                    return each.from <= moment &&
                                           (each.until == milliseconds::max() ||
                                            each.until + settings_.stability >
                                                moment);
                                });
}

void site::deny_store(unsigned daemon, bool denied)
{
    store_->deny(daemon, denied);
    auto& spans = daemons_[daemon]->disturbed;
    if (denied)
    {
        spans.push_back({now()});
    }
    else if (!spans.empty())
    {
        spans.back().until = now();
    }
    record("the store " + std::string(denied ? "turns away " : "serves ") +
           daemons_[daemon]->name);
}

void site::cut_from_store(unsigned target, bool cut)
{
    targets_[target]->cut = cut;
    record("target " + targets_[target]->id +
           (cut ? " is cut off from the store" : " reaches the store again"));
}

std::string site::entry_of(unsigned target) const
{
    const target_state& each = *targets_[target];
    return json{
        {"service", each.service},
        {"address", each.ip.to_string() + ":" + std::to_string(target_port)},
        {"zone", settings_.zones[each.zone]},
        {"version", "v1"},
        {"concurrency", 2},
        {"state", each.draining ? "draining" : "ready"},
        {"warmup_left_ms", 0},
        {"sequence", each.sequence},
        {"born", 1'790'000'000'000 + target}}
        .dump();
}

void site::start_daemon(unsigned index)
{
    daemon_process& each = *daemons_[index];
    const std::string ip = each.ip.to_string();
    const std::string file = folder_ + "/" + each.name + ".yaml";
    std::ofstream out(file);
    out << "node_name: \"" << each.name << "\"\nrole: \"edge\"\n"
        << "machine_class: \"frontend\"\nserves:\n  - \"frontend\"\n"
        << "  - \"control_plane\"\nip: \"" << ip << "\"\nzone: \""
        << settings_.zones[each.zone] << "\"\nregion: \"sk-west\"\nzones:\n";
    for (const std::string& zone : settings_.zones)
    {
        out << "  " << zone << ": \"sk-west\"\n";
    }
    out << "listen:\n  datagram_address: \"" << ip << ":" << packet_port
        << "\"\n  readiness_address: \"" << ip << ":" << readiness_port
        << "\"\n  control: \"" << ip << ":" << control_port
        << "\"\ninternal_ports:\n  - 7720\n  - 7735\nseeds:\n";
    for (unsigned i = 0; i < daemon_count(); i += settings_.daemons_per_zone)
    {
        out << "  - \"" << daemons_[i]->ip.to_string() << ":" << control_port
            << "\"\n";
    }
    out << "bootstrap: true\nin_fault_budget: false\nlimits:\n"
        << "  cpu_share: 0.055\n  cores: 1\n  memory_mb: 260\n"
        << "  file_descriptors: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\n"
        << "data_dir: null\ndiscovery: \"platform\"\n"
        << "entry: \"announcement\"\nheartbeat_ms: " << heartbeat.count()
        << "\ncontracts:\n";
    for (const std::string& contract : settings_.contracts)
    {
        out << "  - \"" << contract << "\"\n";
    }
    out << "fault_tolerance:\n  machines: 2\n  zones: 1\n  region_count: 0\n"
        << "bounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  stability_ms: "
        << settings_.stability.count() << "\n  ack_ms: 5000\n  catch_up_s: 4\n"
        << "  drain_ms: " << settings_.drain.count()
        << "\n  grace_s: 6\n  loss_slack_ms: 200\n  config_apply_ms: "
        << settings_.apply.count()
        << "\n  rollback_slack_ms: 250\n  max_stretch_ms: 12000\n"
        << "  warmup_factor: 1.5\n  warmup_slack: 5\n  evacuation_ms: "
        << settings_.evacuation.count()
        << "\n  recovery_s: 12\n  reorder_window_ms: 2000\n"
        << "  flow_max_s: 60\nhash: \"steady\"\nforwarding_mode: \"echo\"\n"
        << "platform:\n  address: \""
        << address(network_, 3, 10 + index).to_string() << ":" << store_port
        << "\"\n  forwarding_mode: \"read\"\n  writes_per_s: 400\n"
        << "  reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576\n"
        << "  ttl_min_ms: 1000\n";
    out.close();

    const std::string log = folder_ + "/" + each.name + ".log";
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    // The command and the variable of deploy/system.toml and DEPLOY.md.
    std::string program = "target/apps/catkinkeel-edge";
    std::string variable = "CATKINKEEL_NODE_FILE=" + file;
    std::array<char*, 2> arguments{program.data(), nullptr};
    std::array<char*, 2> environment{variable.data(), nullptr};
    const int error = ::posix_spawn(&each.pid, program.c_str(), &files, nullptr,
                                    arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&files);
    if (error != 0)
    {
        each.pid = 0;
        throw std::runtime_error("cannot start " + program);
    }
    record("started " + each.name);
}

void site::stop_daemons()
{
    for (const int signal : {interrupted_ ? SIGKILL : SIGTERM, SIGKILL})
    {
        for (const auto& each : daemons_)
        {
            if (each->pid != 0)
            {
                ::kill(each->pid, signal);
            }
        }
        const auto deadline = clock::now() + 7s;
        bool running = true;
        while (running && clock::now() < deadline)
        {
            running = false;
            for (const auto& each : daemons_)
            {
                if (each->pid != 0 &&
                    ::waitpid(each->pid, nullptr, WNOHANG) == each->pid)
                {
                    each->pid = 0;
                }
                running = running || each->pid != 0;
            }
            ::usleep(20'000);
        }
    }
}

void site::probe(unsigned daemon)
{
    struct check
    {
        explicit check(asio::io_context& context)
            : socket(context), timer(context)
        {
        }
        tcp::socket socket;
        asio::steady_timer timer;
        std::string request = "GET /-/ready HTTP/1.1\r\nHost: edge\r\n"
                              "Connection: close\r\n\r\n";
        std::string reply;
        bool finished = false;
    };
    const auto each = std::make_shared<check>(context_);
    const auto finish = [this, daemon, each](bool ready)
    {
        if (std::exchange(each->finished, true))
        {
            return;
        }
        error_code ignored;
        each->socket.close(ignored);
        each->timer.cancel();
        daemon_process& process = *daemons_[daemon];
        process.misses = ready ? 0 : std::min(process.misses + 1, 2U);
        process.was_ready = process.was_ready || ready;
    };
    each->timer.expires_after(450ms);
    each->timer.async_wait(
        [finish](error_code error)
        {
            if (!error)
            {
                finish(false);
            }
        });
    each->socket.async_connect(
        {daemons_[daemon]->ip, readiness_port},
        [each, finish](error_code error)
        {
            if (error)
            {
                finish(false);
                return;
            }
            asio::async_write(
                each->socket, asio::buffer(each->request),
                [each, finish](error_code, std::size_t)
                {
                    asio::async_read_until(
                        each->socket, asio::dynamic_buffer(each->reply), "\r\n",
                        [each, finish](error_code failed, std::size_t) {
                            finish(!failed &&
                                   each->reply.starts_with("HTTP/1.1 200"));
                        });
                });
        });
    at(now() + 500ms, [this, daemon] { probe(daemon); });
}

void site::beat(unsigned target)
{
    target_state& each = *targets_[target];
    const std::string key = "servers/" + each.id;
    if (!each.cut)
    {
        each.last_beat = now();
        ++each.sequence;
        if (!store_->has(key))
        {
            store_->put(key, entry_of(target));
            for (absence& gap : absences_)
            {
                if (gap.target == target && gap.until == milliseconds::max())
                {
                    gap.until = now();
                    record("entry of " + each.id + " is back");
                }
            }
        }
    }
    at(now() + heartbeat, [this, target] { beat(target); });
}

void site::drain(unsigned target)
{
    targets_[target]->draining = true;
    store_->put("servers/" + targets_[target]->id, entry_of(target));
    absences_.push_back({target, now()});
    record("target " + targets_[target]->id + " is draining");
}

void site::crash_target(unsigned target)
{
    target_state& each = *targets_[target];
    each.cut = true;
    each.crashed = true;
    record("target " + each.id + " crashes");
    for (const auto& [key, flow] : each.flows)
    {
        if (flow.requested && !flow.answered)
        {
            lost_requests_.push_back({now(), target, flow.opened});
            record("an accepted request is lost at target " + each.id +
                   "; its flow opened at " +
                   std::to_string(flow.opened.count()) + " ms");
        }
    }
    each.flows.clear();
}

void site::receive_at_target(unsigned target)
{
    target_state& each = *targets_[target];
    each.socket.async_receive_from(
        asio::buffer(each.buffer), each.sender,
        [this, target, &each](error_code error, std::size_t size)
        {
            if (!error)
            {
                unsigned daemon = 0;
                while (daemon < daemon_count() &&
                       daemons_[daemon]->ip != each.sender.address().to_v4())
                {
                    ++daemon;
                }
                if (daemon < daemon_count() && !each.crashed)
                {
                    handle_at_target(target, each.buffer.data(), size, daemon);
                }
            }
            receive_at_target(target);
        });
}

void site::handle_at_target(unsigned target, const unsigned char* bytes,
                            std::size_t size, unsigned daemon)
{
    target_state& each = *targets_[target];
    if (size < id_bytes + head_bytes)
    {
        return;
    }
    const std::uint64_t intended =
        (std::uint64_t{load(bytes, 4)} << 32U) | load(bytes + 4, 4);
    if (intended != 0 && intended != each.identity)
    {
        return;
    }
    const auto received = decode(bytes + id_bytes, size - id_bytes);
    const std::pair key{(std::uint64_t{received->source} << 16U) |
                            received->source_port,
                        (std::uint64_t{received->destination} << 16U) |
                            received->destination_port};
    const auto reply = [&](packet answer)
    {
        answer.source = received->destination;
        answer.source_port = received->destination_port;
        answer.destination = received->source;
        answer.destination_port = received->source_port;
        answer.echo = received->echo;
        error_code ignored;
        each.socket.send_to(
            asio::buffer(encode(answer)),
            {asio::ip::address_v4(received->source), packet_port}, 0, ignored);
        return answer;
    };
    const auto isn = static_cast<std::uint32_t>(
        mix(each.identity ^ mix(key.first ^ mix(key.second))));
    auto found = each.flows.find(key);
    if ((received->flags & flag_syn) != 0)
    {
        if (found == each.flows.end())
        {
            found = each.flows.try_emplace(key).first;
            found->second.next_from_caller = received->sequence + 1;
            found->second.opened = now();
            arrivals_.push_back({now(), target, daemon});
            record("target " + each.id + " takes an opening packet from " +
                   daemons_[daemon]->name);
        }
        reply({.flags = flag_syn | flag_ack,
               .sequence = isn,
               .acknowledged = received->sequence + 1});
        return;
    }
    if ((received->flags & flag_rst) != 0)
    {
        if (found != each.flows.end())
        {
            each.flows.erase(found);
        }
        return;
    }
    if (found == each.flows.end())
    {
        reply({.flags = flag_rst,
               .sequence = received->acknowledged,
               .acknowledged = received->sequence});
        return;
    }
    target_state::flow& flow = found->second;
    if ((received->flags & flag_fin) != 0)
    {
        reply({.flags = flag_fin | flag_ack,
               .sequence = received->acknowledged,
               .acknowledged = received->sequence + 1});
        return;
    }
    if (received->data.empty())
    {
        return;
    }
    flow.next_from_caller =
        received->sequence + static_cast<std::uint32_t>(received->data.size());
    if (flow.answered)
    {
        reply(flow.answer);
        return;
    }
    reply({.flags = flag_ack,
           .sequence = isn + 1,
           .acknowledged = flow.next_from_caller});
    if (flow.requested)
    {
        return;
    }
    flow.requested = true;
    const auto route = std::ranges::find(
        settings_.routes, received->destination_port, &route_settings::port);
    const std::string body(route->answer_bytes, 'x');
    flow.answer = {.echo = received->echo,
                   .flags = flag_ack,
                   .sequence = isn + 1,
                   .acknowledged = flow.next_from_caller,
                   .data =
                       "HTTP/1.1 200 OK\r\nX-Catkinkeel-Target-Id: " + each.id +
                       "\r\nContent-Length: " + std::to_string(body.size()) +
                       "\r\n\r\n" + body};
    flow.answer.data.resize(
        std::min<std::size_t>(flow.answer.data.size(), 1200));
    // "queues a few more"
    constexpr std::size_t max_queued = 8;
    if (each.queue.size() >= max_queued)
    {
        flow.answered = true;
        flow.answer.data =
            "HTTP/1.1 503 Busy\r\nX-Catkinkeel-Not-Executed: 1\r\n"
            "Content-Length: 0\r\n\r\n";
        reply(flow.answer);
        return;
    }
    each.queue.push_back({key, route->work});
    work(target);
}

void site::work(unsigned target)
{
    target_state& each = *targets_[target];
    while (each.busy < 2 && !each.queue.empty())
    {
        const target_state::job job = each.queue.front();
        each.queue.pop_front();
        ++each.busy;
        at(now() + job.work,
           [this, target, job]
           {
               target_state& owner = *targets_[target];
               --owner.busy;
               const auto found = owner.flows.find(job.flow);
               if (found != owner.flows.end())
               {
                   target_state::flow& flow = found->second;
                   flow.answered = true;
                   packet answer = flow.answer;
                   answer.source =
                       static_cast<std::uint32_t>(job.flow.second >> 16U);
                   answer.source_port =
                       static_cast<std::uint16_t>(job.flow.second);
                   answer.destination =
                       static_cast<std::uint32_t>(job.flow.first >> 16U);
                   answer.destination_port =
                       static_cast<std::uint16_t>(job.flow.first);
                   error_code ignored;
                   owner.socket.send_to(
                       asio::buffer(encode(answer)),
                       {asio::ip::address_v4(answer.destination), packet_port},
                       0, ignored);
               }
               work(target);
           });
    }
}

void site::receive_at_caller(unsigned caller)
{
    const auto buffer = std::make_shared<std::array<unsigned char, 2048>>();
    const auto sender = std::make_shared<udp::endpoint>();
    caller_sockets_[caller]->async_receive_from(
        asio::buffer(*buffer), *sender,
        [this, caller, buffer, sender](error_code error, std::size_t size)
        {
            const auto received =
                error ? std::nullopt : decode(buffer->data(), size);
            const auto found = received
                                   ? flows_.find({received->destination,
                                                  received->destination_port})
                                   : flows_.end();
            if (found != flows_.end())
            {
                const std::shared_ptr<caller_flow> flow = found->second;
                packet& head = flow->head;
                if ((received->flags & flag_rst) != 0)
                {
                    // Another target than the flow's may not know the flow.
                    if (!flow->open || received->echo == head.echo ||
                        received->echo == 0)
                    {
                        end_flow(flow, "refused");
                    }
                }
                else if ((received->flags & flag_syn) != 0)
                {
                    if (!flow->open)
                    {
                        flow->open = true;
                        flow->copies = 0;
                        head.echo = received->echo;
                        head.sequence += 1;
                        head.acknowledged = received->sequence + 1;
                        send(*flow, flag_ack, flow->text);
                        const auto repeat =
                            std::make_shared<std::function<void()>>();
                        *repeat = [this, weak = std::weak_ptr(flow), repeat]
                        {
                            const auto self = weak.lock();
                            if (!self || self->done)
                            {
                                return;
                            }
                            self->timer.expires_after(std::min<milliseconds>(
                                200ms * (1U << self->copies++), 1600ms));
                            self->timer.async_wait(
                                [this, weak, repeat](error_code cancelled)
                                {
                                    const auto again = weak.lock();
                                    if (!cancelled && again && !again->done)
                                    {
                                        send(*again, flag_ack, again->text);
                                        (*repeat)();
                                    }
                                });
                        };
                        (*repeat)();
                    }
                }
                else if (flow->open && received->data.empty() &&
                         received->acknowledged ==
                             head.sequence +
                                 static_cast<std::uint32_t>(flow->text.size()))
                {
                    flow->timer.cancel();
                }
                else if (flow->open && !received->data.empty() &&
                         received->sequence == head.acknowledged)
                {
                    head.sequence +=
                        static_cast<std::uint32_t>(flow->text.size());
                    head.acknowledged +=
                        static_cast<std::uint32_t>(received->data.size());
                    send(*flow, flag_fin | flag_ack, "");
                    end_flow(flow, "served");
                }
            }
            receive_at_caller(caller);
        });
}

void site::send(caller_flow& flow, std::uint8_t flags, const std::string& data)
{
    // The router: the daemons of the caller's zone that are in rotation, or all
    // of them if fewer than half are.
    const unsigned zone = flow.caller / callers_per_zone;
    std::vector<unsigned> rotation;
    std::vector<unsigned> all;
    for (unsigned i = 0; i < daemon_count(); ++i)
    {
        if (daemons_[i]->zone == zone)
        {
            all.push_back(i);
            if (daemons_[i]->misses < 2)
            {
                rotation.push_back(i);
            }
        }
    }
    const std::vector<unsigned>& usable =
        2 * rotation.size() < all.size() ? all : rotation;
    packet each = flow.head;
    each.flags = flags;
    each.data = data;
    const std::uint64_t hash =
        mix(mix((std::uint64_t{each.source} << 16U) | each.source_port) ^
            ((std::uint64_t{each.destination} << 16U) | each.destination_port));
    const unsigned daemon = *std::ranges::max_element(
        usable, {}, [&](unsigned index) { return mix(hash ^ mix(index)); });
    error_code ignored;
    caller_sockets_[flow.caller]->send_to(asio::buffer(encode(each)),
                                          {daemons_[daemon]->ip, packet_port},
                                          0, ignored);
}

void site::open_flow(unsigned route, unsigned caller, unsigned tries_left,
                     std::uint64_t request)
{
    const auto flow = std::make_shared<caller_flow>(context_);
    flow->request = request;
    flow->route = route;
    flow->caller = caller;
    flow->tries_left = tries_left;
    flow->port = next_ports_[caller]++;
    flow->head.source = address(network_, 4, 10 + caller).to_uint();
    flow->head.source_port = flow->port;
    flow->head.destination = address(network_, 9, 1).to_uint();
    flow->head.destination_port = settings_.routes[route].port;
    flow->head.sequence =
        static_cast<std::uint32_t>(mix(request * 8 + tries_left));
    flow->text =
        "GET /" + std::to_string(request) +
        " HTTP/1.1\r\nX-Catkinkeel-Attempt-Id: " + std::to_string(request) +
        "-" + std::to_string(tries_left) + "\r\n\r\n";
    flows_[{flow->head.source, flow->port}] = flow;
    const auto send_opening = [this, weak = std::weak_ptr(flow)](unsigned copy)
    {
        const auto self = weak.lock();
        if (self && !self->open && !self->done)
        {
            self->head.acknowledged = copy;
            send(*self, flag_syn, "");
        }
    };
    send_opening(0);
    at(now() + 200ms, [send_opening] { send_opening(1); });
    at(now() + 600ms, [send_opening] { send_opening(2); });
    at(now() + 1400ms,
       [this, weak = std::weak_ptr(flow)]
       {
           const auto self = weak.lock();
           if (self && !self->open)
           {
               end_flow(self, "unanswered");
           }
       });
    flow->deadline.expires_after(
        milliseconds(settings_.routes[route].timeout_ms));
    flow->deadline.async_wait(
        [this, weak = std::weak_ptr(flow)](error_code error)
        {
            const auto self = weak.lock();
            if (!error && self)
            {
                end_flow(self, "unanswered");
            }
        });
}

void site::end_flow(const std::shared_ptr<caller_flow>& flow,
                    const std::string& how)
{
    if (std::exchange(flow->done, true))
    {
        return;
    }
    flow->timer.cancel();
    flow->deadline.cancel();
    outcomes_.served += how == "served" ? 1 : 0;
    outcomes_.refused += how == "refused" ? 1 : 0;
    outcomes_.unanswered += how == "unanswered" ? 1 : 0;
    record("request " + std::to_string(flow->request) + " of " +
           settings_.routes[flow->route].name + ": " + how);
    flows_.erase({flow->head.source, flow->port});
    const bool may_retry =
        !flow->open || settings_.routes[flow->route].kind != "unsafe";
    if (how != "served" && may_retry && flow->tries_left > 0 &&
        !traffic_stopped_)
    {
        open_flow(flow->route, flow->caller, flow->tries_left - 1,
                  flow->request);
    }
}

void site::play_route(unsigned route)
{
    if (traffic_stopped_)
    {
        return;
    }
    const std::uint64_t request = ++last_request_;
    const auto caller =
        static_cast<unsigned>(mix(request) % caller_sockets_.size());
    open_flow(route, caller, 2, request);
    at(now() +
           milliseconds(std::lround(1000 / settings_.routes[route].per_second)),
       [this, route] { play_route(route); });
}

std::size_t site::publish_configuration(unsigned idle_routes)
{
    version_ += 3;
    json routes = json::array();
    for (const route_settings& each : settings_.routes)
    {
        routes.push_back({{"name", each.name},
                          {"host", address(network_, 9, 1).to_string()},
                          {"prefix", "/" + std::to_string(each.port) + "/"},
                          {"kind", each.kind},
                          {"timeout_ms", each.timeout_ms},
                          {"aim_ms", each.aim_ms},
                          {"priority", each.priority},
                          {"service", each.service},
                          {"max_attempts", 2}});
    }
    for (unsigned i = 0; i < idle_routes; ++i)
    {
        routes.push_back({{"name", "r-idle" + std::to_string(i)},
                          {"host", address(network_, 9, 1).to_string()},
                          {"prefix", "/" + std::to_string(10'000 + i) + "/"},
                          {"kind", "safe"},
                          {"timeout_ms", 2000 + version_ % 500},
                          {"aim_ms", 150},
                          {"priority", 2},
                          {"service", settings_.services.front().name},
                          {"max_attempts", 2}});
    }
    json services = json::array();
    for (const service_settings& each : settings_.services)
    {
        services.push_back({{"name", each.name},
                            {"health_path", "/health"},
                            {"max_connections", 2000},
                            {"protocol", "h1"},
                            {"tls", false},
                            {"warmup_s", 2.0},
                            {"warmup_per_s", 0.0}});
    }
    const std::string document = json{{"version", version_},
                                      {"routes", routes},
                                      {"services", services},
                                      {"limits",
                                       {{"max_header_bytes", 16384},
                                        {"max_body_bytes", 262144},
                                        {"header_timeout_ms", 3000},
                                        {"idle_timeout_ms", 15000}}}}
                                     .dump();
    store_->put("op/config", document);
    record("version " + std::to_string(version_) +
           " of the configuration is confirmed, " +
           std::to_string(document.size()) + " bytes");
    return document.size();
}

bool site::run(milliseconds length)
{
    started_ = clock::now();
    signals_.async_wait(
        [this](error_code error, int)
        {
            if (!error)
            {
                interrupted_ = true;
                context_.stop();
            }
        });
    publish_configuration(0);
    for (unsigned i = 0; i < targets_.size(); ++i)
    {
        receive_at_target(i);
        beat(i);
    }
    for (unsigned i = 0; i < caller_sockets_.size(); ++i)
    {
        receive_at_caller(i);
    }
    for (unsigned i = 0; i < daemon_count(); ++i)
    {
        start_daemon(i);
        probe(i);
    }
    // The store removes entries after three heartbeat intervals of silence.
    const auto sweep = std::make_shared<std::function<void()>>();
    *sweep = [this, sweep]
    {
        for (unsigned i = 0; i < targets_.size(); ++i)
        {
            const std::string key = "servers/" + targets_[i]->id;
            if (store_->has(key) &&
                now() - targets_[i]->last_beat > 3 * heartbeat)
            {
                store_->remove(key);
                absences_.push_back({i, now()});
                record("the store removes the entry of " + targets_[i]->id);
            }
        }
        at(now() + 100ms, *sweep);
    };
    (*sweep)();
    at(4s,
       [this]
       {
           for (unsigned i = 0; i < settings_.routes.size(); ++i)
           {
               play_route(i);
           }
       });
    at(length - 2s, [this] { traffic_stopped_ = true; });
    at(length, [this] { context_.stop(); });
    context_.run();
    bool served = true;
    for (const auto& each : daemons_)
    {
        const bool runs = ::waitpid(each->pid, nullptr, WNOHANG) == 0;
        if (!runs)
        {
            each->pid = 0;
            record("the process of " + each->name + " has ended by itself");
        }
        served = served && runs && each->was_ready;
    }
    stop_daemons();
    record("served " + std::to_string(outcomes_.served) + ", refused " +
           std::to_string(outcomes_.refused) + ", unanswered " +
           std::to_string(outcomes_.unanswered));
    for (const auto& each : daemons_)
    {
        std::ifstream log(folder_ + "/" + each->name + ".log");
        for (std::string line; std::getline(log, line);)
        {
            const bool is_placement =
                line.find("event=6011") != std::string::npos;
            if (!is_placement)
            {
                record_ << each->name << ": " << line << '\n';
            }
        }
    }
    record_.flush();
    return served && !interrupted_ && outcomes_.served > 100;
}

} // namespace review
