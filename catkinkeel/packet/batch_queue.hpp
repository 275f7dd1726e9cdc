#pragma once

// Joins the thread that receives to the thread that decides.
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
/// at the start and each ring has room for all of them, so that a put neither
/// waits nor fails. While every batch is filled, the receive thread waits for
/// an empty one and the kernel's receive buffer holds what arrives; when that
/// is full, the kernel drops the newest datagrams, which
/// `socket_counts::receive_overflow` counts. All functions may be called by any
/// thread.
class batch_queue
{
public:
    /// `count` batches of about 140 KB each; it must be positive.
    explicit batch_queue(std::size_t count) : filled_(count), empty_(count)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            empty_.try_push(packet_batch());
        }
    }

    /// Waits for an empty batch; none once the queue is closed.
    std::optional<packet_batch> take_empty()
    {
        return empty_.pop();
    }

    void put_filled(packet_batch batch)
    {
        filled_.try_push(std::move(batch));
    }

    /// Waits for the oldest filled batch; none once the queue is closed and
    /// has given out all of them.
    std::optional<packet_batch> take_filled()
    {
        return filled_.pop();
    }

    /// As `take_filled`, but also none after `timeout`.
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

    /// Ends both threads.
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
