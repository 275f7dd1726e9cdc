#pragma once

// What the offline commands need of the library `contract`: reading published
// documents, validating them as a whole, and comparing two sets.

#include "catkinkeel/base/outcome.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace catkinkeel
{

/// A published document (the index or a chunk) as it stands in a file.
struct object_document
{
    std::string name;
    std::string text;

    friend auto operator<=>(const object_document&,
                            const object_document&) = default;
};

/// One thing that is wrong with a set, or a warning about it.
struct set_finding
{
    /// Name of the document; empty if no one document is to blame.
    std::string document;
    /// From 1; 0 if no line is to blame.
    std::uint32_t line = 0;
    /// The object, for example "reference 5"; may be empty.
    std::string object;
    /// The field; may be empty.
    std::string field;
    /// The rule or warning of docs/objects.md.
    std::string rule;
    std::string message;
    /// The set would take effect in spite of it.
    bool warning = false;

    friend auto operator<=>(const set_finding&, const set_finding&) = default;
};

/// One difference between two sets.
struct set_change
{
    /// "added", "removed", "changed", or "effect" for what the changes do to
    /// flows.
    std::string kind;
    /// Empty for an effect.
    std::string object;
    /// For a change, the fields with their old and new values; for an effect,
    /// a sentence.
    std::string detail;

    friend auto operator<=>(const set_change&, const set_change&) = default;
};

/// A strategy, so that the commands do not depend on how sets are encoded.
class contract_tools
{
public:
    virtual ~contract_tools() = default;

    /// All findings of the set that the documents make up; none that is not a
    /// warning if it would take effect. Text that can't be parsed is a finding.
    [[nodiscard]] virtual std::vector<set_finding>
    check(const std::vector<object_document>& documents) const = 0;

    /// The changes from one set to another. Fails with `invalid_input` if one
    /// of them is not legal.
    [[nodiscard]] virtual outcome<std::vector<set_change>>
    diff(const std::vector<object_document>& before,
         const std::vector<object_document>& after) const = 0;
};

/// Reads the published format of docs/objects.md. The documents of a set are
/// either one whole-set document, or one index and the chunks that it names,
/// which are matched by content.
class published_contract_tools : public contract_tools
{
public:
    [[nodiscard]] std::vector<set_finding>
    check(const std::vector<object_document>& documents) const override;
    [[nodiscard]] outcome<std::vector<set_change>>
    diff(const std::vector<object_document>& before,
         const std::vector<object_document>& after) const override;
};

/// One line: document and line, object, field, message and rule.
std::string to_string(const set_finding& finding);

} // namespace catkinkeel
