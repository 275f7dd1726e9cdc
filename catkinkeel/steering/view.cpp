#include "catkinkeel/steering/view.hpp"

#include "catkinkeel/steering/candidate_sampling.hpp"

#include <algorithm>
#include <array>
#include <numeric>
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
    eligible_by_service_.resize(parts_.services.size());
    for (std::uint32_t i = 0; i < parts_.targets.size(); ++i)
    {
        const view_target& target = parts_.targets[i];
        if (target.standing == target_standing::open)
        {
            eligible_by_service_.at(target.service.value).targets.push_back(i);
        }
    }
    for (eligible_index& index : eligible_by_service_)
    {
        if (index.targets.size() > max_candidates)
        {
            order_by_data_centre(index);
        }
    }
}

void steering_view::order_by_data_centre(eligible_index& index) const
{
    // Two linear passes and no sort: a view is built for each change of a
    // target.
    std::vector<std::uint32_t>& begins = index.data_centre_begins;
    begins.resize(parts_.data_centres.size() + 1);
    for (const std::uint32_t target : index.targets)
    {
        ++begins.at(parts_.targets[target].data_centre.value + 1U);
    }
    std::partial_sum(begins.begin(), begins.end(), begins.begin());
    std::vector<std::uint32_t> next = begins;
    std::vector<std::uint32_t> ordered(index.targets.size());
    for (const std::uint32_t target : index.targets)
    {
        ordered[next[parts_.targets[target].data_centre.value]++] = target;
    }
    index.targets = std::move(ordered);
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
    if (service.value >= eligible_by_service_.size())
    {
        return {};
    }
    return eligible_by_service_[service.value].targets;
}

position_range steering_view::eligible_range(service_id service,
                                             data_centre_id data_centre) const
{
    if (service.value >= eligible_by_service_.size())
    {
        return {};
    }
    const std::vector<std::uint32_t>& begins =
        eligible_by_service_[service.value].data_centre_begins;
    if (data_centre.value + 1U >= begins.size())
    {
        return {};
    }
    const std::uint32_t first = begins[data_centre.value];
    return {first, begins[data_centre.value + 1U] - first};
}

const view_target* steering_view::find_target(target_id id) const
{
    const auto found = target_indices_.find(id);
    return found == target_indices_.end() ? nullptr
                                          : &parts_.targets[found->second];
}

} // namespace catkinkeel::steering
