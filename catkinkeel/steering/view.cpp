#include "catkinkeel/steering/view.hpp"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace catkinkeel::steering
{

std::string_view to_string(target_standing standing)
{
    constexpr std::array<std::string_view, 5> names{
        "open", "draining", "data_centre_out", "withdrawn", "token_taken"};
    return names.at(static_cast<std::size_t>(standing));
}

steering_view::steering_view(view_data parts) : parts_(std::move(parts))
{
    for (std::uint32_t i = 0; i < parts_.references.size(); ++i)
    {
        reference_indices_.emplace(parts_.references[i].address, i);
    }
    for (std::uint32_t i = 0; i < parts_.targets.size(); ++i)
    {
        target_indices_.emplace(parts_.targets[i].id, i);
    }
    index_tokens();
    index_eligible_targets();
}

void steering_view::index_tokens()
{
    token_entries_.reserve(parts_.targets.size());
    for (std::uint32_t i = 0; i < parts_.targets.size(); ++i)
    {
        token_entries_.push_back({parts_.targets[i].token, i});
    }
    const auto sort_key = [&](const token_entry& entry)
    {
        const view_target& target = parts_.targets[entry.target];
        return std::tie(entry.token, target.started_ms, target.name);
    };
    std::ranges::sort(token_entries_, {}, sort_key);
    for (std::size_t i = 1; i < token_entries_.size(); ++i)
    {
        view_target& later = parts_.targets[token_entries_[i].target];
        if (token_entries_[i].token == token_entries_[i - 1].token &&
            later.standing == target_standing::open)
        {
            later.standing = target_standing::token_taken;
        }
    }
}

void steering_view::index_eligible_targets()
{
    eligible_targets_by_service_.resize(parts_.services.size());
    for (std::uint32_t i = 0; i < parts_.targets.size(); ++i)
    {
        const view_target& target = parts_.targets[i];
        if (target.standing == target_standing::open)
        {
            eligible_targets_by_service_.at(target.service.value).push_back(i);
        }
    }
}

const view_reference*
steering_view::find_reference(const endpoint& address) const
{
    const auto found = reference_indices_.find(address);
    return found == reference_indices_.end()
               ? nullptr
               : &parts_.references[found->second];
}

const view_target* steering_view::find_target(const view_reference& reference,
                                              flow_token token) const
{
    if (token == no_token)
    {
        return nullptr;
    }
    auto entry = std::ranges::lower_bound(token_entries_, token, {},
                                          &token_entry::token);
    for (; entry != token_entries_.end() && entry->token == token; ++entry)
    {
        const view_target& target = parts_.targets[entry->target];
        if (parts_.former_services_unknown ||
            std::ranges::binary_search(reference.permitted_services,
                                       target.service))
        {
            return &target;
        }
    }
    return nullptr;
}

std::span<const std::uint32_t>
steering_view::eligible_targets(service_id service) const
{
    if (service.value >= eligible_targets_by_service_.size())
    {
        return {};
    }
    return eligible_targets_by_service_[service.value];
}

const view_target* steering_view::find_target(target_id id) const
{
    const auto found = target_indices_.find(id);
    return found == target_indices_.end() ? nullptr
                                          : &parts_.targets[found->second];
}

} // namespace catkinkeel::steering
