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

steering_view::steering_view(view_parts parts) : parts_(std::move(parts))
{
    for (std::uint32_t i = 0; i < parts_.references.size(); ++i)
    {
        references_.emplace(parts_.references[i].address, i);
    }
    for (std::uint32_t i = 0; i < parts_.targets.size(); ++i)
    {
        ids_.emplace(parts_.targets[i].id, i);
    }
    index_tokens();
    index_open_targets();
}

void steering_view::index_tokens()
{
    tokens_.reserve(parts_.targets.size());
    for (std::uint32_t i = 0; i < parts_.targets.size(); ++i)
    {
        tokens_.push_back({parts_.targets[i].token, i});
    }
    const auto rank = [&](const token_row& row)
    {
        const view_target& target = parts_.targets[row.target];
        return std::tie(row.token, target.started_ms, target.name);
    };
    std::ranges::sort(tokens_, {}, rank);
    for (std::size_t i = 1; i < tokens_.size(); ++i)
    {
        view_target& later = parts_.targets[tokens_[i].target];
        if (tokens_[i].token == tokens_[i - 1].token &&
            later.standing == target_standing::open)
        {
            later.standing = target_standing::token_taken;
        }
    }
}

void steering_view::index_open_targets()
{
    open_.resize(parts_.services.size());
    for (std::uint32_t i = 0; i < parts_.targets.size(); ++i)
    {
        const view_target& target = parts_.targets[i];
        if (target.standing == target_standing::open)
        {
            open_.at(target.service.value).push_back(i);
        }
    }
}

const view_reference*
steering_view::find_reference(const endpoint& address) const
{
    const auto found = references_.find(address);
    return found == references_.end() ? nullptr
                                      : &parts_.references[found->second];
}

const view_target* steering_view::find_target(const view_reference& reference,
                                              flow_token token) const
{
    if (token == no_token)
    {
        return nullptr;
    }
    auto row = std::ranges::lower_bound(tokens_, token, {}, &token_row::token);
    for (; row != tokens_.end() && row->token == token; ++row)
    {
        const view_target& target = parts_.targets[row->target];
        if (parts_.former_services_unknown ||
            std::ranges::binary_search(reference.permitted, target.service))
        {
            return &target;
        }
    }
    return nullptr;
}

std::span<const std::uint32_t>
steering_view::open_targets(service_id service) const
{
    if (service.value >= open_.size())
    {
        return {};
    }
    return open_[service.value];
}

const view_target* steering_view::find_target(target_id id) const
{
    const auto found = ids_.find(id);
    return found == ids_.end() ? nullptr : &parts_.targets[found->second];
}

} // namespace catkinkeel::steering
