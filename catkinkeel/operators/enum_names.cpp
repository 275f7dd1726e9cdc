#include "catkinkeel/operators/enum_names.hpp"

#include <array>

namespace catkinkeel
{

namespace
{

constexpr std::array liveness_names{
    enum_name<liveness>{liveness::alive, "alive"},
    enum_name<liveness>{liveness::suspect, "suspect"},
    enum_name<liveness>{liveness::dead, "dead"},
    enum_name<liveness>{liveness::left, "left"},
};
constexpr std::array target_wish_names{
    enum_name<target_wish>{target_wish::serve, "serve"},
    enum_name<target_wish>{target_wish::drain, "drain"},
};
constexpr std::array data_centre_wish_names{
    enum_name<data_centre_wish>{data_centre_wish::in_service, "in_service"},
    enum_name<data_centre_wish>{data_centre_wish::out_of_service,
                                "out_of_service"},
};
constexpr std::array admission_limit_reason_names{
    enum_name<admission_limit_reason>{admission_limit_reason::warm, "warm"},
    enum_name<admission_limit_reason>{admission_limit_reason::ramping,
                                      "ramping"},
    enum_name<admission_limit_reason>{admission_limit_reason::cold_not_steward,
                                      "cold_not_steward"},
    enum_name<admission_limit_reason>{admission_limit_reason::draining,
                                      "draining"},
    enum_name<admission_limit_reason>{admission_limit_reason::unreachable,
                                      "unreachable"},
    enum_name<admission_limit_reason>{admission_limit_reason::saturated,
                                      "saturated"},
};
constexpr std::array protocol_names{
    enum_name<protocol>{protocol::tcp, "tcp"},
    enum_name<protocol>{protocol::udp, "udp"},
};
constexpr std::array action_names{
    enum_name<explained_action>{explained_action::deliver, "deliver"},
    enum_name<explained_action>{explained_action::relay, "relay"},
    enum_name<explained_action>{explained_action::refuse, "refuse"},
    enum_name<explained_action>{explained_action::drop, "drop"},
};
constexpr std::array source_names{
    enum_name<explained_source>{explained_source::record, "record"},
    enum_name<explained_source>{explained_source::replicated_exception,
                                "replicated_exception"},
    enum_name<explained_source>{explained_source::base_table, "base_table"},
    enum_name<explained_source>{explained_source::new_exception,
                                "new_exception"},
    enum_name<explained_source>{explained_source::other_holder, "other_holder"},
    enum_name<explained_source>{explained_source::none, "none"},
};
constexpr std::array refusal_names{
    enum_name<refusal_reason>{refusal_reason::no_capacity, "no_capacity"},
    enum_name<refusal_reason>{refusal_reason::no_target, "no_target"},
    enum_name<refusal_reason>{refusal_reason::service_rate, "service_rate"},
    enum_name<refusal_reason>{refusal_reason::network_rate, "network_rate"},
};
constexpr std::array discard_names{
    enum_name<discard_reason>{discard_reason::no_reference, "no_reference"},
    enum_name<discard_reason>{discard_reason::unknown_flow, "unknown_flow"},
    enum_name<discard_reason>{discard_reason::uncertain_service,
                              "uncertain_service"},
    enum_name<discard_reason>{discard_reason::hop_limit, "hop_limit"},
    enum_name<discard_reason>{discard_reason::not_ready, "not_ready"},
    enum_name<discard_reason>{discard_reason::data_centre_out,
                              "data_centre_out"},
    enum_name<discard_reason>{discard_reason::unreachable_owner,
                              "unreachable_owner"},
    enum_name<discard_reason>{discard_reason::flow_table_full,
                              "flow_table_full"},
};

} // namespace

std::span<const enum_name<liveness>> names_of(liveness)
{
    return liveness_names;
}
std::span<const enum_name<target_wish>> names_of(target_wish)
{
    return target_wish_names;
}
std::span<const enum_name<data_centre_wish>> names_of(data_centre_wish)
{
    return data_centre_wish_names;
}
std::span<const enum_name<admission_limit_reason>>
names_of(admission_limit_reason)
{
    return admission_limit_reason_names;
}
std::span<const enum_name<protocol>> names_of(protocol)
{
    return protocol_names;
}
std::span<const enum_name<explained_action>> names_of(explained_action)
{
    return action_names;
}
std::span<const enum_name<explained_source>> names_of(explained_source)
{
    return source_names;
}
std::span<const enum_name<refusal_reason>> names_of(refusal_reason)
{
    return refusal_names;
}
std::span<const enum_name<discard_reason>> names_of(discard_reason)
{
    return discard_names;
}

} // namespace catkinkeel
