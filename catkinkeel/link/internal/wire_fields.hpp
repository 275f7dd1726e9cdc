#pragma once

// The fields of each type in the order in which format version 1 encodes them.
// A change of any of these lists changes the wire format.

#include "catkinkeel/link/message.hpp"

#include <tuple>

namespace catkinkeel::internal
{

template <class T>
struct wire_fields;

template <>
struct wire_fields<endpoint>
{
    static constexpr std::tuple members{&endpoint::address, &endpoint::port};
};

template <>
struct wire_fields<public_address>
{
    static constexpr std::tuple members{&public_address::where,
                                        &public_address::transport};
};

template <>
struct wire_fields<base_table_key>
{
    static constexpr std::tuple members{&base_table_key::address,
                                        &base_table_key::home};
};

template <>
struct wire_fields<base_table_override>
{
    static constexpr std::tuple members{
        &base_table_override::address, &base_table_override::home,
        &base_table_override::service, &base_table_override::targets};
};

template <>
struct wire_fields<bucket_state>
{
    static constexpr std::tuple members{
        &bucket_state::buckets, &bucket_state::overrides,
        &bucket_state::uncertain, &bucket_state::exceptions};
};

template <>
struct wire_fields<target_status>
{
    static constexpr std::tuple members{
        &target_status::id,          &target_status::instance,
        &target_status::draining,    &target_status::reachable,
        &target_status::connections, &target_status::busy_slots,
        &target_status::warm,        &target_status::sequence};
};

template <>
struct wire_fields<probe>
{
    static constexpr std::tuple members{&probe::nonce, &probe::in_effect,
                                        &probe::updates};
};

template <>
struct wire_fields<probe_ack>
{
    static constexpr std::tuple members{
        &probe_ack::nonce, &probe_ack::in_effect, &probe_ack::updates};
};

template <>
struct wire_fields<probe_request>
{
    static constexpr std::tuple members{&probe_request::nonce,
                                        &probe_request::vm_to_probe};
};

template <>
struct wire_fields<leave>
{
    static constexpr std::tuple members{&leave::incarnation};
};

template <>
struct wire_fields<replicate>
{
    static constexpr std::tuple members{&replicate::session,
                                        &replicate::sequence,
                                        &replicate::in_effect,
                                        &replicate::lineage,
                                        &replicate::dropped_overrides,
                                        &replicate::unsettled_addresses,
                                        &replicate::state};
};

template <>
struct wire_fields<replicate_ack>
{
    static constexpr std::tuple members{&replicate_ack::session,
                                        &replicate_ack::sequence};
};

template <>
struct wire_fields<claim>
{
    static constexpr std::tuple members{
        &claim::session, &claim::round, &claim::in_effect,
        &claim::map_fingerprint, &claim::holding};
};

template <>
struct wire_fields<handover>
{
    static constexpr std::tuple members{
        &handover::session, &handover::round,     &handover::sequence,
        &handover::last,    &handover::in_effect, &handover::map_fingerprint,
        &handover::moved,   &handover::state};
};

template <>
struct wire_fields<handover_ack>
{
    static constexpr std::tuple members{
        &handover_ack::session, &handover_ack::round, &handover_ack::sequence};
};

template <>
struct wire_fields<chunk_request>
{
    static constexpr std::tuple members{
        &chunk_request::version, &chunk_request::name,
        &chunk_request::content_hash, &chunk_request::offset};
};

template <>
struct wire_fields<chunk_part>
{
    static constexpr std::tuple members{
        &chunk_part::version, &chunk_part::name,  &chunk_part::content_hash,
        &chunk_part::offset,  &chunk_part::total, &chunk_part::text};
};

template <>
struct wire_fields<grant_request>
{
    static constexpr std::tuple members{&grant_request::id,
                                        &grant_request::share_permille};
};

template <>
struct wire_fields<grant_requests>
{
    static constexpr std::tuple members{&grant_requests::session,
                                        &grant_requests::request_time_ms,
                                        &grant_requests::entries};
};

template <>
struct wire_fields<target_grant>
{
    static constexpr std::tuple members{
        &target_grant::id, &target_grant::instance, &target_grant::limit};
};

template <>
struct wire_fields<target_grants>
{
    static constexpr std::tuple members{&target_grants::session,
                                        &target_grants::request_time_ms,
                                        &target_grants::entries};
};

template <>
struct wire_fields<target_update>
{
    static constexpr std::tuple members{&target_update::changes,
                                        &target_update::requests,
                                        &target_update::grants};
};

template <class T>
concept has_wire_fields = requires
{
    wire_fields<T>::members;
};

template <has_wire_fields T>
inline constexpr std::size_t field_count =
    std::tuple_size_v<std::remove_cvref_t<decltype(wire_fields<T>::members)>>;

} // namespace catkinkeel::internal
