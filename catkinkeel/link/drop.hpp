#pragma once

// Why a received message was dropped, and how often.

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
    /// Also a frame made for an earlier life of this process or of its sender:
    /// expect one from each peer after a restart.
    bad_mac,
    replayed,
    /// The ring to the next thread was full.
    ring_full
};

inline constexpr std::size_t drop_reason_count = 9;

/// Name for logs and metrics, e.g. "bad_mac".
std::string_view to_string(drop_reason reason);

/// Drops for one reason since its previous report.
struct drop_report
{
    drop_reason reason = drop_reason::malformed;
    std::uint64_t dropped = 0;
    /// Sender that the last of them claims; not authenticated.
    std::optional<vm_id> claimed_sender;

    friend auto operator<=>(const drop_report&, const drop_report&) = default;
};

/// Counts drops and reports each reason at most once in a period, so that a
/// flood of bad messages does not become a flood of log lines.
class drop_log
{
public:
    explicit drop_log(duration period = 60s) : period_(period) {}

    void count(drop_reason reason, std::optional<vm_id> claimed_sender = {});

    /// Reports of the reasons with new drops whose period has passed.
    std::vector<drop_report> due(instant now);

    /// Drops since the log was made.
    [[nodiscard]] std::uint64_t total(drop_reason reason) const;

private:
    struct entry
    {
        std::uint64_t total = 0;
        std::uint64_t reported = 0;
        std::optional<vm_id> claimed_sender;
        std::optional<instant> last_report;
    };

    duration period_;
    std::array<entry, drop_reason_count> entries_;
};

} // namespace catkinkeel
