#pragma once

// Writes documents in the published format. Used by tools that publish sets, by
// the stand-in of the platform and by tests.

#include "catkinkeel/contract/documents.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace catkinkeel
{

/// Text that `parse_index` parses into a value equal to `index`.
std::string write_index(const index_document& index);

/// Text that `parse_chunk` parses into `objects` without version and publisher.
/// Fields with default values are omitted, because control traffic grows with
/// the size of the text.
std::string write_chunk(const published_objects& objects);

/// Text that `parse_whole_set` parses into a value equal to `objects`.
std::string write_whole_set(const published_objects& objects);

/// The texts of the index of one version and of its chunks.
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

/// Splits `objects` into chunks by kind and by fixed ranges of `ids_per_chunk`
/// consecutive identifiers, so that a change to one object changes one chunk
/// and the other chunks need not be fetched again. Ranges without an object
/// have no chunk. `ids_per_chunk` must be positive.
set_documents split_set(const published_objects& objects,
                        std::size_t ids_per_chunk = 128);

} // namespace catkinkeel
