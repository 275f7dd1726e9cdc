#pragma once

// Unaligned loads and stores of wire structures, and the internet checksum.

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <span>
#include <type_traits>

namespace catkinkeel::internal
{

/// Copies a `T` from the front of `bytes`, which must hold one.
template <class T>
requires std::is_trivially_copyable_v<T>
    T load(std::span<const std::byte> bytes)
{
    T value;
    std::memcpy(&value, bytes.first(sizeof(T)).data(), sizeof(T));
    return value;
}

/// Copies `value` to the front of `bytes`, which must have room for it.
template <class T>
requires std::is_trivially_copyable_v<T>
void store(std::span<std::byte> bytes, const T& value)
{
    std::memcpy(bytes.first(sizeof(T)).data(), &value, sizeof(T));
}

/// The bytes of `value`.
template <class T>
std::span<const std::byte> bytes_of(const T& value)
{
    return std::as_bytes(std::span(&value, 1));
}

/// Sum for the internet checksum (RFC 1071), in the byte order of the bytes.
/// Sums may be added where all but the last part have an even length.
inline std::uint64_t checksum_sum(std::span<const std::byte> bytes)
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

/// The checksum of `sum`, to be stored as it is. Zero for correct data that
/// contain their checksum.
inline std::uint16_t checksum_of_sum(std::uint64_t sum)
{
    while ((sum >> 16U) != 0)
    {
        sum = (sum & 0xffffU) + (sum >> 16U);
    }
    return static_cast<std::uint16_t>(~sum);
}

inline std::uint16_t checksum(std::span<const std::byte> bytes)
{
    return checksum_of_sum(checksum_sum(bytes));
}

/// The part of the IPv4 header that TCP and UDP checksums cover.
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
