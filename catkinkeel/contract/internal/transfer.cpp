#include "catkinkeel/contract/internal/transfer.hpp"

#include "catkinkeel/contract/documents.hpp"

#include <algorithm>
#include <utility>

namespace catkinkeel::internal
{

namespace
{

void add_once(std::vector<vm_id>& peers, vm_id peer)
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
    asked_.clear();
    silent_ = 0;
    if (const auto* peer = std::get_if<vm_id>(&source))
    {
        add_once(asked_peers_, *peer);
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
        add_once(failed_peers_, *peer);
    }
    else
    {
        service_failed_ = true;
    }
    source_.reset();
    asked_.clear();
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
        add_once(failed_peers_, sender);
    }
    // Late parts of these peers are refused from now on.
    asked_peers_.clear();
    senders_.clear();
    parts_.clear();
    fail_source();
}

void transfer::start_over(instant at)
{
    failed_peers_.clear();
    asked_peers_.clear();
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
    const auto lost = std::erase_if(asked_, [&](const auto& request)
                                    { return now >= request.second; });
    // Requests lost together are one silence, however wide the window is.
    silent_ += lost > 0 ? 1 : 0;
    return silent_ >= settings.silent_requests;
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
    // Until the size is known only the first part can be asked for.
    const std::uint32_t end = std::max(size_, std::uint32_t{1});
    for (std::uint32_t offset = 0;
         offset < end && asked_.size() < settings.window;
         offset += max_part_size)
    {
        if (parts_.contains(offset) || asked_.contains(offset))
        {
            continue;
        }
        const duration jitter(static_cast<duration::rep>(random.below(
            static_cast<std::uint64_t>(settings.request_jitter.count()) + 1)));
        asked_[offset] = now + settings.request_timeout + jitter;
        requests.push_back({version_, name_, hash_, offset});
    }
    return requests;
}

bool transfer::fits(const chunk_part& part) const
{
    return part.total <= max_document_size &&
           part.offset % max_part_size == 0 && part.offset < part.total &&
           part.text.size() ==
               std::min(max_part_size, part.total - part.offset);
}

part_effect transfer::add(vm_id from, const chunk_part& part)
{
    const bool from_source = source_ == document_source(from);
    if (part.name != name_ ||
        std::ranges::find(asked_peers_, from) == asked_peers_.end())
    {
        return part_effect::none;
    }
    if (part.total == 0)
    {
        const bool about_this = is_index() || part.content_hash == hash_;
        return from_source && about_this ? part_effect::not_held
                                         : part_effect::none;
    }
    if (!fits(part))
    {
        return part_effect::none;
    }
    if (is_index())
    {
        if (!from_source || part.version < version_)
        {
            return part_effect::none;
        }
        const bool newer = part.version > version_;
        if (newer || hash_.empty())
        {
            // The peer moved on to a later version between two parts.
            version_ = part.version;
            hash_ = part.content_hash;
            size_ = part.total;
            parts_.clear();
            asked_.clear();
        }
    }
    if (part.content_hash != hash_ || part.total != size_)
    {
        return part_effect::none;
    }
    if (from_source)
    {
        silent_ = 0;
    }
    asked_.erase(part.offset);
    if (!parts_.emplace(part.offset, part.text).second)
    {
        return part_effect::none;
    }
    add_once(senders_, from);
    const std::size_t needed = (size_ + max_part_size - 1) / max_part_size;
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

std::uint64_t transfer::held_bytes() const
{
    std::uint64_t bytes = 0;
    for (const auto& [offset, part] : parts_)
    {
        bytes += part.size();
    }
    return bytes;
}

} // namespace catkinkeel::internal
