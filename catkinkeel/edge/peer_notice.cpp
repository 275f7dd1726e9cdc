#include "catkinkeel/edge/peer_notice.hpp"

#include "catkinkeel/edge/internal/message_fields.hpp"

#include <cstdint>
#include <nlohmann/json.hpp>

namespace catkinkeel::edge
{

namespace
{

using nlohmann::json;

constexpr int format_version = 1;

/// Confirmations older than this are ignored; notices with older sightings are
/// rejected.
constexpr duration max_age = 60s;

failure malformed_notice()
{
    return {failure_kind::invalid_input, "not a valid peer notice"};
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
        json row = json::array();
        append_peer(row, each.daemon);
        row.push_back(age_ms(each.seen_at, now));
        sightings.push_back(std::move(row));
    }
    json document = json::array({format_version});
    append_peer(document, notice.sender);
    document.push_back(notice.requests_peers);
    document.push_back(std::move(confirmed));
    document.push_back(std::move(sightings));
    return encode_message(document);
}

outcome<peer_notice> decode_notice(std::span<const std::byte> bytes,
                                   instant arrival)
{
    constexpr std::size_t field_count = 7;
    const json document = decode_message(bytes);
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
        // A confirmation older than `max_age` is ignored.
        if (const auto at = parse_time(document[5][1], arrival, max_age))
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
            daemon ? parse_time(row[3], arrival, max_age) : std::nullopt;
        if (!seen_at)
        {
            return malformed_notice();
        }
        notice.sightings.push_back({*daemon, *seen_at});
    }
    return notice;
}

} // namespace catkinkeel::edge
