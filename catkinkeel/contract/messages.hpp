#pragma once

// Messages with which VMs distribute the published set among themselves, so
// that the read load on the configuration service does not grow with the fleet.

#include "catkinkeel/base/identifier.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace catkinkeel
{

/// Bytes of text in a part. All parts except the last have exactly this size,
/// and offsets are multiples of it. Keeps a part below the 16 KB limit of a
/// message.
inline constexpr std::uint32_t max_part_bytes = 8 * 1024;

/// Requests a part of a document: the index (empty `name`) or a chunk,
/// identified by its content hash. The response may contain the index of a
/// later version.
struct chunk_request
{
    /// Minimum version of the index, or the version whose chunk is requested.
    set_version version;
    std::string name;
    /// Empty for an index whose hash is not known yet.
    std::string content_hash;
    /// Position of the part in the document, in bytes.
    std::uint32_t offset = 0;

    friend auto operator<=>(const chunk_request&,
                            const chunk_request&) = default;
};

/// The response to a `chunk_request`: a part of a document with at most
/// `max_part_bytes` bytes of text. `total` is the size of the document in
/// bytes; 0 means that the sender does not have the document.
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
