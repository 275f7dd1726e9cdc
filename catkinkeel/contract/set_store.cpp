#include "catkinkeel/contract/set_store.hpp"

#include "catkinkeel/contract/check.hpp"

#include <algorithm>
#include <utility>

namespace catkinkeel
{

using internal::part_effect;
using internal::transfer;

namespace
{

const chunk_entry* find_entry(const index_document& index,
                              const std::string& hash)
{
    const auto found =
        std::ranges::find(index.chunks, hash, &chunk_entry::hash);
    return found == index.chunks.end() ? nullptr : &*found;
}

document_rejected content_mismatch(const document_source& source,
                                   const std::string& name)
{
    return {source,
            name,
            {{name, 0, "", "", "content",
              "does not have the size or hash that the index gives"}}};
}

} // namespace

std::size_t set_store::stored_set::missing() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(index.chunks, [&](const chunk_entry& each)
                              { return !chunks.contains(each.hash); }));
}

set_store::set_store(instant started, random_source random,
                     store_settings settings)
    : settings_(settings), started_(started), random_(random)
{
}

published_set_ptr set_store::in_effect() const
{
    return in_effect_ ? in_effect_->set : nullptr;
}

set_version set_store::newest_local_version() const
{
    set_version version =
        in_effect_ ? in_effect_->index.version : set_version{0};
    if (candidate_)
    {
        version = std::max(version, candidate_->index.version);
    }
    return version;
}

set_version set_store::watch_after() const
{
    return last_refused_
               ? std::max(newest_local_version(), last_refused_->version)
               : newest_local_version();
}

store_status set_store::status() const
{
    store_status status;
    chunk_map stored;
    for (const auto* each : {&in_effect_, &candidate_})
    {
        if (*each)
        {
            stored.insert((*each)->chunks.begin(), (*each)->chunks.end());
            status.stored_bytes += (*each)->index_text.size();
        }
    }
    for (const auto& [hash, chunk] : stored)
    {
        status.stored_bytes += chunk->text.size();
    }
    for (const auto& [hash, each] : chunk_transfers_)
    {
        status.stored_bytes += each.stored_bytes();
    }
    status.stored_bytes +=
        index_transfer_ ? index_transfer_->stored_bytes() : 0;
    if (in_effect_)
    {
        status.in_effect = in_effect_->index.version;
    }
    if (candidate_)
    {
        status.candidate = candidate_->index.version;
        status.missing_chunks = candidate_->missing();
    }
    return status;
}

// Inputs.

store_outputs set_store::handle_index(const std::string& text, instant now)
{
    store_outputs out;
    process_index(text, configuration_service{}, out);
    process_pending(now, out);
    return out;
}

store_outputs set_store::handle_chunk(const std::string& name,
                                      const std::string& hash,
                                      const std::string& text, instant now)
{
    store_outputs out;
    store_chunk(name, hash, text, configuration_service{}, out);
    process_pending(now, out);
    return out;
}

store_outputs set_store::handle_chunk_read_failure(const std::string& hash,
                                                   instant now)
{
    store_outputs out;
    const auto found = chunk_transfers_.find(hash);
    if (found != chunk_transfers_.end() &&
        found->second.source() == document_source(configuration_service{}))
    {
        found->second.fail_source();
    }
    process_pending(now, out);
    return out;
}

store_outputs set_store::handle_peer_version(set_version version, vm_id peer,
                                             instant now)
{
    store_outputs out;
    const auto known = peers_.find(peer);
    if (version.value == 0 ||
        (known != peers_.end() && known->second.version >= version))
    {
        return out;
    }
    max_peer_version_ = std::max(max_peer_version_, version);
    store_peer_version(version, peer);
    if (!in_effect_ && candidate_ &&
        candidate_->index.version < max_peer_version_)
    {
        out.emplace_back(set_ignored{candidate_->index.version,
                                     max_peer_version_, ignore_reason::older,
                                     candidate_->source});
        candidate_.reset();
    }
    process_pending(now, out);
    return out;
}

void set_store::store_peer_version(set_version version, vm_id peer)
{
    if (peers_.size() >= max_peers && !peers_.contains(peer))
    {
        const auto oldest = std::ranges::min_element(
            peers_, {}, [](const auto& each) { return each.second.version; });
        if (oldest->second.version >= version)
        {
            return;
        }
        peers_.erase(oldest);
    }
    peers_[peer].version = version;
}

void set_store::remove_peer(vm_id peer)
{
    peers_.erase(peer);
}

store_outputs set_store::handle_request(vm_id from,
                                        const chunk_request& request) const
{
    const std::string* text = nullptr;
    chunk_part part{request.version,
                    request.name,
                    request.content_hash,
                    request.offset,
                    0,
                    ""};
    if (request.name.empty())
    {
        if (in_effect_ && in_effect_->index.version >= request.version)
        {
            text = &in_effect_->index_text;
            part.version = in_effect_->index.version;
            part.content_hash = in_effect_->index_hash;
        }
    }
    else
    {
        for (const auto* stored : {&in_effect_, &candidate_})
        {
            if (*stored && (*stored)->chunks.contains(request.content_hash))
            {
                text = &(*stored)->chunks.at(request.content_hash)->text;
            }
        }
    }
    if (text == nullptr)
    {
        return {send_chunk_part{from, part}};
    }
    if (request.offset % max_part_bytes != 0 || request.offset >= text->size())
    {
        return {};
    }
    part.total = static_cast<std::uint32_t>(text->size());
    part.text = text->substr(request.offset, max_part_bytes);
    return {send_chunk_part{from, std::move(part)}};
}

store_outputs set_store::handle_part(vm_id from, const chunk_part& part,
                                     instant now)
{
    store_outputs out;
    transfer* found = nullptr;
    if (part.name.empty())
    {
        found = index_transfer_ ? &*index_transfer_ : nullptr;
    }
    else if (const auto at = chunk_transfers_.find(part.content_hash);
             at != chunk_transfers_.end())
    {
        found = &at->second;
    }
    if (found == nullptr)
    {
        return out;
    }
    switch (found->add(from, part))
    {
    case part_effect::none:
    case part_effect::added:
        break;
    case part_effect::not_available:
        found->fail_source();
        break;
    case part_effect::completed:
        if (found->is_index())
        {
            const transfer completed_transfer =
                *std::exchange(index_transfer_, std::nullopt);
            finish_index(completed_transfer, now, out);
        }
        else
        {
            const std::string hash = found->hash();
            store_chunk(found->name(), hash, found->text(), from, out);
        }
    }
    process_pending(now, out);
    return out;
}

store_outputs set_store::tick(instant now)
{
    store_outputs out;
    const auto expire = [&](transfer& each)
    {
        if (each.expire(now, settings_))
        {
            each.fail_source();
        }
    };
    if (index_transfer_)
    {
        expire(*index_transfer_);
    }
    for (auto& [hash, each] : chunk_transfers_)
    {
        expire(each);
    }
    process_pending(now, out);
    return out;
}

// Documents.

std::optional<ignore_reason>
set_store::find_ignore_reason(const stored_set& new_set) const
{
    const set_version version = new_set.index.version;
    for (const auto* stored : {&in_effect_, &candidate_})
    {
        if (*stored && version == (*stored)->index.version)
        {
            return new_set.index_hash == (*stored)->index_hash
                       ? ignore_reason::known
                       : ignore_reason::conflicting;
        }
    }
    if (version < newest_local_version() ||
        (!in_effect_ && version < max_peer_version_))
    {
        return ignore_reason::older;
    }
    if (last_refused_ && last_refused_->version == version &&
        last_refused_->index_hash == new_set.index_hash)
    {
        return ignore_reason::refused;
    }
    return std::nullopt;
}

void set_store::process_index(const std::string& text,
                              const document_source& source, store_outputs& out)
{
    auto read = parse_index(text);
    if (auto* errors = std::get_if<std::vector<document_error>>(&read))
    {
        out.emplace_back(document_rejected{source, "", std::move(*errors)});
        return;
    }
    stored_set new_set{.index = std::get<index_document>(std::move(read)),
                       .index_text = text,
                       .index_hash = content_hash(text),
                       .source = source};
    if (const auto reason = find_ignore_reason(new_set))
    {
        out.emplace_back(set_ignored{
            new_set.index.version,
            std::max(newest_local_version(),
                     in_effect_ ? set_version{0} : max_peer_version_),
            *reason, source});
        return;
    }
    for (const auto* stored : {&in_effect_, &candidate_})
    {
        if (*stored)
        {
            std::ranges::copy_if(
                (*stored)->chunks,
                std::inserter(new_set.chunks, new_set.chunks.end()),
                [&](const auto& chunk)
                { return find_entry(new_set.index, chunk.first) != nullptr; });
        }
    }
    std::erase_if(chunk_transfers_, [&](const auto& each)
                  { return find_entry(new_set.index, each.first) == nullptr; });
    if (index_transfer_ && index_transfer_->version() <= new_set.index.version)
    {
        index_transfer_.reset();
    }
    out.emplace_back(
        set_incomplete{new_set.index.version, new_set.missing(), source});
    candidate_ = std::move(new_set);
}

void set_store::finish_index(const transfer& completed_transfer, instant now,
                             store_outputs& out)
{
    const std::string text = completed_transfer.text();
    const vm_id peer = std::get<vm_id>(*completed_transfer.source());
    if (content_hash(text) != completed_transfer.hash())
    {
        out.emplace_back(content_mismatch(peer, ""));
        index_transfer_.emplace(completed_transfer.version());
        index_transfer_->restart_at(now + settings_.retry_delay);
        return;
    }
    process_index(text, peer, out);
    // Also if it was ignored or rejected, this peer's index is not requested
    // again.
    const auto known = peers_.find(peer);
    if (known != peers_.end())
    {
        known->second.processed_index_version =
            std::max(known->second.processed_index_version,
                     completed_transfer.version());
    }
}

void set_store::store_chunk(const std::string& name, const std::string& hash,
                            const std::string& text,
                            const document_source& source, store_outputs& out)
{
    const auto found = chunk_transfers_.find(hash);
    if (found == chunk_transfers_.end() || !candidate_)
    {
        return;
    }
    if (text.size() != found->second.size() || content_hash(text) != hash)
    {
        out.emplace_back(content_mismatch(source, name));
        // If the transfer has changed to peers meanwhile, a wrong response of
        // the configuration service does not invalidate their parts.
        if (std::holds_alternative<vm_id>(source) ||
            found->second.source() == source)
        {
            found->second.reject_text();
        }
        return;
    }
    candidate_->chunks.emplace(
        hash, std::make_shared<const stored_chunk>(
                  stored_chunk{text, parse_chunk(text, name)}));
    chunk_transfers_.erase(found);
}

bool set_store::may_be_activated(const stored_set& candidate, instant now) const
{
    return in_effect_ || max_peer_version_.value > 0 ||
           std::holds_alternative<vm_id>(candidate.source) ||
           now >= started_ + settings_.peer_report_timeout;
}

void set_store::finish_candidate(instant now, store_outputs& out)
{
    if (!candidate_ || candidate_->missing() > 0 ||
        !may_be_activated(*candidate_, now))
    {
        return;
    }
    stored_set complete_set = *std::exchange(candidate_, std::nullopt);
    set_refused refused{complete_set.index.version,
                        complete_set.source,
                        complete_set.index_hash,
                        {},
                        {}};
    published_objects objects{.version = complete_set.index.version,
                              .published_by = complete_set.index.published_by};
    for (const chunk_entry& entry : complete_set.index.chunks)
    {
        const auto& part = complete_set.chunks.at(entry.hash)->objects;
        if (const auto* read = std::get_if<published_objects>(&part))
        {
            objects = merge(std::move(objects), *read);
            continue;
        }
        const auto& errors = std::get<std::vector<document_error>>(part);
        std::ranges::copy_n(
            errors.begin(),
            static_cast<std::ptrdiff_t>(
                std::min(errors.size(), max_document_error_count -
                                            refused.document_errors.size())),
            std::back_inserter(refused.document_errors));
    }
    if (refused.document_errors.empty())
    {
        refused.object_errors = check_objects(objects);
    }
    if (!refused.document_errors.empty() || !refused.object_errors.empty())
    {
        last_refused_ = refused;
        out.emplace_back(std::move(refused));
        return;
    }
    const published_set_ptr previous = in_effect();
    auto warnings = find_warnings(objects, previous.get());
    complete_set.set =
        std::make_shared<const published_set>(std::move(objects));
    out.emplace_back(set_accepted{complete_set.set, previous,
                                  complete_set.source, std::move(warnings)});
    if (last_refused_ && last_refused_->version < complete_set.index.version)
    {
        last_refused_.reset();
    }
    in_effect_ = std::move(complete_set);
}

} // namespace catkinkeel
