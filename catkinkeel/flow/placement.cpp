#include "catkinkeel/flow/placement.hpp"

#include "catkinkeel/base/hash.hpp"

#include <algorithm>
#include <array>
#include <bit>
#include <utility>

namespace catkinkeel
{

namespace
{

/// Effective weight that stands for all flows of a home data centre.
constexpr std::uint64_t weight_scale = 1U << 20U;

/// Fraction bits of the fixed-point logarithm.
constexpr unsigned log_bits = 32;
constexpr unsigned log2_table_bits = 8;

/// Fixed-point log2(1 + i / 256), by repeated squaring: integer arithmetic
/// only, so that all builds agree to the last bit.
constexpr std::uint64_t log2_of_step(std::uint64_t step)
{
    constexpr unsigned mantissa_bits = 31;
    std::uint64_t mantissa = (std::uint64_t{1} << mantissa_bits) +
                             (step << (mantissa_bits - log2_table_bits));
    std::uint64_t result = 0;
    for (unsigned bit = 0; bit < log_bits; ++bit)
    {
        mantissa = (mantissa * mantissa) >> mantissa_bits;
        result <<= 1U;
        if (mantissa >= (std::uint64_t{2} << mantissa_bits))
        {
            mantissa >>= 1U;
            result |= 1U;
        }
    }
    return result;
}

constexpr auto log2_table = []
{
    std::array<std::uint64_t, (1U << log2_table_bits) + 1> table{};
    for (std::uint64_t step = 0; step < (1U << log2_table_bits); ++step)
    {
        table[step] = log2_of_step(step);
    }
    table[1U << log2_table_bits] = std::uint64_t{1} << log_bits;
    return table;
}();

/// -log2(value / 2^64) in fixed point with `log_bits` fraction bits.
std::uint64_t negative_log2(std::uint64_t value)
{
    value |= 1U;
    const auto zeros = static_cast<unsigned>(std::countl_zero(value));
    const std::uint64_t mantissa = (value << zeros) << 1U;
    const std::uint64_t step = mantissa >> (64U - log2_table_bits);
    const std::uint64_t rest = (mantissa << log2_table_bits) >> 32U;
    const std::uint64_t low = log2_table[step];
    const std::uint64_t fraction =
        low + (((log2_table[step + 1] - low) * rest) >> 32U);
    return (std::uint64_t{zeros + 1} << log_bits) - fraction;
}

std::uint64_t table_key(service_id service, data_centre_id home)
{
    return (static_cast<std::uint64_t>(service.value) << 16U) | home.value;
}

/// Targets of one service that may get new flows, with their total weight in
/// each data centre of the group and in the whole group.
struct target_supply
{
    std::vector<const target*> targets;
    std::map<data_centre_id, std::uint64_t> weight_by_data_centre;
    std::uint64_t total = 0;
};

target_supply target_supply_of(const published_set& set, service_id service,
                               std::span<const data_centre> group)
{
    target_supply found;
    for (const data_centre& each : group)
    {
        found.weight_by_data_centre[each.id] = 0;
    }
    for (const target& each : set.targets_of(service))
    {
        const auto at = found.weight_by_data_centre.find(each.data_centre);
        if (at == found.weight_by_data_centre.end() ||
            each.wish != target_wish::serve ||
            !set.in_service(each.data_centre))
        {
            continue;
        }
        found.targets.push_back(&each);
        at->second += each.weight;
        found.total += each.weight;
    }
    return found;
}

} // namespace

std::optional<target_id> choose_target(const placement_table& table,
                                       std::uint64_t hash)
{
    // Fraction bits that the division by the weight keeps. -log2 has at most 38
    // bits, so the shifted value fits into 63.
    constexpr unsigned cost_shift = 25;
    std::optional<target_id> best;
    std::uint64_t best_cost = 0;
    for (const weighted_target& each : table.targets)
    {
        const std::uint64_t draw = hash_pair(hash, each.id.value);
        const std::uint64_t cost =
            (negative_log2(draw) << cost_shift) / each.weight;
        if (!best || cost < best_cost)
        {
            best = each.id;
            best_cost = cost;
        }
    }
    return best;
}

placement_table make_placement_table(const published_set& set,
                                     service_id service, data_centre_id home,
                                     std::span<const data_centre> group)
{
    placement_table table{service, {}};
    const target_supply available = target_supply_of(set, service, group);
    if (available.total == 0)
    {
        return table;
    }
    // With n data centres in the group, each home data centre has 1/n of the
    // demand. To avoid fractions, all amounts are multiplied by n: the demand
    // of each home is `total`, the supply of a data centre n times its weight.
    const std::uint64_t n = group.size();
    const std::uint64_t demand = available.total;
    std::uint64_t spare_total = 0;
    for (const auto& [id, weight] : available.weight_by_data_centre)
    {
        spare_total += n * weight > demand ? n * weight - demand : 0;
    }
    const auto home_entry = available.weight_by_data_centre.find(home);
    const std::uint64_t home_weight =
        home_entry == available.weight_by_data_centre.end()
            ? 0
            : home_entry->second;
    const std::uint64_t served_at_home = std::min(demand, n * home_weight);
    const std::uint64_t spilled = demand - served_at_home;
    for (const target* each : available.targets)
    {
        const std::uint64_t data_centre_weight =
            available.weight_by_data_centre.at(each->data_centre);
        const std::uint64_t spare = n * data_centre_weight > demand
                                        ? n * data_centre_weight - demand
                                        : 0;
        std::uint64_t share = 0;
        if (each->data_centre == home)
        {
            share = weight_scale * served_at_home / demand;
        }
        else if (spare_total > 0)
        {
            share = weight_scale * spilled / demand * spare / spare_total;
        }
        const auto weight = static_cast<std::uint32_t>(share * each->weight /
                                                       data_centre_weight);
        if (weight > 0)
        {
            table.targets.push_back({each->id, weight});
        }
    }
    return table;
}

placement_plan::placement_plan(const published_set& set,
                               std::vector<data_centre> group,
                               const placement_plan& previous)
    : group_(std::move(group))
{
    for (const service& of : set.objects().services)
    {
        for (const data_centre& home : group_)
        {
            placement_table table =
                make_placement_table(set, of.id, home.id, group_);
            if (table.targets.empty())
            {
                continue;
            }
            placement_table_ptr before = previous.table(of.id, home.id);
            tables_.emplace(table_key(of.id, home.id),
                            before && *before == table
                                ? std::move(before)
                                : std::make_shared<const placement_table>(
                                      std::move(table)));
        }
    }
}

placement_table_ptr placement_plan::table(service_id service,
                                          data_centre_id home) const
{
    const auto found = tables_.find(table_key(service, home));
    return found == tables_.end() ? nullptr : found->second;
}

} // namespace catkinkeel
