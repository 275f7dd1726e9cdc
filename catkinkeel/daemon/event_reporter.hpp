#pragma once

// Adds the current time to the events of the daemon's threads, counts them and
// passes them to the event log.

#include "catkinkeel/event/event_log.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <vector>

namespace catkinkeel
{

/// Thread-safe.
class event_reporter
{
public:
    explicit event_reporter(std::shared_ptr<event_log> log)
        : log_(std::move(log))
    {
    }

    void report(event_number number, std::vector<event_field> fields,
                const change_origin& origin = {});

    /// Logs how many events the rate limit has suppressed, for each event
    /// number whose log period has ended.
    void report_suppressed();

    [[nodiscard]] const audit_trail& audit() const
    {
        return log_->audit();
    }
    /// Number of events reported at this severity since construction.
    [[nodiscard]] std::uint64_t count(severity level) const
    {
        return counts_.at(static_cast<std::size_t>(level)).load();
    }

private:
    std::shared_ptr<event_log> log_;
    std::array<std::atomic<std::uint64_t>, 5> counts_{};
};

} // namespace catkinkeel
