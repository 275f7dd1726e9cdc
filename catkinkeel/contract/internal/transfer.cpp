#include "catkinkeel/contract/internal/transfer.hpp"

#include "catkinkeel/contract/documents.hpp"

#include <algorithm>
#include <utility>

namespace catkinkeel::internal
{

namespace
{

void add_unique(std::vector<vm_id>& peers, vm_id peer)
{
    if (std::ranges::find(peers, peer) == peers.end())
    {
        peers.push_back(peer);
    }
}

} // namespace

transfer::transfer(set_version version, std::string name, std::string hash,
                   std::uint32_t size)
    : version_(version),
      name_(std::move(name)),
      hash_(std::move(hash)),
      size_(size)
{
}

transfer::transfer(set_version version) : version_(version) {}

void transfer::assign(const document_source& source, instant read_deadline)
{
    source_ = source;
    read_deadline_ = read_deadline;
    pending_requests_.clear();
    consecutive_timeouts_ = 0;
    if (const auto* peer = std::get_if<vm_id>(&source))
    {
        add_unique(queried_peers_, *peer);
    }
}

void transfer::fail_source()
{
    if (!source_)
    {
        return;
    }
    if (const auto* peer = std::get_if<vm_id>(&*source_))
    {
        add_unique(failed_peers_, *peer);
    }
    else
    {
        service_failed_ = true;
    }
    source_.reset();
    pending_requests_.clear();
    if (is_index())
    {
        parts_.clear();
        hash_.clear();
        size_ = 0;
    }
}

void transfer::reject_text()
{
    for (const vm_id sender : senders_)
    {
        add_unique(failed_peers_, sender);
    }
    // Parts that these peers sent before are ignored if they arrive later.
    queried_peers_.clear();
    senders_.clear();
    parts_.clear();
    fail_source();
}

void transfer::restart_at(instant at)
{
    failed_peers_.clear();
    queried_peers_.clear();
    service_failed_ = false;
    retry_at_ = at;
}

bool transfer::expire(instant now, const store_settings& settings)
{
    if (!source_)
    {
        return false;
    }
    if (std::holds_alternative<configuration_service>(*source_))
    {
        return now >= read_deadline_;
    }
    const auto lost = std::erase_if(pending_requests_, [&](const auto& request)
                                    { return now >= request.second; });
    // Requests that time out together count as one timeout, regardless of the
    // number of requests in flight.
    consecutive_timeouts_ += lost > 0 ? 1 : 0;
    return consecutive_timeouts_ >= settings.max_consecutive_timeouts;
}

std::vector<chunk_request>
transfer::due_requests(instant now, random_source& random,
                       const store_settings& settings)
{
    std::vector<chunk_request> requests;
    if (!source_ || !std::holds_alternative<vm_id>(*source_))
    {
        return requests;
    }
    // Until the size is known, only the first part can be requested.
    const std::uint32_t end = std::max(size_, std::uint32_t{1});
    for (std::uint32_t offset = 0;
         offset < end &&
         pending_requests_.size() < settings.max_pending_requests;
         offset += max_part_bytes)
    {
        if (parts_.contains(offset) || pending_requests_.contains(offset))
        {
            continue;
        }
        const duration jitter(static_cast<duration::rep>(random.below(
            static_cast<std::uint64_t>(settings.request_jitter.count()) + 1)));
        pending_requests_[offset] = now + settings.request_timeout + jitter;
        requests.push_back({version_, name_, hash_, offset});
    }
    return requests;
}

bool transfer::is_consistent(const chunk_part& part) const
{
    return part.total <= max_document_bytes &&
           part.offset % max_part_bytes == 0 && part.offset < part.total &&
           part.text.size() ==
               std::min(max_part_bytes, part.total - part.offset);
}

part_effect transfer::add(vm_id from, const chunk_part& part)
{
    const bool from_current_source = source_ == document_source(from);
    if (part.name != name_ ||
        std::ranges::find(queried_peers_, from) == queried_peers_.end())
    {
        return part_effect::none;
    }
    if (part.total == 0)
    {
        const bool is_this_document = is_index() || part.content_hash == hash_;
        return from_current_source && is_this_document
                   ? part_effect::not_available
                   : part_effect::none;
    }
    if (!is_consistent(part))
    {
        return part_effect::none;
    }
    if (is_index())
    {
        if (!from_current_source || part.version < version_)
        {
            return part_effect::none;
        }
        const bool newer = part.version > version_;
        if (newer || hash_.empty())
        {
            // First part, or the peer switched to a later version between two
            // parts.
            version_ = part.version;
            hash_ = part.content_hash;
            size_ = part.total;
            parts_.clear();
            pending_requests_.clear();
        }
    }
    if (part.content_hash != hash_ || part.total != size_)
    {
        return part_effect::none;
    }
    if (from_current_source)
    {
        consecutive_timeouts_ = 0;
    }
    pending_requests_.erase(part.offset);
    if (!parts_.emplace(part.offset, part.text).second)
    {
        return part_effect::none;
    }
    add_unique(senders_, from);
    const std::size_t needed = (size_ + max_part_bytes - 1) / max_part_bytes;
    return parts_.size() == needed ? part_effect::completed
                                   : part_effect::added;
}

std::string transfer::text() const
{
    std::string whole;
    whole.reserve(size_);
    for (const auto& [offset, part] : parts_)
    {
        whole += part;
    }
    return whole;
}

std::uint64_t transfer::stored_bytes() const
{
    std::uint64_t bytes = 0;
    for (const auto& [offset, part] : parts_)
    {
        bytes += part.size();
    }
    return bytes;
}

} // namespace catkinkeel::internal
