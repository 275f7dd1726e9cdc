#pragma once

// The transfer of one document to this VM: its current source, the parts
// received so far and the requests in flight.

#include "catkinkeel/base/random.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/contract/messages.hpp"
#include "catkinkeel/contract/store_outputs.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace catkinkeel
{

/// Timeouts and limits of `set_store`.
struct store_settings
{
    /// After a restart, a set from the configuration service takes effect only
    /// once a peer has reported its version or this time has passed.
    duration peer_report_timeout = 1s;
    /// A request for a part is sent again after this time plus a random part of
    /// `request_jitter`. Links between data centres have a delay of 10 ms and
    /// lose packets, so a response that is missing after half a second was lost
    /// rather than delayed.
    duration request_timeout = 500ms;
    duration request_jitter = 250ms;
    /// A read of a chunk from the configuration service fails after this time.
    duration read_timeout = 5s;
    /// Delay before all sources are tried again after each of them failed.
    duration retry_delay = 1s;
    /// Maximum number of requests in flight for one document.
    std::size_t max_pending_requests = 4;
    /// Maximum number of chunks transferred concurrently.
    std::size_t max_chunk_transfers = 4;
    /// Consecutive timeouts after which a peer counts as failed.
    int max_consecutive_timeouts = 3;
    /// If a peer supplied the index, the configuration service is used for a
    /// chunk only after this number of peers have failed for it, or if no other
    /// peer can be chosen.
    std::size_t max_failed_peers_before_service = 3;

    friend bool operator==(const store_settings&,
                           const store_settings&) = default;
};

namespace internal
{

/// The effect of a received part on a transfer.
enum class part_effect : std::uint8_t
{
    /// The part was ignored.
    none,
    added,
    /// The source does not have the document.
    not_available,
    /// All parts have been received; the content is not verified yet.
    completed
};

/// The transfer of one document in parts from peers, or as a whole from the
/// configuration service.
class transfer
{
public:
    /// Transfers a chunk with the hash and size that the index states.
    transfer(set_version version, std::string name, std::string hash,
             std::uint32_t size);
    /// Transfers the index of `version` or a later one. The first part provides
    /// its hash and size.
    explicit transfer(set_version version);

    [[nodiscard]] bool is_index() const
    {
        return name_.empty();
    }
    [[nodiscard]] set_version version() const
    {
        return version_;
    }
    [[nodiscard]] const std::string& name() const
    {
        return name_;
    }
    [[nodiscard]] const std::string& hash() const
    {
        return hash_;
    }
    [[nodiscard]] std::uint32_t size() const
    {
        return size_;
    }
    /// Empty while no source is assigned.
    [[nodiscard]] const std::optional<document_source>& source() const
    {
        return source_;
    }
    [[nodiscard]] const std::vector<vm_id>& failed_peers() const
    {
        return failed_peers_;
    }
    [[nodiscard]] bool service_failed() const
    {
        return service_failed_;
    }

    /// Makes `source` the current source. A read from the configuration service
    /// times out at `read_deadline`; requests to peers have their own timeouts.
    void assign(const document_source& source, instant read_deadline);
    /// Marks the current source as failed. Parts of a chunk are kept, because
    /// its hash identifies the content; parts of an index are discarded.
    void fail_source();
    /// The assembled text has the wrong hash: discards all parts and marks
    /// every peer that sent one as failed.
    void reject_text();
    /// Makes all sources eligible again, but pauses the transfer until `at`.
    void restart_at(instant at);
    [[nodiscard]] bool is_waiting(instant now) const
    {
        return now < retry_at_;
    }

    /// Processes timeouts. Removes lost requests, so that they become due
    /// again, and returns whether the source counts as failed.
    bool expire(instant now, const store_settings& settings);

    /// Returns the requests to send now and records them as sent. Empty unless
    /// the source is a peer.
    std::vector<chunk_request> due_requests(instant now, random_source& random,
                                            const store_settings& settings);

    /// Processes a part received from a peer.
    part_effect add(vm_id from, const chunk_part& part);

    /// The text of a completed transfer.
    [[nodiscard]] std::string text() const;

    /// Bytes of text in the parts received so far.
    [[nodiscard]] std::uint64_t stored_bytes() const;

private:
    /// Whether offset, total and length of the part are consistent.
    [[nodiscard]] bool is_consistent(const chunk_part& part) const;

    set_version version_;
    std::string name_;
    std::string hash_;
    /// In bytes; 0 while unknown.
    std::uint32_t size_ = 0;
    /// Text of the received parts, keyed by offset.
    std::map<std::uint32_t, std::string> parts_;
    /// Offsets of the requests in flight, with the time at which each request
    /// counts as lost.
    std::map<std::uint32_t, instant> pending_requests_;
    std::optional<document_source> source_;
    instant read_deadline_;
    instant retry_at_;
    int consecutive_timeouts_ = 0;
    /// Peers used as source since the last `restart_at` or `reject_text`.
    /// Parts from other peers are ignored.
    std::vector<vm_id> queried_peers_;
    /// Peers that sent parts since the last `reject_text`.
    std::vector<vm_id> senders_;
    std::vector<vm_id> failed_peers_;
    bool service_failed_ = false;
};

} // namespace internal

} // namespace catkinkeel
