#pragma once

// Keys that VMs authenticate their messages with. Two keys are valid during a
// change: give every VM the new key as the second line, then exchange the
// lines everywhere, then remove the old key.

#include "catkinkeel/base/outcome.hpp"

#include <array>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>

namespace catkinkeel
{

/// Size of a key of libsodium's crypto_auth.
using key_bytes = std::array<std::uint8_t, 32>;

struct link_key
{
    std::uint8_t id = 0;
    key_bytes secret{};

    friend auto operator<=>(const link_key&, const link_key&) = default;
};

/// `current` authenticates what this VM sends; both verify what it receives.
struct key_ring
{
    link_key current;
    std::optional<link_key> other;

    friend auto operator<=>(const key_ring&, const key_ring&) = default;

    /// Null if no key has the identifier.
    [[nodiscard]] const link_key* find(std::uint8_t id) const;
};

/// Parses one or two lines of "ID HEX", ID 0 to 255 and HEX 64 digits. Empty
/// lines and lines that begin with '#' are ignored. Fails with
/// `invalid_input`; the message never contains the key.
outcome<key_ring> parse_key_ring(const std::string& text);

/// Reads and parses a key file. Fails with `unavailable` if it cannot be read.
outcome<key_ring> read_key_ring(const std::filesystem::path& file);

} // namespace catkinkeel
