#pragma once

// Turns text into a TOML table without trusting it, and reads fields of tables
// by rows of a table of member pointers.

#include "catkinkeel/base/address.hpp"
#include "catkinkeel/base/identifier.hpp"
#include "catkinkeel/contract/errors.hpp"
#include "catkinkeel/contract/objects.hpp"

#include <toml.hpp>

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace catkinkeel::internal
{

/// Parses `text`. The error has line and rule but no object.
std::variant<toml::value, document_error>
parse_toml(std::string_view text, const std::string& document,
           std::size_t max_size);

/// The line on which `value` stands.
std::uint32_t line_of(const toml::value& value);

/// What is wrong with a value: the rule and a message, or nothing.
struct misreading
{
    std::string rule;
    std::string message;
};
using reading = std::optional<misreading>;

reading read_integer(const toml::value& value, std::uint64_t most,
                     std::uint64_t& result);
reading read_value(const toml::value& value, std::string& result);
reading read_value(const toml::value& value, endpoint& result);
reading read_value(const toml::value& value, protocol& result);
reading read_value(const toml::value& value, target_wish& result);
reading read_value(const toml::value& value, data_centre_wish& result);

template <std::unsigned_integral T>
reading read_value(const toml::value& value, T& result)
{
    std::uint64_t number = 0;
    reading problem =
        read_integer(value, std::numeric_limits<T>::max(), number);
    result = static_cast<T>(number);
    return problem;
}

template <class Tag, class Rep>
reading read_value(const toml::value& value, identifier<Tag, Rep>& result)
{
    return read_value(value, result.value);
}

/// One field of an object: its key and how it is read into its member.
template <class Object>
struct field_row
{
    std::string_view key;
    bool required = false;
    reading (*read)(const toml::value&, Object&) = nullptr;
};

/// The reader of a row for one member, e.g. `into<service, &service::name>`.
template <class Object, auto Member>
reading into(const toml::value& value, Object& object)
{
    return read_value(value, object.*Member);
}

/// Collects the errors of one document.
class document_errors
{
public:
    document_errors(std::string document, std::size_t most)
        : document_(std::move(document)), most_(most)
    {
    }

    void add(std::uint32_t line, std::string object, std::string field,
             misreading problem);

    [[nodiscard]] bool full() const
    {
        return errors_.size() >= most_;
    }
    [[nodiscard]] const std::vector<document_error>& list() const
    {
        return errors_;
    }

private:
    std::string document_;
    std::size_t most_;
    std::vector<document_error> errors_;
};

/// "target 12" if the table has a usable id, else "target #3".
std::string object_label(std::string_view kind, const toml::value& table,
                         std::size_t position);

/// Reads one object from `table`. Reports unknown keys, missing fields and
/// mistyped fields; what could be read is returned anyway.
template <class Object>
Object read_object(const toml::value& table, std::string_view kind,
                   std::size_t position,
                   std::span<const field_row<Object>> rows,
                   document_errors& errors)
{
    Object object;
    if (!table.is_table())
    {
        errors.add(line_of(table), object_label(kind, table, position), "",
                   {"type", "must be a table"});
        return object;
    }
    const auto& fields = table.as_table();
    std::size_t known = 0;
    for (const field_row<Object>& row : rows)
    {
        const auto found = fields.find(std::string(row.key));
        if (found == fields.end())
        {
            if (row.required)
            {
                errors.add(kind.empty() ? 0 : line_of(table),
                           object_label(kind, table, position),
                           std::string(row.key), {"required", "is missing"});
            }
            continue;
        }
        ++known;
        if (auto problem = row.read(found->second, object))
        {
            errors.add(line_of(found->second),
                       object_label(kind, table, position),
                       std::string(row.key), *std::move(problem));
        }
    }
    if (known == fields.size())
    {
        return object;
    }
    for (const auto& [key, value] : fields)
    {
        if (std::ranges::find(rows, key, &field_row<Object>::key) == rows.end())
        {
            errors.add(line_of(value), object_label(kind, table, position), key,
                       {"unknown_key", "is not a known key"});
        }
    }
    return object;
}

} // namespace catkinkeel::internal
