#pragma once

// Errors found while published documents are read and checked. Both kinds name
// the rule that was broken, so that operators can look it up in
// docs/objects.md.

#include "catkinkeel/base/identifier.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace catkinkeel
{

/// What an error is about.
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
    std::string field;
    std::string rule;
    std::string message;

    friend auto operator<=>(const document_error&,
                            const document_error&) = default;
};

/// An object, or the set as a whole, that breaks a rule of the set.
struct object_error
{
    object_kind kind = object_kind::set;
    std::uint64_t id = 0;
    /// Empty for kinds without a name.
    std::string name;
    std::string field;
    std::string rule;
    std::string message;

    friend auto operator<=>(const object_error&, const object_error&) = default;
};

/// One line for operators.
std::string to_string(const document_error& error);
std::string to_string(const object_error& error);

/// A value read from a document, or all errors found in it (at least one).
template <class T>
using parsed = std::variant<T, std::vector<document_error>>;

} // namespace catkinkeel
