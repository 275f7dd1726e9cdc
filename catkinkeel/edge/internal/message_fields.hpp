#pragma once

// Fields that the messages between daemons share, as MessagePack.

#include "catkinkeel/base/time.hpp"
#include "catkinkeel/edge/peer_table.hpp"

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <vector>

namespace catkinkeel::edge
{

/// Largest encoded message between daemons, in bytes. It fits into one packet
/// of any usual link.
inline constexpr std::size_t max_message_bytes = 1200;

/// Number of array elements that `append_peer` adds.
inline constexpr std::size_t peer_field_count = 3;

std::vector<std::byte> encode_message(const nlohmann::json& document);

/// Returns a discarded value if the bytes are not MessagePack, or too many. A
/// message of `max_message_bytes` cannot be nested deeply enough to exhaust the
/// stack.
nlohmann::json decode_message(std::span<const std::byte> bytes);

void append_peer(nlohmann::json& array, const peer& daemon);

/// Reads the fields of a peer from `position` of an array, which must have
/// `peer_field_count` elements from there on.
std::optional<peer> parse_peer(const nlohmann::json& array,
                               std::size_t position);

/// Whether `value` is an integer from 0 to `max_value`.
bool is_number(const nlohmann::json& value, std::uint64_t max_value);

/// Age of `moment` in whole milliseconds; 0 if it is after `now`.
std::uint64_t age_ms(instant moment, instant now);

/// Returns the time of something that had this age in milliseconds at
/// `arrival`; empty if the age is not a number or above `max_age`.
std::optional<instant> parse_time(const nlohmann::json& value, instant arrival,
                                  duration max_age);

} // namespace catkinkeel::edge
