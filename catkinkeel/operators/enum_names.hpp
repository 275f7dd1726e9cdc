#pragma once

// Names of enumerators in JSON documents, metric labels and printed tables. A
// name does not change between releases, since operators' tools match it.

#include "catkinkeel/flow/packet_facts.hpp"
#include "catkinkeel/operators/documents.hpp"

#include <span>
#include <string_view>

namespace catkinkeel
{

template <class Enum>
struct enum_name
{
    Enum value;
    std::string_view name;
};

/// Returns the names of all enumerators of the argument's type. The value of
/// the argument is not used.
std::span<const enum_name<liveness>> names_of(liveness);
std::span<const enum_name<target_wish>> names_of(target_wish);
std::span<const enum_name<data_centre_wish>> names_of(data_centre_wish);
std::span<const enum_name<admission_limit_reason>>
    names_of(admission_limit_reason);
std::span<const enum_name<protocol>> names_of(protocol);
std::span<const enum_name<explained_action>> names_of(explained_action);
std::span<const enum_name<explained_source>> names_of(explained_source);
std::span<const enum_name<refusal_reason>> names_of(refusal_reason);
std::span<const enum_name<discard_reason>> names_of(discard_reason);

/// Returns the name of `value`, or "unknown" if it has none.
template <class Enum>
std::string_view name_of(Enum value)
{
    for (const enum_name<Enum>& row : names_of(value))
    {
        if (row.value == value)
        {
            return row.name;
        }
    }
    return "unknown";
}

} // namespace catkinkeel
