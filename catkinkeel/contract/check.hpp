#pragma once

// Validates a whole set before it takes effect. The rules are rows of tables;
// docs/objects.md lists them.

#include "catkinkeel/contract/errors.hpp"
#include "catkinkeel/contract/published_set.hpp"

#include <string_view>
#include <vector>

namespace catkinkeel
{

/// Maximum number of errors reported for one set. It bounds the memory that the
/// errors take when every target of a set is invalid.
inline constexpr std::size_t max_object_error_count = 1000;

/// All rule violations in `objects`, in the order of the rules, at most
/// `max_object_error_count`. Empty if the set may take effect. The result
/// depends on this set alone, because daemons that received different earlier
/// versions must agree on whether a version takes effect.
std::vector<object_error> check_objects(const published_objects& objects);

/// Valid but probably unintended contents of `objects`, including changes from
/// the set in effect so far, at most `max_object_error_count`. `previous` is
/// null if no set is in effect; `objects` must have passed `check_objects`.
std::vector<object_error> find_warnings(const published_objects& objects,
                                        const published_set* previous);

/// The identifiers of all rules of `check_objects` and of `find_warnings`.
std::vector<std::string_view> rule_ids();
std::vector<std::string_view> warning_ids();

} // namespace catkinkeel
