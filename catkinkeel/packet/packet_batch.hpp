#pragma once

// Batches of received datagrams and of datagrams to send, allocated once and
// reused.

#include "catkinkeel/packet/encapsulation.hpp"
#include "catkinkeel/packet/refusal.hpp"

#include <cstddef>
#include <memory>
#include <span>
#include <vector>

namespace catkinkeel
{

/// Maximum number of datagrams per system call.
inline constexpr std::size_t batch_capacity = 64;

/// Buffer size for one received datagram in bytes, which is more than an
/// Ethernet frame holds. A longer datagram is cut to this size and then parsed
/// as truncated.
inline constexpr std::size_t datagram_buffer_size = 2048;

/// One datagram of a batch. The payload is valid until the next receive into
/// the batch.
struct received_datagram
{
    endpoint from;
    packet_view payload;

    friend bool operator==(const received_datagram&,
                           const received_datagram&) = default;
};

/// Up to `batch_capacity` received datagrams. A move transfers the storage; a
/// moved-from batch may only be assigned to or destroyed.
class packet_batch
{
public:
    packet_batch();
    packet_batch(packet_batch&&) noexcept;
    packet_batch& operator=(packet_batch&&) noexcept;
    ~packet_batch();

    /// Returns the datagrams of the last `udp_socket::receive` into this batch.
    [[nodiscard]] std::span<const received_datagram> datagrams() const;

private:
    friend class udp_socket;
    struct storage;

    std::unique_ptr<storage> storage_;
};

/// Up to `batch_capacity` datagrams to send, with storage for refusals. Memory
/// is allocated only by the constructor. Not thread-safe.
class outgoing_batch
{
public:
    outgoing_batch();

    /// Adds `datagram`. The batch must not be full.
    void add(const outgoing_datagram& datagram);

    /// Stores a copy of `refusal` and adds a datagram that sends it to `to`.
    /// The batch must not be full.
    void add_refusal(const endpoint& to, const refusal_packet& refusal);

    [[nodiscard]] bool full() const
    {
        return datagrams_.size() == batch_capacity;
    }

    [[nodiscard]] std::span<const outgoing_datagram> datagrams() const
    {
        return datagrams_;
    }

    void clear();

private:
    std::vector<outgoing_datagram> datagrams_;
    std::vector<refusal_packet> refusals_;
};

} // namespace catkinkeel
