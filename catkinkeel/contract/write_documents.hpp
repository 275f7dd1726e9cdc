#pragma once

// Writes documents of the published format, for tools that publish sets, for
// the stand-in of the platform and for tests.

#include "catkinkeel/contract/documents.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace catkinkeel
{

/// Text that `parse_index` reads back as `index`.
std::string write_index(const index_document& index);

/// Text that `parse_chunk` reads back as `objects`, version and publisher left
/// out. Fields at their defaults are left out, since control traffic grows
/// with the text.
std::string write_chunk(const published_objects& objects);

/// Text that `parse_whole_set` reads back as `objects`.
std::string write_whole_set(const published_objects& objects);

/// The documents of one version.
struct set_documents
{
    std::string index;
    struct chunk
    {
        chunk_entry entry;
        std::string text;

        friend bool operator==(const chunk&, const chunk&) = default;
    };
    std::vector<chunk> chunks;

    friend bool operator==(const set_documents&,
                           const set_documents&) = default;
};

/// Splits `objects` into chunks of at most `per_chunk` objects of one kind, by
/// ranges of identifiers, so that a change of one object changes one chunk.
set_documents split_set(const published_objects& objects,
                        std::size_t per_chunk = 128);

} // namespace catkinkeel
