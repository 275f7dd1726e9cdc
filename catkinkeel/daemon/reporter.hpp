#pragma once

// Reports events of the daemon's threads with the present time.

#include "catkinkeel/event/event_log.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <vector>

namespace catkinkeel
{

/// Safe to use from any thread.
class reporter
{
public:
    explicit reporter(std::shared_ptr<event_log> log) : log_(std::move(log)) {}

    void report(event_number number, std::vector<event_field> fields,
                const change_origin& origin = {});

    /// Logs counts of repeated events that were held back.
    void report_suppressed();

    [[nodiscard]] const audit_trail& audit() const
    {
        return log_->audit();
    }
    /// Events reported since the start.
    [[nodiscard]] std::uint64_t count(severity level) const
    {
        return counts_.at(static_cast<std::size_t>(level)).load();
    }

private:
    std::shared_ptr<event_log> log_;
    std::array<std::atomic<std::uint64_t>, 5> counts_{};
};

} // namespace catkinkeel
