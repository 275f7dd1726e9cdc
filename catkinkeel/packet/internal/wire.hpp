#pragma once

// Unaligned loads and stores of protocol headers, and the internet checksum.

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <span>
#include <type_traits>

namespace catkinkeel::internal
{

/// Loads a `T` from the start of `bytes`, which must be at least as long.
template <class T>
requires std::is_trivially_copyable_v<T>
    T load(std::span<const std::byte> bytes)
{
    T value;
    std::memcpy(&value, bytes.first(sizeof(T)).data(), sizeof(T));
    return value;
}

/// Stores `value` at the start of `bytes`, which must be at least as long.
template <class T>
requires std::is_trivially_copyable_v<T>
void store(std::span<std::byte> bytes, const T& value)
{
    std::memcpy(bytes.first(sizeof(T)).data(), &value, sizeof(T));
}

/// Returns the object representation of `value`.
template <class T>
std::span<const std::byte> bytes_of(const T& value)
{
    return std::as_bytes(std::span(&value, 1));
}

/// Returns the unfolded sum of the internet checksum (RFC 1071) in network byte
/// order. The sums of consecutive ranges may be added if all ranges but the
/// last have an even length.
inline std::uint64_t ones_complement_sum(std::span<const std::byte> bytes)
{
    std::uint64_t sum = 0;
    while (bytes.size() >= sizeof(std::uint32_t))
    {
        sum += load<std::uint32_t>(bytes);
        bytes = bytes.subspan(sizeof(std::uint32_t));
    }
    if (!bytes.empty())
    {
        std::uint32_t tail = 0;
        std::memcpy(&tail, bytes.data(), bytes.size());
        sum += tail;
    }
    return sum;
}

/// Returns the checksum for `sum`, in network byte order. It is zero for data
/// that includes its valid checksum.
inline std::uint16_t fold_checksum(std::uint64_t sum)
{
    while ((sum >> 16U) != 0)
    {
        sum = (sum & 0xffffU) + (sum >> 16U);
    }
    return static_cast<std::uint16_t>(~sum);
}

inline std::uint16_t internet_checksum(std::span<const std::byte> bytes)
{
    return fold_checksum(ones_complement_sum(bytes));
}

/// The IPv4 pseudo header that TCP and UDP checksums cover.
struct pseudo_header
{
    std::uint32_t source = 0;
    std::uint32_t destination = 0;
    std::uint8_t zero = 0;
    std::uint8_t protocol = 0;
    std::uint16_t length = 0;
};
static_assert(sizeof(pseudo_header) == 12);

} // namespace catkinkeel::internal
