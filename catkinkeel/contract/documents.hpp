#pragma once

// The published format: an index document that names a version and its chunks,
// and chunk documents that hold the objects. docs/objects.md describes both.
// Reading is pure: text in, value or errors out. No input text makes it throw
// or stop the process.
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

/// Largest document in bytes; the configuration service takes no larger value.
inline constexpr std::size_t max_document_size = 1024UL * 1024;

/// Largest number of chunks that one index may name.
inline constexpr std::size_t max_chunks = 1024;

/// Largest sum of chunk sizes in bytes. Six times the set of the design size;
/// it bounds what a wrong index can make a daemon hold.
inline constexpr std::uint64_t max_set_size = 16UL * 1024 * 1024;

/// Errors listed for one document. A document of the wrong kind breaks a rule
/// in every line; the first ones are enough to mend it.
inline constexpr std::size_t max_document_errors = 100;

/// One chunk as its index names it.
struct chunk_entry
{
    std::string name;
    /// `content_hash` of the chunk's text.
    std::string hash;
    /// Bytes of text.
    std::uint32_t size = 0;

    friend auto operator<=>(const chunk_entry&, const chunk_entry&) = default;
};

struct index_document
{
    set_version version;
    /// May be empty.
    std::string published_by;
    std::vector<chunk_entry> chunks;

    friend bool operator==(const index_document&,
                           const index_document&) = default;
};

/// xxHash64 of `text` as 16 lower-case hexadecimal digits. Detects damage and
/// names content; it does not authenticate.
std::string content_hash(std::string_view text);

/// Reads an index document. `name` stands in errors.
parsed<index_document> parse_index(std::string_view text,
                                   const std::string& name = "index");

/// Reads a chunk. The result has neither version nor publisher.
parsed<published_objects> parse_chunk(std::string_view text,
                                      const std::string& name);

/// Reads a whole set from one document: the keys of an index without chunks,
/// and the tables of a chunk. Meant for offline checks; not bounded by
/// `max_document_size` but by `max_set_size`.
parsed<published_objects> parse_whole_set(std::string_view text,
                                          const std::string& name);

/// Adds the objects of `part` to those of `whole`; version and publisher stay
/// those of `whole`.
published_objects merge(published_objects whole, const published_objects& part);

} // namespace catkinkeel
