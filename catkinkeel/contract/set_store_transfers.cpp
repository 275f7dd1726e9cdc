// The part of `set_store` that chooses sources and runs transfers.

#include "catkinkeel/contract/set_store.hpp"

#include <algorithm>
#include <utility>

namespace catkinkeel
{

using internal::transfer;

std::optional<vm_id> set_store::choose_peer(set_version min_version,
                                            const std::vector<vm_id>& excluded,
                                            bool for_index)
{
    std::vector<vm_id> candidates;
    for (const auto& [peer, state] : peers_)
    {
        if (state.version >= min_version &&
            (!for_index || state.processed_index_version < min_version) &&
            std::ranges::find(excluded, peer) == excluded.end())
        {
            candidates.push_back(peer);
        }
    }
    if (candidates.empty())
    {
        return std::nullopt;
    }
    return candidates[random_.below(candidates.size())];
}

std::optional<document_source> set_store::choose_source(const transfer& wanted)
{
    const auto peer =
        choose_peer(wanted.version(), wanted.failed_peers(), wanted.is_index());
    if (wanted.is_index())
    {
        // The index of the configuration service arrives through the watch.
        return peer ? std::optional<document_source>(*peer) : std::nullopt;
    }
    const auto* index_supplier = std::get_if<vm_id>(&candidate_->source);
    const bool use_service = !wanted.service_failed() &&
                             (index_supplier == nullptr || !peer ||
                              wanted.failed_peers().size() >=
                                  settings_.max_failed_peers_before_service);
    if (use_service)
    {
        return configuration_service{};
    }
    if (index_supplier != nullptr && peers_.contains(*index_supplier) &&
        std::ranges::find(wanted.failed_peers(), *index_supplier) ==
            wanted.failed_peers().end())
    {
        return *index_supplier;
    }
    return peer ? std::optional<document_source>(*peer) : std::nullopt;
}

void set_store::start_transfers()
{
    set_version best_version = newest_version();
    for (const auto& [peer, state] : peers_)
    {
        if (state.processed_index_version < state.version)
        {
            best_version = std::max(best_version, state.version);
        }
    }
    if (best_version > newest_version() && !index_transfer_)
    {
        index_transfer_.emplace(best_version);
    }
    if (!candidate_)
    {
        chunk_transfers_.clear();
        return;
    }
    for (const chunk_entry& entry : candidate_->index.chunks)
    {
        if (chunk_transfers_.size() >= settings_.max_chunk_transfers)
        {
            break;
        }
        if (!candidate_->chunks.contains(entry.hash))
        {
            chunk_transfers_.try_emplace(entry.hash, candidate_->index.version,
                                         entry.name, entry.hash, entry.size);
        }
    }
}

void set_store::advance_transfer(transfer& each, instant now,
                                 store_outputs& out)
{
    if (each.is_waiting(now))
    {
        return;
    }
    if (!each.source())
    {
        const auto source = choose_source(each);
        if (!source)
        {
            each.restart_at(now + settings_.retry_delay);
            return;
        }
        each.assign(*source, now + settings_.read_timeout);
        if (std::holds_alternative<configuration_service>(*source))
        {
            out.emplace_back(read_chunk{each.name(), each.hash(), each.size()});
        }
    }
    for (chunk_request& request : each.due_requests(now, random_, settings_))
    {
        out.emplace_back(send_chunk_request{std::get<vm_id>(*each.source()),
                                            std::move(request)});
    }
}

void set_store::advance_transfers(instant now, store_outputs& out)
{
    if (index_transfer_)
    {
        advance_transfer(*index_transfer_, now, out);
    }
    for (auto& [hash, each] : chunk_transfers_)
    {
        advance_transfer(each, now, out);
    }
}

void set_store::advance(instant now, store_outputs& out)
{
    finish_candidate(now, out);
    start_transfers();
    advance_transfers(now, out);
}

} // namespace catkinkeel
