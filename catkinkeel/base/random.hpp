#pragma once

// A seeded pseudo-random generator. Callers pass it in, so that a run can be
// reproduced from its seed.

#include "catkinkeel/base/hash.hpp"

#include <cstdint>

namespace catkinkeel
{

/// splitmix64. Not suitable for cryptographic keys. Not thread-safe.
class random_source
{
public:
    explicit random_source(std::uint64_t seed) : state_(seed) {}

    std::uint64_t next()
    {
        state_ += 0x9e3779b97f4a7c15ULL;
        return mix64(state_);
    }

    /// Uniform in [0, bound); `bound` must be positive. The modulo
    /// bias is below 2^-32 for the bounds used here.
    std::uint64_t below(std::uint64_t bound)
    {
        return next() % bound;
    }

    /// Uniform in [0, 1).
    double unit()
    {
        return static_cast<double>(next() >> 11U) * 0x1.0p-53;
    }

private:
    std::uint64_t state_;
};

} // namespace catkinkeel
