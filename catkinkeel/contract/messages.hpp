#pragma once

// Messages by which VMs pass the published set on, so that reads of the
// configuration service do not grow with the fleet.

#include "catkinkeel/base/identifier.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace catkinkeel
{

/// Bytes of text in a part; all parts but the last have exactly this many, and
/// offsets are multiples of it. Keeps a part below the 16 KB limit of a
/// message.
inline constexpr std::uint32_t max_part_size = 8 * 1024;

/// Asks for a part of a document: the index (empty `name`) or a chunk by its
/// content hash. The index that answers may be of a later version.
struct chunk_request
{
    set_version version;
    std::string name;
    std::string content_hash;
    std::uint32_t offset = 0;

    friend auto operator<=>(const chunk_request&,
                            const chunk_request&) = default;
};

/// A part of a document, at most `max_part_size` bytes of text. A `total` of 0
/// says that the sender does not hold the document.
struct chunk_part
{
    set_version version;
    std::string name;
    std::string content_hash;
    std::uint32_t offset = 0;
    std::uint32_t total = 0;
    std::string text;

    friend auto operator<=>(const chunk_part&, const chunk_part&) = default;
};

} // namespace catkinkeel
