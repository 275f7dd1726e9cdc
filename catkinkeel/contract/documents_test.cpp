#include "catkinkeel/contract/check.hpp"
#include "catkinkeel/contract/documents.hpp"
#include "catkinkeel/contract/write_documents.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <string>

using namespace catkinkeel;

namespace
{

const std::string good_index = "version = 7\n"
                               "published_by = \"Žofia\"\n"
                               "[[chunk]]\n"
                               "name = \"all\"\n"
                               "hash = \"0123456789abcdef\"\n"
                               "size = 12\n";

const std::string good_chunk = "[[service]]\n"
                               "id = 1\n"
                               "name = \"orderdesk\"\n"
                               "[[data_centre]]\n"
                               "id = 1\n"
                               "name = \"zilina-a\"\n"
                               "region = 1\n"
                               "[[target]]\n"
                               "id = 5\n"
                               "service = 1\n"
                               "data_centre = 1\n"
                               "address = \"10.0.0.1:80\"\n"
                               "report = \"10.0.0.1:81\"\n"
                               "state = \"drain\"\n"
                               "[[reference]]\n"
                               "id = 2\n"
                               "address = \"198.51.100.1:443\"\n"
                               "protocol = \"udp\"\n"
                               "service = 1\n";

template <class T>
std::vector<document_error> errors_of(const parsed<T>& read)
{
    const auto* errors = std::get_if<std::vector<document_error>>(&read);
    return errors == nullptr ? std::vector<document_error>{} : *errors;
}

/// `text` with the first occurrence of `from` replaced by `to`.
std::string replaced(std::string text, const std::string& from,
                     const std::string& to)
{
    const std::size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

/// `text` after one to eight random changes: a byte is replaced, bytes are
/// erased or repeated, a punctuation character is inserted, or the end is cut
/// off.
std::string mutated(std::string text)
{
    const int change_count = *rc::gen::inRange(1, 9);
    for (int i = 0; i < change_count && !text.empty(); ++i)
    {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        switch (*rc::gen::inRange(0, 5))
        {
        case 0:
            text[at] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            text.erase(at, *rc::gen::inRange<std::size_t>(1, 12));
            break;
        case 2:
            text.insert(at, text.substr(at / 2, 20));
            break;
        case 3:
            text.insert(at, 1,
                        *rc::gen::elementOf(std::string("[]{}\"'.=#\n,-")));
            break;
        default:
            text.resize(at);
        }
    }
    return text;
}

} // namespace

// Guards against a field that is read into the wrong member or not at all, and
// against changed defaults of omitted fields.
TEST_CASE("valid documents are read with all fields and defaults")
{
    const auto index = parse_index(good_index);
    REQUIRE(errors_of(index).empty());
    CHECK(std::get<index_document>(index) ==
          index_document{{7}, "Žofia", {{"all", "0123456789abcdef", 12}}});
    const auto chunk = parse_chunk(good_chunk, "all");
    REQUIRE(errors_of(chunk).empty());
    const auto& objects = std::get<published_objects>(chunk);
    CHECK(objects.targets[0] == target{{5},
                                       {1},
                                       {1},
                                       {{0x0a000001}, 80},
                                       {{0x0a000001}, 81},
                                       100,
                                       target_wish::drain});
    CHECK(objects.references[0].transport == protocol::udp);
}

// Guards against an invalid document that is accepted, and against errors that
// point to the wrong place.
TEST_CASE("an error states the document, line, object, field and rule")
{
    struct bad_document
    {
        /// Text of `good_chunk` that is replaced by `to`.
        std::string from;
        std::string to;
        /// Without the message.
        document_error expected_error;
    };
    const std::vector<bad_document> cases{
        {"id = 5", "id = \"5\"", {"c", 9, "target #1", "id", "type", ""}},
        {"service = 1", "", {"c", 8, "target 5", "service", "required", ""}},
        {"service = 1",
         "service = -1",
         {"c", 10, "target 5", "service", "range", ""}},
        {"data_centre = 1",
         "data_centre = 65536",
         {"c", 11, "target 5", "data_centre", "range", ""}},
        {"10.0.0.1:80",
         "10.0.0.1",
         {"c", 12, "target 5", "address", "value", ""}},
        {"\"drain\"", "\"gone\"", {"c", 14, "target 5", "state", "value", ""}},
        {"state =", "sate =", {"c", 14, "target 5", "sate", "unknown_key", ""}},
        {"\"udp\"",
         "\"sctp\"",
         {"c", 18, "reference 2", "protocol", "value", ""}},
        {"name = \"orderdesk\"",
         "name = 3",
         {"c", 3, "service 1", "name", "type", ""}},
        {"[[service]]",
         "colour = 1\n[[service]]",
         {"c", 1, "", "colour", "unknown_key", ""}},
        {"[[service]]", "[service]", {"c", 1, "", "service", "type", ""}},
        {"region = 1", "region = 1 1", {"c", 7, "", "", "syntax", ""}},
        {"region = 1",
         "region = 1\nregion = 2",
         {"c", 8, "", "", "syntax", ""}},
        {"\"orderdesk\"",
         "\"\"\"orderdesk\"\"\"",
         {"c", 3, "", "", "multi_line_string", ""}},
        {"id = 1",
         "id = " + std::string(1100, '1'),
         {"c", 2, "", "", "line_length", ""}},
    };
    for (const bad_document& each : cases)
    {
        auto errors = errors_of(
            parse_chunk(replaced(good_chunk, each.from, each.to), "c"));
        INFO(each.to);
        REQUIRE(errors.size() == 1);
        CHECK(!errors[0].message.empty());
        errors[0].message.clear();
        CHECK(errors[0] == each.expected_error);
    }
}

// Guards against an index that could make a daemon request other paths of the
// configuration service, verify against an invalid hash or use too much memory.
TEST_CASE("an index with an invalid chunk entry is refused")
{
    const std::vector<std::pair<std::string, std::string>> cases{
        {"\"all\"", "\"../all\""},
        {"\"0123", "\"012X"},
        {"size = 12", "size = 1048577"},
        {"version = 7", ""},
        {"version = 7", "version = 7.5"},
        {"size = 12\n", "size = 12\n[[chunk]]\nname = \"all\"\n"
                        "hash = \"0123456789abcdee\"\nsize = 1\n"},
    };
    for (const auto& [from, to] : cases)
    {
        INFO(to);
        CHECK(errors_of(parse_index(replaced(good_index, from, to))).size() ==
              1);
    }
    std::string many = "version = 7\n";
    for (std::size_t i = 0; i <= max_chunk_count; ++i)
    {
        const std::string name = std::to_string(i);
        many += "[[chunk]]\nname=\"" + name + "\"\nhash=\"" +
                content_hash(name) + "\"\nsize=1\n";
    }
    CHECK(errors_of(parse_index(many)).size() == 1);
}

// Guards against a stack overflow: toml11 recurses once for each nested value
// and each component of a dotted key.
TEST_CASE("hostile nesting and size are refused before they exhaust the stack")
{
    const std::string brackets(900, '[');
    std::string arrays = "a =";
    std::string nested = "a = 1\n";
    for (int i = 0; i < 1000; ++i)
    {
        arrays += brackets + "\n";
        nested += "[" + std::string(500, 'a') + "]\n";
    }
    CHECK(errors_of(parse_chunk(arrays, "c"))[0].rule == "nesting");
    std::string dots = "a";
    while (dots.size() < 1000)
    {
        dots += ".a";
    }
    CHECK(!errors_of(parse_chunk(dots + " = 1", "c")).empty());
    CHECK(!errors_of(parse_chunk("[" + dots + "]\n" + dots + "= 1", "c"))
               .empty());
    CHECK(!errors_of(parse_chunk(nested, "c")).empty());
    const std::string large(max_document_bytes + 1, '\n');
    CHECK(errors_of(parse_chunk(large, "c"))[0].rule == "size");
    CHECK(errors_of(parse_index(large))[0].rule == "size");
}

// Guards against exceptions and crashes in the parsers, the validation and the
// look-up tables, caused by arbitrary documents.
TEST_CASE("no mutation of a document stops the process")
{
    CHECK(rc::check(
        "index and chunk",
        []
        {
            for (int i = 0; i < 20; ++i)
            {
                (void)parse_index(mutated(good_index));
                const auto chunk = parse_chunk(mutated(good_chunk), "c");
                const auto whole =
                    parse_whole_set(mutated("version = 1\n" + good_chunk), "w");
                for (const auto& read : {chunk, whole})
                {
                    const auto errors = errors_of(read);
                    RC_ASSERT(errors.size() <= max_document_error_count);
                    if (errors.empty())
                    {
                        const auto& objects = std::get<published_objects>(read);
                        (void)check_objects(objects);
                        (void)published_set(objects);
                    }
                }
            }
        }));
    CHECK(rc::check("arbitrary bytes",
                    [](const std::string& text)
                    {
                        (void)parse_index(text);
                        (void)parse_chunk(text, "c");
                    }));
}

// Guards against objects that are lost or altered between a publisher's tools
// and the daemons.
TEST_CASE("every set is read back as written, whole and in chunks")
{
    CHECK(rc::check(
        [](std::uint16_t count)
        {
            const auto name = *rc::gen::container<std::string>(
                rc::gen::inRange<char>(0x20, 0x7f));
            published_objects objects{.version = {1}, .published_by = name};
            objects.services = {{.id = {1}, .name = name}};
            for (std::uint32_t i = 0; i < count % 400U; ++i)
            {
                objects.targets.push_back(
                    {.id = {i},
                     .service = {1},
                     .address = {{i + 1}, 80},
                     .report = {{i + 1}, 81},
                     .weight = static_cast<std::uint16_t>(i % 200),
                     .wish =
                         i % 2 == 0 ? target_wish::serve : target_wish::drain});
            }
            const auto whole = parse_whole_set(write_whole_set(objects), "w");
            RC_ASSERT(errors_of(whole).empty());
            RC_ASSERT(std::get<published_objects>(whole) == objects);

            const set_documents documents = split_set(objects, 64);
            const auto index = parse_index(documents.index);
            RC_ASSERT(errors_of(index).empty());
            published_objects read{.version = objects.version,
                                   .published_by = name};
            for (const auto& chunk : documents.chunks)
            {
                RC_ASSERT(content_hash(chunk.text) == chunk.entry.hash);
                const auto part = parse_chunk(chunk.text, chunk.entry.name);
                RC_ASSERT(errors_of(part).empty());
                read =
                    merge(std::move(read), std::get<published_objects>(part));
            }
            RC_ASSERT(published_set(read) == published_set(objects));
        }));
}
