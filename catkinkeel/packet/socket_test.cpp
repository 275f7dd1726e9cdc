#include "catkinkeel/packet/batch_queue.hpp"
#include "catkinkeel/packet/packet_samples.hpp"
#include "catkinkeel/packet/udp_socket.hpp"

#include <catch2/catch.hpp>

#include <set>
#include <thread>

using namespace catkinkeel;
using samples::bytes;

namespace
{

constexpr endpoint loopback_any_port{{INADDR_LOOPBACK}, 0};
/// Longer than any test takes; a receive waits this long only if it fails.
constexpr duration long_timeout = 100s;

std::shared_ptr<udp_socket> open_socket()
{
    auto opened_socket = udp_socket::open(loopback_any_port);
    REQUIRE(opened_socket);
    return opened_socket.value();
}

} // namespace

TEST_CASE(
    "datagrams of several batches arrive complete, in order, with their sender")
{
    // One full batch and a partial one. The hop counts, which identify the
    // datagrams, fit into a byte.
    constexpr std::size_t count = batch_capacity + 36;
    const auto sender = open_socket();
    const auto receiver = open_socket();
    const bytes packet = samples::udp_packet();
    std::vector<outgoing_datagram> datagrams;
    for (std::size_t i = 0; i < count; ++i)
    {
        const parsed_packet parsed{{.hops = static_cast<std::uint8_t>(i)},
                                   {packet}};
        datagrams.push_back(encapsulate_for_relay(receiver->local(), parsed));
    }
    CHECK(sender->send(datagrams) == count);
    packet_batch batch;
    std::size_t received_count = 0;
    while (received_count < count)
    {
        REQUIRE(receiver->receive(batch, long_timeout) ==
                receive_status::received);
        for (const received_datagram& datagram : batch.datagrams())
        {
            // Encapsulation raises the hop count by one, so the first datagram
            // arrives with 1.
            ++received_count;
            CHECK(datagram.from == sender->local());
            CHECK(datagram.payload ==
                  packet_view{samples::relayed(
                      packet, static_cast<std::uint8_t>(received_count))});
        }
    }
    CHECK(receiver->receive(batch, 1ms) == receive_status::timed_out);
    CHECK(batch.datagrams().empty());
    CHECK(sender->counts() == socket_counts{.sent = count});
    CHECK(receiver->counts() == socket_counts{.received = count});
}

TEST_CASE("stop from another thread ends a waiting receive")
{
    const auto socket = open_socket();
    std::jthread stopping_thread([socket] { socket->stop(); });
    packet_batch batch;
    // The largest timeout must not overflow the computation of the time left.
    CHECK(socket->receive(batch, duration::max()) == receive_status::stopped);
    CHECK(socket->receive(batch, long_timeout) == receive_status::stopped);
}

TEST_CASE("a datagram that cannot be sent does not block the others")
{
    const auto sender = open_socket();
    const auto receiver = open_socket();
    const bytes packet = samples::udp_packet();
    const bytes oversized_packet(70000);
    const outgoing_datagram sendable =
        encapsulate_for_target(receiver->local(), {packet});
    const outgoing_datagram unsendable =
        encapsulate_for_target(receiver->local(), {oversized_packet});
    CHECK(sender->send(std::array{unsendable, sendable, unsendable, unsendable,
                                  sendable, unsendable}) == 2);
    CHECK(sender->counts() ==
          socket_counts{.sent = 2, .dropped_unsendable = 4});
    packet_batch batch;
    REQUIRE(receiver->receive(batch, long_timeout) == receive_status::received);
    CHECK(batch.datagrams().front().payload == packet_view{packet});
}

// The closed port answers with an ICMP port unreachable. If the kernel reports
// it as ECONNREFUSED on a later send, `send` must retry instead of dropping the
// datagram. Linux reports it only on connected sockets or with IP_RECVERR.
TEST_CASE("an ICMP port unreachable does not make later sends fail")
{
    const auto sender = open_socket();
    const endpoint closed = open_socket()->local();
    const bytes packet = samples::udp_packet();
    const outgoing_datagram datagram = encapsulate_for_target(closed, {packet});
    CHECK(sender->send(std::array{datagram}) == 1);
    CHECK(sender->send(std::array{datagram, datagram}) == 2);
}

TEST_CASE(
    "a datagram longer than its buffer is counted and parsed as truncated")
{
    const auto sender = open_socket();
    const auto receiver = open_socket();
    const bytes packet =
        samples::udp_packet(std::string(datagram_buffer_size, 'x'));
    sender->send(
        std::array{encapsulate_for_target(receiver->local(), {packet})});
    packet_batch batch;
    REQUIRE(receiver->receive(batch, long_timeout) == receive_status::received);
    CHECK(receiver->counts().oversized == 1);
    CHECK(parse_datagram(batch.datagrams().front().payload) ==
          parse_result(reject_reason::truncated));
}

TEST_CASE(
    "datagrams that the kernel drops because its buffer is full are counted")
{
    // The kernel doubles the requested buffer size, and each datagram occupies
    // more than 512 bytes of it.
    constexpr std::size_t datagram_count = 2 * socket_buffer_bytes / 512;
    const auto sender = open_socket();
    const auto receiver = open_socket();
    const bytes packet = samples::udp_packet();
    const std::vector<outgoing_datagram> datagrams(
        datagram_count, encapsulate_for_target(receiver->local(), {packet}));
    sender->send(datagrams);
    CHECK(receiver->counts().receive_overflow > 0);
}

TEST_CASE("opening a port in use fails with an error that contains the address")
{
    const auto first = open_socket();
    const auto second = udp_socket::open(first->local());
    REQUIRE_FALSE(second);
    CHECK(second.error().kind == failure_kind::unavailable);
    CHECK(second.error().message.find(to_string(first->local())) !=
          std::string::npos);
}

TEST_CASE("batches are passed between two threads without new allocations")
{
    constexpr std::size_t batch_count = 2;
    constexpr std::size_t count = 1000;
    const auto sender = open_socket();
    const auto receiver = open_socket();
    batch_queue queue(batch_count);
    std::jthread receive(
        [&]
        {
            while (auto batch = queue.take_empty())
            {
                if (receiver->receive(*batch, long_timeout) ==
                    receive_status::stopped)
                {
                    return;
                }
                queue.put_filled(std::move(*batch));
            }
        });
    const bytes packet = samples::udp_packet();
    const std::vector<outgoing_datagram> datagrams(
        count, encapsulate_for_target(receiver->local(), {packet}));
    sender->send(datagrams);
    std::set<const void*> storage_addresses;
    std::size_t received_count = 0;
    while (received_count < count)
    {
        auto batch = queue.take_filled();
        REQUIRE(batch);
        received_count += batch->datagrams().size();
        storage_addresses.insert(batch->datagrams().data());
        queue.put_empty(std::move(*batch));
    }
    CHECK(received_count == count);
    CHECK(storage_addresses.size() <= batch_count);
    receiver->stop();
    queue.close();
    CHECK_FALSE(queue.take_filled());
}
