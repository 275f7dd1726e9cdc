#include "catkinkeel/contract/errors.hpp"

#include <array>
#include <cstddef>

namespace catkinkeel
{

std::string to_string(object_kind kind)
{
    constexpr std::array names{"set", "service", "data_centre", "target",
                               "reference"};
    return names.at(static_cast<std::size_t>(kind));
}

std::string to_string(const document_error& error)
{
    std::string text = error.document;
    text += error.line == 0 ? "" : ":" + std::to_string(error.line);
    text += error.object.empty() ? "" : ": " + error.object;
    text += error.field.empty() ? "" : ": " + error.field;
    return text + ": " + error.message + " [" + error.rule + "]";
}

std::string to_string(const object_error& error)
{
    std::string text = to_string(error.kind);
    text += " " + std::to_string(error.id);
    text += error.name.empty() ? "" : " (" + error.name + ")";
    text += error.field.empty() ? "" : ": " + error.field;
    return text + ": " + error.message + " [" + error.rule + "]";
}

} // namespace catkinkeel
