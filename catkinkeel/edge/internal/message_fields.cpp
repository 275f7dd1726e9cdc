#include "catkinkeel/edge/internal/message_fields.hpp"

#include <algorithm>
#include <chrono>
#include <string>

namespace catkinkeel::edge
{

using nlohmann::json;

namespace
{

/// Longest name of a data centre, in bytes.
constexpr std::size_t max_name_bytes = 64;

} // namespace

std::vector<std::byte> encode_message(const json& document)
{
    const std::vector<std::uint8_t> packed = json::to_msgpack(document);
    std::vector<std::byte> bytes(packed.size());
    std::ranges::transform(packed, bytes.begin(),
                           [](std::uint8_t each) { return std::byte{each}; });
    return bytes;
}

json decode_message(std::span<const std::byte> bytes)
{
    if (bytes.size() > max_message_bytes)
    {
        return {json::value_t::discarded};
    }
    const auto* first = reinterpret_cast<const std::uint8_t*>(bytes.data());
    return json::from_msgpack(first, first + bytes.size(), true, false);
}

void append_peer(json& array, const peer& daemon)
{
    array.push_back(daemon.notice_endpoint.address.value);
    array.push_back(daemon.notice_endpoint.port);
    array.push_back(daemon.data_centre);
}

std::optional<peer> parse_peer(const json& array, std::size_t position)
{
    constexpr std::uint64_t max_address = 0xffffffffU;
    constexpr std::uint64_t max_port = 0xffffU;
    const bool valid = is_number(array[position], max_address) &&
                       is_number(array[position + 1], max_port) &&
                       array[position + 2].is_string();
    if (!valid)
    {
        return std::nullopt;
    }
    peer daemon{.notice_endpoint = {{array[position].get<std::uint32_t>()},
                                    array[position + 1].get<std::uint16_t>()},
                .data_centre = array[position + 2].get<std::string>()};
    if (daemon.notice_endpoint.port == 0 || daemon.data_centre.empty() ||
        daemon.data_centre.size() > max_name_bytes)
    {
        return std::nullopt;
    }
    return daemon;
}

bool is_number(const json& value, std::uint64_t max_value)
{
    return value.is_number_unsigned() &&
           value.get<std::uint64_t>() <= max_value;
}

std::uint64_t age_ms(instant moment, instant now)
{
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(in_milliseconds(now - moment), 0));
}

std::optional<instant> parse_time(const json& value, instant arrival,
                                  duration max_age)
{
    if (!is_number(value, static_cast<std::uint64_t>(in_milliseconds(max_age))))
    {
        return std::nullopt;
    }
    return arrival - std::chrono::milliseconds(value.get<std::int64_t>());
}

} // namespace catkinkeel::edge
