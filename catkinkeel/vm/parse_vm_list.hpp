#pragma once

// Parses the platform's VM list, which is a TOML document:
//
//   [[vm]]
//   id = 7
//   data_centre = 2
//   control = "10.0.2.7:7400"
//   packets = "10.0.2.7:6080"
//   state = "live"            # or "leaving"; "live" if absent

#include "catkinkeel/base/outcome.hpp"
#include "catkinkeel/vm/vm_list.hpp"

#include <cstddef>
#include <string>

namespace catkinkeel
{

/// A longer list is rejected. The design size is 2,300 VMs.
inline constexpr std::size_t max_listed_vms = 8192;

/// Parses the whole list. One invalid entry rejects all of it, so that a
/// truncated list is not taken for removals. Fails with `invalid_input` or,
/// above `max_listed_vms`, `limit_exceeded`.
outcome<vm_list> parse_vm_list(const std::string& text, instant read_at);

} // namespace catkinkeel
