#include "site.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sstream>
#include <sys/epoll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review
{

namespace
{

constexpr std::uint8_t flag_rst = 1;
constexpr std::uint8_t flag_fin = 2;
constexpr std::uint8_t flag_ack = 8;
constexpr std::uint8_t flag_syn = 64;
constexpr std::size_t header_size = 36;
constexpr std::size_t identity_size = 8;

sockaddr_in address_of(const std::string& ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

std::uint32_t number_of(const std::string& ip)
{
    return ntohl(address_of(ip, 0).sin_addr.s_addr);
}

std::string text_of(std::uint32_t ip)
{
    return std::to_string(ip >> 24U) + "." +
           std::to_string((ip >> 16U) & 255U) + "." +
           std::to_string((ip >> 8U) & 255U) + "." + std::to_string(ip & 255U);
}

void sleep_ms(double ms)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

int bound_socket(int type, const std::string& ip, std::uint16_t port)
{
    const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const int on = 1;
    if (type == SOCK_STREAM)
    {
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    }
    else
    {
        const int size = 1 << 20;
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    }
    const sockaddr_in address = address_of(ip, port);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&address),
               sizeof(address)) != 0)
    {
        ::close(fd);
        return -1;
    }
    return fd;
}

std::string base64(const std::string& text)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrst"
                                "uvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3)
    {
        unsigned bits = 0;
        for (std::size_t k = 0; k < 3; ++k)
        {
            bits = bits << 8U | (i + k < text.size()
                                     ? static_cast<unsigned char>(text[i + k])
                                     : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k)
        {
            out +=
                i + k > text.size() ? '=' : digits[bits >> (18 - 6 * k) & 63U];
        }
    }
    return out;
}

std::string parameter(const std::string& path, const std::string& name)
{
    for (const char* mark : {"?", "&"})
    {
        const auto at = path.find(mark + name + "=");
        if (at != std::string::npos)
        {
            const std::string rest = path.substr(at + name.size() + 2);
            return rest.substr(0, rest.find('&'));
        }
    }
    return "";
}

std::string decode_query(const std::string& text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] == '%' && i + 2 < text.size())
        {
            out += static_cast<char>(
                std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        else
        {
            out += text[i];
        }
    }
    return out;
}

void put16(std::string& out, std::uint32_t v)
{
    out += static_cast<char>(v >> 8U & 255U);
    out += static_cast<char>(v & 255U);
}

void put32(std::string& out, std::uint32_t v)
{
    put16(out, v >> 16U);
    put16(out, v & 0xffffU);
}

std::uint32_t get16(const char* p)
{
    return static_cast<std::uint32_t>(static_cast<unsigned char>(p[0])) << 8U |
           static_cast<unsigned char>(p[1]);
}

std::uint32_t get32(const char* p)
{
    return get16(p) << 16U | get16(p + 2);
}

/// Stands for the keyed sum over everything except `echo`, `pad`, `sum`.
std::uint32_t keyed_sum(const std::string& bytes)
{
    std::uint64_t hash = 0x9e3779b97f4a7c15U;
    for (std::size_t i = 4; i < bytes.size(); ++i)
    {
        if ((i >= 16 && i < 20) || (i >= 21 && i < 26))
        {
            continue;
        }
        hash = (hash ^ static_cast<unsigned char>(bytes[i])) * 0x100000001b3U;
    }
    const auto sum = static_cast<std::uint32_t>(hash ^ hash >> 32U);
    return sum == 0 ? 1 : sum;
}

} // namespace

double now_ms()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double, std::milli>(
               std::chrono::steady_clock::now() - start)
        .count();
}

void record_file::line(const std::string& text)
{
    char time[32];
    std::snprintf(time, sizeof(time), "%10.1f ", now_ms());
    const std::lock_guard lock(mutex_);
    out_ << time << text << '\n';
    out_.flush();
}

// ---------------------------------------------------------------- the store

store::store(settings s, record_file& record)
    : settings_(std::move(s)), record_(record)
{
    listener_ = bound_socket(SOCK_STREAM, "127.0.0.1", settings_.port);
    if (listener_ < 0 || ::listen(listener_, 128) != 0)
    {
        throw std::runtime_error("the store cannot listen");
    }
    thread_ = std::thread([this] { serve(); });
}

store::~store()
{
    stopping_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    changed_.notify_all();
    thread_.join();
    ::close(listener_);
    while (connections_ > 0)
    {
        sleep_ms(5);
    }
}

double store::put(const std::string& key, const std::string& value)
{
    return write(key, {0, false, value});
}

double store::remove(const std::string& key)
{
    return write(key, {0, true, ""});
}

double store::write(const std::string& key, version next)
{
    double at = 0;
    {
        const std::lock_guard lock(mutex_);
        next.revision = ++revision_;
        at = now_ms();
        log_.push_back({revision_, at, key});
        items_[key].push_back(std::move(next));
    }
    changed_.notify_all();
    return at;
}

std::uint64_t store::revision_at(double lag) const
{
    std::uint64_t found = lag > 0 ? 100 : revision_;
    for (auto item = log_.rbegin(); lag > 0 && item != log_.rend(); ++item)
    {
        if (item->at <= now_ms() - lag)
        {
            found = item->revision;
            break;
        }
    }
    return found;
}

const store::version* store::find(const std::string& key,
                                  std::uint64_t revision) const
{
    const version* found = nullptr;
    for (const version& each : items_.at(key))
    {
        found = each.revision <= revision ? &each : found;
    }
    return found;
}

double store::next_lag(bool serializable)
{
    if (!serializable || settings_.follower_lag_ms.empty())
    {
        return 0;
    }
    return settings_
        .follower_lag_ms[next_follower_++ % settings_.follower_lag_ms.size()];
}

std::string store::answer_range(const std::string& path)
{
    const std::lock_guard lock(mutex_);
    const double lag = next_lag(parameter(path, "serializable") == "1");
    const std::uint64_t revision = revision_at(lag);
    const std::string prefix = decode_query(parameter(path, "prefix"));
    const std::string after = decode_query(parameter(path, "after"));
    std::string items;
    std::size_t count = 0;
    bool more = false;
    for (auto item = after.empty() ? items_.begin() : items_.upper_bound(after);
         item != items_.end(); ++item)
    {
        const version* current = find(item->first, revision);
        if (!item->first.starts_with(prefix) || current == nullptr ||
            current->removed)
        {
            continue;
        }
        if (count == settings_.max_items ||
            items.size() >= settings_.max_page_bytes)
        {
            more = true;
            break;
        }
        items += (count++ > 0 ? "," : "") + std::string(R"({"key":")") +
                 item->first + R"(","value":")" + base64(current->value) +
                 R"(","revision":)" + std::to_string(current->revision) +
                 R"(,"created":)" + std::to_string(item->second[0].revision) +
                 R"(,"lease":0})";
    }
    record_.line("store: range after='" + after +
                 "' serializable=" + parameter(path, "serializable") +
                 " lag_ms=" + std::to_string(static_cast<int>(lag)) +
                 " as_of=" + std::to_string(revision) + " newest=" +
                 std::to_string(revision_) + " items=" + std::to_string(count));
    return R"({"items":[)" + items + R"(],"has_more":)" +
           (more ? "true" : "false") + R"(,"as_of":)" +
           std::to_string(revision) + "}";
}

std::string store::answer_watch(const std::string& path)
{
    std::unique_lock lock(mutex_);
    const double lag = next_lag(settings_.watches_at_followers &&
                                parameter(path, "serializable") == "1");
    const auto after = std::stoull(parameter(path, "after"));
    const double until = now_ms() + std::stod(parameter(path, "wait_ms"));
    while (revision_at(lag) <= after && now_ms() < until && !stopping_)
    {
        // A follower's state moves on by itself.
        changed_.wait_for(lock, std::chrono::milliseconds(lag > 0 ? 10 : 50));
    }
    const std::uint64_t revision = std::max<std::uint64_t>(revision_at(lag), 1);
    std::string events;
    for (const change& each : log_)
    {
        if (each.revision <= after || each.revision > revision)
        {
            continue;
        }
        const version* current = find(each.key, each.revision);
        events += (events.empty() ? "" : ",") + std::string(R"({"key":")") +
                  each.key + R"(","revision":)" + std::to_string(each.revision);
        events += current->removed
                      ? R"(,"removed":true})"
                      : R"(,"value":")" + base64(current->value) +
                            R"(","created":)" +
                            std::to_string(items_.at(each.key)[0].revision) +
                            R"(,"lease":0})";
    }
    if (lag == 0 || !events.empty())
    {
        record_.line("store: watch after=" + std::to_string(after) +
                     " lag_ms=" + std::to_string(static_cast<int>(lag)) +
                     " as_of=" + std::to_string(revision) +
                     " newest=" + std::to_string(revision_));
    }
    return R"({"events":[)" + events + R"(],"as_of":)" +
           std::to_string(revision) + "}";
}

void store::serve()
{
    while (!stopping_)
    {
        const int connection =
            ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0)
        {
            continue;
        }
        ++connections_;
        std::thread(
            [this, connection]
            {
                serve_connection(connection);
                ::close(connection);
                --connections_;
            })
            .detach();
    }
}

void store::serve_connection(int connection)
{
    const timeval patience{.tv_sec = 2, .tv_usec = 0};
    ::setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &patience,
                 sizeof(patience));
    std::string request;
    char buffer[4096];
    while (request.find("\r\n\r\n") == std::string::npos)
    {
        const ssize_t size = ::recv(connection, buffer, sizeof(buffer), 0);
        if (size <= 0)
        {
            return;
        }
        request.append(buffer, static_cast<std::size_t>(size));
    }
    std::istringstream words(request);
    std::string method;
    std::string path;
    words >> method >> path;
    if (on_read)
    {
        on_read(path);
    }
    sleep_ms(settings_.answer_ms);
    const std::string body = path.starts_with("/-/kv-range")
                                 ? answer_range(path)
                                 : answer_watch(path);
    const std::string answer =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Content-Length: " +
        std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
    std::size_t sent = 0;
    while (sent < answer.size())
    {
        // A hundredth of a second's share of the link at a time.
        const auto share =
            static_cast<std::size_t>(settings_.link_mbps * 1e6 / 8 / 100);
        if (share > 0 && sent > 0)
        {
            sleep_ms(10);
        }
        const std::size_t next = share > 0
                                     ? std::min(share, answer.size() - sent)
                                     : answer.size() - sent;
        const ssize_t size =
            ::send(connection, answer.data() + sent, next, MSG_NOSIGNAL);
        if (size <= 0)
        {
            return;
        }
        sent += static_cast<std::size_t>(size);
    }
    ::shutdown(connection, SHUT_WR);
    ::recv(connection, buffer, sizeof(buffer), 0);
}

// -------------------------------------------------------------- the daemons

daemon::daemon(settings s, record_file& record)
    : settings_(std::move(s)), record_(record)
{
}

daemon::~daemon()
{
    kill();
}

void daemon::disturb(bool ongoing, const std::string& what)
{
    disturbed_at_ = now_ms();
    disturbed_now_ = ongoing;
    record_.line("machine " + settings_.name + ": " + what);
}

void daemon::start()
{
    // The commands of deploy/system.toml; the program is the first argument's
    // path from the repository's root, where this process runs as well.
    const std::string program = "target/apps/catkinkeel-edge";
    const std::string file = "CATKINKEEL_NODE_FILE=" + settings_.settings_file;
    const std::string path =
        std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "");
    const pid_t child = ::fork();
    if (child == 0)
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(settings_.log_file.c_str(),
                               O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, 1);
        ::dup2(log, 2);
        const char* arguments[] = {program.c_str(), nullptr};
        const char* environment[] = {file.c_str(), path.c_str(), "LANG=C",
                                     nullptr};
        ::execve(program.c_str(), const_cast<char* const*>(arguments),
                 const_cast<char* const*>(environment));
        ::_exit(127);
    }
    pid_ = child;
    disturb(false, "started, process " + std::to_string(pid_));
}

void daemon::signal(int number)
{
    if (pid_ > 0)
    {
        ::kill(pid_, number);
    }
}

void daemon::kill()
{
    if (pid_ > 0)
    {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = -1;
        disturb(true, "killed");
    }
}

void daemon::restart(double grace_ms, double pause_ms)
{
    disturb(true, "SIGTERM");
    signal(SIGTERM);
    const double until = now_ms() + grace_ms;
    while (now_ms() < until && ::waitpid(pid_, nullptr, WNOHANG) == 0)
    {
        sleep_ms(5);
    }
    if (now_ms() >= until)
    {
        kill();
    }
    record_.line("machine " + settings_.name + ": ended");
    pid_ = -1;
    sleep_ms(pause_ms);
    start();
}

void daemon::freeze(double for_ms)
{
    disturb(true, "frozen");
    signal(SIGSTOP);
    sleep_ms(for_ms);
    signal(SIGCONT);
    disturb(false, "woken");
}

void daemon::poll_readiness()
{
    bool ready = false;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval patience{.tv_sec = 0, .tv_usec = 400'000};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof(patience));
    const sockaddr_in address =
        address_of(settings_.ip, settings_.readiness_port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address)) == 0)
    {
        const std::string request =
            "GET /-/ready HTTP/1.1\r\nHost: " + settings_.ip +
            "\r\nConnection: close\r\n\r\n";
        ::send(fd, request.data(), request.size(), MSG_NOSIGNAL);
        char buffer[64]{};
        const ssize_t size = ::recv(fd, buffer, sizeof(buffer) - 1, 0);
        ready = size > 12 && std::strncmp(buffer + 9, "200", 3) == 0;
    }
    ::close(fd);
    misses_ = ready ? 0 : misses_ + 1;
    const bool rotation = ready || (in_rotation_ && misses_ < 2);
    if (rotation != in_rotation_)
    {
        in_rotation_ = rotation;
        record_.line("router: " + settings_.name +
                     (rotation ? " in" : " out of") + " rotation");
    }
}

// -------------------------------------------- routers, clients and targets

packet_world::packet_world(settings s,
                           std::vector<std::shared_ptr<daemon>> daemons,
                           record_file& record)
    : settings_(std::move(s)),
      daemons_(std::move(daemons)),
      record_(record),
      random_(settings_.seed)
{
    epoll_ = ::epoll_create1(EPOLL_CLOEXEC);
    for (const auto& [zone, ip] : settings_.clients)
    {
        const int fd = bound_socket(SOCK_DGRAM, ip, settings_.packet_port);
        if (fd < 0)
        {
            throw std::runtime_error("a client cannot bind");
        }
        client_sockets_[zone] = fd;
        client_zone_[fd] = zone;
        epoll_event event{.events = EPOLLIN, .data = {.fd = fd}};
        ::epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
    }
    thread_ = std::thread([this] { run_loop(); });
}

packet_world::~packet_world()
{
    stopping_ = true;
    thread_.join();
    for (const auto& [zone, fd] : client_sockets_)
    {
        ::close(fd);
    }
    for (const auto& [id, each] : targets_)
    {
        ::close(each.socket);
    }
    ::close(epoll_);
}

void packet_world::add_target(const target_info& info)
{
    const std::lock_guard lock(mutex_);
    posted_.push_back(
        [this, info]
        {
            target t{.info = info,
                     .socket = bound_socket(SOCK_DGRAM, info.ip, info.port),
                     .flows = {}};
            if (t.socket < 0)
            {
                record_.line("target " + info.id + " cannot bind");
                return;
            }
            epoll_event event{.events = EPOLLIN, .data = {.fd = t.socket}};
            ::epoll_ctl(epoll_, EPOLL_CTL_ADD, t.socket, &event);
            target_ids_[t.socket] = info.id;
            targets_[info.id] = std::move(t);
        });
}

void packet_world::remove_target(const std::string& id)
{
    const std::lock_guard lock(mutex_);
    posted_.push_back(
        [this, id]
        {
            const auto found = targets_.find(id);
            if (found == targets_.end())
            {
                return;
            }
            for (const auto& [key, flow] : found->second.flows)
            {
                if (flow.running)
                {
                    ++totals_.cut_at_exit;
                    record_.line("target " + id +
                                 " left with a request at work");
                }
            }
            target_ids_.erase(found->second.socket);
            ::close(found->second.socket);
            targets_.erase(found);
        });
}

void packet_world::set_references(std::vector<reference> references)
{
    const std::lock_guard lock(mutex_);
    references_ = std::move(references);
}

void packet_world::start_load()
{
    const std::lock_guard lock(mutex_);
    load_ = true;
}

void packet_world::stop_load()
{
    const std::lock_guard lock(mutex_);
    load_ = false;
}

packet_world::totals packet_world::counts()
{
    const std::lock_guard lock(mutex_);
    return totals_;
}

void packet_world::after(double delay_ms, std::function<void()> action)
{
    timers_.push({now_ms() + delay_ms, timer_order_++, std::move(action)});
}

void packet_world::run_loop()
{
    double next_flow = now_ms();
    std::vector<epoll_event> events(256);
    std::vector<char> buffer(4096);
    while (!stopping_)
    {
        const int count = ::epoll_wait(epoll_, events.data(),
                                       static_cast<int>(events.size()), 1);
        const std::lock_guard lock(mutex_);
        for (auto& action : std::exchange(posted_, {}))
        {
            action();
        }
        for (int i = 0; i < count; ++i)
        {
            const int fd = events[static_cast<std::size_t>(i)].data.fd;
            for (;;)
            {
                sockaddr_in from{};
                socklen_t length = sizeof(from);
                const ssize_t size =
                    ::recvfrom(fd, buffer.data(), buffer.size(), MSG_DONTWAIT,
                               reinterpret_cast<sockaddr*>(&from), &length);
                if (size < 0)
                {
                    break;
                }
                const auto bytes = static_cast<std::size_t>(size);
                packet p;
                if (client_zone_.contains(fd))
                {
                    if (decode(buffer.data(), bytes, p))
                    {
                        on_client_packet(p);
                    }
                    continue;
                }
                const auto id = target_ids_.find(fd);
                if (id == target_ids_.end() || bytes < identity_size ||
                    !decode(buffer.data() + identity_size,
                            bytes - identity_size, p))
                {
                    continue;
                }
                const std::uint64_t identity =
                    static_cast<std::uint64_t>(get32(buffer.data())) << 32U |
                    get32(buffer.data() + 4);
                on_target_packet(targets_.at(id->second), identity, p,
                                 text_of(ntohl(from.sin_addr.s_addr)));
            }
        }
        while (!timers_.empty() && timers_.top().at <= now_ms())
        {
            const auto action = timers_.top().action;
            timers_.pop();
            action();
        }
        if (!load_)
        {
            next_flow = now_ms();
        }
        while (load_ && next_flow <= now_ms())
        {
            std::exponential_distribution<double> gap(
                settings_.flows_per_second / 1000);
            next_flow += gap(random_);
            auto client = settings_.clients.begin();
            std::advance(client, random_() % settings_.clients.size());
            open_flow(client->first, 0);
        }
    }
}

std::string packet_world::encode(packet p)
{
    std::string bytes;
    put32(bytes, 0);
    put32(bytes, p.src);
    put16(bytes, p.sport);
    put32(bytes, p.dst);
    put16(bytes, p.dport);
    put32(bytes, p.echo);
    bytes += static_cast<char>(p.flags);
    bytes.append(5, '\0');
    put16(bytes, static_cast<std::uint32_t>(p.data.size()));
    put32(bytes, p.seq);
    put32(bytes, p.ack);
    bytes += p.data;
    std::string sum;
    put32(sum, keyed_sum(bytes));
    bytes.replace(0, 4, sum);
    return bytes;
}

bool packet_world::decode(const char* bytes, std::size_t size, packet& p)
{
    if (size < header_size || get16(bytes + 26) != size - header_size)
    {
        return false;
    }
    p.src = get32(bytes + 4);
    p.sport = static_cast<std::uint16_t>(get16(bytes + 8));
    p.dst = get32(bytes + 10);
    p.dport = static_cast<std::uint16_t>(get16(bytes + 14));
    p.echo = get32(bytes + 16);
    p.flags = static_cast<std::uint8_t>(bytes[20]);
    p.seq = get32(bytes + 28);
    p.ack = get32(bytes + 32);
    p.data.assign(bytes + header_size, size - header_size);
    const std::uint32_t sum = get32(bytes);
    p.zero_sum = sum == 0;
    p.valid_sum = sum == keyed_sum(std::string(bytes, size));
    return true;
}

const daemon* packet_world::route(const client_flow& flow) const
{
    std::vector<const daemon*> all;
    std::vector<const daemon*> ready;
    for (const auto& each : daemons_)
    {
        if (each->site().zone == flow.zone)
        {
            all.push_back(each.get());
            if (each->in_rotation())
            {
                ready.push_back(each.get());
            }
        }
    }
    if (2 * ready.size() >= all.size() && !ready.empty())
    {
        all = ready;
    }
    // Rendezvous hashing: only the flows of a daemon that joins or leaves move.
    const daemon* best = nullptr;
    std::size_t best_hash = 0;
    for (const daemon* each : all)
    {
        const std::size_t hash = std::hash<std::string>{}(
            each->site().ip + "/" + std::to_string(flow.key.client) + "/" +
            std::to_string(flow.key.client_port) + "/" +
            std::to_string(flow.key.reference) + "/" +
            std::to_string(flow.key.reference_port));
        if (best == nullptr || hash > best_hash)
        {
            best = each;
            best_hash = hash;
        }
    }
    return best;
}

void packet_world::send_to_daemon(const client_flow& flow, packet p)
{
    p.src = flow.key.client;
    p.sport = flow.key.client_port;
    p.dst = flow.key.reference;
    p.dport = flow.key.reference_port;
    p.echo = flow.echo;
    const daemon* to = route(flow);
    const std::string bytes = encode(std::move(p));
    const sockaddr_in address =
        address_of(to->site().ip, settings_.packet_port);
    ::sendto(client_sockets_.at(flow.zone), bytes.data(), bytes.size(), 0,
             reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

void packet_world::open_flow(const std::string& zone, unsigned tries)
{
    if (references_.empty())
    {
        return;
    }
    const reference& to = references_[random_() % references_.size()];
    next_port_ = next_port_ >= 60000 ? 20000 : next_port_ + 1;
    client_flow flow;
    flow.key = {number_of(settings_.clients.at(zone)), next_port_,
                number_of(to.ip), to.port};
    flow.zone = zone;
    flow.attempt = "a" + std::to_string(++attempts_);
    flow.tries = tries;
    flow.first_sent = now_ms();
    flow.deadline = now_ms() + settings_.deadline_ms;
    flow.seq = static_cast<std::uint32_t>(random_());
    flow.request = "GET /item HTTP/1.1\r\nHost: " + to.ip +
                   "\r\nX-Catkinkeel-Attempt-Id: " + flow.attempt + "\r\n\r\n";
    ++totals_.attempts;
    const flow_key key = flow.key;
    flows_[key] = std::move(flow);
    send_opening(key);
    after(200, [this, key] { send_opening(key); });
    after(600, [this, key] { send_opening(key); });
    after(1400,
          [this, key]
          {
              const auto found = flows_.find(key);
              if (found != flows_.end() && !found->second.open)
              {
                  finish(key, "never opened");
              }
          });
    after(settings_.deadline_ms, [this, key] { finish(key, "deadline"); });
}

void packet_world::send_opening(const flow_key& key)
{
    const auto found = flows_.find(key);
    if (found == flows_.end() || found->second.open)
    {
        return;
    }
    packet p;
    p.flags = flag_syn;
    p.seq = found->second.seq;
    p.ack = found->second.copies++;
    send_to_daemon(found->second, p);
}

void packet_world::send_request(const flow_key& key, double wait_ms)
{
    const auto found = flows_.find(key);
    if (found == flows_.end())
    {
        return;
    }
    packet p;
    p.flags = flag_ack;
    p.seq = found->second.seq + 1;
    p.ack = found->second.peer_seq + 1;
    p.data = found->second.request;
    send_to_daemon(found->second, p);
    after(wait_ms, [this, key, wait_ms]
          { send_request(key, std::min(2 * wait_ms, 1600.0)); });
}

void packet_world::finish(const flow_key& key, const std::string& how)
{
    const auto found = flows_.find(key);
    if (found == flows_.end())
    {
        return;
    }
    const client_flow flow = found->second;
    flows_.erase(found);
    if (on_end)
    {
        on_end(flow.first_sent, how == "200");
    }
    if (how == "200")
    {
        ++totals_.answered;
        return;
    }
    ++(how == "reset" ? totals_.refused : totals_.failed);
    record_.line("client: " + flow.attempt + " to " +
                 text_of(flow.key.reference) + ":" +
                 std::to_string(flow.key.reference_port) + " " + how);
    // `safe` requests are repeated after any failure, on a new flow.
    if (flow.tries < settings_.retries && load_)
    {
        open_flow(flow.zone, flow.tries + 1);
    }
}

void packet_world::on_client_packet(const packet& p)
{
    const flow_key key{p.dst, p.dport, p.src, p.sport};
    const auto found = flows_.find(key);
    if (found == flows_.end() || (!p.valid_sum && !p.zero_sum))
    {
        return;
    }
    client_flow& flow = found->second;
    if ((p.flags & flag_rst) != 0)
    {
        if (p.zero_sum && flow.open && p.seq - (flow.peer_seq + 1) > 76'800 &&
            (flow.peer_seq + 1) - p.seq > 76'800)
        {
            return;
        }
        finish(key, "reset");
        return;
    }
    if (!p.valid_sum)
    {
        return;
    }
    if ((p.flags & flag_syn) != 0)
    {
        if (!flow.open && p.ack == flow.seq + 1)
        {
            flow.open = true;
            flow.echo = p.echo;
            flow.peer_seq = p.seq;
            send_request(key, 200);
        }
        return;
    }
    if (!p.data.empty() && p.seq == flow.peer_seq + 1)
    {
        flow.echo = p.echo;
        packet last;
        last.flags = flag_ack | flag_fin;
        last.seq =
            flow.seq + 1 + static_cast<std::uint32_t>(flow.request.size());
        last.ack = p.seq + static_cast<std::uint32_t>(p.data.size());
        send_to_daemon(flow, last);
        finish(key, p.data.starts_with("HTTP/1.1 200") ? "200" : "bad answer");
    }
}

void packet_world::send_to_client(int socket, packet p)
{
    const std::string client = text_of(p.dst);
    const std::string bytes = encode(std::move(p));
    const sockaddr_in address = address_of(client, settings_.packet_port);
    ::sendto(socket, bytes.data(), bytes.size(), 0,
             reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

void packet_world::on_target_packet(target& t, std::uint64_t identity,
                                    const packet& p, const std::string& from)
{
    if (!p.valid_sum || (identity != 0 && identity != t.info.identity))
    {
        return;
    }
    const flow_key key{p.src, p.sport, p.dst, p.dport};
    packet reply;
    reply.src = p.dst;
    reply.sport = p.dport;
    reply.dst = p.src;
    reply.dport = p.sport;
    reply.echo = p.echo;
    if ((p.flags & flag_syn) != 0)
    {
        auto [at, added] = t.flows.try_emplace(key);
        target_flow& flow = at->second;
        if (added)
        {
            flow.seq = static_cast<std::uint32_t>(random_());
            flow.opening_arrived = now_ms();
            flow.opening_daemon = from;
            const std::string id = t.info.id;
            after(60'000,
                  [this, id, key]
                  {
                      if (const auto found = targets_.find(id);
                          found != targets_.end())
                      {
                          found->second.flows.erase(key);
                      }
                  });
        }
        flow.peer_seq = p.seq;
        flow.echo = p.echo;
        reply.flags = flag_syn | flag_ack;
        reply.seq = flow.seq;
        reply.ack = p.seq + 1;
        send_to_client(t.socket, reply);
        return;
    }
    const auto found = t.flows.find(key);
    if (found == t.flows.end() ||
        (!found->second.open && p.ack != found->second.seq + 1))
    {
        if ((p.flags & flag_rst) == 0)
        {
            reply.flags = flag_rst | flag_ack;
            reply.seq = p.ack;
            reply.ack = p.seq + static_cast<std::uint32_t>(p.data.size());
            send_to_client(t.socket, reply);
        }
        return;
    }
    target_flow& flow = found->second;
    flow.open = true;
    flow.echo = p.echo;
    if ((p.flags & flag_fin) != 0)
    {
        flow.closed = true;
        reply.flags = flag_ack;
        reply.seq =
            flow.seq + 1 + static_cast<std::uint32_t>(flow.answer.size());
        reply.ack = p.seq + 1;
        send_to_client(t.socket, reply);
        return;
    }
    if (p.data.empty() || flow.running || flow.answered)
    {
        return;
    }
    const std::string name = "X-Catkinkeel-Attempt-Id: ";
    const auto begin = p.data.find(name) + name.size();
    const std::string attempt =
        p.data.substr(begin, p.data.find("\r\n", begin) - begin);
    flow.running = true;
    if (on_run)
    {
        const auto client = flows_.find(key);
        on_run({attempt, t.info,
                client == flows_.end() ? 0 : client->second.first_sent,
                flow.opening_arrived, flow.opening_daemon,
                text_of(p.dst) + ":" + std::to_string(p.dport)});
    }
    const std::string id = t.info.id;
    after(settings_.work_ms,
          [this, id, key]
          {
              const auto owner = targets_.find(id);
              if (owner == targets_.end())
              {
                  return;
              }
              target_flow& done = owner->second.flows.at(key);
              done.running = false;
              done.answered = true;
              done.answer =
                  "HTTP/1.1 200 OK\r\nX-Catkinkeel-Target-Seal: " + id +
                  "\r\nContent-Length: 4\r\n\r\ndone";
              send_answer(id, key, 200);
          });
}

void packet_world::send_answer(const std::string& id, const flow_key& key,
                               double wait_ms)
{
    const auto owner = targets_.find(id);
    if (owner == targets_.end() || !owner->second.flows.contains(key))
    {
        return;
    }
    target_flow& flow = owner->second.flows.at(key);
    if (flow.closed || flow.sends++ > 8)
    {
        return;
    }
    packet p;
    p.src = key.reference;
    p.sport = key.reference_port;
    p.dst = key.client;
    p.dport = key.client_port;
    p.echo = flow.echo;
    p.flags = flag_ack | flag_fin;
    p.seq = flow.seq + 1;
    p.ack = flow.peer_seq + 1;
    p.data = flow.answer;
    send_to_client(owner->second.socket, p);
    after(wait_ms, [this, id, key, wait_ms]
          { send_answer(id, key, std::min(2 * wait_ms, 1600.0)); });
}

// ------------------------------------------------------------------- texts

std::string settings_text(const machine_settings& machine)
{
    std::ostringstream out;
    const auto at = [&](std::uint16_t port)
    {
        return "\"" + machine.ip + ":" + std::to_string(port) + "\"\n";
    };
    out << "node_name: \"" << machine.name << "\"\nrole: \"edge\"\n"
        << "machine_class: \"frontend\"\nserves:\n  - \"frontend\"\n"
        << "  - \"control_plane\"\nip: \"" << machine.ip << "\"\nzone: \""
        << machine.zone << "\"\nregion: \"sk-west\"\nzones:\n";
    for (const auto& [zone, region] : machine.zones)
    {
        out << "  " << zone << ": \"" << region << "\"\n";
    }
    out << "listen:\n  datagram_address: " << at(machine.packet_port)
        << "  readiness_address: " << at(machine.readiness_port)
        << "  control: " << at(machine.control_port) << "internal_ports:\n  - "
        << machine.notice_port << "\n  - " << machine.notice_port + 1
        << "\nseeds:\n";
    for (const std::string& seed : machine.seeds)
    {
        out << "  - \"" << seed << "\"\n";
    }
    // The bounds of exlibris-centrala.
    out << "bootstrap: true\nin_fault_budget: false\nlimits:\n"
           "  cpu_share: 0.055\n  cores: 1\n  memory_mb: 260\n"
           "  file_descriptors: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\n"
           "data_dir: null\ndiscovery: \"platform\"\nentry: \"announcement\"\n"
           "heartbeat_ms: 1200\nfault_tolerance:\n  machines: 2\n  zones: 1\n"
           "  region_count: 0\nbounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n"
           "  stability_ms: "
        << machine.stability_ms
        << "\n  ack_ms: 5000\n  catch_up_s: 4\n  drain_ms: " << machine.drain_ms
        << "\n  grace_s: 6\n  loss_slack_ms: 200\n  config_apply_ms: "
        << machine.apply_ms
        << "\n  rollback_slack_ms: 250\n"
           "  max_stretch_ms: 12000\n  warmup_factor: 1.5\n"
           "  warmup_slack: 5\n  evacuation_ms: 5000\n  recovery_s: 12\n"
           "  reorder_window_ms: 2000\n  flow_max_s: 60\nhash: \"steady\"\n"
           "forwarding_mode: \"echo\"\nplatform:\n  address: \"127.0.0.1:"
        << machine.store_port
        << "\"\n  forwarding_mode: \"read\"\n  writes_per_s: 400\n"
           "  reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576\n"
           "  ttl_min_ms: 1000\n";
    return out.str();
}

std::string target_entry(const target_info& target, const std::string& state,
                         std::int64_t born)
{
    return R"({"service":")" + target.service + R"(","address":")" + target.ip +
           ":" + std::to_string(target.port) + R"(","zone":")" + target.zone +
           R"(","version":"v1","concurrency":2,"state":")" + state +
           R"(","warmup_left_ms":0,"sequence":4,"born":)" +
           std::to_string(born) + "}";
}

std::string configuration_text(std::uint64_t version,
                               const std::vector<route_text>& routes,
                               const std::vector<std::string>& services)
{
    std::string text =
        R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
    for (std::size_t i = 0; i < routes.size(); ++i)
    {
        text += (i > 0 ? "," : "") + std::string(R"({"name":")") +
                routes[i].name + R"(","host":")" + routes[i].host +
                R"(","prefix":"/)" + std::to_string(routes[i].port) +
                R"(/","kind":"safe","timeout_ms":2000,"aim_ms":150,)" +
                R"("priority":2,"service":")" + routes[i].service +
                R"(","max_attempts":2})";
    }
    text += R"(],"services":[)";
    for (std::size_t i = 0; i < services.size(); ++i)
    {
        text += (i > 0 ? "," : "") + std::string(R"({"name":")") + services[i] +
                R"(","health_path":"/health","max_connections":2000,)" +
                R"("protocol":"h1","tls":false,"warmup_s":2.0,)" +
                R"("warmup_per_s":0.0})";
    }
    return text + R"(],"limits":{"max_header_bytes":16384,)" +
           R"("max_body_bytes":262144,"header_timeout_ms":3000,)" +
           R"("idle_timeout_ms":15000}})";
}

bool is_free(const std::string& address, std::uint16_t port)
{
    for (const int type : {SOCK_STREAM, SOCK_DGRAM})
    {
        const int fd = bound_socket(type, address, port);
        if (fd < 0)
        {
            return false;
        }
        ::close(fd);
    }
    return true;
}

bool claim(const std::string& address, std::uint16_t port)
{
    return bound_socket(SOCK_DGRAM, address, port) >= 0;
}

std::uint16_t free_port(const std::vector<std::string>& addresses)
{
    static std::mt19937 random(std::random_device{}());
    for (;;)
    {
        const auto port = static_cast<std::uint16_t>(10'000 + random() % 9'000);
        if (std::ranges::all_of(addresses, [&](const std::string& address)
                                { return is_free(address, port); }))
        {
            return port;
        }
    }
}

} // namespace review
