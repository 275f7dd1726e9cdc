#pragma once

// Storage for datagrams, allocated once and passed from thread to thread.

#include "catkinkeel/packet/outgoing.hpp"
#include "catkinkeel/packet/refusal.hpp"

#include <cstddef>
#include <memory>
#include <span>
#include <vector>

namespace catkinkeel
{

/// Datagrams that one system call receives or sends at most.
inline constexpr std::size_t batch_capacity = 64;

/// Bytes kept of one received datagram. More than an Ethernet frame holds; a
/// longer datagram is cut and read as truncated.
inline constexpr std::size_t packet_capacity = 2048;

/// One datagram of a batch; valid until the batch receives again.
struct received_datagram
{
    endpoint from;
    packet_view payload;

    friend bool operator==(const received_datagram&,
                           const received_datagram&) = default;
};

/// Up to `batch_capacity` received datagrams. Moving it moves the storage; a
/// batch moved from may only be assigned to or destroyed.
class packet_batch
{
public:
    packet_batch();
    packet_batch(packet_batch&&) noexcept;
    packet_batch& operator=(packet_batch&&) noexcept;
    ~packet_batch();

    /// The datagrams of the last `udp_socket::receive` into this batch.
    [[nodiscard]] std::span<const received_datagram> datagrams() const;

private:
    friend class udp_socket;
    struct storage;

    std::unique_ptr<storage> storage_;
};

/// Datagrams to send, with storage for refusals. It allocates when it is made
/// and never later. Not safe for use by two threads at once.
class outgoing_batch
{
public:
    outgoing_batch();

    /// Adds `datagram`. The batch must not be full.
    void add(const outgoing& datagram);

    /// Keeps a copy of `refusal` and adds it for `to`. The batch must not be
    /// full.
    void add_refusal(const endpoint& to, const refusal_packet& refusal);

    [[nodiscard]] bool full() const
    {
        return datagrams_.size() == batch_capacity;
    }

    [[nodiscard]] std::span<const outgoing> datagrams() const
    {
        return datagrams_;
    }

    void clear();

private:
    std::vector<outgoing> datagrams_;
    std::vector<refusal_packet> refusals_;
};

} // namespace catkinkeel
