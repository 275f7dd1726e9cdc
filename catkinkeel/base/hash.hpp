#pragma once

// Hash functions that give the same result in every daemon of a fleet,
// whatever its build. They distribute load and are not cryptographic.

#include "catkinkeel/base/flow_key.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>

namespace catkinkeel
{

/// Bijective mix of 64 bits (the finalizer of splitmix64).
constexpr std::uint64_t mix64(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

/// Hash of two values, for rendezvous scores.
constexpr std::uint64_t hash_pair(std::uint64_t a, std::uint64_t b)
{
    return mix64(mix64(a + 0x9e3779b97f4a7c15ULL) ^ b);
}

/// Hash of a flow's 5-tuple (xxHash64 over its 13 packed bytes). It must stay
/// the same across releases: it determines the bucket of a flow, so a change
/// would break open flows.
std::uint64_t hash_flow(const flow_key& key);

} // namespace catkinkeel

template <>
struct std::hash<catkinkeel::flow_key>
{
    std::size_t operator()(const catkinkeel::flow_key& key) const noexcept
    {
        return catkinkeel::hash_flow(key);
    }
};
