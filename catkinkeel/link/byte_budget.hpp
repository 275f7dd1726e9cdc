#pragma once

// Limits the bytes that a VM sends to its peers.

#include "catkinkeel/base/byte_count.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/link/codec.hpp"

#include <cstdint>
#include <optional>

namespace catkinkeel
{

/// Ethernet, IPv4 and TCP headers (14 + 20 + 32 bytes), charged for each
/// message.
inline constexpr byte_count header_overhead{66};

struct byte_budget_settings
{
    /// Refill rate, in bytes per second.
    byte_count bytes_per_second{2000};
    /// Bucket capacity: bytes that an idle VM may send at once. The default is
    /// the refill of one second.
    byte_count burst{2000};
    /// Urgent messages are allowed while the debt is below this. It exceeds the
    /// largest message, so that one large message never blocks probes.
    byte_count max_urgent_debt{20000};
};

/// Token bucket. A normal message is allowed when the bucket contains its cost
/// or is full; a message larger than the bucket leaves a debt (a negative
/// level). An urgent message is also allowed during a debt. In any s seconds
/// the normal messages sum up to at most bytes_per_second * s + burst bytes
/// plus one message of the maximum size. Not thread-safe.
class byte_budget
{
public:
    explicit byte_budget(byte_budget_settings settings = {})
        : settings_(settings)
    {
    }

    /// Whether a message may be sent now. Counts a refusal, but does not charge
    /// the message.
    bool allows(byte_count payload, message_priority priority, instant now);

    /// Charges `payload` and the headers of a message that was sent.
    void spend(byte_count payload, instant now);

    /// Earliest time at which a normal message of this size is allowed if
    /// nothing else is sent before.
    [[nodiscard]] instant earliest_send_time(byte_count payload,
                                             instant now) const;

    /// All bytes charged, headers included.
    [[nodiscard]] byte_count spent_bytes() const
    {
        return spent_bytes_;
    }
    /// Number of messages that `allows` refused.
    [[nodiscard]] std::uint64_t refused_count() const
    {
        return refused_count_;
    }

private:
    // Levels are in billionths of a byte, which is exact for any whole number
    // of bytes per second and times in nanoseconds.
    [[nodiscard]] std::int64_t level_at(instant now) const;
    [[nodiscard]] std::int64_t required_level(byte_count payload) const;

    byte_budget_settings settings_;
    std::int64_t level_ = 0;
    std::optional<instant> level_updated_at_;
    byte_count spent_bytes_;
    std::uint64_t refused_count_ = 0;
};

} // namespace catkinkeel
