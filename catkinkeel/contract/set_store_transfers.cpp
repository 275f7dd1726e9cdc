// The functions of `set_store` that choose sources and run transfers.

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

std::optional<document_source> set_store::choose_source(const transfer& pending)
{
    const auto peer = choose_peer(pending.version(), pending.failed_peers(),
                                  pending.is_index());
    if (pending.is_index())
    {
        // The caller reads the index of the configuration service by long poll
        // and passes it in without a request.
        return peer ? std::optional<document_source>(*peer) : std::nullopt;
    }
    const auto* index_supplier = std::get_if<vm_id>(&candidate_->source);
    // A peer that supplied the index had the set in effect and so has its
    // chunks. Peers are then preferred, to keep the read load off the
    // configuration service.
    const bool use_service = !pending.service_failed() &&
                             (index_supplier == nullptr || !peer ||
                              pending.failed_peers().size() >=
                                  settings_.max_failed_peers_before_service);
    if (use_service)
    {
        return configuration_service{};
    }
    if (index_supplier != nullptr && peers_.contains(*index_supplier) &&
        std::ranges::find(pending.failed_peers(), *index_supplier) ==
            pending.failed_peers().end())
    {
        return *index_supplier;
    }
    return peer ? std::optional<document_source>(*peer) : std::nullopt;
}

void set_store::start_transfers()
{
    set_version best_version = newest_local_version();
    for (const auto& [peer, state] : peers_)
    {
        if (state.processed_index_version < state.version)
        {
            best_version = std::max(best_version, state.version);
        }
    }
    if (best_version > newest_local_version() && !index_transfer_)
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

void set_store::advance_transfer(transfer& current, instant now,
                                 store_outputs& out)
{
    if (current.is_waiting(now))
    {
        return;
    }
    if (!current.source())
    {
        const auto source = choose_source(current);
        if (!source)
        {
            current.restart_at(now + settings_.retry_delay);
            return;
        }
        current.assign(*source, now + settings_.read_timeout);
        if (std::holds_alternative<configuration_service>(*source))
        {
            out.emplace_back(
                read_chunk{current.name(), current.hash(), current.size()});
        }
    }
    for (chunk_request& request : current.due_requests(now, random_, settings_))
    {
        out.emplace_back(send_chunk_request{std::get<vm_id>(*current.source()),
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

void set_store::process_pending(instant now, store_outputs& out)
{
    finish_candidate(now, out);
    start_transfers();
    advance_transfers(now, out);
}

} // namespace catkinkeel
