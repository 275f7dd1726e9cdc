#include "standins/target_simulator.hpp"

#include <civetweb.h>

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <mutex>
#include <poll.h>
#include <set>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <tins/tins.h>
#include <unistd.h>

namespace catkinkeel
{

namespace
{

constexpr int poll_timeout_ms = 200;
constexpr std::size_t max_datagram_size = 2048;

sockaddr_in socket_address(const endpoint& source)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(source.port);
    address.sin_addr.s_addr = htonl(source.address.value);
    return address;
}

class running_target_simulator : public target_simulator
{
public:
    running_target_simulator(const std::vector<target>& targets,
                             const endpoint& egress)
        : targets_(targets),
          egress_(socket_address(egress)),
          flows_(targets.size())
    {
    }

    ~running_target_simulator() override
    {
        stopped_ = true;
        packet_thread_ = {};
        if (report_server_ != nullptr)
        {
            mg_stop(report_server_);
        }
        for (const pollfd& each : sockets_)
        {
            close(each.fd);
        }
    }

    bool open()
    {
        std::string ports;
        for (const target& each : targets_)
        {
            const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
            const sockaddr_in address = socket_address(each.address);
            sockets_.push_back({fd, POLLIN, 0});
            if (bind(fd, reinterpret_cast<const sockaddr*>(&address),
                     sizeof(address)) != 0)
            {
                return false;
            }
            ports += (ports.empty() ? "" : ",") + to_string(each.report);
        }
        std::array<const char*, 5> options{"listening_ports", ports.c_str(),
                                           "num_threads", "4", nullptr};
        const mg_callbacks callbacks{};
        report_server_ = mg_start(&callbacks, nullptr, options.data());
        if (report_server_ == nullptr)
        {
            return false;
        }
        mg_set_request_handler(report_server_, "/load",
                               &running_target_simulator::serve_report, this);
        packet_thread_ = std::jthread([this] { serve_packets(); });
        return true;
    }

    [[nodiscard]] std::vector<std::uint64_t> flows_seen() const override
    {
        const std::lock_guard lock(mutex_);
        std::vector<std::uint64_t> counts;
        for (const auto& flows : flows_)
        {
            counts.push_back(flows.size());
        }
        return counts;
    }

private:
    static int serve_report(mg_connection* connection, void* context)
    {
        auto& simulator = *static_cast<running_target_simulator*>(context);
        const int port = mg_get_request_info(connection)->server_port;
        for (std::size_t i = 0; i < simulator.targets_.size(); ++i)
        {
            if (simulator.targets_[i].report.port == port)
            {
                const std::lock_guard lock(simulator.mutex_);
                const std::string body =
                    R"({"instance": 1, "state": "ready", "connections": )" +
                    std::to_string(simulator.flows_[i].size()) +
                    R"(, "busy_slots": 0})";
                mg_printf(connection,
                          "HTTP/1.1 200 OK\r\n"
                          "Content-Type: application/json\r\n"
                          "Content-Length: %zu\r\n"
                          "Connection: close\r\n\r\n%s",
                          body.size(), body.c_str());
                return 200;
            }
        }
        return 0;
    }

    void serve_packets()
    {
        std::array<std::uint8_t, max_datagram_size> buffer{};
        while (!stopped_)
        {
            if (poll(sockets_.data(), sockets_.size(), poll_timeout_ms) <= 0)
            {
                continue;
            }
            for (std::size_t i = 0; i < sockets_.size(); ++i)
            {
                if ((sockets_[i].revents & POLLIN) == 0)
                {
                    continue;
                }
                const ssize_t size =
                    recv(sockets_[i].fd, buffer.data(), buffer.size(), 0);
                if (size > 0)
                {
                    send_reply(i, buffer.data(),
                               static_cast<std::uint32_t>(size));
                }
            }
        }
    }

    void send_reply(std::size_t index, const std::uint8_t* data,
                    std::uint32_t size)
    {
        try
        {
            const Tins::IP packet(data, size);
            const auto* tcp = packet.find_pdu<Tins::TCP>();
            if (tcp == nullptr)
            {
                return;
            }
            {
                const std::lock_guard lock(mutex_);
                flows_[index].emplace(std::uint32_t(packet.src_addr()),
                                      tcp->sport());
            }
            const std::uint32_t id = targets_[index].id.value;
            Tins::TCP segment(tcp->sport(), tcp->dport());
            segment.flags(tcp->get_flag(Tins::TCP::SYN) != 0
                              ? Tins::TCP::SYN | Tins::TCP::ACK
                              : Tins::TCP::ACK);
            const std::vector<std::uint8_t> payload{
                static_cast<std::uint8_t>(id >> 24U),
                static_cast<std::uint8_t>(id >> 16U),
                static_cast<std::uint8_t>(id >> 8U),
                static_cast<std::uint8_t>(id)};
            Tins::IP reply = Tins::IP(packet.src_addr(), packet.dst_addr()) /
                             segment / Tins::RawPDU(payload);
            const auto bytes = reply.serialize();
            sendto(sockets_[index].fd, bytes.data(), bytes.size(), 0,
                   reinterpret_cast<const sockaddr*>(&egress_),
                   sizeof(egress_));
        }
        catch (const Tins::exception_base&)
        {
            // A kernel drops a malformed packet too.
        }
    }

    std::vector<target> targets_;
    sockaddr_in egress_;
    std::vector<pollfd> sockets_;
    mg_context* report_server_ = nullptr;
    mutable std::mutex mutex_;
    std::vector<std::set<std::pair<std::uint32_t, std::uint16_t>>> flows_;
    std::atomic<bool> stopped_{false};
    std::jthread packet_thread_;
};

} // namespace

std::shared_ptr<target_simulator>
target_simulator::start(const std::vector<target>& targets,
                        const endpoint& egress)
{
    auto simulator =
        std::make_shared<running_target_simulator>(targets, egress);
    return simulator->open() ? simulator : nullptr;
}

} // namespace catkinkeel
