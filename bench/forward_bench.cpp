// Packets a second on loopback of one daemon's packet path (receive thread,
// ring, decide thread) relative to a plain recvmmsg/sendmmsg loop on one thread
// with the same batch size.
//
// Usage: forward_bench [rounds] [milliseconds per run]
//
// Sources and sink are threads of this program on 127.0.0.1. Sources send as
// fast as they can; a figure is the number of packets the forwarder sent in the
// run divided by the run's time. Runs of both kinds alternate, so that other
// load on the machine meets both.

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
/// Batches in circulation between the two threads of the pipeline.
constexpr std::size_t queue_length = 8;
constexpr std::size_t data_size = 64;
constexpr duration receive_timeout = 50ms;
constexpr long default_rounds = 7;
constexpr long default_milliseconds = 1000;

constexpr endpoint any_port{{INADDR_LOOPBACK}, 0};
constexpr ipv4_address public_address{0xcb007105}; // 203.0.113.5
constexpr ipv4_address first_caller{0xc6336401};   // 198.51.100.1
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

/// One UDP packet of flow `number`.
std::vector<std::uint8_t> make_packet(std::uint32_t number)
{
    Tins::IP packet =
        Tins::IP(to_string(public_address),
                 to_string(ipv4_address{first_caller.value + number})) /
        Tins::UDP(service_port, caller_port) /
        Tins::RawPDU(std::string(data_size, 'x'));
    return packet.serialize();
}

/// Sends batches to `to` until it is told to stop.
void run_source(const std::stop_token& stop, const endpoint& to,
                udp_socket& socket)
{
    std::vector<std::vector<std::uint8_t>> packets;
    std::vector<outgoing> batch;
    packets.reserve(batch_capacity);
    batch.reserve(batch_capacity);
    for (std::uint32_t i = 0; i < batch_capacity; ++i)
    {
        packets.push_back(make_packet(i));
        batch.push_back(encapsulate_for_target(
            to, {std::as_bytes(std::span(packets.back()))}));
    }
    while (!stop.stop_requested())
    {
        socket.send(batch);
    }
}

/// Receives and forgets until its socket is stopped.
void run_sink(udp_socket& socket)
{
    packet_batch batch;
    while (socket.receive(batch, receive_timeout) != receive_status::stopped)
    {
    }
}

/// A forwarder under measurement. It sends every packet to `sink`.
class forwarder
{
public:
    virtual ~forwarder() = default;
    [[nodiscard]] virtual endpoint local() const = 0;
    [[nodiscard]] virtual std::uint64_t sent() const = 0;
};

/// recvmmsg, new destination, sendmmsg; nothing else.
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
        std::vector<std::array<std::byte, packet_capacity>> buffers(
            batch_capacity);
        std::vector<iovec> vectors(batch_capacity);
        std::vector<mmsghdr> headers(batch_capacity);
        while (!stop.stop_requested())
        {
            for (std::size_t i = 0; i < batch_capacity; ++i)
            {
                vectors[i] = {buffers[i].data(), packet_capacity};
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
            int done = 0;
            while (done < count)
            {
                const int now = ::sendmmsg(descriptor_, headers.data() + done,
                                           count - done, 0);
                if (now <= 0)
                {
                    break;
                }
                done += now;
            }
            sent_ += static_cast<std::uint64_t>(done);
        }
    }

    int descriptor_;
    sockaddr_in sink_{};
    std::uint16_t port_ = 0;
    std::atomic<std::uint64_t> sent_{0};
    std::jthread thread_;
};

/// The daemon's packet path with the smallest possible decision.
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
        // Every target is the sink; choosing one stands for the decision.
        const std::array<endpoint, target_count> targets = [this]
        {
            std::array<endpoint, target_count> all;
            all.fill(sink_);
            return all;
        }();
        outgoing_batch out;
        while (auto batch = queue_.take_filled())
        {
            for (const received_datagram& datagram : batch->datagrams())
            {
                const read_result read = read_datagram(datagram.payload);
                if (const auto* packet = std::get_if<parsed_packet>(&read))
                {
                    const std::uint64_t hash = hash_flow(packet->facts.key);
                    out.add(encapsulate_for_target(targets[hash % target_count],
                                                   packet->packet));
                }
                else
                {
                    rejected_.add(std::get<reject_reason>(read));
                }
            }
            socket_->send(out.datagrams());
            out.clear();
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

struct forwarder_row
{
    std::string_view name;
    std::unique_ptr<forwarder> (*make)(const endpoint& sink);
};

template <class Forwarder>
std::unique_ptr<forwarder> make_forwarder(const endpoint& sink)
{
    return std::make_unique<Forwarder>(sink);
}

constexpr std::array forwarder_rows{
    forwarder_row{"plain loop", make_forwarder<plain_loop>},
    forwarder_row{"pipeline", make_forwarder<pipeline>},
};

/// Packets a second that the sources offered, that the forwarder sent and that
/// the sink received. Only where more is offered than sent does the figure
/// measure the forwarder.
struct rates
{
    double offered = 0;
    double sent = 0;
    double arrived = 0;
};

rates measure(const forwarder_row& row, std::chrono::milliseconds length)
{
    const socket_pointer sink_socket = open_socket();
    std::jthread sink([&] { run_sink(*sink_socket); });
    const std::unique_ptr<forwarder> forward = row.make(sink_socket->local());
    std::array<socket_pointer, source_count> source_sockets;
    std::ranges::generate(source_sockets, open_socket);
    const auto count_all = [&]
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
    // The first part fills buffers and caches and is not counted.
    std::this_thread::sleep_for(length / 5);
    const auto begin = std::chrono::steady_clock::now();
    const rates before = count_all();
    std::this_thread::sleep_for(length);
    const rates after = count_all();
    const std::chrono::duration<double> passed =
        std::chrono::steady_clock::now() - begin;
    const double seconds = passed.count();
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
    const long rounds =
        argc > 1 ? std::strtol(argv[1], nullptr, 10) : default_rounds;
    const std::chrono::milliseconds length(
        argc > 2 ? std::strtol(argv[2], nullptr, 10) : default_milliseconds);
    if (rounds <= 0 || length.count() <= 0)
    {
        std::fprintf(stderr, "usage: forward_bench [rounds] [milliseconds]\n");
        return EXIT_FAILURE;
    }
    std::array<std::vector<double>, forwarder_rows.size()> sent;
    std::printf("%-6s %-12s %12s %12s %12s\n", "round", "forwarder",
                "offered/s", "sent/s", "at sink/s");
    for (long round = 0; round < rounds; ++round)
    {
        for (std::size_t i = 0; i < forwarder_rows.size(); ++i)
        {
            const rates result = measure(forwarder_rows[i], length);
            sent[i].push_back(result.sent);
            std::printf("%-6ld %-12s %12.0f %12.0f %12.0f\n", round,
                        forwarder_rows[i].name.data(), result.offered,
                        result.sent, result.arrived);
        }
    }
    const double plain = median(sent[0]);
    const double piped = median(sent[1]);
    std::printf("median: plain loop %.0f/s, pipeline %.0f/s, ratio %.2f\n",
                plain, piped, piped / plain);
}
