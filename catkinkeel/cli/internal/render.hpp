#pragma once

// Formats the documents of the operators' HTTP endpoint as human-readable text.

#include "catkinkeel/operators/documents.hpp"

#include <string>

namespace catkinkeel::cli_internal
{

/// Formats the state of one daemon. `show_tables` adds the tables of members,
/// data centres, targets and dropped packets.
std::string render_status(const status_document& document, bool show_tables);

std::string render_audit(const audit_document& document);

std::string render_explain(const explain_document& document);

} // namespace catkinkeel::cli_internal
