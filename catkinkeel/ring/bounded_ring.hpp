#pragma once

// Bounded queue between threads. Each duty of a daemon (reading packets,
// deciding on them, and so on) has its own thread, and rings pass elements
// between them.
//
// Example:
//   bounded_ring<request> requests(16);
//   requests.try_push(request{...});  // producer; false if the ring is full
//   while (auto next = requests.pop()) { handle(*next); }  // consumer
//   requests.close();  // ends the consumer's loop

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
    /// Allocates memory for `capacity` elements; the ring allocates no further
    /// memory later. `capacity` must be positive.
    explicit bounded_ring(std::size_t capacity) : elements_(capacity) {}

    /// Adds `element` unless the ring is full or closed. Returns whether it was
    /// added; `refused` counts the elements that were not. Does not block.
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

    /// Adds `element`; if the ring is full, it overwrites the oldest element,
    /// which `overwritten` counts. For rings in which only the newest elements
    /// matter. Returns false, without adding it, if the ring is closed. Does
    /// not block.
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
                overwritten_.fetch_add(1, std::memory_order_relaxed);
            }
            elements_.push_back(std::move(element));
        }
        not_empty_.notify_one();
        return true;
    }

    /// Adds `element`, waiting while the ring is full. Returns false, without
    /// adding it, if the ring is closed, also during the wait.
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
    /// Returns nullopt if the ring is closed and has no elements left.
    std::optional<T> pop()
    {
        std::unique_lock lock(mutex_);
        not_empty_.wait(lock, [&] { return closed_ || !elements_.empty(); });
        return pop_front_and_unlock(lock);
    }

    /// Like `pop`, but returns nullopt immediately if the ring is empty.
    std::optional<T> try_pop()
    {
        std::unique_lock lock(mutex_);
        return pop_front_and_unlock(lock);
    }

    /// Like `pop`, but returns nullopt if no element arrives within `timeout`.
    std::optional<T> pop_for(duration timeout)
    {
        std::unique_lock lock(mutex_);
        not_empty_.wait_for(lock, timeout,
                            [&] { return closed_ || !elements_.empty(); });
        return pop_front_and_unlock(lock);
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

    /// Number of elements that `try_push` did not add because the ring was full
    /// or closed.
    [[nodiscard]] std::uint64_t refused() const
    {
        return refused_.load(std::memory_order_relaxed);
    }

    /// Number of elements that `push_newest` overwrote.
    [[nodiscard]] std::uint64_t overwritten() const
    {
        return overwritten_.load(std::memory_order_relaxed);
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
    /// Removes and returns the oldest element, releases `lock` and wakes a
    /// writer that waits in `push`. Returns nullopt if the ring is empty.
    std::optional<T> pop_front_and_unlock(std::unique_lock<std::mutex>& lock)
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
    std::atomic<std::uint64_t> overwritten_{0};
};

} // namespace catkinkeel
