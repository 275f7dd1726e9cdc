#pragma once

// Reasons for dropping received messages, and counters of the drops.

#include "catkinkeel/base/identifier.hpp"
#include "catkinkeel/base/time.hpp"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace catkinkeel
{

enum class drop_reason : std::uint8_t
{
    oversized,
    malformed,
    unknown_format,
    unknown_type,
    unknown_sender,
    unknown_key,
    /// Also counts frames sealed before a restart of this process or of the
    /// sender; expect one from each peer after a restart.
    bad_mac,
    replayed,
    /// The inbox of received messages was full.
    ring_full
};

inline constexpr std::size_t drop_reason_count = 9;

/// Returns the name for logs and metrics, e.g. "bad_mac".
std::string_view to_string(drop_reason reason);

/// Number of drops for one reason since the previous report for that reason.
struct drop_report
{
    drop_reason reason = drop_reason::malformed;
    std::uint64_t dropped = 0;
    /// Sender field of the last dropped message, if it was parsed; not
    /// authenticated.
    std::optional<vm_id> claimed_sender;

    friend auto operator<=>(const drop_report&, const drop_report&) = default;
};

/// Counts drops and limits reports to one per reason and interval, so that a
/// flood of invalid messages does not flood the log.
class drop_counter
{
public:
    explicit drop_counter(duration report_interval = 60s)
        : report_interval_(report_interval)
    {
    }

    void record(drop_reason reason, std::optional<vm_id> claimed_sender = {});

    /// Returns reports for the reasons that have unreported drops and were not
    /// reported during the last interval, and marks those drops as reported.
    std::vector<drop_report> take_due_reports(instant now);

    /// Number of drops since construction, reported or not.
    [[nodiscard]] std::uint64_t total(drop_reason reason) const;

private:
    struct reason_state
    {
        std::uint64_t total = 0;
        std::uint64_t reported = 0;
        std::optional<vm_id> claimed_sender;
        std::optional<instant> last_report_at;
    };

    duration report_interval_;
    std::array<reason_state, drop_reason_count> reason_states_;
};

} // namespace catkinkeel
