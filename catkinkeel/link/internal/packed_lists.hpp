#pragma once

// Encodes lists as binary blocks. Each `unpack_list` returns false for a block
// that is too short or too long or that contains a value out of range.

#include "catkinkeel/link/codec.hpp"

#include <vector>

namespace catkinkeel::internal
{

/// 12 bytes per VM with small identifiers and the same address for both
/// endpoints.
byte_buffer pack_list(const std::vector<member_update>& list);
[[nodiscard]] bool unpack_list(byte_view block,
                               std::vector<member_update>& list);

/// Stores the difference to the previous bucket: 1 to 2 bytes per bucket if the
/// list is sorted.
byte_buffer pack_list(const std::vector<bucket_id>& list);
[[nodiscard]] bool unpack_list(byte_view block, std::vector<bucket_id>& list);

byte_buffer pack_list(const std::vector<weighted_target>& list);
[[nodiscard]] bool unpack_list(byte_view block,
                               std::vector<weighted_target>& list);

/// Grouped and sorted by public address. Each flow takes 6 bytes for the caller
/// and 1 to 4 bytes for the target; each group takes 2 to 9 bytes (2 for a
/// single flow to an address near the previous one with the same port) and one
/// more bit per flow if it has ended flows.
byte_buffer pack_list(const std::vector<flow_exception>& list);
[[nodiscard]] bool unpack_list(byte_view block,
                               std::vector<flow_exception>& list);

} // namespace catkinkeel::internal
