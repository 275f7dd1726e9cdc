#pragma once

// Names of objects in findings.

#include "catkinkeel/steering/configuration_draft.hpp"

#include <string>

namespace catkinkeel::configuration_check::internal
{

inline std::string name_of(const steering::reference_configuration& reference,
                           const steering::document_names& names)
{
    return std::string(names.reference) + " " + reference.name;
}

} // namespace catkinkeel::configuration_check::internal
