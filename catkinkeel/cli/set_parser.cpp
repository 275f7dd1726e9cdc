#include "catkinkeel/cli/internal/set_parser.hpp"

#include "catkinkeel/contract/check.hpp"
#include "catkinkeel/contract/documents.hpp"
#include "catkinkeel/contract/object_locations.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>
#include <utility>
#include <variant>

namespace catkinkeel::cli_internal
{

namespace
{

using document_errors = std::vector<document_error>;

/// An index, the objects of a whole set or of a chunk, or the errors if the
/// document is none of these.
using parsed_document =
    std::variant<index_document, published_objects, document_errors>;

/// Whether the objects come from a whole-set document. It has a version, a
/// chunk has none.
bool is_whole_set(const published_objects& objects)
{
    return objects.version != set_version{};
}

/// Tries to parse the document as an index, a whole set and a chunk, because
/// its text does not state which of them it is. If all fail, returns the
/// shortest of the three lists of errors, since the intended kind likely has
/// the fewest.
parsed_document parse_document(const object_document& document)
{
    auto index = parse_index(document.text, document.name);
    auto whole = parse_whole_set(document.text, document.name);
    auto chunk = parse_chunk(document.text, document.name);
    if (auto* content = std::get_if<index_document>(&index))
    {
        return std::move(*content);
    }
    for (auto* objects : {&whole, &chunk})
    {
        if (auto* content = std::get_if<published_objects>(objects))
        {
            return std::move(*content);
        }
    }
    document_errors shortest_errors = std::get<document_errors>(whole);
    for (const document_errors& other :
         {std::get<document_errors>(chunk), std::get<document_errors>(index)})
    {
        if (other.size() < shortest_errors.size())
        {
            shortest_errors = other;
        }
    }
    return shortest_errors;
}

set_finding make_finding(std::string document, std::string object,
                         std::string rule, std::string message)
{
    return {.document = std::move(document),
            .object = std::move(object),
            .rule = std::move(rule),
            .message = std::move(message)};
}

/// Merges the chunks that the index lists into `result`. Chunks are matched by
/// content hash and size. Reports listed chunks without a document and chunks
/// that the index does not list.
void merge_chunks(const index_document& index, const std::string& index_name,
                  const std::vector<object_document>& documents,
                  const std::map<std::string, published_objects>& chunks,
                  parsed_set& result)
{
    std::map<std::string, const object_document*> by_hash;
    for (const object_document& document : documents)
    {
        by_hash.emplace(content_hash(document.text), &document);
    }
    std::map<std::string, bool> used;
    result.objects.version = index.version;
    result.objects.published_by = index.published_by;
    for (const chunk_entry& entry : index.chunks)
    {
        const auto match = by_hash.find(entry.hash);
        const auto chunk = match == by_hash.end()
                               ? chunks.end()
                               : chunks.find(match->second->name);
        if (chunk == chunks.end() || match->second->text.size() != entry.size)
        {
            result.findings.push_back(make_finding(
                index_name, "chunk " + entry.name, "content",
                "no document has its hash " + entry.hash + " and its size"));
            continue;
        }
        used[chunk->first] = true;
        result.objects = merge(std::move(result.objects), chunk->second);
    }
    for (const auto& [name, objects] : chunks)
    {
        if (!used[name])
        {
            result.findings.push_back(make_finding(
                name, "", "content", "the index does not list this chunk"));
        }
    }
}

} // namespace

parsed_set parse_set(const std::vector<object_document>& documents)
{
    parsed_set result;
    std::optional<index_document> index;
    std::string index_name;
    std::optional<published_objects> whole;
    // Number of indexes and whole-set documents; a set has one of them.
    std::size_t root_document_count = 0;
    std::map<std::string, published_objects> chunks;
    for (const object_document& document : documents)
    {
        parsed_document content = parse_document(document);
        if (const auto* parse_errors = std::get_if<document_errors>(&content))
        {
            for (const document_error& error : *parse_errors)
            {
                result.findings.push_back({error.document, error.line,
                                           error.object, error.field,
                                           error.rule, error.message});
            }
        }
        else if (auto* parsed_index = std::get_if<index_document>(&content))
        {
            ++root_document_count;
            index = std::move(*parsed_index);
            index_name = document.name;
        }
        else if (auto& objects = std::get<published_objects>(content);
                 is_whole_set(objects))
        {
            ++root_document_count;
            whole = std::move(objects);
        }
        else
        {
            chunks.emplace(document.name, std::move(objects));
        }
    }
    if (!result.findings.empty())
    {
        return result;
    }
    if (root_document_count != 1 || (whole && !chunks.empty()))
    {
        result.findings.push_back(make_finding(
            "", "", "documents",
            "a set is one whole-set document, or one index and its chunks"));
    }
    else if (whole)
    {
        result.objects = std::move(*whole);
    }
    else
    {
        merge_chunks(*index, index_name, documents, chunks, result);
    }
    return result;
}

std::vector<set_finding>
check_set_rules(const parsed_set& candidate,
                const std::vector<object_document>& documents,
                bool include_warnings)
{
    std::vector<object_error> errors_or_warnings =
        check_objects(candidate.objects);
    const bool is_valid = errors_or_warnings.empty();
    if (is_valid && include_warnings)
    {
        errors_or_warnings =
            find_warnings(candidate.objects, /*previous=*/nullptr);
    }
    std::map<std::pair<object_kind, std::uint64_t>,
             std::vector<std::pair<std::string, std::uint32_t>>>
        locations;
    for (const object_document& document : documents)
    {
        for (const object_location& table :
             find_object_locations(document.text))
        {
            locations[{table.kind, table.id}].emplace_back(document.name,
                                                           table.line);
        }
    }
    // Warnings are looked for only if there are no errors, so the findings are
    // all errors or all warnings.
    std::vector<set_finding> findings;
    for (const object_error& error_or_warning : errors_or_warnings)
    {
        set_finding finding{.object = to_string(error_or_warning.kind),
                            .field = error_or_warning.field,
                            .rule = error_or_warning.rule,
                            .message = error_or_warning.message,
                            .warning = is_valid};
        if (error_or_warning.kind != object_kind::set)
        {
            finding.object += " " + std::to_string(error_or_warning.id);
            finding.object += error_or_warning.name.empty()
                                  ? ""
                                  : " (" + error_or_warning.name + ")";
        }
        const auto location =
            locations.find({error_or_warning.kind, error_or_warning.id});
        if (location != locations.end())
        {
            // If an identifier is used twice, the later use is more likely to
            // be the mistake.
            std::tie(finding.document, finding.line) = location->second.back();
        }
        else if (documents.size() == 1)
        {
            finding.document = documents.front().name;
        }
        findings.push_back(std::move(finding));
    }
    return findings;
}

} // namespace catkinkeel::cli_internal
