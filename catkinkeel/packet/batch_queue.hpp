#pragma once

// Passes batches of packets between the receiving thread and the deciding
// thread.
//
// Example:
//   receive thread: packet_batch batch = *queue.take_empty();
//                   socket.receive(batch, 1s);
//                   queue.put_filled(std::move(batch));
//   decide thread:  while (auto batch = queue.take_filled())
//                   { handle(*batch); queue.put_empty(std::move(*batch)); }

#include "catkinkeel/packet/packet_batch.hpp"
#include "catkinkeel/ring/bounded_ring.hpp"

#include <cstddef>
#include <optional>
#include <utility>

namespace catkinkeel
{

/// A ring of filled batches and a ring of empty ones. All batches are allocated
/// by the constructor, and each ring has capacity for all of them, so a put
/// never waits or fails. While every batch is filled, the receiving thread
/// waits for an empty one and arriving datagrams stay in the kernel's receive
/// buffer; when that is full, the kernel drops the newest datagrams, which
/// `socket_counts::receive_overflow` counts. Thread-safe.
class batch_queue
{
public:
    /// Allocates `count` batches of about 140 KB each. `count` must be
    /// positive.
    explicit batch_queue(std::size_t count) : filled_(count), empty_(count)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            empty_.try_push(packet_batch());
        }
    }

    /// Waits for an empty batch. Returns nothing once the queue is closed and
    /// no empty batch is left.
    std::optional<packet_batch> take_empty()
    {
        return empty_.pop();
    }

    void put_filled(packet_batch batch)
    {
        filled_.try_push(std::move(batch));
    }

    /// Waits for the oldest filled batch. Returns nothing once the queue is
    /// closed and no filled batch is left.
    std::optional<packet_batch> take_filled()
    {
        return filled_.pop();
    }

    /// Same as `take_filled`, but also returns nothing after `timeout`.
    std::optional<packet_batch> take_filled_for(duration timeout)
    {
        return filled_.pop_for(timeout);
    }

    void put_empty(packet_batch batch)
    {
        empty_.try_push(std::move(batch));
    }

    [[nodiscard]] bool closed() const
    {
        return filled_.closed();
    }

    /// Wakes all waiting threads. Batches still in a ring can be taken; further
    /// puts discard their batch.
    void close()
    {
        filled_.close();
        empty_.close();
    }

private:
    bounded_ring<packet_batch> filled_;
    bounded_ring<packet_batch> empty_;
};

} // namespace catkinkeel
