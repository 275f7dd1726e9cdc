#pragma once

// Types that the tables of validation rules and of warnings share.

#include "catkinkeel/contract/check.hpp"

#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace catkinkeel::internal
{

inline object_kind kind_of(const service& /*object*/)
{
    return object_kind::service;
}
inline object_kind kind_of(const data_centre& /*object*/)
{
    return object_kind::data_centre;
}
inline object_kind kind_of(const target& /*object*/)
{
    return object_kind::target;
}
inline object_kind kind_of(const reference& /*object*/)
{
    return object_kind::reference;
}

/// Empty for kinds of objects without a name.
template <class Object>
std::string name_of(const Object& object)
{
    if constexpr (requires { object.name; })
    {
        return object.name;
    }
    else
    {
        return "";
    }
}

/// Collects errors and drops those beyond `max_object_error_count`.
class error_list
{
public:
    void add(object_error error)
    {
        if (errors_.size() < max_object_error_count)
        {
            errors_.push_back(std::move(error));
        }
    }

    template <class Object>
    void add(const Object& object, std::string_view field,
             std::string_view rule, std::string message)
    {
        add({kind_of(object), object.id.value, name_of(object),
             std::string(field), std::string(rule), std::move(message)});
    }

    [[nodiscard]] std::vector<object_error> take() &&
    {
        return std::move(errors_);
    }

private:
    std::vector<object_error> errors_;
};

/// The objects to check, with the look-up tables that the rules share.
struct rule_context
{
    explicit rule_context(const published_objects& all);

    const published_objects& objects;
    /// The set in effect so far; null if there is none.
    const published_set* previous = nullptr;
    std::unordered_map<service_id, const service*> services;
    std::unordered_map<data_centre_id, const data_centre*> data_centres;
    std::unordered_set<service_id> services_with_targets;
    std::unordered_set<service_id> services_with_references;

    [[nodiscard]] bool in_service(data_centre_id id) const;
    /// For example "service 3 (orderdesk)", or "service 3" if it is not in the
    /// set.
    [[nodiscard]] std::string label(service_id id) const;
};

/// A rule: its identifier and the function that adds an error for each
/// violation. Several rows may have the same identifier.
struct rule_row
{
    std::string_view id;
    void (*check)(const rule_context&, std::string_view id, error_list&);
};

} // namespace catkinkeel::internal
