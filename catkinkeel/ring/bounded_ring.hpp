#pragma once

// Bounded queue that passes elements from the thread of one duty to the thread
// of the next.
//
// Example:
//   bounded_ring<tick> ticks(16);
//   clock thread:  ticks.try_push(tick{now});       // counts refused ticks
//   decide thread: while (auto next = ticks.pop()) { handle(*next); }

#include "catkinkeel/base/time.hpp"

#include <boost/circular_buffer.hpp>

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <utility>

namespace catkinkeel
{

/// Bounded first-in-first-out queue. Safe for use by any number of threads.
/// Waiting threads block instead of spinning.
template <class T>
class bounded_ring
{
public:
    /// Allocates memory for `capacity` elements, which must be positive; no
    /// further memory is allocated later.
    explicit bounded_ring(std::size_t capacity) : elements_(capacity) {}

    /// Adds `element` unless the ring is full or closed. Returns whether it was
    /// added; `refused` counts the elements that were not.
    bool try_push(T element)
    {
        {
            const std::lock_guard lock(mutex_);
            if (closed_ || elements_.full())
            {
                refused_.fetch_add(1, std::memory_order_relaxed);
                return false;
            }
            elements_.push_back(std::move(element));
        }
        not_empty_.notify_one();
        return true;
    }

    /// Adds `element` and drops the oldest one if the ring is full. For rings
    /// in which only the newest elements matter. Returns false if the ring is
    /// closed.
    bool push_newest(T element)
    {
        {
            const std::lock_guard lock(mutex_);
            if (closed_)
            {
                return false;
            }
            if (elements_.full())
            {
                elements_.pop_front();
            }
            elements_.push_back(std::move(element));
        }
        not_empty_.notify_one();
        return true;
    }

    /// Adds `element`, waiting while the ring is full. Returns false if the
    /// ring is closed.
    bool push(T element)
    {
        {
            std::unique_lock lock(mutex_);
            not_full_.wait(lock, [&] { return closed_ || !elements_.full(); });
            if (closed_)
            {
                return false;
            }
            elements_.push_back(std::move(element));
        }
        not_empty_.notify_one();
        return true;
    }

    /// Removes and returns the oldest element, waiting while the ring is empty.
    /// Empty once the ring is closed and drained.
    std::optional<T> pop()
    {
        std::unique_lock lock(mutex_);
        not_empty_.wait(lock, [&] { return closed_ || !elements_.empty(); });
        return take(lock);
    }

    /// As `pop`, but returns empty immediately if the ring is empty.
    std::optional<T> try_pop()
    {
        std::unique_lock lock(mutex_);
        return take(lock);
    }

    /// As `pop`, but waits for at most `timeout`.
    std::optional<T> pop_for(duration timeout)
    {
        std::unique_lock lock(mutex_);
        not_empty_.wait_for(lock, timeout,
                            [&] { return closed_ || !elements_.empty(); });
        return take(lock);
    }

    /// Closes the ring for new elements and wakes all waiting threads. Elements
    /// already queued can still be removed.
    void close()
    {
        {
            const std::lock_guard lock(mutex_);
            closed_ = true;
        }
        not_empty_.notify_all();
        not_full_.notify_all();
    }

    /// Number of elements refused by `try_push` since construction.
    [[nodiscard]] std::uint64_t refused() const
    {
        return refused_.load(std::memory_order_relaxed);
    }

    [[nodiscard]] bool closed() const
    {
        const std::lock_guard lock(mutex_);
        return closed_;
    }

    [[nodiscard]] std::size_t size() const
    {
        const std::lock_guard lock(mutex_);
        return elements_.size();
    }

private:
    std::optional<T> take(std::unique_lock<std::mutex>& lock)
    {
        if (elements_.empty())
        {
            return std::nullopt;
        }
        std::optional<T> element(std::move(elements_.front()));
        elements_.pop_front();
        lock.unlock();
        not_full_.notify_one();
        return element;
    }

    mutable std::mutex mutex_;
    std::condition_variable not_empty_;
    std::condition_variable not_full_;
    boost::circular_buffer<T> elements_;
    bool closed_ = false;
    std::atomic<std::uint64_t> refused_{0};
};

} // namespace catkinkeel
