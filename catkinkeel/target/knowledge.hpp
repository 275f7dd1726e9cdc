#pragma once

// What one VM knows of one target, as a value, and how each input replaces it.

#include "catkinkeel/target/load_report.hpp"
#include "catkinkeel/target/messages.hpp"
#include "catkinkeel/target/trust.hpp"

#include <compare>
#include <cstdint>
#include <optional>

namespace catkinkeel
{

/// A target that nothing is known of is cold.
struct target_knowledge
{
    std::optional<std::uint64_t> instance;
    report_state state = report_state::cold;
    bool warm = false;
    bool reachable = true;
    /// Whether the last report of `instance` was read by this VM.
    bool own = false;
    /// Whether this VM found the present instance without seeing it start, so
    /// that the news of an earlier steward may say that it is warm.
    bool start_unseen = false;
    /// Failed reads since the last report.
    std::uint8_t failures = 0;
    /// Trusted number of connections: rises with a report at once, falls in
    /// steps of 1/8 of the capacity.
    std::uint32_t connections = 0;
    std::uint32_t busy_slots = 0;
    /// Flows that this VM held when it read the last report.
    std::uint32_t held = 0;
    trust confidence;
    /// Set while this VM is the steward and the target is cold.
    std::optional<ramp> tenure;
    /// Last report read by this VM, or since when it has been reading them.
    instant last_sign;

    friend bool operator==(const target_knowledge&,
                           const target_knowledge&) = default;
};

/// Failed reads after which a target counts as unreachable. A refused
/// connection counts at once.
inline constexpr std::uint8_t failures_until_unreachable = 3;

/// This VM read a report while it held `held` flows. A report is misleading if
/// it says fewer connections than this VM held both now and at the report
/// before; such a report raises nothing.
target_knowledge with_report(const target_knowledge& known,
                             const load_report& report, std::uint32_t held,
                             std::uint32_t capacity, instant now);

/// This VM failed to read a report.
target_knowledge without_report(const target_knowledge& known,
                                failure_kind kind);

/// Another VM told what it read. `entitled` says whether that VM reads the
/// target's reports in the view of this one; the news of others can only make
/// things worse, unless nothing is known. `polling` says whether this VM does.
target_knowledge with_status(const target_knowledge& known,
                             const target_status& status, bool entitled,
                             bool polling, instant now);

/// Who reads the reports, in the view of this VM.
enum class report_reader : std::uint8_t
{
    none,
    self,
    other
};

/// Time has passed: trust falls while reports are missing. Trust in the news of
/// another reader rises with time; trust in own reports only with a report.
target_knowledge with_time(const target_knowledge& known, report_reader reader,
                           instant now);

/// This VM may (`acting`) or may not place flows if the target is cold.
target_knowledge with_tenure(const target_knowledge& known, bool acting,
                             instant now);

} // namespace catkinkeel
