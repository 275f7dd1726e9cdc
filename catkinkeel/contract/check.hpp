#pragma once

// Validation of a set as a whole, before it takes effect. The rules are rows
// of tables; docs/objects.md lists them.

#include "catkinkeel/contract/errors.hpp"
#include "catkinkeel/contract/published_set.hpp"

#include <string_view>
#include <vector>

namespace catkinkeel
{

/// Errors listed for one set, so that a set in which every target is wrong
/// does not cost memory in proportion.
inline constexpr std::size_t max_object_errors = 1000;

/// Every broken rule of `objects`, in the order of the rules, at most
/// `max_object_errors`. Empty if the set may take effect. The verdict depends
/// on the set alone: daemons that saw different earlier versions must not
/// disagree on whether a version is in effect.
std::vector<object_error> check_objects(const published_objects& objects);

/// What is legal but suspect in `objects`, also compared with the set in
/// effect so far (`previous` may be null), at most `max_object_errors`.
/// `objects` must have passed `check_objects`.
std::vector<object_error> check_warnings(const published_objects& objects,
                                         const published_set* previous);

/// The identifiers of all rules of `check_objects` and of `check_warnings`.
std::vector<std::string_view> rule_ids();
std::vector<std::string_view> warning_ids();

} // namespace catkinkeel
