#pragma once

// A bounded queue that joins the thread of one duty to the thread of the next.
//
// Example:
//   bounded_ring<tick> ticks(16);
//   clock thread:  ticks.try_push(tick{now});       // counts what it refuses
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

/// Bounded first-in-first-out queue. All functions may be called by any thread.
/// A waiting thread sleeps; none spins.
template <class T>
class bounded_ring
{
public:
    /// `capacity` elements are allocated here and never more; it must be
    /// positive.
    explicit bounded_ring(std::size_t capacity) : elements_(capacity) {}

    /// Adds `element` unless the ring is full or closed. Returns whether it was
    /// added and counts a refusal.
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
        filled_.notify_one();
        return true;
    }

    /// Adds `element`; the oldest one is dropped if the ring is full. For rings
    /// of which only the newest elements matter. Returns false if the ring was
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
        filled_.notify_one();
        return true;
    }

    /// Adds `element`, waiting for room. Returns false if the ring was closed.
    bool push(T element)
    {
        {
            std::unique_lock lock(mutex_);
            freed_.wait(lock, [&] { return closed_ || !elements_.full(); });
            if (closed_)
            {
                return false;
            }
            elements_.push_back(std::move(element));
        }
        filled_.notify_one();
        return true;
    }

    /// Takes the oldest element, waiting for one. Empty once the ring is closed
    /// and drained.
    std::optional<T> pop()
    {
        std::unique_lock lock(mutex_);
        filled_.wait(lock, [&] { return closed_ || !elements_.empty(); });
        return take(lock);
    }

    /// As `pop`, but empty at once if there is none.
    std::optional<T> try_pop()
    {
        std::unique_lock lock(mutex_);
        return take(lock);
    }

    /// As `pop`, but also empty after `timeout`.
    std::optional<T> pop_for(duration timeout)
    {
        std::unique_lock lock(mutex_);
        filled_.wait_for(lock, timeout,
                         [&] { return closed_ || !elements_.empty(); });
        return take(lock);
    }

    /// Refuses further elements and wakes every waiting thread. Elements
    /// already inside can still be taken.
    void close()
    {
        {
            const std::lock_guard lock(mutex_);
            closed_ = true;
        }
        filled_.notify_all();
        freed_.notify_all();
    }

    /// Elements refused by `try_push` since the ring was made.
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
        freed_.notify_one();
        return element;
    }

    mutable std::mutex mutex_;
    std::condition_variable filled_;
    std::condition_variable freed_;
    boost::circular_buffer<T> elements_;
    bool closed_ = false;
    std::atomic<std::uint64_t> refused_{0};
};

} // namespace catkinkeel
