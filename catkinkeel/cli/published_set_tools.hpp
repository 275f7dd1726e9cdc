#pragma once

// Validation and comparison of published sets for the offline commands.

#include "catkinkeel/base/outcome.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace catkinkeel
{

/// The text of one published document: an index, a chunk or a whole set.
struct object_document
{
    /// File name, which findings refer to.
    std::string name;
    std::string text;

    friend auto operator<=>(const object_document&,
                            const object_document&) = default;
};

/// An error in a set, or a warning about it.
struct set_finding
{
    /// Name of the document; empty if the finding concerns no single document.
    std::string document;
    /// Counted from 1; 0 if the finding concerns no single line.
    std::uint32_t line = 0;
    /// The object, for example "reference 5"; may be empty.
    std::string object;
    /// Name of the field; may be empty.
    std::string field;
    /// Identifier of the violated rule or of the warning in docs/objects.md.
    std::string rule;
    std::string message;
    /// True if the set can take effect despite the finding.
    bool warning = false;

    friend auto operator<=>(const set_finding&, const set_finding&) = default;
};

/// One difference between two sets.
struct set_change
{
    /// "added", "removed" or "changed", or "effect" for an effect of the
    /// changes on flows.
    std::string kind;
    /// The object, for example "target 11"; empty for an effect.
    std::string object;
    /// For an added or removed object, its fields and values; for a changed
    /// one, the changed fields with old and new values; for an effect, a
    /// sentence.
    std::string detail;

    friend auto operator<=>(const set_change&, const set_change&) = default;
};

/// Strategy for checking and comparing sets, so that the commands do not depend
/// on the encoding of sets.
class published_set_tools
{
public:
    virtual ~published_set_tools() = default;

    /// Returns the errors of the set that the documents form, or its warnings
    /// if it has no errors and can take effect. Text that can't be parsed is an
    /// error.
    [[nodiscard]] virtual std::vector<set_finding>
    check(const std::vector<object_document>& documents) const = 0;

    /// Returns the changes from one set to another. Fails with `invalid_input`
    /// if one of the sets is invalid.
    [[nodiscard]] virtual outcome<std::vector<set_change>>
    diff(const std::vector<object_document>& before,
         const std::vector<object_document>& after) const = 0;
};

/// Reads the published TOML format of docs/objects.md. The documents of a set
/// are either one whole-set document, or one index and the chunks that it
/// lists, which are matched by content hash and size.
class toml_published_set_tools : public published_set_tools
{
public:
    [[nodiscard]] std::vector<set_finding>
    check(const std::vector<object_document>& documents) const override;
    [[nodiscard]] outcome<std::vector<set_change>>
    diff(const std::vector<object_document>& before,
         const std::vector<object_document>& after) const override;
};

/// Formats a finding as one line: document, line, object, field, message and
/// rule.
std::string to_string(const set_finding& finding);

} // namespace catkinkeel
