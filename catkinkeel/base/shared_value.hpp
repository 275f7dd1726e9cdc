#pragma once

// A value that one thread publishes and others look at.

#include <memory>
#include <mutex>
#include <utility>

namespace catkinkeel
{

/// A value that one thread replaces and others read. Safe from any thread.
template <class T>
class shared_value
{
public:
    void put(T value)
    {
        put(std::make_shared<const T>(std::move(value)));
    }

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
