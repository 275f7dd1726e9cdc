#pragma once

// Errors found while published documents are parsed and validated. Both kinds
// contain the identifier of the violated rule, which docs/objects.md explains.

#include "catkinkeel/base/identifier.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace catkinkeel
{

/// The kind of object that an error concerns.
enum class object_kind : std::uint8_t
{
    set,
    service,
    data_centre,
    target,
    reference
};

/// "set", "service", "data_centre", "target" or "reference".
std::string to_string(object_kind kind);

/// A document that does not follow the published format.
struct document_error
{
    std::string document;
    /// Counted from 1; 0 if the error concerns the whole document.
    std::uint32_t line = 0;
    /// For instance "target 12" or "chunk #3"; empty for the document itself.
    std::string object;
    /// Key of the field; empty if the error does not concern a field.
    std::string field;
    /// Identifier of the violated rule.
    std::string rule;
    std::string message;

    friend auto operator<=>(const document_error&,
                            const document_error&) = default;
};

/// A violation of a rule of the set, by one object or by the set as a whole.
struct object_error
{
    object_kind kind = object_kind::set;
    /// Identifier of the object, or the version if `kind` is `set`.
    std::uint64_t id = 0;
    /// Name of the object; empty for kinds without a name.
    std::string name;
    /// Key of the field; empty if the error does not concern a field.
    std::string field;
    /// Identifier of the violated rule.
    std::string rule;
    std::string message;

    friend auto operator<=>(const object_error&, const object_error&) = default;
};

/// Formats the error as one line for operators.
std::string to_string(const document_error& error);
std::string to_string(const object_error& error);

/// A value parsed from a document, or the errors found in it (at least one).
template <class T>
using parsed = std::variant<T, std::vector<document_error>>;

} // namespace catkinkeel
