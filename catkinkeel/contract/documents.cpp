#include "catkinkeel/contract/documents.hpp"

#include "catkinkeel/contract/internal/toml_text.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace catkinkeel
{

namespace
{

using namespace internal;

constexpr std::array<field_row<service>, 4> service_rows{{
    {"id", true, read_member<service, &service::id>},
    {"name", true, read_member<service, &service::name>},
    {"new_flows_per_second", false,
     read_member<service, &service::new_flows_per_second>},
    {"new_flows_per_second_per_network", false,
     read_member<service, &service::new_flows_per_second_per_network>},
}};

constexpr std::array<field_row<data_centre>, 4> data_centre_rows{{
    {"id", true, read_member<data_centre, &data_centre::id>},
    {"name", true, read_member<data_centre, &data_centre::name>},
    {"region", true, read_member<data_centre, &data_centre::region>},
    {"state", false, read_member<data_centre, &data_centre::wish>},
}};

constexpr std::array<field_row<target>, 9> target_rows{{
    {"id", true, read_member<target, &target::id>},
    {"service", true, read_member<target, &target::service>},
    {"data_centre", true, read_member<target, &target::data_centre>},
    {"address", true, read_member<target, &target::address>},
    {"report", true, read_member<target, &target::report>},
    {"weight", false, read_member<target, &target::weight>},
    {"state", false, read_member<target, &target::wish>},
    {"slots", false, read_member<target, &target::slots>},
    {"connections", false, read_member<target, &target::connections>},
}};

constexpr std::array<field_row<reference>, 4> reference_rows{{
    {"id", true, read_member<reference, &reference::id>},
    {"address", true, read_member<reference, &reference::public_endpoint>},
    {"protocol", true, read_member<reference, &reference::transport>},
    {"service", true, read_member<reference, &reference::service>},
}};

constexpr std::array<field_row<chunk_entry>, 3> chunk_rows{{
    {"name", true, read_member<chunk_entry, &chunk_entry::name>},
    {"hash", true, read_member<chunk_entry, &chunk_entry::hash>},
    {"size", true, read_member<chunk_entry, &chunk_entry::size>},
}};

constexpr std::array<field_row<index_document>, 2> index_rows{{
    {"version", true, read_member<index_document, &index_document::version>},
    {"published_by", false,
     read_member<index_document, &index_document::published_by>},
}};

/// An array of tables in a document that is parsed into a `Whole`: its key and
/// the function that reads its tables into a member list.
template <class Whole>
struct array_row
{
    std::string_view key;
    void (*read)(const toml::value&, std::string_view, Whole&,
                 document_errors&);
};

/// Reads the array of tables `value` into a member of `Whole`.
template <class Whole, auto Member, auto& Rows>
void read_array(const toml::value& value, std::string_view kind, Whole& whole,
                document_errors& errors)
{
    if (!value.is_array())
    {
        errors.add(line_of(value), "", std::string(kind),
                   {"type", "must be an array of tables"});
        return;
    }
    auto& objects = whole.*Member;
    objects.reserve(value.as_array().size());
    using object_type =
        typename std::remove_reference_t<decltype(objects)>::value_type;
    for (const toml::value& table : value.as_array())
    {
        if (errors.full())
        {
            return;
        }
        objects.push_back(read_object<object_type>(table, kind, objects.size(),
                                                   std::span(Rows), errors));
    }
}

constexpr std::array<array_row<published_objects>, 4> object_arrays{{
    {"service",
     read_array<published_objects, &published_objects::services, service_rows>},
    {"data_centre",
     read_array<published_objects, &published_objects::data_centres,
                data_centre_rows>},
    {"target",
     read_array<published_objects, &published_objects::targets, target_rows>},
    {"reference", read_array<published_objects, &published_objects::references,
                             reference_rows>},
}};

constexpr std::array<array_row<index_document>, 1> index_arrays{{
    {"chunk", read_array<index_document, &index_document::chunks, chunk_rows>},
}};

/// Reads the arrays of tables of `document`. Returns the other top-level keys.
template <class Whole, std::size_t Size>
toml::value read_arrays(const toml::value& document,
                        const std::array<array_row<Whole>, Size>& rows,
                        Whole& whole, document_errors& errors)
{
    toml::value other_keys = toml::table{};
    for (const auto& [key, value] : document.as_table())
    {
        const auto row = std::ranges::find(rows, key, &array_row<Whole>::key);
        if (row != rows.end())
        {
            row->read(value, row->key, whole, errors);
        }
        else
        {
            other_keys.as_table().emplace(key, value);
        }
    }
    return other_keys;
}

/// Whether `text` has the form of a result of `content_hash`.
bool is_content_hash(std::string_view text)
{
    return text.size() == 16 &&
           text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

/// Whether `text` is a valid chunk name. The characters are restricted because
/// the name becomes part of a URL path.
bool is_chunk_name(std::string_view text)
{
    return !text.empty() && text.size() <= 64 && text.front() != '.' &&
           text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-_.") ==
               std::string_view::npos;
}

void check_chunks(const index_document& index, document_errors& errors)
{
    std::set<std::string_view> names;
    std::set<std::string_view> hashes;
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < index.chunks.size(); ++i)
    {
        const chunk_entry& each = index.chunks[i];
        const std::string label = "chunk #" + std::to_string(i + 1);
        const auto require = [&](bool valid, std::string field,
                                 std::string rule, std::string message)
        {
            if (!valid)
            {
                errors.add(0, label, std::move(field),
                           {std::move(rule), std::move(message)});
            }
        };
        require(is_chunk_name(each.name), "name", "chunk_name",
                "must be 1 to 64 of a-z, 0-9, '-', '_' and '.', not starting "
                "with '.'");
        require(is_content_hash(each.hash), "hash", "chunk_hash",
                "must be 16 lower-case hexadecimal digits");
        require(each.size <= max_document_bytes, "size", "chunk_size",
                "is above 1 MB");
        require(names.insert(each.name).second, "name", "duplicate_chunk",
                "'" + each.name + "' is named twice");
        require(hashes.insert(each.hash).second, "hash", "duplicate_chunk",
                each.hash + " is named twice");
        total += each.size;
    }
    if (index.chunks.size() > max_chunk_count)
    {
        errors.add(
            0, "", "chunk",
            {"chunk_count",
             "names more than " + std::to_string(max_chunk_count) + " chunks"});
    }
    if (total > max_set_bytes)
    {
        errors.add(0, "", "chunk",
                   {"set_size", "the chunks hold more than " +
                                    std::to_string(max_set_bytes) + " bytes"});
    }
}

template <class T>
parsed<T> value_or_errors(T value, const document_errors& errors)
{
    if (!errors.list().empty())
    {
        return errors.list();
    }
    return value;
}

} // namespace

std::string content_hash(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    const std::uint64_t hash = XXH64(text.data(), text.size(), 0);
    std::string result;
    for (int shift = 60; shift >= 0; shift -= 4)
    {
        result += digits[(hash >> static_cast<unsigned>(shift)) & 0xfU];
    }
    return result;
}

parsed<index_document> parse_index(std::string_view text,
                                   const std::string& name)
{
    const auto document = parse_toml(text, name, max_document_bytes);
    if (const auto* error = std::get_if<document_error>(&document))
    {
        return std::vector{*error};
    }
    document_errors errors(name, max_document_error_count);
    index_document chunk_list;
    const toml::value other_keys = read_arrays(
        std::get<toml::value>(document), index_arrays, chunk_list, errors);
    index_document index = read_object<index_document>(
        other_keys, "", 0,
        std::span<const field_row<index_document>>(index_rows), errors);
    index.chunks = std::move(chunk_list.chunks);
    if (errors.list().empty())
    {
        check_chunks(index, errors);
    }
    return value_or_errors(std::move(index), errors);
}

parsed<published_objects> parse_chunk(std::string_view text,
                                      const std::string& name)
{
    const auto document = parse_toml(text, name, max_document_bytes);
    if (const auto* error = std::get_if<document_error>(&document))
    {
        return std::vector{*error};
    }
    document_errors errors(name, max_document_error_count);
    published_objects objects;
    const toml::value other_keys = read_arrays(std::get<toml::value>(document),
                                               object_arrays, objects, errors);
    // A chunk has no other top-level keys, so all of them are reported.
    struct no_fields
    {
    };
    read_object<no_fields>(other_keys, "", 0, {}, errors);
    return value_or_errors(std::move(objects), errors);
}

parsed<published_objects> parse_whole_set(std::string_view text,
                                          const std::string& name)
{
    const auto document = parse_toml(text, name, max_set_bytes);
    if (const auto* error = std::get_if<document_error>(&document))
    {
        return std::vector{*error};
    }
    document_errors errors(name, max_document_error_count);
    published_objects objects;
    const toml::value other_keys = read_arrays(std::get<toml::value>(document),
                                               object_arrays, objects, errors);
    const auto index = read_object<index_document>(
        other_keys, "", 0,
        std::span<const field_row<index_document>>(index_rows), errors);
    objects.version = index.version;
    objects.published_by = index.published_by;
    return value_or_errors(std::move(objects), errors);
}

published_objects merge(published_objects whole, const published_objects& part)
{
    const auto append = [](auto& to, const auto& from)
    {
        to.insert(to.end(), from.begin(), from.end());
    };
    append(whole.services, part.services);
    append(whole.data_centres, part.data_centres);
    append(whole.targets, part.targets);
    append(whole.references, part.references);
    return whole;
}

} // namespace catkinkeel
