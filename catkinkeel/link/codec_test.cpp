#include "catkinkeel/base/random.hpp"
#include "catkinkeel/link/codec.hpp"
#include "catkinkeel/link/internal/byte_block.hpp"
#include "catkinkeel/link/internal/packed_lists.hpp"
#include "catkinkeel/link/internal/wire_fields.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <type_traits>

using namespace catkinkeel;

namespace
{

// Sets a value of any type that has wire fields to an arbitrary value, field by
// field.
template <class T>
void fill(T& value);

template <class T>
void fill(std::vector<T>& list)
{
    list.resize(*rc::gen::inRange<std::size_t>(0, 12));
    for (T& each : list)
    {
        fill(each);
    }
}

template <class... Fields>
void fill_all(Fields&... fields)
{
    (fill(fields), ...);
}

template <class T>
void fill(T& value)
{
    if constexpr (internal::has_wire_fields<T>)
    {
        std::apply([&](auto... member) { (fill(value.*member), ...); },
                   internal::wire_fields<T>::members);
    }
    else if constexpr (requires { value.value; })
    {
        fill(value.value);
    }
    else
    {
        value = *rc::gen::arbitrary<T>();
    }
}

template <>
void fill(protocol& value)
{
    value = *rc::gen::element(protocol::tcp, protocol::udp);
}

template <>
void fill(member_update& value)
{
    fill_all(value.id, value.data_centre, value.control, value.packets,
             value.incarnation);
    value.state = static_cast<liveness>(*rc::gen::inRange(0, 4));
    if (*rc::gen::arbitrary<bool>())
    {
        value.packets.address = value.control.address;
    }
}

template <>
void fill(weighted_target& value)
{
    fill_all(value.id, value.weight);
}

template <>
void fill(flow_exception& value)
{
    fill_all(value.key.caller, value.key.transport, value.target, value.ended);
    value.key.service_side.port = *rc::gen::inRange<std::uint16_t>(1, 4);
}

template <std::size_t Index = 0>
message arbitrary_message(std::size_t index)
{
    if constexpr (Index < std::variant_size_v<message>)
    {
        if (index == Index)
        {
            std::variant_alternative_t<Index, message> content;
            fill(content);
            return content;
        }
        return arbitrary_message<Index + 1>(index);
    }
    return {};
}

void sort_by_address(std::vector<flow_exception>& list)
{
    std::ranges::stable_sort(
        list, {},
        [](const flow_exception& each) {
            return public_address{each.key.service_side, each.key.transport};
        });
}

// The codec keeps the order of exceptions only within a public address, so
// messages are sorted by address before they are compared.
message sorted_by_address(message content)
{
    if (auto* const found = std::get_if<replicate>(&content))
    {
        sort_by_address(found->state.exceptions);
    }
    if (auto* const found = std::get_if<handover>(&content))
    {
        sort_by_address(found->state.exceptions);
    }
    return content;
}

std::vector<flow_exception> make_exceptions(std::size_t count,
                                            std::uint32_t targets)
{
    random_source random(3);
    std::vector<flow_exception> list;
    for (std::size_t i = 0; i < count; ++i)
    {
        list.push_back(
            {{{{static_cast<std::uint32_t>(random.next())},
               static_cast<std::uint16_t>(random.next())},
              {{0x0a000001U + static_cast<std::uint32_t>(i % 2)}, 443},
              protocol::tcp},
             {static_cast<std::uint32_t>(random.below(targets))}});
    }
    return list;
}

} // namespace

TEST_CASE("every message type is unchanged after encoding and decoding")
{
    // Guards against a field that is missing from `wire_fields`, in the wrong
    // order, or truncated to fewer bits.
    for (std::size_t index = 0; index < std::variant_size_v<message>; ++index)
    {
        CHECK(rc::check(
            [&]
            {
                const message sent = arbitrary_message(index);
                const auto received = decode_message(encode_message(sent));
                RC_ASSERT(std::holds_alternative<message>(received));
                RC_ASSERT(sorted_by_address(std::get<message>(received)) ==
                          sorted_by_address(sent));
            }));
    }
}

TEST_CASE("a corrupted body is decoded or rejected without memory errors")
{
    // Guards against reads past the end and against large allocations for
    // forged lengths, which the sanitizer build detects.
    CHECK(rc::check(
        []
        {
            const message sent =
                arbitrary_message(*rc::gen::inRange<std::size_t>(
                    0, std::variant_size_v<message>));
            const byte_buffer encoded = encode_message(sent);
            random_source random(*rc::gen::arbitrary<std::uint64_t>());
            for (int i = 0; i < 200; ++i)
            {
                byte_buffer corrupted = encoded;
                for (auto edit_count = random.below(6) + 1; edit_count > 0;
                     --edit_count)
                {
                    corrupted[random.below(corrupted.size())] =
                        static_cast<std::uint8_t>(random.next());
                }
                corrupted.resize(random.below(2) == 0
                                     ? random.below(corrupted.size() + 1)
                                     : corrupted.size() + random.below(3));
                const auto decoded = decode_message(corrupted);
                if (const auto* const found = std::get_if<message>(&decoded))
                {
                    encode_message(*found);
                }
            }
        }));
}

TEST_CASE("a truncated body is malformed at every length")
{
    const byte_buffer encoded = encode_message(
        replicate{.session = 1,
                  .sequence = 2,
                  .in_effect = {3},
                  .state = {{{4}, {5}}, {}, {}, make_exceptions(9, 40000)}});
    for (std::size_t size = 0; size < encoded.size(); ++size)
    {
        const auto decoded = decode_message(byte_view(encoded).first(size));
        REQUIRE(std::holds_alternative<drop_reason>(decoded));
        CHECK(std::get<drop_reason>(decoded) == drop_reason::malformed);
    }
}

TEST_CASE(
    "bodies with invalid lengths, types or values are rejected with a reason")
{
    const auto reason = [](const byte_buffer& body)
    {
        const auto decoded = decode_message(body);
        REQUIRE(std::holds_alternative<drop_reason>(decoded));
        return std::get<drop_reason>(decoded);
    };
    CHECK(reason({}) == drop_reason::malformed);
    CHECK(reason({0xdd, 0xff, 0xff, 0xff, 0xff}) == drop_reason::malformed);
    CHECK(reason({0x92, 0x04, 0xdd, 0xff, 0xff, 0xff, 0xff}) ==
          drop_reason::malformed);
    CHECK(reason(byte_buffer(16000, 0x91)) == drop_reason::malformed);
    CHECK(reason({0x91, 0x63}) == drop_reason::unknown_type);
    CHECK(reason({0x91, 0xa1, 0x31}) == drop_reason::malformed);
    // A `leave` with too many fields, with a negative number, and with trailing
    // bytes.
    CHECK(reason({0x93, 0x04, 0x01, 0x01}) == drop_reason::malformed);
    CHECK(reason({0x92, 0x04, 0xff}) == drop_reason::malformed);
    CHECK(reason({0x92, 0x04, 0x01, 0x00}) == drop_reason::malformed);
    CHECK(reason(byte_buffer(max_message_size.value + 1, 0xc0)) ==
          drop_reason::oversized);
}

TEST_CASE("packed lists with invalid counts or values are rejected")
{
    std::vector<bucket_id> buckets;
    CHECK_FALSE(internal::unpack_list(byte_buffer{0xff, 0xff, 0x03}, buckets));
    CHECK_FALSE(internal::unpack_list(byte_buffer{1, 1}, buckets));
    std::vector<member_update> update;
    CHECK_FALSE(internal::unpack_list(
        byte_buffer{1, 1, 1, 10, 0, 0, 1, 0, 1, 0x84, 0, 1, 1}, update));
    std::vector<flow_exception> exceptions;
    CHECK_FALSE(internal::unpack_list(
        byte_buffer{1, 0x40, 1, 0, 80, 1, 10, 0, 0, 1, 0, 80, 1}, exceptions));
    // The address of the second group exceeds 255.255.255.255.
    CHECK_FALSE(internal::unpack_list(
        byte_buffer{2, 0x30, 0xff, 0xff, 0xff, 0xff, 0x0f, 1, 1, 1, 1,
                    1, 1,    0x30, 1,    1,    1,    1,    1, 1, 1, 1},
        exceptions));
    internal::block_writer max_varint;
    max_varint.put_varint(~std::uint64_t{0});
    internal::block_reader reader(max_varint.bytes());
    std::uint64_t value = 0;
    CHECK(reader.get_varint(value));
    CHECK(value == ~std::uint64_t{0});
}

TEST_CASE("an exception takes 7 bytes with 256 targets and 8 with 24,000")
{
    // Guards against growth of the replication cost, from which the control
    // budget is calculated.
    const auto bytes = [](std::size_t count, std::uint32_t targets)
    {
        return internal::pack_list(make_exceptions(count, targets)).size();
    };
    CHECK(bytes(100, 256) <= 7 * 100 + 20);
    CHECK(bytes(100, 24000) <= 8 * 100 + 20);
}

TEST_CASE(
    "membership messages are urgent, and target_update is named target_news")
{
    CHECK(priority_of(probe{}) == message_priority::urgent);
    CHECK(priority_of(leave{}) == message_priority::urgent);
    CHECK(priority_of(replicate{}) == message_priority::normal);
    CHECK(type_name(target_update{}) == "target_news");
}
