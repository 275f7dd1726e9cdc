#include "catkinkeel/contract/object_locations.hpp"

#include "catkinkeel/contract/documents.hpp"
#include "catkinkeel/contract/internal/toml_text.hpp"

#include <algorithm>
#include <array>

namespace catkinkeel
{

namespace
{

constexpr std::array kinds{object_kind::service, object_kind::data_centre,
                           object_kind::target, object_kind::reference};

} // namespace

std::vector<object_location> find_object_locations(std::string_view text)
{
    std::vector<object_location> locations;
    const auto document = internal::parse_toml(text, "", max_set_bytes);
    const auto* root = std::get_if<toml::value>(&document);
    if (root == nullptr)
    {
        return locations;
    }
    for (const object_kind kind : kinds)
    {
        const auto found = root->as_table().find(to_string(kind));
        if (found == root->as_table().end() || !found->second.is_array())
        {
            continue;
        }
        for (const toml::value& table : found->second.as_array())
        {
            if (!table.is_table())
            {
                continue;
            }
            const auto id = table.as_table().find("id");
            if (id != table.as_table().end() && id->second.is_integer())
            {
                locations.push_back(
                    {kind, static_cast<std::uint64_t>(id->second.as_integer()),
                     internal::line_of(table)});
            }
        }
    }
    std::ranges::sort(locations, {}, &object_location::line);
    return locations;
}

} // namespace catkinkeel
