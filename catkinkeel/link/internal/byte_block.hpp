#pragma once

// Reads and writes binary blocks of fixed-size integers in network byte order
// and of variable-length integers.

#include "catkinkeel/link/codec.hpp"

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>

namespace catkinkeel::internal
{

class block_writer
{
public:
    /// Appends the low `width` bytes of `value`.
    void put(std::uint64_t value, std::size_t width)
    {
        for (std::size_t i = width; i > 0; --i)
        {
            bytes_.push_back(static_cast<std::uint8_t>(value >> (8 * (i - 1))));
        }
    }

    /// Appends a variable-length integer: 7 bits per byte, least significant
    /// first; the high bit marks that more bytes follow.
    void put_varint(std::uint64_t value)
    {
        while (value >= 0x80U)
        {
            bytes_.push_back(static_cast<std::uint8_t>(value | 0x80U));
            value >>= 7U;
        }
        bytes_.push_back(static_cast<std::uint8_t>(value));
    }

    [[nodiscard]] const byte_buffer& bytes() const
    {
        return bytes_;
    }

private:
    byte_buffer bytes_;
};

/// Reads are bounds-checked and return whether they succeeded.
class block_reader
{
public:
    explicit block_reader(byte_view bytes) : bytes_(bytes) {}

    /// Reads an integer of `width` bytes.
    template <std::unsigned_integral T>
    [[nodiscard]] bool get(T& into, std::size_t width = sizeof(T))
    {
        if (bytes_.size() < width)
        {
            return false;
        }
        std::uint64_t value = 0;
        for (const std::uint8_t each : bytes_.first(width))
        {
            value = (value << 8U) | each;
        }
        into = static_cast<T>(value);
        bytes_ = bytes_.subspan(width);
        return true;
    }

    /// Also fails if the value does not fit into `T`.
    template <std::unsigned_integral T>
    [[nodiscard]] bool get_varint(T& into)
    {
        std::uint64_t value = 0;
        for (unsigned shift = 0; shift < 64; shift += 7)
        {
            std::uint8_t each = 0;
            if (!get(each))
            {
                return false;
            }
            const std::uint64_t payload_bits = each & 0x7fU;
            if ((payload_bits << shift) >> shift != payload_bits)
            {
                return false;
            }
            value |= payload_bits << shift;
            if ((each & 0x80U) == 0)
            {
                into = static_cast<T>(value);
                return value <= std::numeric_limits<T>::max();
            }
        }
        return false;
    }

    /// Reads the number of elements that follow. Fails if the rest of the block
    /// is too short for elements of at least `min_element_bytes`, so that a
    /// forged count cannot cause a large allocation.
    [[nodiscard]] bool get_count(std::size_t& into,
                                 std::size_t min_element_bytes)
    {
        return get_varint(into) && into <= bytes_.size() / min_element_bytes;
    }

    [[nodiscard]] bool at_end() const
    {
        return bytes_.empty();
    }

private:
    byte_view bytes_;
};

} // namespace catkinkeel::internal
