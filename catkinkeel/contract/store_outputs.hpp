#pragma once

// Outputs of `set_store`: decisions about versions, and the messages and reads
// that its caller has to perform.

#include "catkinkeel/base/identifier.hpp"
#include "catkinkeel/contract/errors.hpp"
#include "catkinkeel/contract/messages.hpp"
#include "catkinkeel/contract/published_set.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace catkinkeel
{

/// The platform's configuration service, as a source of documents.
struct configuration_service
{
    friend auto operator<=>(const configuration_service&,
                            const configuration_service&) = default;
};

/// The source of a document.
using document_source = std::variant<configuration_service, vm_id>;

/// A new set is in effect.
struct set_accepted
{
    published_set_ptr set;
    /// Null if it is the first one.
    published_set_ptr previous;
    document_source source;
    std::vector<object_error> warnings;

    friend bool operator==(const set_accepted&, const set_accepted&) = default;
};

/// A set failed validation; the set in effect, if any, stays.
struct set_refused
{
    set_version version;
    document_source source;
    /// `content_hash` of the index text.
    std::string index_hash;
    std::vector<document_error> document_errors;
    std::vector<object_error> object_errors;

    friend bool operator==(const set_refused&, const set_refused&) = default;
};

/// Why an index was ignored.
enum class ignore_reason : std::uint8_t
{
    /// Older than the newest set in effect or being fetched, or than a set in
    /// effect at a peer while this VM has none.
    older,
    /// Already in effect or being fetched.
    known,
    /// The version is known with different content. A published version must
    /// not change.
    conflicting,
    /// Already refused with the same content.
    refused
};

/// An index was ignored.
struct set_ignored
{
    set_version version;
    /// The highest version in effect or being fetched, or reported by peers
    /// while this VM has no set in effect.
    set_version newest;
    ignore_reason reason = ignore_reason::older;
    document_source source;

    friend bool operator==(const set_ignored&, const set_ignored&) = default;
};

/// An index was accepted, but its set does not take effect yet.
struct set_incomplete
{
    set_version version;
    /// Number of chunks still to be fetched. If 0, the set may have to wait for
    /// a peer to report its version after a restart.
    std::size_t missing = 0;
    document_source source;

    friend bool operator==(const set_incomplete&,
                           const set_incomplete&) = default;
};

/// A document does not match its hash or size, or an index could not be parsed.
/// Unless it is an index from the configuration service, it is requested again,
/// from another source if there is one.
struct document_rejected
{
    document_source source;
    /// Empty for the index.
    std::string name;
    std::vector<document_error> errors;

    friend bool operator==(const document_rejected&,
                           const document_rejected&) = default;
};

/// A request to send to a peer.
struct send_chunk_request
{
    vm_id to;
    chunk_request request;

    friend bool operator==(const send_chunk_request&,
                           const send_chunk_request&) = default;
};

/// A response to send to a peer for its request.
struct send_chunk_part
{
    vm_id to;
    chunk_part part;

    friend bool operator==(const send_chunk_part&,
                           const send_chunk_part&) = default;
};

/// A chunk to read from the configuration service. The result is passed to
/// `handle_chunk` or `handle_chunk_read_failure`.
struct read_chunk
{
    std::string name;
    std::string hash;
    std::uint32_t size = 0;

    friend bool operator==(const read_chunk&, const read_chunk&) = default;
};

using store_output =
    std::variant<set_accepted, set_refused, set_ignored, set_incomplete,
                 document_rejected, send_chunk_request, send_chunk_part,
                 read_chunk>;
using store_outputs = std::vector<store_output>;

} // namespace catkinkeel
