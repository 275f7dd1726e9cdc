#pragma once

// Random choice of some elements of a vector.

#include "catkinkeel/base/random.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace catkinkeel
{

/// Keeps `count` random elements by a partial Fisher-Yates shuffle.
template <class T>
void keep_random(std::vector<T>& elements, std::size_t count,
                 random_source& random)
{
    const std::size_t kept = std::min(count, elements.size());
    for (std::size_t i = 0; i < kept; ++i)
    {
        std::swap(elements[i], elements[i + random.below(elements.size() - i)]);
    }
    elements.resize(kept);
}

} // namespace catkinkeel
