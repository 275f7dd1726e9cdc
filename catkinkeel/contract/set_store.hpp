#pragma once

// State machine that fetches the documents of published sets and decides which
// set is in effect on this VM. It does no I/O: each input takes the current
// time and returns `store_outputs`, which the caller carries out. Not
// thread-safe, but the returned sets are.
//
// A published set is a configuration snapshot with a version. Its documents are
// one index, which lists the chunks with their hashes, and the chunks, which
// contain the objects. The source of a document is the configuration service or
// a peer, that is, another entry VM. A transfer fetches one document, from a
// peer in parts of `max_part_bytes`. The candidate is the set being fetched.
//
// Example:
//   set_store store(now, random_source(seed));
//   for (const store_output& each : store.handle_index(text, now)) { ... }

#include "catkinkeel/base/random.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/contract/documents.hpp"
#include "catkinkeel/contract/internal/transfer.hpp"
#include "catkinkeel/contract/store_outputs.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace catkinkeel
{

/// The state of a store, for status pages and the audit trail.
struct store_status
{
    /// Version of the set in effect; 0 if no set is.
    set_version in_effect;
    /// Version being fetched; 0 if no set is.
    set_version candidate;
    /// Chunks of the candidate that have not been fetched yet.
    std::size_t missing_chunks = 0;
    /// Bytes of document text in memory, including unfinished transfers.
    std::uint64_t stored_bytes = 0;

    friend bool operator==(const store_status&, const store_status&) = default;
};

/// Fetches, validates and activates published sets.
class set_store
{
public:
    /// Maximum number of peers whose versions are stored. The limit keeps
    /// memory use independent of the size of the fleet; a few possible sources
    /// suffice to fetch any document.
    static constexpr std::size_t max_peers = 32;

    set_store(instant started, random_source random,
              store_settings settings = {});

    /// The configuration service returned an index.
    store_outputs handle_index(const std::string& text, instant now);

    /// The configuration service returned the chunk that a `read_chunk` output
    /// requested. `name` and `hash` are those of the request; `text` is
    /// verified here against the size and hash in the index.
    store_outputs handle_chunk(const std::string& name, const std::string& hash,
                               const std::string& text, instant now);
    /// The read that a `read_chunk` output requested failed.
    store_outputs handle_chunk_read_failure(const std::string& hash,
                                            instant now);

    /// A peer reported the version in effect there (0 if none). To be called
    /// for every membership probe and acknowledgement received; cheap if the
    /// version is not newer than the last one from this peer.
    store_outputs handle_peer_version(set_version version, vm_id peer,
                                      instant now);

    /// A peer is dead or has left; it is no longer chosen as a source.
    void remove_peer(vm_id peer);

    /// A peer requested a part of a document. Returns at most one response;
    /// none if the requested offset is invalid.
    [[nodiscard]] store_outputs
    handle_request(vm_id from, const chunk_request& request) const;

    /// A peer sent a part of a document. Parts that were not requested, do not
    /// match a transfer or are duplicates have no effect.
    store_outputs handle_part(vm_id from, const chunk_part& part, instant now);

    /// Processes timeouts: repeats requests without a response and replaces
    /// sources that do not respond. To be called about every 100 ms.
    store_outputs tick(instant now);

    /// Null until the first set is accepted.
    [[nodiscard]] published_set_ptr in_effect() const;

    /// The last version that was refused, until a later one is accepted.
    [[nodiscard]] const std::optional<set_refused>& last_refused() const
    {
        return last_refused_;
    }

    /// The version to pass to the next long poll of the configuration service,
    /// which responds once a later version is published. It is the highest of
    /// the versions in effect, being fetched and last refused: without the
    /// refused version, every poll would return its index at once.
    [[nodiscard]] set_version watch_after() const;

    [[nodiscard]] store_status status() const;

private:
    /// The text of a chunk with the result of parsing it.
    struct stored_chunk
    {
        std::string text;
        parsed<published_objects> objects;
    };
    using chunk_map =
        std::map<std::string, std::shared_ptr<const stored_chunk>>;

    /// An index with those of its chunks that are in memory.
    struct stored_set
    {
        index_document index;
        std::string index_text;
        std::string index_hash;
        /// The source of the index.
        document_source source;
        /// Keyed by content hash.
        chunk_map chunks;
        /// Null while the set is a candidate.
        published_set_ptr set;

        /// Number of chunks that are not in memory.
        [[nodiscard]] std::size_t missing() const;
    };

    struct peer_state
    {
        /// The highest version that the peer has reported.
        set_version version;
        /// Highest version whose index from this peer has been processed, with
        /// any result. Indexes up to it are not requested from the peer again.
        set_version processed_index_version;
    };

    /// The highest version that is in effect or being fetched on this VM.
    [[nodiscard]] set_version newest_local_version() const;
    /// Whether a complete candidate may be validated and take effect. After a
    /// restart, the configuration service may return an older set than the one
    /// in effect at peers, so the first set from the service waits until a peer
    /// has reported a version or `peer_report_timeout` has passed.
    [[nodiscard]] bool may_be_activated(const stored_set& candidate,
                                        instant now) const;
    void store_peer_version(set_version version, vm_id peer);
    /// A random peer that reported `min_version` or a later one and is not in
    /// `excluded`. With `for_index`, peers whose index of `min_version` has
    /// been processed are excluded too.
    [[nodiscard]] std::optional<vm_id>
    choose_peer(set_version min_version, const std::vector<vm_id>& excluded,
                bool for_index);
    [[nodiscard]] std::optional<document_source>
    choose_source(const internal::transfer& pending);

    void process_index(const std::string& text, const document_source& source,
                       store_outputs& out);
    std::optional<ignore_reason>
    find_ignore_reason(const stored_set& new_set) const;
    /// Verifies the text of a chunk and adds it to the candidate.
    void store_chunk(const std::string& name, const std::string& hash,
                     const std::string& text, const document_source& source,
                     store_outputs& out);
    /// Verifies and processes the index of a completed transfer from a peer.
    void finish_index(const internal::transfer& completed_transfer, instant now,
                      store_outputs& out);
    /// Validates a complete candidate, then activates or refuses it.
    void finish_candidate(instant now, store_outputs& out);
    /// Creates transfers of a newer index and of missing chunks, and removes
    /// those that are no longer needed.
    void start_transfers();
    /// Chooses sources for the transfers without one and sends the requests
    /// that are due.
    void advance_transfers(instant now, store_outputs& out);
    void advance_transfer(internal::transfer& current, instant now,
                          store_outputs& out);
    /// The last step of every input: finishes a complete candidate, then starts
    /// and advances transfers.
    void process_pending(instant now, store_outputs& out);

    store_settings settings_;
    instant started_;
    random_source random_;
    std::optional<stored_set> in_effect_;
    std::optional<stored_set> candidate_;
    std::optional<set_refused> last_refused_;
    std::map<vm_id, peer_state> peers_;
    /// The highest version that any peer has reported since the start.
    set_version max_peer_version_;
    std::optional<internal::transfer> index_transfer_;
    /// Keyed by content hash.
    std::map<std::string, internal::transfer> chunk_transfers_;
};

} // namespace catkinkeel
