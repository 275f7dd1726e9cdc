#include "catkinkeel/edge/peer_notice.hpp"

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>

namespace catkinkeel::edge
{

namespace
{

using nlohmann::json;

constexpr int format = 1;

/// Longest name of a data centre.
constexpr std::size_t longest_name = 64;

/// A confirmation or sighting older than this says nothing.
constexpr std::uint64_t oldest_ms = 60'000;

std::uint64_t age_ms(instant moment, instant now)
{
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - moment);
    return static_cast<std::uint64_t>(std::max<std::int64_t>(age.count(), 0));
}

json to_json(const peer& who)
{
    return json::array(
        {who.notices.address.value, who.notices.port, who.data_centre});
}

failure malformed()
{
    return {failure_kind::invalid_input, "not a notice"};
}

bool is_number(const json& value, std::uint64_t most)
{
    return value.is_number_unsigned() && value.get<std::uint64_t>() <= most;
}

/// Reads the three fields of a peer from position `at` of an array.
std::optional<peer> peer_at(const json& array, std::size_t at)
{
    constexpr std::uint64_t most_address = 0xffffffffU;
    constexpr std::uint64_t most_port = 0xffffU;
    const bool legal = is_number(array[at], most_address) &&
                       is_number(array[at + 1], most_port) &&
                       array[at + 2].is_string();
    if (!legal)
    {
        return std::nullopt;
    }
    peer who{.notices = {{array[at].get<std::uint32_t>()},
                         array[at + 1].get<std::uint16_t>()},
             .data_centre = array[at + 2].get<std::string>()};
    if (who.notices.port == 0 || who.data_centre.empty() ||
        who.data_centre.size() > longest_name)
    {
        return std::nullopt;
    }
    return who;
}

std::optional<instant> moment_at(const json& value, instant now)
{
    if (!is_number(value, oldest_ms))
    {
        return std::nullopt;
    }
    return now - std::chrono::milliseconds(value.get<std::int64_t>());
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
        json row = to_json(each.who);
        row.push_back(age_ms(each.heard, now));
        sightings.push_back(std::move(row));
    }
    json whole = json::array({format});
    for (const json& part : to_json(notice.sender))
    {
        whole.push_back(part);
    }
    whole.push_back(notice.wants_peers);
    whole.push_back(std::move(confirmed));
    whole.push_back(std::move(sightings));
    const std::vector<std::uint8_t> packed = json::to_msgpack(whole);
    std::vector<std::byte> bytes(packed.size());
    std::ranges::transform(packed, bytes.begin(),
                           [](std::uint8_t each) { return std::byte{each}; });
    return bytes;
}

outcome<peer_notice> decode_notice(std::span<const std::byte> bytes,
                                   instant now)
{
    constexpr std::size_t field_count = 7;
    if (bytes.size() > largest_notice)
    {
        return malformed();
    }
    const auto* first = reinterpret_cast<const std::uint8_t*>(bytes.data());
    const json whole =
        json::from_msgpack(first, first + bytes.size(), true, false);
    if (!whole.is_array() || whole.size() != field_count ||
        whole[0] != format || !whole[4].is_boolean() || !whole[6].is_array() ||
        whole[6].size() > most_sightings)
    {
        return malformed();
    }
    const auto sender = peer_at(whole, 1);
    if (!sender)
    {
        return malformed();
    }
    peer_notice notice{.sender = *sender, .wants_peers = whole[4].get<bool>()};
    if (!whole[5].is_null())
    {
        if (!whole[5].is_array() || whole[5].size() != 2 ||
            !whole[5][0].is_number_unsigned())
        {
            return malformed();
        }
        // An age beyond the limit leaves the notice without a confirmation.
        if (const auto at = moment_at(whole[5][1], now))
        {
            notice.confirmed =
                confirmation{whole[5][0].get<std::uint64_t>(), *at};
        }
    }
    for (const json& row : whole[6])
    {
        constexpr std::size_t row_size = 4;
        const auto who = row.is_array() && row.size() == row_size
                             ? peer_at(row, 0)
                             : std::nullopt;
        const auto heard = who ? moment_at(row[3], now) : std::nullopt;
        if (!heard)
        {
            return malformed();
        }
        notice.sightings.push_back({*who, *heard});
    }
    return notice;
}

} // namespace catkinkeel::edge
