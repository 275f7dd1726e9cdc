#include "catkinkeel/edge/evidence_message.hpp"

#include "catkinkeel/edge/internal/message_fields.hpp"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace catkinkeel::edge
{

namespace
{

using nlohmann::json;

/// Notices have version 1.
constexpr int format_version = 2;

constexpr std::size_t document_size = 2 + peer_field_count;
constexpr std::size_t row_size = 5;

failure malformed_evidence()
{
    return {failure_kind::invalid_input, "not a valid evidence message"};
}

bool is_row(const json& row)
{
    constexpr std::uint64_t any = std::numeric_limits<std::uint64_t>::max();
    constexpr std::uint64_t max_start =
        std::numeric_limits<std::int64_t>::max();
    return row.is_array() && row.size() == row_size && is_number(row[0], any) &&
           is_number(row[1], max_start) &&
           is_number(row[2], steering::evidence_kind_count - 1) &&
           is_number(row[3], any) && is_number(row[4], any);
}

} // namespace

std::vector<std::byte> encode_evidence(const evidence_message& message,
                                       instant now)
{
    json rows = json::array();
    for (const steering::target_report& each : message.reports)
    {
        rows.push_back(
            json::array({each.target.identity,
                         static_cast<std::uint64_t>(each.target.started_ms),
                         static_cast<std::uint64_t>(each.kind), each.count,
                         age_ms(each.observed_at, now)}));
    }
    json document = json::array({format_version});
    append_peer(document, message.sender);
    document.push_back(std::move(rows));
    return encode_message(document);
}

bool is_evidence(std::span<const std::byte> bytes)
{
    // How `encode_evidence` writes the size of the array and the version.
    constexpr std::byte array_marker{0x90 + document_size};
    return bytes.size() > 1 && bytes[0] == array_marker &&
           bytes[1] == std::byte{format_version};
}

outcome<evidence_message> decode_evidence(std::span<const std::byte> bytes,
                                          instant arrival)
{
    const json document = decode_message(bytes);
    if (!document.is_array() || document.size() != document_size ||
        document[0] != format_version)
    {
        return malformed_evidence();
    }
    const auto sender = parse_peer(document, 1);
    const json& rows = document[1 + peer_field_count];
    if (!sender || !rows.is_array() || rows.size() > max_message_reports ||
        !std::ranges::all_of(rows, is_row))
    {
        return malformed_evidence();
    }
    evidence_message message{.sender = *sender};
    for (const json& row : rows)
    {
        const auto observed_at =
            parse_time(row[4], arrival, steering::max_evidence_age);
        if (observed_at)
        {
            const auto count = std::min<std::uint64_t>(
                row[3].get<std::uint64_t>(), max_report_count);
            message.reports.push_back(
                {{row[0].get<std::uint64_t>(), row[1].get<std::int64_t>()},
                 static_cast<steering::evidence_kind>(
                     row[2].get<std::uint8_t>()),
                 static_cast<std::uint32_t>(count),
                 *observed_at});
        }
    }
    return message;
}

} // namespace catkinkeel::edge
