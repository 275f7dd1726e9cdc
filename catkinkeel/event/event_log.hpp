#pragma once

// The log to which the daemon's threads report events. It writes rate-limited
// log lines and adds changes to the audit trail.
//
// Example:
//   event_log log(boost_log_sink::to_stderr(log_format::key_value,
//                                           severity::info), 1000);
//   log.report({event_number::member_dead, wall, {field("vm", 7),
//               field("data_centre", 1)}}, now, {version, "probe time-out"});

#include "catkinkeel/base/time.hpp"
#include "catkinkeel/event/audit_trail.hpp"
#include "catkinkeel/event/log_limit.hpp"
#include "catkinkeel/event/record.hpp"

#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <memory>
#include <mutex>
#include <vector>

namespace catkinkeel
{

/// Output for the events that pass the rate limit. Calls to `write` are
/// serialized.
class event_sink
{
public:
    virtual ~event_sink() = default;

    /// `suppressed` as in `render_line`.
    virtual void write(const event_record& record,
                       std::uint64_t suppressed) = 0;
};

/// Determines when the stream of a log is flushed.
enum class log_flush : std::uint8_t
{
    /// The sink flushes after each line.
    each_line,
    /// The owner of the stream flushes it.
    by_owner
};

/// Writes one line per event through Boost.Log. It adds a sink to the
/// process-wide Boost.Log core, so a process has at most one.
class boost_log_sink : public event_sink
{
public:
    /// Omits events below `min_severity`. `stream` must outlive the sink.
    boost_log_sink(std::ostream& stream, log_format format,
                   severity min_severity,
                   log_flush flush = log_flush::each_line);
    ~boost_log_sink() override;
    boost_log_sink(const boost_log_sink&) = delete;
    boost_log_sink& operator=(const boost_log_sink&) = delete;

    static std::unique_ptr<event_sink> to_stderr(log_format format,
                                                 severity min_severity);

    void write(const event_record& record, std::uint64_t suppressed) override;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

/// Rate-limits events per event number and keeps the audit trail. Thread-safe.
class event_log
{
public:
    event_log(std::unique_ptr<event_sink> sink, std::size_t audit_capacity);

    /// Logs the event unless the log period of its catalogue entry suppresses
    /// it. Adds it to the audit trail if it is a change, also when suppressed.
    void report(const event_record& record, instant now,
                const change_origin& origin = {});

    /// Logs `events_suppressed` for each event number that has suppressed
    /// occurrences and whose log period has ended by `now`.
    void report_suppressed(wall_time at, instant now);

    [[nodiscard]] const audit_trail& audit() const
    {
        return audit_;
    }

private:
    std::mutex mutex_;
    std::unique_ptr<event_sink> sink_;
    /// Rate-limit states, one per row of the catalogue.
    std::vector<log_limit_state> limit_states_;
    audit_trail audit_;
};

} // namespace catkinkeel
