#pragma once

// Puts the documents of one published set together.

#include "catkinkeel/cli/contract_tools.hpp"
#include "catkinkeel/contract/published_set.hpp"

#include <vector>

namespace catkinkeel::cli_internal
{

/// The objects, which are of use only if there are no findings.
struct set_reading
{
    published_objects objects;
    std::vector<set_finding> findings;
};

/// Findings are errors of documents and of their combination.
set_reading read_set(const std::vector<object_document>& documents);

/// Broken rules of a set that was read without findings, or its warnings if
/// there are none and they are asked for.
std::vector<set_finding>
check_set_rules(const set_reading& read,
                const std::vector<object_document>& documents, bool warnings);

} // namespace catkinkeel::cli_internal
