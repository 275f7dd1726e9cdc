#pragma once

// Parses untrusted text into a TOML table and reads the fields of such tables
// into objects, driven by tables of member pointers.

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

/// Parses a document of at most `max_size` bytes. An error has a line (0 if the
/// text is too long) and a rule but no object.
std::variant<toml::value, document_error>
parse_toml(std::string_view text, const std::string& document,
           std::size_t max_size);

/// The line of `value` in its document, counted from 1.
std::uint32_t line_of(const toml::value& value);

/// The rule that a value violates, with a message.
struct value_error
{
    std::string rule;
    std::string message;
};
/// The error found while a value was read, or nothing on success.
using read_result = std::optional<value_error>;

/// Reads an integer from 0 to `max_value`.
read_result read_integer(const toml::value& value, std::uint64_t max_value,
                         std::uint64_t& result);
read_result read_value(const toml::value& value, std::string& result);
read_result read_value(const toml::value& value, endpoint& result);
read_result read_value(const toml::value& value, protocol& result);
read_result read_value(const toml::value& value, target_wish& result);
read_result read_value(const toml::value& value, data_centre_wish& result);

template <std::unsigned_integral T>
read_result read_value(const toml::value& value, T& result)
{
    std::uint64_t number = 0;
    read_result error =
        read_integer(value, std::numeric_limits<T>::max(), number);
    result = static_cast<T>(number);
    return error;
}

template <class Tag, class Rep>
read_result read_value(const toml::value& value, identifier<Tag, Rep>& result)
{
    return read_value(value, result.value);
}

/// One field of an object: its key and the function that reads it into its
/// member.
template <class Object>
struct field_row
{
    std::string_view key;
    bool required = false;
    read_result (*read)(const toml::value&, Object&) = nullptr;
};

/// Reads a value into one member; the function in a `field_row`, for example
/// `read_member<service, &service::name>`.
template <class Object, auto Member>
read_result read_member(const toml::value& value, Object& object)
{
    return read_value(value, object.*Member);
}

/// Collects the errors of one document and drops those beyond a limit.
class document_errors
{
public:
    document_errors(std::string document, std::size_t max_errors)
        : document_(std::move(document)), max_errors_(max_errors)
    {
    }

    void add(std::uint32_t line, std::string object, std::string field,
             value_error violation);

    [[nodiscard]] bool full() const
    {
        return errors_.size() >= max_errors_;
    }
    [[nodiscard]] const std::vector<document_error>& list() const
    {
        return errors_;
    }

private:
    std::string document_;
    std::size_t max_errors_;
    std::vector<document_error> errors_;
};

/// "target 12" if the table has an integer identifier, otherwise "target #3"
/// for the table at `position` 2.
std::string object_label(std::string_view kind, const toml::value& table,
                         std::size_t position);

/// Reads one object from `table`. Reports unknown keys, missing fields and
/// fields with invalid values; returns the object with all valid fields set.
/// `kind` and `position` identify the object in errors. An empty `kind` denotes
/// the top level of the document.
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
        if (auto error = row.read(found->second, object))
        {
            errors.add(line_of(found->second),
                       object_label(kind, table, position),
                       std::string(row.key), *std::move(error));
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
