#pragma once

// Table of the flows tracked by one VM, with the target of each.

#include "catkinkeel/base/flow_key.hpp"
#include "catkinkeel/base/identifier.hpp"
#include "catkinkeel/base/time.hpp"

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace catkinkeel
{

/// State of a flow, derived from its caller's packets.
enum class flow_state : std::uint8_t
{
    /// Only opening packets have been received.
    opened,
    /// A further packet has been received, the protocol is UDP, or another
    /// holder opened the flow.
    established,
    /// The caller has sent FIN or RST; the flow is kept for a short time so
    /// that the last packets reach their target.
    ended
};

/// Unit of the times in flow records. Not related to `balancer::tick`.
constexpr duration flow_tick = 100ms;

/// One flow. Times are multiples of `flow_tick` since the balancer received its
/// first set or member view; 32 bits for them keep a record at 32 bytes.
struct flow_record
{
    flow_key key;
    target_id target;
    std::uint32_t last_seen = 0;
    flow_state state = flow_state::opened;
    /// The flow is replicated to the standby, or queued for it.
    bool replicated = false;
    /// Whether the table's slot holds a flow; set by the table.
    bool used = false;

    friend auto operator<=>(const flow_record&, const flow_record&) = default;
};

/// Hash table with linear probing and a size fixed at construction. Look-ups
/// take O(1) time on average. Not safe for use by two threads at once.
class flow_table
{
public:
    /// Holds at most `capacity` flows. All memory is allocated here: 43 to 86
    /// bytes per flow.
    explicit flow_table(std::size_t capacity);

    /// Returns null if the flow is not in the table. `hash` is
    /// `hash_flow(key)`. The pointer is valid until the next insert or erase.
    [[nodiscard]] flow_record* find(const flow_key& key, std::uint64_t hash);

    /// Adds a flow that is not in the table. Returns null if the table is full.
    flow_record* insert(const flow_record& record, std::uint64_t hash);

    /// Removes a flow. Returns whether it was there.
    bool erase(const flow_key& key, std::uint64_t hash);

    [[nodiscard]] std::size_t size() const
    {
        return size_;
    }
    [[nodiscard]] std::size_t capacity() const
    {
        return capacity_;
    }
    [[nodiscard]] std::size_t slot_count() const
    {
        return slots_.size();
    }

    /// Calls `visit(flow_record&)` for each flow in slots [first, first +
    /// count). `visit` must not insert or erase.
    template <class Visit>
    void visit_slots(std::size_t first, std::size_t count, Visit visit)
    {
        const std::size_t end = std::min(first + count, slots_.size());
        for (std::size_t i = first; i < end; ++i)
        {
            if (slots_[i].used)
            {
                visit(slots_[i]);
            }
        }
    }

    template <class Visit>
    void visit_all(Visit visit)
    {
        visit_slots(0, slots_.size(), visit);
    }

private:
    [[nodiscard]] std::size_t home_slot(std::uint64_t hash) const
    {
        // The low bits select the bucket, so the slot index uses the high bits.
        return static_cast<std::size_t>(hash >> 32U) & mask_;
    }

    std::vector<flow_record> slots_;
    std::size_t mask_ = 0;
    std::size_t capacity_ = 0;
    std::size_t size_ = 0;
};

static_assert(sizeof(flow_record) == 32);

} // namespace catkinkeel
