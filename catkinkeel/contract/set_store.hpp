#pragma once

// Decides which published set is in effect on this VM, and from which peers or
// configuration service its documents are fetched. A state machine without
// I/O: each input takes the current time and returns `store_outputs`.
// Not thread-safe, but the returned sets are.
//
// Example:
//   set_store store(now, random_source(seed));
//   for (const store_output& each : store.index_read(text, now)) { ... }

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
    /// 0 if there is none.
    set_version in_effect;
    /// The version being fetched; 0 if there is none.
    set_version candidate;
    std::size_t missing_chunks = 0;
    /// Bytes of document text in memory.
    std::uint64_t held_bytes = 0;

    friend bool operator==(const store_status&, const store_status&) = default;
};

/// Fetches, validates and activates published sets.
class set_store
{
public:
    /// Maximum number of peers whose versions are stored. A document needs only
    /// a few sources, so the memory does not grow with the fleet.
    static constexpr std::size_t max_peers = 32;

    set_store(instant started, random_source random,
              store_settings settings = {});

    /// The configuration service returned an index.
    store_outputs index_read(const std::string& text, instant now);

    /// The configuration service returned the chunk of a `read_chunk`. `name`
    /// and `hash` are those of the request; the content is verified here.
    store_outputs chunk_read(const std::string& name, const std::string& hash,
                             const std::string& text, instant now);
    /// A `read_chunk` failed.
    store_outputs chunk_read_failed(const std::string& hash, instant now);

    /// A peer reported the version in effect there (0 if none). Called for
    /// every probe; cheap if the version is not newer than the last one.
    store_outputs handle_peer_version(set_version version, vm_id peer,
                                      instant now);

    /// A peer is dead or has left; it is no longer chosen as a source.
    void remove_peer(vm_id peer);

    /// A peer requested a part. Returns at most one response.
    [[nodiscard]] store_outputs requested(vm_id from,
                                          const chunk_request& request) const;

    /// A peer sent a part. Parts that were not requested, do not match a
    /// transfer or are duplicates have no effect.
    store_outputs received(vm_id from, const chunk_part& part, instant now);

    /// Sends lost requests again and abandons unresponsive sources. To be
    /// called about every 100 ms.
    store_outputs tick(instant now);

    /// Null until the first set is accepted.
    [[nodiscard]] published_set_ptr in_effect() const;

    /// The last version that was refused, until a later one is accepted.
    [[nodiscard]] const std::optional<set_refused>& last_refused() const
    {
        return last_refused_;
    }

    /// The version after which to watch the index; versions up to it need no
    /// processing. Includes a refused version, which the watch would otherwise
    /// return immediately and repeatedly.
    [[nodiscard]] set_version watch_after() const;

    [[nodiscard]] store_status status() const;

private:
    /// The text of a chunk with the result of parsing it.
    struct held_chunk
    {
        std::string text;
        parsed<published_objects> objects;
    };
    using chunk_map = std::map<std::string, std::shared_ptr<const held_chunk>>;

    /// An index with those of its chunks that are in memory, by hash.
    struct held_set
    {
        index_document index;
        std::string index_text;
        std::string index_hash;
        document_source source;
        chunk_map chunks;
        /// Null while the set is a candidate.
        published_set_ptr set;

        [[nodiscard]] std::size_t missing() const;
    };

    struct peer_state
    {
        set_version version;
        /// Highest version of which the peer's index has been processed;
        /// indexes up to it are not requested from the peer again.
        set_version processed_index_version;
    };

    [[nodiscard]] set_version newest_version() const;
    /// Whether a complete candidate may be validated and take effect. After a
    /// restart, the configuration service may serve an older set than peers.
    [[nodiscard]] bool may_take_effect(const held_set& candidate,
                                       instant now) const;
    void store_peer_version(set_version version, vm_id peer);
    [[nodiscard]] std::optional<vm_id>
    choose_peer(set_version min_version, const std::vector<vm_id>& excluded,
                bool for_index);
    [[nodiscard]] std::optional<document_source>
    choose_source(const internal::transfer& wanted);

    void process_index(const std::string& text, const document_source& source,
                       store_outputs& out);
    std::optional<ignore_reason>
    find_ignore_reason(const held_set& offered) const;
    void store_chunk(const std::string& name, const std::string& hash,
                     const std::string& text, const document_source& source,
                     store_outputs& out);
    void finish_index(const internal::transfer& done, instant now,
                      store_outputs& out);
    void finish_candidate(instant now, store_outputs& out);
    void start_transfers();
    void advance_transfers(instant now, store_outputs& out);
    void advance_transfer(internal::transfer& each, instant now,
                          store_outputs& out);
    /// Activates a complete candidate and sends the requests now due.
    void advance(instant now, store_outputs& out);

    store_settings settings_;
    instant started_;
    random_source random_;
    std::optional<held_set> in_effect_;
    std::optional<held_set> candidate_;
    std::optional<set_refused> last_refused_;
    std::map<vm_id, peer_state> peers_;
    /// The highest version that any peer has reported.
    set_version peers_version_;
    std::optional<internal::transfer> index_transfer_;
    std::map<std::string, internal::transfer> chunk_transfers_;
};

} // namespace catkinkeel
