#pragma once

// JSON encoding of the snapshots that daemons request from each other over
// HTTP.

#include "catkinkeel/base/outcome.hpp"
#include "catkinkeel/steering/objects.hpp"

#include <string>

namespace catkinkeel::edge
{

/// Path of the snapshot on a daemon's control address.
inline constexpr const char* snapshot_path = "/v1/snapshot";

/// Largest snapshot, in bytes; 24,000 targets behind 6,100 addresses take
/// 5.8 MB.
inline constexpr std::size_t max_snapshot_bytes = 16UL * 1024 * 1024;

std::string to_json(const steering::metadata_update& update);

/// Fails with `invalid_input` if `text` is not a valid snapshot.
outcome<steering::metadata_update> parse_snapshot(const std::string& text);

} // namespace catkinkeel::edge
