#pragma once

// Where the daemon's threads report events: log lines with a limit on repeats,
// and the audit trail for changes.
//
// Example:
//   event_log log(boost_log_sink::to_stderr(log_format::key_value,
//                                           severity::info), 1000);
//   log.report({event_number::member_dead, wall, {field("vm", 7),
//               field("data_centre", 1)}}, now, {version, "probe time-out"});

#include "catkinkeel/base/time.hpp"
#include "catkinkeel/event/audit_trail.hpp"
#include "catkinkeel/event/record.hpp"
#include "catkinkeel/event/repeat_limit.hpp"

#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <memory>
#include <mutex>
#include <vector>

namespace catkinkeel
{

/// Takes the events that are to be logged. `write` is called by one thread at a
/// time.
class event_sink
{
public:
    virtual ~event_sink() = default;

    /// `suppressed` as in `render_line`.
    virtual void write(const event_record& record,
                       std::uint64_t suppressed) = 0;
};

/// Who flushes the stream of a log.
enum class log_flush : std::uint8_t
{
    /// The sink, after each line.
    each_line,
    /// The owner of the stream, after as many lines as it likes.
    by_owner
};

/// Writes one line an event through Boost.Log. It adds a sink to the
/// process-wide Boost.Log core, so a process has at most one.
class boost_log_sink : public event_sink
{
public:
    /// Events below `least` are left out. `stream` must outlive the sink.
    boost_log_sink(std::ostream& stream, log_format format, severity least,
                   log_flush flush = log_flush::each_line);
    ~boost_log_sink() override;
    boost_log_sink(const boost_log_sink&) = delete;
    boost_log_sink& operator=(const boost_log_sink&) = delete;

    static std::unique_ptr<event_sink> to_stderr(log_format format,
                                                 severity least);

    void write(const event_record& record, std::uint64_t suppressed) override;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

/// Safe to use from any thread.
class event_log
{
public:
    event_log(std::unique_ptr<event_sink> sink, std::size_t audit_capacity);

    /// Logs the event unless its catalogue entry's limit holds it back, and
    /// adds it to the audit trail if it is a change.
    void report(const event_record& record, instant now,
                const change_origin& origin = {});

    /// Logs `events_suppressed` for every number with occurrences that were not
    /// logged and whose period has passed at `now`.
    void report_suppressed(wall_time at, instant now);

    [[nodiscard]] const audit_trail& audit() const
    {
        return audit_;
    }

private:
    std::mutex mutex_;
    std::unique_ptr<event_sink> sink_;
    /// One for each row of the catalogue.
    std::vector<repeat_state> repeats_;
    audit_trail audit_;
};

} // namespace catkinkeel
