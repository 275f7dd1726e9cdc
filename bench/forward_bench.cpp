// Measures the packet rate of one daemon's packet path (receive thread, ring,
// decide thread) on loopback, relative to a single-threaded recvmmsg/sendmmsg
// loop with the same batch size.
//
// Usage: forward_bench [rounds] [milliseconds per run]
//
// Sources and sink are threads of this program on 127.0.0.1. Sources send as
// fast as they can; the reported rate is the number of packets that the
// forwarder sent in a run divided by the duration of the run. Runs of both
// forwarders alternate, so that other load on the machine affects both.

#include "catkinkeel/base/hash.hpp"
#include "catkinkeel/packet/batch_queue.hpp"
#include "catkinkeel/packet/udp_socket.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <netinet/in.h>
#include <span>
#include <stop_token>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <tins/tins.h>
#include <unistd.h>
#include <vector>

using namespace catkinkeel;

namespace
{

constexpr std::size_t source_count = 2;
constexpr std::size_t target_count = 14;
/// Number of batches that circulate between the two threads of the pipeline.
constexpr std::size_t queue_length = 8;
constexpr std::size_t payload_size = 64;
constexpr duration receive_timeout = 50ms;
constexpr long default_round_count = 7;
constexpr long default_run_ms = 1000;

constexpr endpoint any_port{{INADDR_LOOPBACK}, 0};
constexpr ipv4_address public_address{0xcb007105};       // 203.0.113.5
constexpr ipv4_address first_caller_address{0xc6336401}; // 198.51.100.1
constexpr std::uint16_t caller_port = 40000;
constexpr std::uint16_t service_port = 443;

using socket_pointer = std::shared_ptr<udp_socket>;

socket_pointer open_socket()
{
    outcome<socket_pointer> opened = udp_socket::open(any_port);
    if (!opened)
    {
        std::fprintf(stderr, "%s\n", opened.error().message.c_str());
        std::exit(EXIT_FAILURE);
    }
    return std::move(opened).value();
}

/// Returns a UDP packet of the flow with the given index.
std::vector<std::uint8_t> make_packet(std::uint32_t index)
{
    Tins::IP packet =
        Tins::IP(to_string(public_address),
                 to_string(ipv4_address{first_caller_address.value + index})) /
        Tins::UDP(service_port, caller_port) /
        Tins::RawPDU(std::string(payload_size, 'x'));
    return packet.serialize();
}

/// Sends batches to `destination` until a stop is requested.
void run_source(const std::stop_token& stop, const endpoint& destination,
                udp_socket& socket)
{
    std::vector<std::vector<std::uint8_t>> packets;
    std::vector<outgoing_datagram> batch;
    packets.reserve(batch_capacity);
    batch.reserve(batch_capacity);
    for (std::uint32_t i = 0; i < batch_capacity; ++i)
    {
        packets.push_back(make_packet(i));
        batch.push_back(encapsulate_for_target(
            destination, {std::as_bytes(std::span(packets.back()))}));
    }
    while (!stop.stop_requested())
    {
        socket.send(batch);
    }
}

/// Receives and discards packets until the socket is stopped.
void run_sink(udp_socket& socket)
{
    packet_batch batch;
    while (socket.receive(batch, receive_timeout) != receive_status::stopped)
    {
    }
}

/// A forwarder under test. It sends every received packet to the sink.
class forwarder
{
public:
    virtual ~forwarder() = default;
    [[nodiscard]] virtual endpoint local() const = 0;
    [[nodiscard]] virtual std::uint64_t sent() const = 0;
};

/// The baseline: recvmmsg, replacement of the destination and sendmmsg.
class plain_loop final : public forwarder
{
public:
    explicit plain_loop(const endpoint& sink)
        : descriptor_(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0))
    {
        sink_.sin_family = AF_INET;
        sink_.sin_port = htons(sink.port);
        sink_.sin_addr.s_addr = htonl(sink.address.value);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const timeval timeout{
            .tv_sec = 0,
            .tv_usec = std::chrono::duration_cast<std::chrono::microseconds>(
                           receive_timeout)
                           .count()};
        ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &timeout,
                     sizeof(timeout));
        for (const int option : {SO_RCVBUF, SO_SNDBUF})
        {
            ::setsockopt(descriptor_, SOL_SOCKET, option, &socket_buffer_bytes,
                         sizeof(socket_buffer_bytes));
        }
        socklen_t size = sizeof(address);
        if (::bind(descriptor_, reinterpret_cast<sockaddr*>(&address), size) !=
                0 ||
            ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address),
                          &size) != 0)
        {
            std::perror("plain loop");
            std::exit(EXIT_FAILURE);
        }
        port_ = ntohs(address.sin_port);
        thread_ =
            std::jthread([this](const std::stop_token& stop) { run(stop); });
    }

    ~plain_loop() override
    {
        thread_.request_stop();
        thread_.join();
        ::close(descriptor_);
    }

    [[nodiscard]] endpoint local() const override
    {
        return {{INADDR_LOOPBACK}, port_};
    }

    [[nodiscard]] std::uint64_t sent() const override
    {
        return sent_;
    }

private:
    void run(const std::stop_token& stop)
    {
        std::vector<std::array<std::byte, datagram_buffer_size>> buffers(
            batch_capacity);
        std::vector<iovec> vectors(batch_capacity);
        std::vector<mmsghdr> headers(batch_capacity);
        while (!stop.stop_requested())
        {
            for (std::size_t i = 0; i < batch_capacity; ++i)
            {
                vectors[i] = {buffers[i].data(), datagram_buffer_size};
                headers[i] = {};
                headers[i].msg_hdr.msg_iov = &vectors[i];
                headers[i].msg_hdr.msg_iovlen = 1;
            }
            const int count =
                ::recvmmsg(descriptor_, headers.data(), batch_capacity,
                           MSG_WAITFORONE, nullptr);
            for (int i = 0; i < count; ++i)
            {
                vectors[i].iov_len = headers[i].msg_len;
                headers[i].msg_hdr.msg_name = &sink_;
                headers[i].msg_hdr.msg_namelen = sizeof(sink_);
            }
            int sent_count = 0;
            while (sent_count < count)
            {
                const int accepted =
                    ::sendmmsg(descriptor_, headers.data() + sent_count,
                               count - sent_count, 0);
                if (accepted <= 0)
                {
                    break;
                }
                sent_count += accepted;
            }
            sent_ += static_cast<std::uint64_t>(sent_count);
        }
    }

    int descriptor_;
    sockaddr_in sink_{};
    std::uint16_t port_ = 0;
    std::atomic<std::uint64_t> sent_{0};
    std::jthread thread_;
};

/// The daemon's packet path with a minimal decision: a hash of the flow key.
class pipeline final : public forwarder
{
public:
    explicit pipeline(const endpoint& sink)
        : sink_(sink),
          socket_(open_socket()),
          queue_(queue_length),
          receive_([this] { run_receive(); }),
          decide_([this] { run_decide(); })
    {
    }

    ~pipeline() override
    {
        socket_->stop();
        queue_.close();
    }

    [[nodiscard]] endpoint local() const override
    {
        return socket_->local();
    }

    [[nodiscard]] std::uint64_t sent() const override
    {
        return socket_->counts().sent;
    }

private:
    void run_receive()
    {
        while (auto batch = queue_.take_empty())
        {
            receive_status status = receive_status::timed_out;
            while (status == receive_status::timed_out)
            {
                status = socket_->receive(*batch, receive_timeout);
            }
            if (status == receive_status::stopped)
            {
                return;
            }
            queue_.put_filled(std::move(*batch));
        }
    }

    void run_decide()
    {
        // All targets are the sink; the choice of one represents the decision.
        const std::array<endpoint, target_count> targets = [this]
        {
            std::array<endpoint, target_count> all;
            all.fill(sink_);
            return all;
        }();
        outgoing_batch outgoing_packets;
        while (auto batch = queue_.take_filled())
        {
            for (const received_datagram& datagram : batch->datagrams())
            {
                const parse_result parsed = parse_datagram(datagram.payload);
                if (const auto* packet = std::get_if<parsed_packet>(&parsed))
                {
                    const std::uint64_t hash = hash_flow(packet->facts.key);
                    outgoing_packets.add(encapsulate_for_target(
                        targets[hash % target_count], packet->packet));
                }
                else
                {
                    rejected_.add(std::get<reject_reason>(parsed));
                }
            }
            socket_->send(outgoing_packets.datagrams());
            outgoing_packets.clear();
            queue_.put_empty(std::move(*batch));
        }
    }

    endpoint sink_;
    socket_pointer socket_;
    batch_queue queue_;
    reject_counters rejected_;
    std::jthread receive_;
    std::jthread decide_;
};

struct forwarder_type
{
    std::string_view name;
    std::unique_ptr<forwarder> (*make)(const endpoint& sink);
};

template <class Forwarder>
std::unique_ptr<forwarder> make_forwarder(const endpoint& sink)
{
    return std::make_unique<Forwarder>(sink);
}

constexpr std::array forwarder_types{
    forwarder_type{"plain loop", make_forwarder<plain_loop>},
    forwarder_type{"pipeline", make_forwarder<pipeline>},
};

/// Packets per second that the sources sent, that the forwarder sent and that
/// the sink received. `sent` is the forwarder's capacity only if `offered`
/// exceeds it; otherwise the sources were the bottleneck.
struct rates
{
    double offered = 0;
    double sent = 0;
    double arrived = 0;
};

rates measure(const forwarder_type& type,
              std::chrono::milliseconds run_duration)
{
    const socket_pointer sink_socket = open_socket();
    std::jthread sink([&] { run_sink(*sink_socket); });
    const std::unique_ptr<forwarder> forward = type.make(sink_socket->local());
    std::array<socket_pointer, source_count> source_sockets;
    std::ranges::generate(source_sockets, open_socket);
    const auto read_counters = [&]
    {
        rates counts{.sent = static_cast<double>(forward->sent()),
                     .arrived =
                         static_cast<double>(sink_socket->counts().received)};
        for (const socket_pointer& socket : source_sockets)
        {
            counts.offered += static_cast<double>(socket->counts().sent);
        }
        return counts;
    };
    std::array<std::jthread, source_count> sources;
    for (std::size_t i = 0; i < source_count; ++i)
    {
        sources[i] = std::jthread(
            [&forward, socket = source_sockets[i]](const std::stop_token& stop)
            { run_source(stop, forward->local(), *socket); });
    }
    // Warm up buffers and caches before the measurement.
    std::this_thread::sleep_for(run_duration / 5);
    const auto begin = std::chrono::steady_clock::now();
    const rates before = read_counters();
    std::this_thread::sleep_for(run_duration);
    const rates after = read_counters();
    const std::chrono::duration<double> elapsed =
        std::chrono::steady_clock::now() - begin;
    const double seconds = elapsed.count();
    for (std::jthread& source : sources)
    {
        source.request_stop();
        source.join();
    }
    sink_socket->stop();
    return {(after.offered - before.offered) / seconds,
            (after.sent - before.sent) / seconds,
            (after.arrived - before.arrived) / seconds};
}

double median(std::vector<double> values)
{
    std::ranges::sort(values);
    return values[values.size() / 2];
}

} // namespace

int main(int argc, char** argv)
{
    const long round_count =
        argc > 1 ? std::strtol(argv[1], nullptr, 10) : default_round_count;
    const std::chrono::milliseconds run_duration(
        argc > 2 ? std::strtol(argv[2], nullptr, 10) : default_run_ms);
    if (round_count <= 0 || run_duration.count() <= 0)
    {
        std::fprintf(stderr, "usage: forward_bench [rounds] [milliseconds]\n");
        return EXIT_FAILURE;
    }
    std::array<std::vector<double>, forwarder_types.size()> sent;
    std::printf("%-6s %-12s %12s %12s %12s\n", "round", "forwarder",
                "offered/s", "sent/s", "at sink/s");
    for (long round = 0; round < round_count; ++round)
    {
        for (std::size_t i = 0; i < forwarder_types.size(); ++i)
        {
            const rates measured = measure(forwarder_types[i], run_duration);
            sent[i].push_back(measured.sent);
            std::printf("%-6ld %-12s %12.0f %12.0f %12.0f\n", round,
                        forwarder_types[i].name.data(), measured.offered,
                        measured.sent, measured.arrived);
        }
    }
    const double plain_rate = median(sent[0]);
    const double pipeline_rate = median(sent[1]);
    std::printf("median: plain loop %.0f/s, pipeline %.0f/s, ratio %.2f\n",
                plain_rate, pipeline_rate, pipeline_rate / plain_rate);
}
