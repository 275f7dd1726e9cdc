#include "catkinkeel/cli/internal/set_reading.hpp"

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

using errors = std::vector<document_error>;

/// What a document is; a document that can't be read keeps its errors.
using read_document = std::variant<index_document, published_objects, errors>;

/// A whole-set document has a version, a chunk has none.
bool is_whole(const published_objects& objects)
{
    return objects.version != set_version{};
}

/// Takes the document for what it is with the fewest errors: its kind does not
/// stand in it.
read_document read_one(const object_document& document)
{
    auto index = parse_index(document.text, document.name);
    auto whole = parse_whole_set(document.text, document.name);
    auto chunk = parse_chunk(document.text, document.name);
    if (auto* read = std::get_if<index_document>(&index))
    {
        return std::move(*read);
    }
    for (auto* objects : {&whole, &chunk})
    {
        if (auto* read = std::get_if<published_objects>(objects))
        {
            return std::move(*read);
        }
    }
    errors fewest = std::get<errors>(whole);
    for (const errors& other :
         {std::get<errors>(chunk), std::get<errors>(index)})
    {
        if (other.size() < fewest.size())
        {
            fewest = other;
        }
    }
    return fewest;
}

set_finding of_documents(std::string document, std::string object,
                         std::string rule, std::string message)
{
    return {.document = std::move(document),
            .object = std::move(object),
            .rule = std::move(rule),
            .message = std::move(message)};
}

/// Merges the chunks that the index names.
void put_together(const index_document& index, const std::string& index_name,
                  const std::vector<object_document>& documents,
                  const std::map<std::string, published_objects>& chunks,
                  set_reading& result)
{
    std::map<std::string, const object_document*> by_hash;
    for (const object_document& each : documents)
    {
        by_hash.emplace(content_hash(each.text), &each);
    }
    std::map<std::string, bool> used;
    result.objects.version = index.version;
    result.objects.published_by = index.published_by;
    for (const chunk_entry& entry : index.chunks)
    {
        const auto found = by_hash.find(entry.hash);
        const auto chunk = found == by_hash.end()
                               ? chunks.end()
                               : chunks.find(found->second->name);
        if (chunk == chunks.end() || found->second->text.size() != entry.size)
        {
            result.findings.push_back(of_documents(
                index_name, "chunk " + entry.name, "content",
                "no document has its hash " + entry.hash + " and size"));
            continue;
        }
        used[chunk->first] = true;
        result.objects = merge(std::move(result.objects), chunk->second);
    }
    for (const auto& [name, objects] : chunks)
    {
        if (!used[name])
        {
            result.findings.push_back(of_documents(
                name, "", "content", "the index does not name this chunk"));
        }
    }
}

} // namespace

set_reading read_set(const std::vector<object_document>& documents)
{
    set_reading result;
    std::optional<index_document> index;
    std::string index_name;
    std::optional<published_objects> whole;
    std::size_t heads = 0;
    std::map<std::string, published_objects> chunks;
    for (const object_document& document : documents)
    {
        read_document read = read_one(document);
        if (const auto* wrong = std::get_if<errors>(&read))
        {
            for (const document_error& each : *wrong)
            {
                result.findings.push_back({each.document, each.line,
                                           each.object, each.field, each.rule,
                                           each.message});
            }
        }
        else if (auto* head = std::get_if<index_document>(&read))
        {
            ++heads;
            index = std::move(*head);
            index_name = document.name;
        }
        else if (auto& objects = std::get<published_objects>(read);
                 is_whole(objects))
        {
            ++heads;
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
    if (heads != 1 || (whole && !chunks.empty()))
    {
        result.findings.push_back(of_documents(
            "", "", "documents",
            "a set is one whole-set document, or one index and its chunks"));
    }
    else if (whole)
    {
        result.objects = std::move(*whole);
    }
    else
    {
        put_together(*index, index_name, documents, chunks, result);
    }
    return result;
}

std::vector<set_finding>
check_set_rules(const set_reading& read,
                const std::vector<object_document>& documents, bool warnings)
{
    std::vector<object_error> found = check_objects(read.objects);
    const bool legal = found.empty();
    if (legal && warnings)
    {
        found = find_warnings(read.objects, nullptr);
    }
    std::map<std::pair<object_kind, std::uint64_t>,
             std::vector<std::pair<std::string, std::uint32_t>>>
        places;
    for (const object_document& document : documents)
    {
        for (const object_location& each : find_object_locations(document.text))
        {
            places[{each.kind, each.id}].emplace_back(document.name, each.line);
        }
    }
    std::vector<set_finding> findings;
    for (const object_error& each : found)
    {
        set_finding finding{.object = to_string(each.kind),
                            .field = each.field,
                            .rule = each.rule,
                            .message = each.message,
                            .warning = legal};
        if (each.kind != object_kind::set)
        {
            finding.object += " " + std::to_string(each.id);
            finding.object += each.name.empty() ? "" : " (" + each.name + ")";
        }
        const auto place = places.find({each.kind, each.id});
        if (place != places.end())
        {
            // Of an identifier used twice the later use is the likely mistake.
            std::tie(finding.document, finding.line) = place->second.back();
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
