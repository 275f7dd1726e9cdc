// The part of `set_store` that chooses sources and drives transfers.

#include "catkinkeel/contract/set_store.hpp"

#include <algorithm>
#include <utility>

namespace catkinkeel
{

using internal::transfer;

std::optional<vm_id> set_store::choose_peer(set_version least,
                                            const std::vector<vm_id>& excluded,
                                            bool for_index)
{
    std::vector<vm_id> suitable;
    for (const auto& [peer, state] : peers_)
    {
        if (state.version >= least && (!for_index || state.useless < least) &&
            std::ranges::find(excluded, peer) == excluded.end())
        {
            suitable.push_back(peer);
        }
    }
    if (suitable.empty())
    {
        return std::nullopt;
    }
    return suitable[random_.below(suitable.size())];
}

std::optional<document_source> set_store::choose_source(const transfer& wanted)
{
    const auto peer =
        choose_peer(wanted.version(), wanted.failed_peers(), wanted.is_index());
    if (wanted.is_index())
    {
        // The configuration service is watched for the index anyway.
        return peer ? std::optional<document_source>(*peer) : std::nullopt;
    }
    const auto* first = std::get_if<vm_id>(&candidate_->source);
    const bool service_next =
        !wanted.service_failed() &&
        (first == nullptr || !peer ||
         wanted.failed_peers().size() >= settings_.peers_before_service);
    if (service_next)
    {
        return configuration_service{};
    }
    if (first != nullptr && peers_.contains(*first) &&
        std::ranges::find(wanted.failed_peers(), *first) ==
            wanted.failed_peers().end())
    {
        return *first;
    }
    return peer ? std::optional<document_source>(*peer) : std::nullopt;
}

void set_store::start_transfers()
{
    set_version best = newest();
    for (const auto& [peer, state] : peers_)
    {
        if (state.useless < state.version)
        {
            best = std::max(best, state.version);
        }
    }
    if (best > newest() && !index_transfer_)
    {
        index_transfer_.emplace(best);
    }
    if (!candidate_)
    {
        chunk_transfers_.clear();
        return;
    }
    for (const chunk_entry& entry : candidate_->index.chunks)
    {
        if (chunk_transfers_.size() >= settings_.transfers)
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

void set_store::drive(transfer& each, instant now, store_outputs& out)
{
    if (each.waits(now))
    {
        return;
    }
    if (!each.source())
    {
        const auto source = choose_source(each);
        if (!source)
        {
            each.start_over(now + settings_.retry_wait);
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
        out.emplace_back(
            ask_peer{std::get<vm_id>(*each.source()), std::move(request)});
    }
}

void set_store::drive_transfers(instant now, store_outputs& out)
{
    if (index_transfer_)
    {
        drive(*index_transfer_, now, out);
    }
    for (auto& [hash, each] : chunk_transfers_)
    {
        drive(each, now, out);
    }
}

void set_store::advance(instant now, store_outputs& out)
{
    finish_candidate(now, out);
    start_transfers();
    drive_transfers(now, out);
}

} // namespace catkinkeel
