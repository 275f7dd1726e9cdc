#pragma once

// The published format: an index document that lists the chunks of a version,
// and chunk documents that contain the objects. docs/objects.md describes both.
// The parsers have no side effects and return a value or errors. No input text
// makes them throw or terminate the process.
//
// Example:
//   parsed<index_document> index = parse_index(text);
//   if (auto* read = std::get_if<index_document>(&index)) { ... }

#include "catkinkeel/contract/errors.hpp"
#include "catkinkeel/contract/published_set.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace catkinkeel
{

/// Maximum size of a document in bytes; the configuration service accepts no
/// larger value.
inline constexpr std::size_t max_document_bytes = 1024UL * 1024;

/// Maximum number of chunks that one index may list.
inline constexpr std::size_t max_chunk_count = 1024;

/// Maximum sum of the chunk sizes in bytes: six times a set of the design size.
/// It bounds the memory that a daemon uses for the chunks of an incorrect
/// index.
inline constexpr std::uint64_t max_set_bytes = 16UL * 1024 * 1024;

/// Maximum number of errors reported for one document. A document of the wrong
/// kind may have an error on every line; the first ones suffice to correct it.
inline constexpr std::size_t max_document_error_count = 100;

/// The entry of one chunk in an index.
struct chunk_entry
{
    /// Unique in the index.
    std::string name;
    /// `content_hash` of the chunk's text.
    std::string hash;
    /// Bytes of text.
    std::uint32_t size = 0;

    friend auto operator<=>(const chunk_entry&, const chunk_entry&) = default;
};

/// Lists the chunks of one version.
struct index_document
{
    set_version version;
    /// Who published this version, for the audit trail; may be empty.
    std::string published_by;
    std::vector<chunk_entry> chunks;

    friend bool operator==(const index_document&,
                           const index_document&) = default;
};

/// xxHash64 of `text` as 16 lower-case hexadecimal digits. It detects
/// corruption and identifies content, but does not authenticate it.
std::string content_hash(std::string_view text);

/// Parses an index document. Errors refer to the document as `name`.
parsed<index_document> parse_index(std::string_view text,
                                   const std::string& name = "index");

/// Parses a chunk. The result has neither version nor publisher.
parsed<published_objects> parse_chunk(std::string_view text,
                                      const std::string& name);

/// Parses a whole set from a single document with the keys `version` and
/// `published_by` of an index and the tables of a chunk. Used for offline
/// checks; the size limit is `max_set_bytes` instead of `max_document_bytes`.
parsed<published_objects> parse_whole_set(std::string_view text,
                                          const std::string& name);

/// Returns `whole` with the objects of `part` added. Version and publisher are
/// those of `whole`.
published_objects merge(published_objects whole, const published_objects& part);

} // namespace catkinkeel
