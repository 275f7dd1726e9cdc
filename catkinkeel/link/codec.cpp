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

using internal::described;
using internal::field_count;
using internal::wire_fields;
using packer = msgpack::packer<msgpack::sbuffer>;

// Longest array of a body: overrides, uncertain addresses or target updates
// that fit into 16 KB at 5 bytes and more each.
constexpr std::size_t max_array = 4096;
constexpr std::size_t max_depth = 8;

template <class T>
concept number_wrapper = std::unsigned_integral<decltype(T::value)>;

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

template <number_wrapper T>
void write(packer& out, const T& value)
{
    out.pack(value.value);
}

template <described T>
void write_fields(packer& out, const T& value);

template <described T>
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

template <described T>
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

template <number_wrapper T>
bool read(const msgpack::object& from, T& into)
{
    return read(from, into.value);
}

using object_view = std::span<const msgpack::object>;

template <described T>
bool read_fields(object_view from, T& into);

template <described T>
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

template <described T>
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

/// What the codec knows of one type of message.
struct message_row
{
    std::uint8_t number;
    std::string_view name;
    message_priority priority;
    std::size_t fields;
    void (*encode)(packer& out, const message& content);
    bool (*decode)(object_view fields, message& into);
};

template <class T>
constexpr message_row row(std::uint8_t number, std::string_view name,
                          message_priority priority)
{
    return {number,
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

// In the order of the alternatives of `message`.
constexpr std::array rows{
    row<probe>(1, "probe", message_priority::urgent),
    row<probe_ack>(2, "probe_ack", message_priority::urgent),
    row<probe_request>(3, "probe_request", message_priority::urgent),
    row<leave>(4, "leave", message_priority::urgent),
    row<replicate>(5, "replicate", message_priority::normal),
    row<replicate_ack>(6, "replicate_ack", message_priority::normal),
    row<claim>(7, "claim", message_priority::normal),
    row<handover>(8, "handover", message_priority::normal),
    row<handover_ack>(9, "handover_ack", message_priority::normal),
    row<chunk_request>(10, "chunk_request", message_priority::normal),
    row<chunk_part>(11, "chunk_part", message_priority::normal),
    row<target_update>(12, "target_news", message_priority::normal)};
static_assert(rows.size() == std::variant_size_v<message>);

const message_row& row_of(const message& content)
{
    return rows.at(content.index());
}

std::variant<message, drop_reason> decode_object(const msgpack::object& body)
{
    if (body.type != msgpack::type::ARRAY || body.via.array.size == 0)
    {
        return drop_reason::malformed;
    }
    const object_view elements(body.via.array.ptr, body.via.array.size);
    std::uint8_t number = 0;
    if (!read(elements.front(), number))
    {
        return drop_reason::malformed;
    }
    const auto* const found =
        std::ranges::find(rows, number, &message_row::number);
    if (found == rows.end())
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
    const message_row& type = row_of(content);
    msgpack::sbuffer buffer;
    packer out(buffer);
    out.pack_array(static_cast<std::uint32_t>(1 + type.fields));
    out.pack(type.number);
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
    // msgpack-cxx reports malformed input by exceptions only.
    try
    {
        std::size_t offset = 0;
        const msgpack::unpack_limit limit(max_array, 0, max_message_size.value,
                                          max_message_size.value, 0, max_depth);
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
    return row_of(content).priority;
}

std::string_view type_name(const message& content)
{
    return row_of(content).name;
}

} // namespace catkinkeel
