#pragma once

// Decides which published set is in effect on this VM, and how its documents
// are got from peers and from the configuration service. A state machine
// without I/O: inputs and the present instant go in, `store_outputs` come out.
// Not safe for use by two threads at once; the sets it returns are.
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

/// What status pages and the audit trail show of a store.
struct store_status
{
    /// 0 if there is none.
    set_version in_effect;
    /// The version being read; 0 if there is none.
    set_version candidate;
    std::size_t missing_chunks = 0;
    /// Bytes of document text held.
    std::uint64_t held_bytes = 0;

    friend bool operator==(const store_status&, const store_status&) = default;
};

class set_store
{
public:
    /// Peers whose versions are remembered. A document needs only a few
    /// sources, so the memory does not grow with the fleet.
    static constexpr std::size_t max_peers = 32;

    set_store(instant started, random_source random,
              store_settings settings = {});

    /// The configuration service answered with an index.
    store_outputs index_read(const std::string& text, instant now);

    /// The configuration service answered a `read_chunk`. `name` and `hash`
    /// are those of the request; the content is verified here.
    store_outputs chunk_read(const std::string& name, const std::string& hash,
                             const std::string& text, instant now);
    store_outputs chunk_read_failed(const std::string& hash, instant now);

    /// A peer says which version is in effect there (0 if none). Called for
    /// every probe; cheap if nothing changes.
    store_outputs peers_reported(set_version version, vm_id peer, instant now);

    /// A peer is dead or has left; it is asked for nothing more.
    void peer_lost(vm_id peer);

    /// A peer asks for a part. Never more than one answer.
    [[nodiscard]] store_outputs requested(vm_id from,
                                          const chunk_request& request) const;

    /// A peer sent a part. Parts that were not asked for, fit nothing or come
    /// twice have no effect.
    store_outputs received(vm_id from, const chunk_part& part, instant now);

    /// Sends lost requests again and gives up on silent sources. To be called
    /// every 100 ms or so.
    store_outputs tick(instant now);

    /// Null until the first set is accepted.
    [[nodiscard]] published_set_ptr in_effect() const;

    /// The newest version that was refused, until a later one is accepted.
    [[nodiscard]] const std::optional<set_refused>& last_refused() const
    {
        return last_refused_;
    }

    /// The version to watch the index after: no version up to it is news. A
    /// refused version counts, so that a watch does not return it at once
    /// again and again.
    [[nodiscard]] set_version watch_after() const;

    [[nodiscard]] store_status status() const;

private:
    struct held_chunk
    {
        std::string text;
        parsed<published_objects> objects;
    };
    using chunk_map = std::map<std::string, std::shared_ptr<const held_chunk>>;

    /// An index with those of its chunks that are held, by hash.
    struct held_set
    {
        index_document index;
        std::string index_text;
        std::string index_hash;
        document_source source;
        chunk_map chunks;
        /// Null while it is a candidate.
        published_set_ptr set;

        [[nodiscard]] std::size_t missing() const;
    };

    struct peer_state
    {
        set_version version;
        /// No index up to this version from the peer is asked for again.
        set_version useless;
    };

    [[nodiscard]] set_version newest() const;
    [[nodiscard]] bool trusts(const held_set& candidate, instant now) const;
    void remember_peer(set_version version, vm_id peer);
    [[nodiscard]] std::optional<vm_id>
    choose_peer(set_version least, const std::vector<vm_id>& excluded,
                bool for_index);
    [[nodiscard]] std::optional<document_source>
    choose_source(const internal::transfer& wanted);

    void consider_index(const std::string& text, const document_source& source,
                        store_outputs& out);
    std::optional<ignore_reason>
    reason_to_ignore(const held_set& offered) const;
    void keep_chunk(const std::string& name, const std::string& hash,
                    const std::string& text, const document_source& source,
                    store_outputs& out);
    void finish_index(const internal::transfer& done, instant now,
                      store_outputs& out);
    void finish_candidate(instant now, store_outputs& out);
    void start_transfers();
    void drive_transfers(instant now, store_outputs& out);
    void drive(internal::transfer& each, instant now, store_outputs& out);
    /// Does whatever the last input made possible.
    void advance(instant now, store_outputs& out);

    store_settings settings_;
    instant started_;
    random_source random_;
    std::optional<held_set> in_effect_;
    std::optional<held_set> candidate_;
    std::optional<set_refused> last_refused_;
    std::map<vm_id, peer_state> peers_;
    /// The highest version any peer has had in effect.
    set_version peers_version_;
    std::optional<internal::transfer> index_transfer_;
    std::map<std::string, internal::transfer> chunk_transfers_;
};

} // namespace catkinkeel
