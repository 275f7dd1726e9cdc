#pragma once

// The log to which the daemon's threads report events. It writes rate-limited
// log lines and adds changes to the audit trail.
//
// Example, with the wall-clock time `wall`, the instant `now` and the version
// `in_effect` of the set in effect:
//   event_log log(boost_log_sink::to_stderr(log_format::key_value,
//                                           severity::info), 1000);
//   log.report({event_number::member_dead, wall, {field("vm", 7),
//               field("data_centre", 1)}}, now, {in_effect, "probe time-out"});

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

    /// `suppressed` is the number of events of the same number that were not
    /// written since the last one that was.
    virtual void write(const event_record& record,
                       std::uint64_t suppressed) = 0;
};

/// Who flushes the stream that log lines are written to.
enum class log_flush : std::uint8_t
{
    /// The sink, after each line.
    each_line,
    /// The owner of the stream; the sink never flushes.
    by_owner
};

/// Writes one line per event through Boost.Log. The Boost.Log core of the
/// process passes every line to every sink registered with it, so create at
/// most one `boost_log_sink` at a time: with two, each line is written twice.
/// This is not checked.
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

    /// Creates a sink that writes to standard error.
    static std::unique_ptr<event_sink> to_stderr(log_format format,
                                                 severity min_severity);

    void write(const event_record& record, std::uint64_t suppressed) override;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

/// Writes events to a sink, with a rate limit per event number, and keeps the
/// audit trail, which has no rate limit. Thread-safe.
class event_log
{
public:
    /// `audit_capacity` is the number of entries that the audit trail keeps, at
    /// least 1.
    event_log(std::unique_ptr<event_sink> sink, std::size_t audit_capacity);

    /// Adds the event to the audit trail if the catalogue marks it as a change.
    /// Writes it to the sink unless an event of the same number was written
    /// less than that number's log period ago.
    void report(const event_record& record, instant now,
                const change_origin& origin = {});

    /// Logs `events_suppressed` for each event number that has suppressed
    /// occurrences and whose log period has ended. `at` and `now` are the
    /// current time of the wall clock and of the monotonic clock.
    void report_suppressed(wall_time at, instant now);

    [[nodiscard]] const audit_trail& audit() const
    {
        return audit_;
    }

private:
    std::mutex mutex_;
    std::unique_ptr<event_sink> sink_;
    /// Indexed like `event_catalogue()`.
    std::vector<log_limit_state> limit_states_;
    audit_trail audit_;
};

} // namespace catkinkeel
