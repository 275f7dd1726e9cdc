#include "catkinkeel/vm/parse_vm_list.hpp"

#include <toml.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>
#include <sstream>
#include <string_view>
#include <utility>

namespace catkinkeel
{

namespace
{

constexpr std::array state_names{
    std::pair<std::string_view, listed_vm_state>{"live", listed_vm_state::live},
    std::pair<std::string_view, listed_vm_state>{"leaving",
                                                 listed_vm_state::leaving}};

failure invalid(std::string message)
{
    return {failure_kind::invalid_input, "VM list: " + std::move(message)};
}

template <class Id>
outcome<Id> read_id(const toml::value& entry, const char* key)
{
    using rep = decltype(Id::value);
    if (!entry.contains(key) || !entry.at(key).is_integer())
    {
        return invalid(std::string(key) + " is missing or not an integer");
    }
    const std::int64_t value = entry.at(key).as_integer();
    if (value < 0 ||
        value > static_cast<std::int64_t>(std::numeric_limits<rep>::max()))
    {
        return invalid(std::string(key) + " " + std::to_string(value) +
                       " is out of range");
    }
    return Id{static_cast<rep>(value)};
}

outcome<endpoint> read_endpoint(const toml::value& entry, const char* key)
{
    if (!entry.contains(key) || !entry.at(key).is_string())
    {
        return invalid(std::string(key) + " is missing or not a string");
    }
    return parse_endpoint(entry.at(key).as_string().str);
}

outcome<listed_vm_state> read_state(const toml::value& entry)
{
    if (!entry.contains("state"))
    {
        return listed_vm_state::live;
    }
    if (entry.at("state").is_string())
    {
        const std::string& name = entry.at("state").as_string().str;
        for (const auto& [text, state] : state_names)
        {
            if (text == name)
            {
                return state;
            }
        }
    }
    return invalid("state is neither \"live\" nor \"leaving\"");
}

outcome<listed_vm> read_vm(const toml::value& entry)
{
    if (!entry.is_table())
    {
        return invalid("a vm entry is not a table");
    }
    const auto id = read_id<vm_id>(entry, "id");
    const auto data_centre = read_id<data_centre_id>(entry, "data_centre");
    const auto control = read_endpoint(entry, "control");
    const auto packets = read_endpoint(entry, "packets");
    const auto state = read_state(entry);
    if (!id)
    {
        return id.error();
    }
    if (!data_centre)
    {
        return data_centre.error();
    }
    if (!control)
    {
        return control.error();
    }
    if (!packets)
    {
        return packets.error();
    }
    if (!state)
    {
        return state.error();
    }
    return listed_vm{id.value(), data_centre.value(), control.value(),
                     packets.value(), state.value()};
}

outcome<vm_list> read_list(const toml::value& document, instant read_at)
{
    vm_list list{read_at, {}};
    if (!document.contains("vm"))
    {
        return invalid("the document has no [[vm]] entry");
    }
    if (!document.at("vm").is_array())
    {
        return invalid("vm is not an array of tables");
    }
    const auto& entries = document.at("vm").as_array();
    if (entries.size() > max_listed_vms)
    {
        return failure{failure_kind::limit_exceeded,
                       "VM list: more than " + std::to_string(max_listed_vms) +
                           " entries"};
    }
    for (const toml::value& entry : entries)
    {
        const auto vm = read_vm(entry);
        if (!vm)
        {
            return vm.error();
        }
        list.vms.push_back(vm.value());
    }
    std::ranges::sort(list.vms);
    const auto duplicate =
        std::ranges::adjacent_find(list.vms, {}, &listed_vm::id);
    if (duplicate != list.vms.end())
    {
        return invalid("id " + std::to_string(duplicate->id.value) +
                       " appears twice");
    }
    return list;
}

} // namespace

outcome<vm_list> parse_vm_list(const std::string& text, instant read_at)
{
    // toml11 reports malformed documents only by exceptions.
    try
    {
        std::istringstream stream(text);
        return read_list(toml::parse(stream, "vm list"), read_at);
    }
    catch (const std::exception& error)
    {
        return invalid(error.what());
    }
}

} // namespace catkinkeel
