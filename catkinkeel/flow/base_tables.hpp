#pragma once

// Base tables select the target of established flows that have no record. A
// base table stays as it was when its flows were opened, so that these flows
// keep their targets after a change of the set or of the bucket's holder.

#include "catkinkeel/flow/messages.hpp"
#include "catkinkeel/flow/placement.hpp"

#include <compare>
#include <map>
#include <set>
#include <vector>

namespace catkinkeel
{

/// A published set with the placement plan computed from it.
struct placement_context
{
    published_set_ptr set;
    placement_plan_ptr plan;

    /// The table for new flows; null if the address has no reference or the
    /// service has no target.
    [[nodiscard]] placement_table_ptr current(const base_table_key& key) const;
};

/// A placement table that differs between two sets. A pointer is null if there
/// is no table in that set.
struct base_table_change
{
    base_table_key key;
    placement_table_ptr before;
    placement_table_ptr after;

    /// Whether the reference now points to another service.
    [[nodiscard]] bool moves_service() const
    {
        return before && after && before->service != after->service;
    }
};

/// Returns every table that differs between two contexts. O(references x data
/// centres).
std::vector<base_table_change>
base_table_changes(const placement_context& before,
                   const placement_context& after);

/// The base tables of a group of buckets with the same history. A base table is
/// stored, as an override, only where it differs from the current table: the
/// one of the set in effect.
class base_tables
{
public:
    base_tables() = default;

    /// Restores base tables from a message. Overrides equal to the table in
    /// `context` are omitted.
    base_tables(const std::vector<base_table_override>& overrides,
                const std::vector<public_address>& uncertain,
                const placement_context& context);

    /// Applies a change of the set in effect: each former table becomes an
    /// override unless there is one already, and overrides equal to the new
    /// table are removed.
    void apply_set_change(const std::vector<base_table_change>& changes);

    /// Removes these targets from every override.
    void remove_targets(const std::set<target_id>& removed_targets);

    /// The table for flows without a record; null if there is none.
    [[nodiscard]] placement_table_ptr
    find(const base_table_key& key, const placement_context& context) const;

    [[nodiscard]] bool has_override(const base_table_key& key) const
    {
        return overrides_.contains(key);
    }

    /// Whether the base table and the current table belong to different
    /// services.
    [[nodiscard]] bool mixed(const base_table_key& key,
                             const placement_context& context) const;

    /// Whether a packet without a flow record must be dropped, because the
    /// service of its flow is ambiguous.
    [[nodiscard]] bool uncertain(const public_address& address) const
    {
        return uncertain_.contains(address);
    }

    /// Removes the override, so that the current table is the base table.
    void drop_override(const base_table_key& key)
    {
        overrides_.erase(key);
    }

    void mark_uncertain(const public_address& address)
    {
        uncertain_.insert(address);
    }

    /// Marks each address with a mixed table uncertain. Needed after a
    /// failover: flows of the service of the current table may exist that the
    /// failed holder did not replicate.
    void mark_mixed_uncertain(const placement_context& context);

    [[nodiscard]] const std::map<base_table_key, placement_table_ptr>&
    overrides() const
    {
        return overrides_;
    }

    /// The contents in the form used in messages.
    [[nodiscard]] std::vector<base_table_override> export_overrides() const;
    [[nodiscard]] std::vector<public_address> export_uncertain() const;

    /// Compares the contents of the tables, not the pointers to them.
    friend bool operator==(const base_tables& a, const base_tables& b);

private:
    std::map<base_table_key, placement_table_ptr> overrides_;
    std::set<public_address> uncertain_;
};

} // namespace catkinkeel
