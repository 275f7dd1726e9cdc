#include "catkinkeel/link/codec.hpp"

#include "catkinkeel/link/internal/packed_lists.hpp"
#include "catkinkeel/link/internal/wire_fields.hpp"

#include <msgpack.hpp>

#include <algorithm>
#include <array>
#include <concepts>
#include <limits>
#include <string>
#include <utility>

namespace catkinkeel
{

namespace
{

using internal::field_count;
using internal::has_wire_fields;
using internal::wire_fields;
using packer = msgpack::packer<msgpack::sbuffer>;

// Limit for each array in a body. The longest arrays are overrides, uncertain
// addresses and target updates; at 5 bytes or more per element, fewer than this
// fit into a body of 16 KB.
constexpr std::size_t max_array_elements = 4096;
constexpr std::size_t max_nesting_depth = 8;

template <class T>
concept unsigned_wrapper = std::unsigned_integral<decltype(T::value)>;

template <class T>
concept packable_list = requires(const std::vector<T>& list)
{
    internal::pack_list(list);
};

void write(packer& out, std::unsigned_integral auto value)
{
    out.pack(value);
}

void write(packer& out, const std::string& text)
{
    out.pack(text);
}

void write(packer& out, protocol value)
{
    out.pack(static_cast<std::uint8_t>(value));
}

template <unsigned_wrapper T>
void write(packer& out, const T& value)
{
    out.pack(value.value);
}

template <has_wire_fields T>
void write_fields(packer& out, const T& value);

template <has_wire_fields T>
void write(packer& out, const T& value)
{
    out.pack_array(field_count<T>);
    write_fields(out, value);
}

template <class T>
void write(packer& out, const std::vector<T>& list)
{
    if constexpr (packable_list<T>)
    {
        const byte_buffer block = internal::pack_list(list);
        const auto size = static_cast<std::uint32_t>(block.size());
        out.pack_bin(size);
        out.pack_bin_body(reinterpret_cast<const char*>(block.data()), size);
    }
    else
    {
        out.pack_array(static_cast<std::uint32_t>(list.size()));
        for (const T& each : list)
        {
            write(out, each);
        }
    }
}

template <has_wire_fields T>
void write_fields(packer& out, const T& value)
{
    std::apply([&](auto... member) { (write(out, value.*member), ...); },
               wire_fields<T>::members);
}

template <std::unsigned_integral T>
bool read(const msgpack::object& from, T& into)
{
    if constexpr (std::same_as<T, bool>)
    {
        into = from.type == msgpack::type::BOOLEAN && from.via.boolean;
        return from.type == msgpack::type::BOOLEAN;
    }
    else
    {
        if (from.type != msgpack::type::POSITIVE_INTEGER ||
            from.via.u64 > std::numeric_limits<T>::max())
        {
            return false;
        }
        into = static_cast<T>(from.via.u64);
        return true;
    }
}

bool read(const msgpack::object& from, std::string& into)
{
    if (from.type != msgpack::type::STR)
    {
        return false;
    }
    into.assign(from.via.str.ptr, from.via.str.size);
    return true;
}

bool read(const msgpack::object& from, protocol& into)
{
    std::uint8_t number = 0;
    if (!read(from, number))
    {
        return false;
    }
    into = static_cast<protocol>(number);
    return into == protocol::tcp || into == protocol::udp;
}

template <unsigned_wrapper T>
bool read(const msgpack::object& from, T& into)
{
    return read(from, into.value);
}

using object_view = std::span<const msgpack::object>;

template <has_wire_fields T>
bool read_fields(object_view from, T& into);

template <has_wire_fields T>
bool read(const msgpack::object& from, T& into)
{
    return from.type == msgpack::type::ARRAY &&
           read_fields(object_view(from.via.array.ptr, from.via.array.size),
                       into);
}

template <class T>
bool read(const msgpack::object& from, std::vector<T>& list)
{
    if constexpr (packable_list<T>)
    {
        return from.type == msgpack::type::BIN &&
               internal::unpack_list(
                   {reinterpret_cast<const std::uint8_t*>(from.via.bin.ptr),
                    from.via.bin.size},
                   list);
    }
    else
    {
        if (from.type != msgpack::type::ARRAY)
        {
            return false;
        }
        const object_view elements(from.via.array.ptr, from.via.array.size);
        list.resize(elements.size());
        return std::ranges::equal(elements, list,
                                  [](const msgpack::object& element, T& each)
                                  { return read(element, each); });
    }
}

template <has_wire_fields T>
bool read_fields(object_view from, T& into)
{
    if (from.size() != field_count<T>)
    {
        return false;
    }
    auto field = from.begin();
    return std::apply([&](auto... member)
                      { return (read(*field++, into.*member) && ...); },
                      wire_fields<T>::members);
}

/// Wire properties of one message type.
struct type_codec
{
    std::uint8_t type_number;
    std::string_view name;
    message_priority priority;
    std::size_t number_of_fields;
    void (*encode)(packer& out, const message& content);
    bool (*decode)(object_view fields, message& into);
};

template <class T>
constexpr type_codec make_type_codec(std::uint8_t type_number,
                                     std::string_view name,
                                     message_priority priority)
{
    return {type_number,
            name,
            priority,
            field_count<T>,
            [](packer& out, const message& content)
            { write_fields(out, std::get<T>(content)); },
            [](object_view fields, message& into)
            {
                return read_fields(fields, into.emplace<T>());
            }};
}

// In the order of the alternatives of `message`, whose index selects the entry.
constexpr std::array type_codecs{
    make_type_codec<probe>(1, "probe", message_priority::urgent),
    make_type_codec<probe_ack>(2, "probe_ack", message_priority::urgent),
    make_type_codec<probe_request>(3, "probe_request",
                                   message_priority::urgent),
    make_type_codec<leave>(4, "leave", message_priority::urgent),
    make_type_codec<replicate>(5, "replicate", message_priority::normal),
    make_type_codec<replicate_ack>(6, "replicate_ack",
                                   message_priority::normal),
    make_type_codec<claim>(7, "claim", message_priority::normal),
    make_type_codec<handover>(8, "handover", message_priority::normal),
    make_type_codec<handover_ack>(9, "handover_ack", message_priority::normal),
    make_type_codec<chunk_request>(10, "chunk_request",
                                   message_priority::normal),
    make_type_codec<chunk_part>(11, "chunk_part", message_priority::normal),
    make_type_codec<target_update>(12, "target_news",
                                   message_priority::normal)};
static_assert(type_codecs.size() == std::variant_size_v<message>);

const type_codec& type_codec_of(const message& content)
{
    return type_codecs.at(content.index());
}

std::variant<message, drop_reason> decode_object(const msgpack::object& body)
{
    if (body.type != msgpack::type::ARRAY || body.via.array.size == 0)
    {
        return drop_reason::malformed;
    }
    const object_view elements(body.via.array.ptr, body.via.array.size);
    std::uint8_t type_number = 0;
    if (!read(elements.front(), type_number))
    {
        return drop_reason::malformed;
    }
    const auto* const found =
        std::ranges::find(type_codecs, type_number, &type_codec::type_number);
    if (found == type_codecs.end())
    {
        return drop_reason::unknown_type;
    }
    message content;
    if (!found->decode(elements.subspan(1), content))
    {
        return drop_reason::malformed;
    }
    return content;
}

} // namespace

byte_buffer encode_message(const message& content)
{
    const type_codec& type = type_codec_of(content);
    msgpack::sbuffer buffer;
    packer out(buffer);
    out.pack_array(static_cast<std::uint32_t>(1 + type.number_of_fields));
    out.pack(type.type_number);
    type.encode(out, content);
    const auto* const data =
        reinterpret_cast<const std::uint8_t*>(buffer.data());
    return {data, data + buffer.size()};
}

std::variant<message, drop_reason> decode_message(byte_view body)
{
    if (body.size() > max_message_size.value)
    {
        return drop_reason::oversized;
    }
    // msgpack-cxx reports malformed input only by exceptions.
    try
    {
        std::size_t offset = 0;
        const msgpack::unpack_limit limit(
            max_array_elements, 0, max_message_size.value,
            max_message_size.value, 0, max_nesting_depth);
        const auto handle =
            msgpack::unpack(reinterpret_cast<const char*>(body.data()),
                            body.size(), offset, nullptr, nullptr, limit);
        return offset == body.size()
                   ? decode_object(handle.get())
                   : std::variant<message, drop_reason>(drop_reason::malformed);
    }
    catch (const msgpack::unpack_error&)
    {
        return drop_reason::malformed;
    }
}

message_priority priority_of(const message& content)
{
    return type_codec_of(content).priority;
}

std::string_view type_name(const message& content)
{
    return type_codec_of(content).name;
}

} // namespace catkinkeel
