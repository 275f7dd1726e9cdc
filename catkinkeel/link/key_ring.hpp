#pragma once

// Shared keys that authenticate the messages between VMs. To rotate the key
// without losing messages, add the new key as the second line of the key file
// on every VM, then swap the two lines on every VM, then remove the old key.

#include "catkinkeel/base/outcome.hpp"

#include <array>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>

namespace catkinkeel
{

/// Key of libsodium's crypto_auth.
using key_bytes = std::array<std::uint8_t, 32>;

/// A key and the identifier by which frames refer to it.
struct link_key
{
    std::uint8_t id = 0;
    key_bytes secret{};

    friend auto operator<=>(const link_key&, const link_key&) = default;
};

/// `primary` seals outgoing frames. Incoming frames are verified with the key
/// that they name, `primary` or `secondary`.
struct key_ring
{
    link_key primary;
    std::optional<link_key> secondary;

    friend auto operator<=>(const key_ring&, const key_ring&) = default;

    /// Returns nullptr if no key has this identifier.
    [[nodiscard]] const link_key* find(std::uint8_t id) const;
};

/// Parses one or two lines of the form "ID HEX", where ID is 0 to 255 and HEX
/// has 64 hexadecimal digits. The first line is the `primary` key. Blank lines
/// and lines that begin with '#' are ignored. Fails with `invalid_input`; the
/// error message never contains a key.
outcome<key_ring> parse_key_ring(const std::string& text);

/// Reads and parses a key file. Fails with `unavailable` if it cannot be read.
outcome<key_ring> read_key_ring(const std::filesystem::path& file);

} // namespace catkinkeel
