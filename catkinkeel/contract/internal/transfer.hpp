#pragma once

// One document on its way to this VM: which source is asked, which parts have
// come and which requests are due again.

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

/// Times and limits of `set_store`.
struct store_settings
{
    /// After a restart the configuration service is trusted once a peer has
    /// answered or this time has passed.
    duration peer_wait = 1s;
    /// A request for a part is repeated after this time and up to
    /// `request_jitter` more. Links between data centres take 10 ms and lose
    /// packets, so half a second is loss and not delay.
    duration request_timeout = 500ms;
    duration request_jitter = 250ms;
    /// A chunk read from the configuration service fails after this time.
    duration read_timeout = 5s;
    /// Pause before a round of all sources begins again.
    duration retry_wait = 1s;
    /// Parts of one document asked for at once.
    std::size_t window = 4;
    /// Chunks asked for at once.
    std::size_t transfers = 4;
    /// Requests in a row that a peer may leave unanswered.
    int silent_requests = 3;
    /// Peers tried for a document before the configuration service is.
    std::size_t peers_before_service = 3;

    friend bool operator==(const store_settings&,
                           const store_settings&) = default;
};

namespace internal
{

/// What a part did to a transfer.
enum class part_effect : std::uint8_t
{
    none,
    added,
    not_held,
    completed
};

class transfer
{
public:
    /// A chunk, whose hash and size its index gives.
    transfer(set_version version, std::string name, std::string hash,
             std::uint32_t size);
    /// An index of `version` or later; hash and size come with the first part.
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

    /// Asks `source` from now on.
    void assign(const document_source& source, instant read_deadline);
    /// Gives up on the present source. Parts of a chunk are kept, since its
    /// hash names them; those of an index are not.
    void fail_source();
    /// The assembled text had another hash: forgets all parts and counts every
    /// peer that sent one as failed.
    void reject_text();
    /// Forgets all failures and waits until `at`.
    void start_over(instant at);
    [[nodiscard]] bool waits(instant now) const
    {
        return now < retry_at_;
    }

    /// Whether the source has not answered in time. Lost requests become due
    /// again.
    bool expire(instant now, const store_settings& settings);

    /// Requests to send now if the source is a peer.
    std::vector<chunk_request> due_requests(instant now, random_source& random,
                                            const store_settings& settings);

    part_effect add(vm_id from, const chunk_part& part);

    /// The text of a completed transfer.
    [[nodiscard]] std::string text() const;

    [[nodiscard]] std::uint64_t held_bytes() const;

private:
    [[nodiscard]] bool fits(const chunk_part& part) const;

    set_version version_;
    std::string name_;
    std::string hash_;
    /// 0 while unknown.
    std::uint32_t size_ = 0;
    std::map<std::uint32_t, std::string> parts_;
    /// Offsets asked for, with the time at which the request counts as lost.
    std::map<std::uint32_t, instant> asked_;
    std::optional<document_source> source_;
    instant read_deadline_;
    instant retry_at_;
    int silent_ = 0;
    /// Peers asked since the last `start_over`.
    std::vector<vm_id> asked_peers_;
    std::vector<vm_id> senders_;
    std::vector<vm_id> failed_peers_;
    bool service_failed_ = false;
};

} // namespace internal

} // namespace catkinkeel
