#include "catkinkeel/link/internal/packed_lists.hpp"

#include "catkinkeel/link/internal/byte_block.hpp"

#include <algorithm>
#include <cstddef>
#include <map>
#include <utility>

namespace catkinkeel::internal
{

namespace
{

constexpr std::size_t address_bytes = 4;
constexpr std::size_t port_bytes = 2;

// Flag in the state byte of a packed member update; the low bits are the state.
// The address for packets is that of the control endpoint.
constexpr std::uint8_t same_address_flag = 0x80;

// The first byte of a group of exceptions: flags, and in bits 2 and 3 the
// number of bytes of each target identifier, minus 1.

// The flows are UDP; TCP if not set.
constexpr std::uint8_t udp_flag = 0x01;
// At least one flow has ended. A bitmap with one bit per flow, set for an ended
// flow, follows the flows.
constexpr std::uint8_t ended_bitmap_flag = 0x02;
// Position and mask of the number of bytes of a target identifier, minus 1.
constexpr unsigned target_width_shift = 2;
constexpr std::uint8_t target_width_mask = 0x03;
// The group has the port of the previous group.
constexpr std::uint8_t same_port_flag = 0x10;
// The group has one flow; its count is omitted.
constexpr std::uint8_t single_flow_flag = 0x20;
constexpr std::uint8_t group_flags_mask = 0x3f;

void put_endpoint(block_writer& out, const endpoint& value)
{
    out.put(value.address.value, address_bytes);
    out.put(value.port, port_bytes);
}

bool get_endpoint(block_reader& in, endpoint& into)
{
    return in.get(into.address.value) && in.get(into.port);
}

std::size_t byte_width_of(std::uint32_t value)
{
    std::size_t width = 1;
    while (width < 4 && (value >> (8 * width)) != 0)
    {
        ++width;
    }
    return width;
}

/// Zigzag encoding: maps differences close to 0 of either sign to small
/// unsigned numbers, which are short as variable-length integers.
std::uint32_t zigzag(std::int32_t value)
{
    return (static_cast<std::uint32_t>(value) << 1U) ^
           static_cast<std::uint32_t>(value >> 31);
}

std::int32_t unzigzag(std::uint32_t value)
{
    return static_cast<std::int32_t>(value >> 1U) ^
           -static_cast<std::int32_t>(value & 1U);
}

bool get_member_update(block_reader& in, member_update& into)
{
    std::uint8_t flags = 0;
    if (!in.get_varint(into.id.value) ||
        !in.get_varint(into.data_centre.value) ||
        !get_endpoint(in, into.control) || !in.get(flags))
    {
        return false;
    }
    const auto state = static_cast<std::uint8_t>(flags & ~same_address_flag);
    if (state > static_cast<std::uint8_t>(liveness::left))
    {
        return false;
    }
    into.state = static_cast<liveness>(state);
    into.packets.address = into.control.address;
    return ((flags & same_address_flag) != 0 ||
            in.get(into.packets.address.value)) &&
           in.get(into.packets.port) && in.get_varint(into.incarnation);
}

/// Exceptions of one public address, in the order of the original list.
struct exception_group
{
    public_address address;
    std::vector<flow_exception> flows;
};

/// Returns groups sorted by address. The format requires this order: it stores
/// the difference to the previous address as an unsigned number. Sorting also
/// keeps the differences small.
std::vector<exception_group>
group_by_address(const std::vector<flow_exception>& list)
{
    std::map<public_address, std::vector<flow_exception>> by_address;
    for (const flow_exception& each : list)
    {
        by_address[{each.key.service_side, each.key.transport}].push_back(each);
    }
    std::vector<exception_group> groups;
    groups.reserve(by_address.size());
    for (auto& [address, flows] : by_address)
    {
        groups.push_back({address, std::move(flows)});
    }
    return groups;
}

void put_group(block_writer& out, const exception_group& group,
               const endpoint& previous)
{
    std::uint32_t max_target_id = 0;
    bool any_ended = false;
    for (const flow_exception& each : group.flows)
    {
        max_target_id = std::max(max_target_id, each.target.value);
        any_ended = any_ended || each.ended;
    }
    const std::size_t target_width = byte_width_of(max_target_id);
    const endpoint& group_endpoint = group.address.where;
    const bool same_port = group_endpoint.port == previous.port;
    const bool single = group.flows.size() == 1;
    out.put((group.address.transport == protocol::udp ? udp_flag : 0U) |
                (any_ended ? ended_bitmap_flag : 0U) |
                ((target_width - 1) << target_width_shift) |
                (same_port ? same_port_flag : 0U) |
                (single ? single_flow_flag : 0U),
            1);
    out.put_varint(group_endpoint.address.value - previous.address.value);
    if (!same_port)
    {
        out.put(group_endpoint.port, port_bytes);
    }
    if (!single)
    {
        out.put_varint(group.flows.size());
    }
    for (const flow_exception& each : group.flows)
    {
        put_endpoint(out, each.key.caller);
        out.put(each.target.value, target_width);
    }
    if (!any_ended)
    {
        return;
    }
    for (std::size_t first = 0; first < group.flows.size(); first += 8)
    {
        std::uint8_t bits = 0;
        const std::size_t end = std::min(first + 8, group.flows.size());
        for (std::size_t i = first; i < end; ++i)
        {
            bits |= static_cast<std::uint8_t>(
                static_cast<unsigned>(group.flows[i].ended) << (i - first));
        }
        out.put(bits, 1);
    }
}

bool get_ended(block_reader& in, std::span<flow_exception> flows)
{
    for (std::size_t first = 0; first < flows.size(); first += 8)
    {
        std::uint8_t bits = 0;
        if (!in.get(bits))
        {
            return false;
        }
        const std::size_t end = std::min(first + 8, flows.size());
        for (std::size_t i = first; i < end; ++i)
        {
            flows[i].ended = ((bits >> (i - first)) & 1U) != 0;
        }
    }
    return true;
}

/// `group_endpoint` is the endpoint of the previous group on entry and of this
/// group on return.
bool get_group(block_reader& in, endpoint& group_endpoint,
               std::vector<flow_exception>& list)
{
    std::uint8_t flags = 0;
    std::uint32_t difference = 0;
    if (!in.get(flags) || flags > group_flags_mask ||
        !in.get_varint(difference) ||
        difference > std::numeric_limits<std::uint32_t>::max() -
                         group_endpoint.address.value ||
        ((flags & same_port_flag) == 0 && !in.get(group_endpoint.port)))
    {
        return false;
    }
    group_endpoint.address.value += difference;
    const protocol transport =
        (flags & udp_flag) != 0 ? protocol::udp : protocol::tcp;
    const std::size_t target_width =
        ((flags >> target_width_shift) & target_width_mask) + 1U;
    std::size_t count = 1;
    if ((flags & single_flow_flag) == 0 &&
        !in.get_count(count, address_bytes + port_bytes + target_width))
    {
        return false;
    }
    const std::size_t first = list.size();
    for (std::size_t i = 0; i < count; ++i)
    {
        flow_exception each;
        each.key.service_side = group_endpoint;
        each.key.transport = transport;
        if (!get_endpoint(in, each.key.caller) ||
            !in.get(each.target.value, target_width))
        {
            return false;
        }
        list.push_back(each);
    }
    return (flags & ended_bitmap_flag) == 0 ||
           get_ended(in, std::span(list).subspan(first));
}

} // namespace

byte_buffer pack_list(const std::vector<member_update>& list)
{
    block_writer out;
    out.put_varint(list.size());
    for (const member_update& each : list)
    {
        const bool same_address = each.control.address == each.packets.address;
        out.put_varint(each.id.value);
        out.put_varint(each.data_centre.value);
        put_endpoint(out, each.control);
        out.put(static_cast<std::uint8_t>(each.state) |
                    (same_address ? same_address_flag : 0U),
                1);
        if (!same_address)
        {
            out.put(each.packets.address.value, address_bytes);
        }
        out.put(each.packets.port, port_bytes);
        out.put_varint(each.incarnation);
    }
    return out.bytes();
}

bool unpack_list(byte_view block, std::vector<member_update>& list)
{
    constexpr std::size_t min_update_bytes = 12;
    block_reader in(block);
    std::size_t count = 0;
    if (!in.get_count(count, min_update_bytes))
    {
        return false;
    }
    list.resize(count);
    return std::ranges::all_of(list, [&](member_update& each)
                               { return get_member_update(in, each); }) &&
           in.at_end();
}

byte_buffer pack_list(const std::vector<bucket_id>& list)
{
    block_writer out;
    out.put_varint(list.size());
    std::int32_t previous = 0;
    for (const bucket_id each : list)
    {
        out.put_varint(zigzag(each.value - previous));
        previous = each.value;
    }
    return out.bytes();
}

bool unpack_list(byte_view block, std::vector<bucket_id>& list)
{
    block_reader in(block);
    std::size_t count = 0;
    if (!in.get_count(count, 1))
    {
        return false;
    }
    list.reserve(count);
    std::int64_t previous = 0;
    for (std::size_t i = 0; i < count; ++i)
    {
        std::uint32_t difference = 0;
        if (!in.get_varint(difference))
        {
            return false;
        }
        previous += unzigzag(difference);
        if (previous < 0 ||
            previous > std::numeric_limits<std::uint16_t>::max())
        {
            return false;
        }
        list.push_back({static_cast<std::uint16_t>(previous)});
    }
    return in.at_end();
}

byte_buffer pack_list(const std::vector<weighted_target>& list)
{
    block_writer out;
    out.put_varint(list.size());
    for (const weighted_target& each : list)
    {
        out.put_varint(each.id.value);
        out.put_varint(each.weight);
    }
    return out.bytes();
}

bool unpack_list(byte_view block, std::vector<weighted_target>& list)
{
    block_reader in(block);
    std::size_t count = 0;
    if (!in.get_count(count, 2))
    {
        return false;
    }
    list.resize(count);
    return std::ranges::all_of(list,
                               [&](weighted_target& each) {
                                   return in.get_varint(each.id.value) &&
                                          in.get_varint(each.weight);
                               }) &&
           in.at_end();
}

byte_buffer pack_list(const std::vector<flow_exception>& list)
{
    const auto groups = group_by_address(list);
    block_writer out;
    out.put_varint(groups.size());
    endpoint previous;
    for (const exception_group& group : groups)
    {
        put_group(out, group, previous);
        previous = group.address.where;
    }
    return out.bytes();
}

bool unpack_list(byte_view block, std::vector<flow_exception>& list)
{
    constexpr std::size_t min_group_bytes = 3;
    block_reader in(block);
    endpoint group_endpoint;
    std::size_t groups = 0;
    if (!in.get_count(groups, min_group_bytes))
    {
        return false;
    }
    for (std::size_t i = 0; i < groups; ++i)
    {
        if (!get_group(in, group_endpoint, list))
        {
            return false;
        }
    }
    return in.at_end();
}

} // namespace catkinkeel::internal
