#include "catkinkeel/edge/peer_notice.hpp"

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>

namespace catkinkeel::edge
{

namespace
{

using nlohmann::json;

constexpr int format_version = 1;

/// Longest name of a data centre, in bytes.
constexpr std::size_t max_name_bytes = 64;

/// Confirmations older than this are ignored; notices with older sightings are
/// rejected.
constexpr std::uint64_t max_age_ms = 60'000;

std::uint64_t age_ms(instant moment, instant now)
{
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - moment);
    return static_cast<std::uint64_t>(std::max<std::int64_t>(age.count(), 0));
}

json to_json(const peer& daemon)
{
    return json::array({daemon.notice_endpoint.address.value,
                        daemon.notice_endpoint.port, daemon.data_centre});
}

failure malformed_notice()
{
    return {failure_kind::invalid_input, "not a valid peer notice"};
}

bool is_number(const json& value, std::uint64_t max_value)
{
    return value.is_number_unsigned() &&
           value.get<std::uint64_t>() <= max_value;
}

/// Reads the three fields of a peer from `position` of an array.
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

std::optional<instant> parse_time(const json& value, instant arrival)
{
    if (!is_number(value, max_age_ms))
    {
        return std::nullopt;
    }
    return arrival - std::chrono::milliseconds(value.get<std::int64_t>());
}

} // namespace

std::vector<std::byte> encode_notice(const peer_notice& notice, instant now)
{
    json confirmed = nullptr;
    if (notice.confirmed)
    {
        confirmed = json::array(
            {notice.confirmed->revision, age_ms(notice.confirmed->at, now)});
    }
    json sightings = json::array();
    for (const peer_sighting& each : notice.sightings)
    {
        json row = to_json(each.daemon);
        row.push_back(age_ms(each.seen_at, now));
        sightings.push_back(std::move(row));
    }
    json document = json::array({format_version});
    for (const json& part : to_json(notice.sender))
    {
        document.push_back(part);
    }
    document.push_back(notice.requests_peers);
    document.push_back(std::move(confirmed));
    document.push_back(std::move(sightings));
    const std::vector<std::uint8_t> packed = json::to_msgpack(document);
    std::vector<std::byte> bytes(packed.size());
    std::ranges::transform(packed, bytes.begin(),
                           [](std::uint8_t each) { return std::byte{each}; });
    return bytes;
}

outcome<peer_notice> decode_notice(std::span<const std::byte> bytes,
                                   instant arrival)
{
    constexpr std::size_t field_count = 7;
    if (bytes.size() > max_notice_bytes)
    {
        return malformed_notice();
    }
    const auto* first = reinterpret_cast<const std::uint8_t*>(bytes.data());
    const json document =
        json::from_msgpack(first, first + bytes.size(), true, false);
    if (!document.is_array() || document.size() != field_count ||
        document[0] != format_version || !document[4].is_boolean() ||
        !document[6].is_array() || document[6].size() > max_notice_sightings)
    {
        return malformed_notice();
    }
    const auto sender = parse_peer(document, 1);
    if (!sender)
    {
        return malformed_notice();
    }
    peer_notice notice{.sender = *sender,
                       .requests_peers = document[4].get<bool>()};
    if (!document[5].is_null())
    {
        if (!document[5].is_array() || document[5].size() != 2 ||
            !document[5][0].is_number_unsigned())
        {
            return malformed_notice();
        }
        // A confirmation older than `max_age_ms` is ignored.
        if (const auto at = parse_time(document[5][1], arrival))
        {
            notice.confirmed =
                confirmation{document[5][0].get<std::uint64_t>(), *at};
        }
    }
    for (const json& row : document[6])
    {
        constexpr std::size_t row_size = 4;
        const auto daemon = row.is_array() && row.size() == row_size
                                ? parse_peer(row, 0)
                                : std::nullopt;
        const auto seen_at =
            daemon ? parse_time(row[3], arrival) : std::nullopt;
        if (!seen_at)
        {
            return malformed_notice();
        }
        notice.sightings.push_back({*daemon, *seen_at});
    }
    return notice;
}

} // namespace catkinkeel::edge
