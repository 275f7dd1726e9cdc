#pragma once

// Text for people out of the operators' documents.

#include "catkinkeel/operators/documents.hpp"

#include <string>

namespace catkinkeel::cli_internal
{

/// Figures of one daemon; with `tables`, also its members, data centres and
/// targets.
std::string render_status(const status_document& document, bool tables);

std::string render_audit(const audit_document& document);

std::string render_explain(const explain_document& document);

} // namespace catkinkeel::cli_internal
