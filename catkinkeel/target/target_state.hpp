#pragma once

// One VM's view of one target as an immutable value, and the transitions that
// each input causes.

#include "catkinkeel/target/load_report.hpp"
#include "catkinkeel/target/messages.hpp"
#include "catkinkeel/target/report_confidence.hpp"

#include <compare>
#include <cstdint>
#include <optional>

namespace catkinkeel
{

/// State of a target. A target without any information is cold.
struct target_state
{
    std::optional<std::uint64_t> instance;
    report_state state = report_state::cold;
    bool warm = false;
    bool reachable = true;
    /// Whether this VM itself read the latest report of `instance`.
    bool read_locally = false;
    /// Whether the current instance was already running when this VM first
    /// read a report of it. Then an update from an earlier steward may mark
    /// the instance as warm.
    bool start_unobserved = false;
    /// Consecutive failed reads since the last report.
    std::uint8_t failed_reads = 0;
    /// Estimated number of connections: rises to the reported number at once,
    /// falls in steps of 1/8 of the capacity.
    std::uint32_t connections = 0;
    std::uint32_t busy_slots = 0;
    /// Flows that this VM held when it read the last report.
    std::uint32_t held_flows = 0;
    report_confidence confidence;
    /// Set while this VM is the steward and the target is cold.
    std::optional<ramp> steward_ramp;
    /// When this VM read the last report, or when it started to poll if there
    /// has been none since.
    instant last_report_at;

    friend bool operator==(const target_state&, const target_state&) = default;
};

/// Consecutive failed reads after which a target counts as unreachable. A
/// refused connection counts as unreachable at once.
inline constexpr std::uint8_t unreachable_failed_reads_threshold = 3;

/// The state after this VM read a report while it held `held_flows` flows on
/// the target. A report is misleading if it states fewer connections than this
/// VM held both now and at the previous report; such a report raises no limit.
target_state after_report(const target_state& known, const load_report& report,
                          std::uint32_t held_flows, std::uint32_t capacity,
                          instant now);

/// The state after this VM failed to read a report.
target_state after_failed_read(const target_state& known, failure_kind kind);

/// The state after a status from another VM. `from_reader` says whether this
/// VM considers the sender to be the poller or steward of the target. Statuses
/// from other senders can only lower the limit, unless nothing is known of the
/// target. `polls_here` says whether this VM polls the target.
target_state after_peer_status(const target_state& known,
                               const target_status& status, bool from_reader,
                               bool polls_here, instant now);

/// Which VM polls the target, in the view of this VM.
enum class report_reader : std::uint8_t
{
    none,
    self,
    other
};

/// The state after time has passed: confidence falls while reports are
/// missing. If another VM polls the target, confidence rises with time; if
/// this VM does, it rises only with a report.
target_state after_elapsed_time(const target_state& known, report_reader reader,
                                instant now);

/// The state after the steward rule was evaluated. `acting` says whether this
/// VM may place flows on the target while it is cold.
target_state after_steward_check(const target_state& known, bool acting,
                                 instant now);

} // namespace catkinkeel
