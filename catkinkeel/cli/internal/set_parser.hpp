#pragma once

// Combines the documents of one published set.

#include "catkinkeel/cli/published_set_tools.hpp"
#include "catkinkeel/contract/published_set.hpp"

#include <vector>

namespace catkinkeel::cli_internal
{

/// The objects of a set and the errors found while reading its documents. The
/// objects are complete only if there are no findings.
struct parsed_set
{
    published_objects objects;
    std::vector<set_finding> findings;
};

/// Parses the documents and combines them. Reports errors within a document,
/// and errors of the combination such as a missing chunk.
parsed_set parse_set(const std::vector<object_document>& documents);

/// Returns the rule violations of a set that was parsed without findings. If
/// there are none, returns its warnings if `include_warnings`.
std::vector<set_finding>
check_set_rules(const parsed_set& candidate,
                const std::vector<object_document>& documents,
                bool include_warnings);

} // namespace catkinkeel::cli_internal
