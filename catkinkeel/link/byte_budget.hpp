#pragma once

// How many bytes a VM may send to its peers now.

#include "catkinkeel/base/byte_count.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/link/codec.hpp"

#include <cstdint>
#include <optional>

namespace catkinkeel
{

/// Ethernet, IPv4 and TCP headers (14 + 20 + 32) counted for each message.
inline constexpr byte_count header_cost{66};

struct budget_terms
{
    byte_count per_second{2000};
    /// Bytes that an idle VM may send at once; one second's worth.
    byte_count burst{2000};
    /// Urgent messages pass while the debt is below this. It exceeds the
    /// largest message, so that one large message never stops the probes.
    byte_count urgent_debt{20000};
};

/// Token bucket. A normal message is sent when the bucket holds its cost or is
/// full, and may leave a debt; an urgent one also during a debt. In any span of
/// s seconds at most per_second * s + burst bytes and one largest message are
/// sent, beside urgent messages. Not safe for use by two threads at once.
class byte_budget
{
public:
    explicit byte_budget(budget_terms terms = {}) : terms_(terms) {}

    /// Whether a message may be sent now. A refusal is counted.
    bool allows(byte_count payload, message_priority priority, instant now);

    /// Charges a message that was sent.
    void spend(byte_count payload, instant now);

    /// When a normal message of this size may be sent if nothing else is.
    [[nodiscard]] instant earliest(byte_count payload, instant now) const;

    /// All bytes charged, headers included.
    [[nodiscard]] byte_count spent() const
    {
        return spent_;
    }
    /// Messages that were not allowed.
    [[nodiscard]] std::uint64_t refused() const
    {
        return refused_;
    }

private:
    // In billionths of a byte: exact for any rate and nanosecond steps.
    [[nodiscard]] std::int64_t level_at(instant now) const;
    [[nodiscard]] std::int64_t needed(byte_count payload) const;

    budget_terms terms_;
    std::int64_t level_ = 0;
    std::optional<instant> filled_at_;
    byte_count spent_;
    std::uint64_t refused_ = 0;
};

} // namespace catkinkeel
