#include "catkinkeel/contract/write_documents.hpp"

#include <algorithm>
#include <iomanip>
#include <map>
#include <sstream>
#include <string_view>

namespace catkinkeel
{

namespace
{

/// Formats `text` as a TOML basic string.
std::string quoted(std::string_view text)
{
    std::ostringstream out;
    out << '"';
    for (const char each : text)
    {
        const auto byte = static_cast<unsigned char>(each);
        if (each == '"' || each == '\\')
        {
            out << '\\' << each;
        }
        else if (byte < 0x20 || byte == 0x7f)
        {
            out << "\\u" << std::hex << std::setw(4) << std::setfill('0')
                << static_cast<unsigned>(byte) << std::dec;
        }
        else
        {
            out << each;
        }
    }
    out << '"';
    return out.str();
}

/// Builds TOML text from table headers and lines `key = value`.
class toml_writer
{
public:
    /// Appends the header `[[kind]]` of the next table of an array of tables.
    void table_header(std::string_view kind)
    {
        text_ += "[[" + std::string(kind) + "]]\n";
    }
    void text(std::string_view key, std::string_view value)
    {
        text_ += std::string(key) + " = " + quoted(value) + "\n";
    }
    void number(std::string_view key, std::uint64_t value)
    {
        text_ += std::string(key) + " = " + std::to_string(value) + "\n";
    }
    void number_unless_default(std::string_view key, std::uint64_t value,
                               std::uint64_t default_value)
    {
        if (value != default_value)
        {
            number(key, value);
        }
    }
    [[nodiscard]] const std::string& result() const
    {
        return text_;
    }

private:
    std::string text_;
};

void write(toml_writer& out, const service& object)
{
    out.table_header("service");
    out.number("id", object.id.value);
    out.text("name", object.name);
    out.number_unless_default("new_flows_per_second",
                              object.new_flows_per_second, 0);
    out.number_unless_default("new_flows_per_second_per_network",
                              object.new_flows_per_second_per_network, 0);
}

void write(toml_writer& out, const data_centre& object)
{
    out.table_header("data_centre");
    out.number("id", object.id.value);
    out.text("name", object.name);
    out.number("region", object.region.value);
    if (object.wish == data_centre_wish::out_of_service)
    {
        out.text("state", "out_of_service");
    }
}

void write(toml_writer& out, const target& object)
{
    const target defaults;
    out.table_header("target");
    out.number("id", object.id.value);
    out.number("service", object.service.value);
    out.number("data_centre", object.data_centre.value);
    out.text("address", to_string(object.address));
    out.text("report", to_string(object.report));
    out.number_unless_default("weight", object.weight, defaults.weight);
    if (object.wish == target_wish::drain)
    {
        out.text("state", "drain");
    }
    out.number_unless_default("slots", object.slots, defaults.slots);
    out.number_unless_default("connections", object.connections,
                              defaults.connections);
}

void write(toml_writer& out, const reference& object)
{
    out.table_header("reference");
    out.number("id", object.id.value);
    out.text("address", to_string(object.public_endpoint));
    out.text("protocol", to_string(object.transport));
    out.number("service", object.service.value);
}

void write_objects(toml_writer& out, const published_objects& objects)
{
    const auto write_all = [&](const auto& list)
    {
        for (const auto& each : list)
        {
            write(out, each);
        }
    };
    write_all(objects.data_centres);
    write_all(objects.services);
    write_all(objects.references);
    write_all(objects.targets);
}

void write_header(toml_writer& out, set_version version,
                  const std::string& published_by)
{
    out.number("version", version.value);
    if (!published_by.empty())
    {
        out.text("published_by", published_by);
    }
}

/// Appends one chunk for each range of `ids_per_chunk` identifiers that
/// contains an object of the list `Member`. The ranges are fixed, so adding or
/// removing an object does not move others to another chunk, whose hash would
/// change.
template <auto Member>
void append_chunks(const published_objects& objects, std::string_view kind,
                   std::size_t ids_per_chunk,
                   std::vector<set_documents::chunk>& chunks)
{
    std::map<std::uint64_t, published_objects> ranges;
    for (const auto& each : objects.*Member)
    {
        (ranges[each.id.value / ids_per_chunk].*Member).push_back(each);
    }
    for (const auto& [range_number, range_objects] : ranges)
    {
        std::string text = write_chunk(range_objects);
        const chunk_entry entry{
            std::string(kind) + "-" + std::to_string(range_number),
            content_hash(text), static_cast<std::uint32_t>(text.size())};
        chunks.push_back({entry, std::move(text)});
    }
}

} // namespace

std::string write_index(const index_document& index)
{
    toml_writer out;
    write_header(out, index.version, index.published_by);
    for (const chunk_entry& each : index.chunks)
    {
        out.table_header("chunk");
        out.text("name", each.name);
        out.text("hash", each.hash);
        out.number("size", each.size);
    }
    return out.result();
}

std::string write_chunk(const published_objects& objects)
{
    toml_writer out;
    write_objects(out, objects);
    return out.result();
}

std::string write_whole_set(const published_objects& objects)
{
    toml_writer out;
    write_header(out, objects.version, objects.published_by);
    write_objects(out, objects);
    return out.result();
}

set_documents split_set(const published_objects& objects,
                        std::size_t ids_per_chunk)
{
    set_documents documents;
    append_chunks<&published_objects::data_centres>(
        objects, "data_centre", ids_per_chunk, documents.chunks);
    append_chunks<&published_objects::services>(
        objects, "service", ids_per_chunk, documents.chunks);
    append_chunks<&published_objects::references>(
        objects, "reference", ids_per_chunk, documents.chunks);
    append_chunks<&published_objects::targets>(objects, "target", ids_per_chunk,
                                               documents.chunks);
    index_document index{objects.version, objects.published_by, {}};
    for (const set_documents::chunk& each : documents.chunks)
    {
        index.chunks.push_back(each.entry);
    }
    documents.index = write_index(index);
    return documents;
}

} // namespace catkinkeel
