#pragma once

// Checks a configuration before operators publish it, and compares it with the
// one in force. docs/design/configuration_check.md lists the checks.

#include "catkinkeel/steering/configuration_draft.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace catkinkeel::configuration_check
{

enum class finding_severity : std::uint8_t
{
    /// Daemons reject or ignore the document, or some requests would not reach
    /// the service that they are meant for.
    error,
    /// Daemons use the document, but a part of it has no effect, contradicts
    /// another part or is replaced by a default.
    warning,
    /// A change from the configuration in force; not a fault.
    difference
};

struct finding
{
    finding_severity severity = finding_severity::error;
    /// For example "route booking"; empty for the whole document.
    std::string object;
    std::string message;

    friend auto operator<=>(const finding&, const finding&) = default;
};

/// Returns the errors and warnings of one document.
std::vector<finding>
check_configuration(const steering::configuration_draft& draft,
                    const steering::document_names& names);

/// Returns what changes from the configuration in force to `next`, and an error
/// if daemons would ignore the version of `next`. If a part of either was
/// rejected, only an error says that they cannot be compared.
std::vector<finding>
compare_configurations(const steering::configuration_draft& in_force,
                       const steering::configuration_draft& next,
                       const steering::document_names& names);

/// Whether there is an error or a warning.
bool has_faults(const std::vector<finding>& findings);

/// Returns one line for each finding, and a line with their numbers. Control
/// characters from the document are replaced by '?'.
std::string to_text(const std::vector<finding>& findings);

} // namespace catkinkeel::configuration_check
