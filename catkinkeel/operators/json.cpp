#include "catkinkeel/operators/enum_names.hpp"
#include "catkinkeel/operators/internal/json_fields.hpp"

#include <concepts>
#include <limits>
#include <nlohmann/json.hpp>
#include <type_traits>

namespace catkinkeel
{

using namespace operators_internal;

namespace
{

using json = nlohmann::ordered_json;

/// Value of the field "format" of each document. Incremented when the meaning
/// of a field changes, not when fields are added.
constexpr std::uint32_t format_version = 1;

/// A class with an unsigned integer `value`, such as an identifier or a
/// `byte_count`. It is encoded as a JSON number; an address, which is also such
/// a class, is not.
template <class T>
concept number_wrapper = std::is_class_v<T> && requires(T wrapped)
{
    requires std::unsigned_integral<decltype(wrapped.value)>;
} && !std::same_as<T, ipv4_address>;

template <class T>
struct is_vector : std::false_type
{
};
template <class T>
struct is_vector<std::vector<T>> : std::true_type
{
};
template <class T>
struct is_optional : std::false_type
{
};
template <class T>
struct is_optional<std::optional<T>> : std::true_type
{
};

template <class T>
json encode(const T& value)
{
    if constexpr (std::is_arithmetic_v<T> || std::same_as<T, std::string>)
    {
        return value;
    }
    else if constexpr (std::is_enum_v<T>)
    {
        return name_of(value);
    }
    else if constexpr (std::same_as<T, wall_time>)
    {
        return to_string(value);
    }
    else if constexpr (std::same_as<T, endpoint>)
    {
        // An unknown endpoint, 0.0.0.0:0, is encoded as null: `parse_endpoint`,
        // which decodes endpoints, rejects port 0.
        return value == endpoint{} ? json(nullptr) : json(to_string(value));
    }
    else if constexpr (number_wrapper<T>)
    {
        return value.value;
    }
    else if constexpr (is_optional<T>::value)
    {
        return value ? encode(*value) : json(nullptr);
    }
    else if constexpr (is_vector<T>::value)
    {
        json elements = json::array();
        for (const auto& entry : value)
        {
            elements.push_back(encode(entry));
        }
        return elements;
    }
    else
    {
        static_assert(has_json_fields<T>);
        json object = json::object();
        std::apply(
            [&](const auto&... field)
            {
                ((object[std::string(field.name)] =
                      encode(value.*field.member_pointer)),
                 ...);
            },
            document_fields<T>::fields);
        return object;
    }
}

/// Decodes JSON values into the types of the documents. The functions return
/// false if a value does not have the expected type or is out of range.
struct decoder
{
    /// Path of the value being decoded, for example "targets[1].id".
    std::string path;
    /// Path and reason of the first failure; empty if there is none.
    std::string first_error;

    bool fail(std::string_view reason)
    {
        if (first_error.empty())
        {
            first_error = path + ": " + std::string(reason);
        }
        return false;
    }

    /// Decodes a string with the function `parse`.
    template <class T>
    bool decode_parsed(const json& from, T& to,
                       outcome<T> (*parse)(std::string_view))
    {
        if (!from.is_string())
        {
            return fail("must be a string");
        }
        const outcome<T> parsed = parse(from.get_ref<const std::string&>());
        if (!parsed)
        {
            return fail(parsed.error().message);
        }
        to = parsed.value();
        return true;
    }

    template <std::unsigned_integral T>
    bool decode_number(const json& from, T& to)
    {
        if (!from.is_number_unsigned() ||
            from.get<std::uint64_t>() > std::numeric_limits<T>::max())
        {
            return fail("must be an integer from 0 to " +
                        std::to_string(std::numeric_limits<T>::max()));
        }
        to = static_cast<T>(from.get<std::uint64_t>());
        return true;
    }

    template <class Enum>
    bool decode_enum(const json& from, Enum& to)
    {
        if (from.is_string())
        {
            const auto& text = from.get_ref<const std::string&>();
            for (const enum_name<Enum>& row : names_of(to))
            {
                if (row.name == text)
                {
                    to = row.value;
                    return true;
                }
            }
        }
        return fail("unknown value");
    }

    template <class T>
    bool decode_array(const json& from, std::vector<T>& to)
    {
        if (!from.is_array())
        {
            return fail("must be an array");
        }
        const std::size_t parent_path_size = path.size();
        to.clear();
        for (std::size_t i = 0; i < from.size(); ++i)
        {
            path += "[" + std::to_string(i) + "]";
            if (!decode(from[i], to.emplace_back()))
            {
                return false;
            }
            path.resize(parent_path_size);
        }
        return true;
    }

    template <class Struct, class Value>
    bool decode_field(const json& from, Struct& to,
                      const json_field<Struct, Value>& field)
    {
        const auto found = from.find(field.name);
        if (found == from.end())
        {
            // An adjacent release may lack the field; it keeps its default.
            return true;
        }
        const std::size_t parent_path_size = path.size();
        path += (path.empty() ? "" : ".") + std::string(field.name);
        const bool decoded = decode(*found, to.*field.member_pointer);
        path.resize(parent_path_size);
        return decoded;
    }

    template <class T>
    bool decode(const json& from, T& to)
    {
        if constexpr (std::same_as<T, bool>)
        {
            to = from.is_boolean() && from.get<bool>();
            return from.is_boolean() || fail("must be true or false");
        }
        else if constexpr (std::unsigned_integral<T>)
        {
            return decode_number(from, to);
        }
        else if constexpr (std::same_as<T, std::string>)
        {
            to = from.is_string() ? from.get<std::string>() : "";
            return from.is_string() || fail("must be a string");
        }
        else if constexpr (std::is_enum_v<T>)
        {
            return decode_enum(from, to);
        }
        else if constexpr (std::same_as<T, wall_time>)
        {
            return decode_parsed(from, to, parse_wall_time);
        }
        else if constexpr (std::same_as<T, endpoint>)
        {
            to = {};
            return from.is_null() || decode_parsed(from, to, parse_endpoint);
        }
        else if constexpr (number_wrapper<T>)
        {
            return decode_number(from, to.value);
        }
        else if constexpr (is_optional<T>::value)
        {
            to.reset();
            return from.is_null() || decode(from, to.emplace());
        }
        else if constexpr (is_vector<T>::value)
        {
            return decode_array(from, to);
        }
        else
        {
            static_assert(has_json_fields<T>);
            return from.is_object()
                       ? std::apply(
                             [&](const auto&... field)
                             { return (decode_field(from, to, field) && ...); },
                             document_fields<T>::fields)
                       : fail("must be an object");
        }
    }
};

failure invalid_document(std::string message)
{
    return {failure_kind::invalid_input, std::move(message)};
}

} // namespace

template <class Document>
std::string to_json(const Document& document)
{
    json object{{"kind", document_kind<Document>}, {"format", format_version}};
    object.update(encode(document));
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

template <class Document>
outcome<Document> from_json(std::string_view text)
{
    // A document is the body of one HTTP response.
    if (text.size() > max_response_size.value)
    {
        return failure{failure_kind::limit_exceeded,
                       "the document exceeds the size limit of a response"};
    }
    // Invalid JSON gives a discarded value, which is not an object.
    const json object = json::parse(text, nullptr, false);
    if (!object.is_object())
    {
        return invalid_document("not a JSON object");
    }
    const auto kind = object.find("kind");
    if (kind == object.end() || *kind != document_kind<Document>)
    {
        return invalid_document("the field \"kind\" is not " +
                                std::string(document_kind<Document>));
    }
    const auto format = object.find("format");
    if (format == object.end() || *format != format_version)
    {
        return invalid_document("the field \"format\" is not " +
                                std::to_string(format_version));
    }
    Document document;
    decoder json_decoder;
    if (!json_decoder.decode(object, document))
    {
        return invalid_document(json_decoder.first_error);
    }
    return document;
}

template std::string to_json(const status_document&);
template std::string to_json(const audit_document&);
template std::string to_json(const explain_document&);
template outcome<status_document> from_json(std::string_view);
template outcome<audit_document> from_json(std::string_view);
template outcome<explain_document> from_json(std::string_view);

} // namespace catkinkeel
