#pragma once

// Lists packed into binary blocks. Each reader fails on a block that is too
// short, too long or out of range.

#include "catkinkeel/link/codec.hpp"

#include <vector>

namespace catkinkeel::internal
{

/// 12 bytes a VM with small identifiers and one address for both endpoints.
byte_buffer pack_list(const std::vector<member_update>& list);
[[nodiscard]] bool unpack_list(byte_view block,
                               std::vector<member_update>& list);

/// Differences between neighbours: 1 to 2 bytes a bucket in sorted lists.
byte_buffer pack_list(const std::vector<bucket_id>& list);
[[nodiscard]] bool unpack_list(byte_view block, std::vector<bucket_id>& list);

byte_buffer pack_list(const std::vector<weighted_target>& list);
[[nodiscard]] bool unpack_list(byte_view block,
                               std::vector<weighted_target>& list);

/// Grouped and ordered by public address: 6 bytes of caller and 1 to 4 bytes of
/// target a flow, 2 to 9 bytes a group (2 for a single flow to an address near
/// the previous one with the same port), and one bit a flow in groups with
/// ended flows.
byte_buffer pack_list(const std::vector<flow_exception>& list);
[[nodiscard]] bool unpack_list(byte_view block,
                               std::vector<flow_exception>& list);

} // namespace catkinkeel::internal
