#pragma once

// A value that one thread publishes and other threads read.

#include <memory>
#include <mutex>
#include <utility>

namespace catkinkeel
{

/// Holds an immutable value that is replaced as a whole. Readers keep the value
/// that they got, also after it was replaced. Thread-safe.
template <class T>
class published_value
{
public:
    void put(T value)
    {
        put(std::make_shared<const T>(std::move(value)));
    }

    /// `next` must not be null.
    void put(std::shared_ptr<const T> next)
    {
        const std::lock_guard lock(mutex_);
        value_ = std::move(next);
    }

    /// Never null.
    [[nodiscard]] std::shared_ptr<const T> get() const
    {
        const std::lock_guard lock(mutex_);
        return value_;
    }

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const T> value_ = std::make_shared<const T>();
};

} // namespace catkinkeel
