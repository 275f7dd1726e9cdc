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

constexpr endpoint any_port{{INADDR_LOOPBACK}, 0};
/// Longer than any test runs: only a fault makes a receive wait this long.
constexpr duration long_wait = 100s;

std::shared_ptr<udp_socket> open_socket()
{
    auto opened = udp_socket::open(any_port);
    REQUIRE(opened);
    return opened.value();
}

} // namespace

TEST_CASE("more than one batch arrives whole, in order, with its sender")
{
    constexpr std::size_t count = batch_capacity + 36;
    const auto sender = open_socket();
    const auto receiver = open_socket();
    const bytes packet = samples::udp_packet();
    std::vector<outgoing> datagrams;
    for (std::size_t i = 0; i < count; ++i)
    {
        const parsed_packet parsed{{.hops = static_cast<std::uint8_t>(i)},
                                   {packet}};
        datagrams.push_back(encapsulate_for_relay(receiver->local(), parsed));
    }
    CHECK(sender->send(datagrams) == count);
    packet_batch batch;
    std::size_t seen = 0;
    while (seen < count)
    {
        REQUIRE(receiver->receive(batch, long_wait) ==
                receive_status::received);
        for (const received_datagram& datagram : batch.datagrams())
        {
            ++seen;
            CHECK(datagram.from == sender->local());
            CHECK(datagram.payload ==
                  packet_view{samples::relayed(
                      packet, static_cast<std::uint8_t>(seen))});
        }
    }
    CHECK(receiver->receive(batch, 1ms) == receive_status::timed_out);
    CHECK(batch.datagrams().empty());
    CHECK(sender->counts() == socket_counts{.sent = count});
    CHECK(receiver->counts() == socket_counts{.received = count});
}

TEST_CASE("a stop from another thread ends a waiting receive")
{
    const auto socket = open_socket();
    std::jthread stopper([socket] { socket->stop(); });
    packet_batch batch;
    // The longest timeout must not overflow the computed end of the wait.
    CHECK(socket->receive(batch, duration::max()) == receive_status::stopped);
    CHECK(socket->receive(batch, long_wait) == receive_status::stopped);
}

TEST_CASE("a datagram that cannot be sent does not hold up the others")
{
    const auto sender = open_socket();
    const auto receiver = open_socket();
    const bytes packet = samples::udp_packet();
    const bytes too_long(70000);
    const outgoing good = encapsulate_for_target(receiver->local(), {packet});
    const outgoing bad = encapsulate_for_target(receiver->local(), {too_long});
    CHECK(sender->send(std::array{bad, good, bad, bad, good, bad}) == 2);
    CHECK(sender->counts() ==
          socket_counts{.sent = 2, .dropped_unsendable = 4});
    packet_batch batch;
    REQUIRE(receiver->receive(batch, long_wait) == receive_status::received);
    CHECK(batch.datagrams().front().payload == packet_view{packet});
}

TEST_CASE("a closed port does not disturb later sends")
{
    const auto sender = open_socket();
    const endpoint closed = open_socket()->local();
    const bytes packet = samples::udp_packet();
    const outgoing datagram = encapsulate_for_target(closed, {packet});
    CHECK(sender->send(std::array{datagram}) == 1);
    CHECK(sender->send(std::array{datagram, datagram}) == 2);
}

TEST_CASE("a datagram longer than its buffer is counted and read as truncated")
{
    const auto sender = open_socket();
    const auto receiver = open_socket();
    const bytes packet = samples::udp_packet(std::string(packet_capacity, 'x'));
    sender->send(
        std::array{encapsulate_for_target(receiver->local(), {packet})});
    packet_batch batch;
    REQUIRE(receiver->receive(batch, long_wait) == receive_status::received);
    CHECK(receiver->counts().cut == 1);
    CHECK(read_datagram(batch.datagrams().front().payload) ==
          read_result(reject_reason::truncated));
}

TEST_CASE("datagrams that the kernel drops for lack of room are counted")
{
    // Each datagram takes more than 512 bytes of the doubled buffer.
    constexpr std::size_t too_many = 2 * socket_buffer_bytes / 512;
    const auto sender = open_socket();
    const auto receiver = open_socket();
    const bytes packet = samples::udp_packet();
    const std::vector<outgoing> datagrams(
        too_many, encapsulate_for_target(receiver->local(), {packet}));
    sender->send(datagrams);
    CHECK(receiver->counts().receive_overflow > 0);
}

TEST_CASE("a port in use is a failure that names the address")
{
    const auto first = open_socket();
    const auto second = udp_socket::open(first->local());
    REQUIRE_FALSE(second);
    CHECK(second.error().kind == failure_kind::unavailable);
    CHECK(second.error().message.find(to_string(first->local())) !=
          std::string::npos);
}

TEST_CASE("batches circulate between two threads without new storage")
{
    constexpr std::size_t batches = 2;
    constexpr std::size_t count = 1000;
    const auto sender = open_socket();
    const auto receiver = open_socket();
    batch_queue queue(batches);
    std::jthread receive(
        [&]
        {
            while (auto batch = queue.take_empty())
            {
                if (receiver->receive(*batch, long_wait) ==
                    receive_status::stopped)
                {
                    return;
                }
                queue.put_filled(std::move(*batch));
            }
        });
    const bytes packet = samples::udp_packet();
    const std::vector<outgoing> datagrams(
        count, encapsulate_for_target(receiver->local(), {packet}));
    sender->send(datagrams);
    std::set<const void*> storages;
    std::size_t seen = 0;
    while (seen < count)
    {
        auto batch = queue.take_filled();
        REQUIRE(batch);
        seen += batch->datagrams().size();
        storages.insert(batch->datagrams().data());
        queue.put_empty(std::move(*batch));
    }
    CHECK(seen == count);
    CHECK(storages.size() <= batches);
    receiver->stop();
    queue.close();
    CHECK_FALSE(queue.take_filled());
}
