#include "catkinkeel/flow/flow_table.hpp"

#include "catkinkeel/base/hash.hpp"

#include <algorithm>
#include <bit>

namespace catkinkeel
{

flow_table::flow_table(std::size_t capacity) : capacity_(capacity)
{
    // At most three quarters full, so that probe sequences stay short.
    const std::size_t slots = std::bit_ceil(capacity + capacity / 3 + 1);
    slots_.resize(slots);
    mask_ = slots - 1;
}

flow_record* flow_table::find(const flow_key& key, std::uint64_t hash)
{
    for (std::size_t i = home_slot(hash); slots_[i].used; i = (i + 1) & mask_)
    {
        if (slots_[i].key == key)
        {
            return &slots_[i];
        }
    }
    return nullptr;
}

flow_record* flow_table::insert(const flow_record& record, std::uint64_t hash)
{
    if (size_ >= capacity_)
    {
        return nullptr;
    }
    std::size_t i = home_slot(hash);
    while (slots_[i].used)
    {
        i = (i + 1) & mask_;
    }
    slots_[i] = record;
    slots_[i].used = true;
    ++size_;
    return &slots_[i];
}

bool flow_table::erase(const flow_key& key, std::uint64_t hash)
{
    std::size_t hole = home_slot(hash);
    while (slots_[hole].used && slots_[hole].key != key)
    {
        hole = (hole + 1) & mask_;
    }
    if (!slots_[hole].used)
    {
        return false;
    }
    // Backward-shift deletion: later records of the probe sequence move into
    // the hole, so that no tombstones lengthen look-ups.
    for (std::size_t i = (hole + 1) & mask_; slots_[i].used;
         i = (i + 1) & mask_)
    {
        const std::size_t home = home_slot(hash_flow(slots_[i].key));
        const std::size_t from_home = (i - home) & mask_;
        const std::size_t from_hole = (i - hole) & mask_;
        if (from_home >= from_hole)
        {
            slots_[hole] = slots_[i];
            hole = i;
        }
    }
    slots_[hole] = {};
    --size_;
    return true;
}

} // namespace catkinkeel
