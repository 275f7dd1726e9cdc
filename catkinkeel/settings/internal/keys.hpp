#pragma once

// The table of settings keys that the reader and the page share.

#include "catkinkeel/settings/settings.hpp"

#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace catkinkeel::settings_internal
{

/// Points to a member of `Owner` of any type that a key may have.
template <class Owner>
using member_pointer =
    std::variant<vm_id Owner::*, data_centre_id Owner::*, endpoint Owner::*,
                 std::string Owner::*, std::uint32_t Owner::*,
                 byte_count Owner::*, std::chrono::seconds Owner::*,
                 double Owner::*, severity Owner::*, log_format Owner::*>;

/// Smallest and largest value of a number, or length of a string in bytes.
/// Ignored for other types.
struct value_range
{
    double least = 0;
    double most = 0;
};

enum class presence : std::uint8_t
{
    required,
    optional
};

/// One key. The default is the member's value in a default `Owner`.
template <class Owner>
struct key_row
{
    /// "section.key", or "key" within a peer.
    std::string_view name;
    member_pointer<Owner> member;
    std::string_view unit;
    value_range range;
    presence need;
    /// As it stands in a file.
    std::string_view example;
    std::string_view text;
};

std::span<const key_row<daemon_settings>> daemon_keys();

/// Keys of one entry of the list `peers`.
std::span<const key_row<peer_settings>> peer_keys();

/// Most entries of the list `peers`.
constexpr std::size_t peer_limit = 512;

std::string_view type_name(vm_id);
std::string_view type_name(data_centre_id);
std::string_view type_name(const endpoint&);
std::string_view type_name(const std::string&);
std::string_view type_name(std::uint32_t);
std::string_view type_name(byte_count);
std::string_view type_name(std::chrono::seconds);
std::string_view type_name(double);
std::string_view type_name(severity);
std::string_view type_name(log_format);

/// Names of the values of an enumeration in the order of their numbers.
std::span<const std::string_view> names_of(severity);
std::span<const std::string_view> names_of(log_format);

/// Prints 2048 as "2048" and 0.05 as "0.05".
std::string number_text(double value);

/// A problem of the settings as a whole; `key` tells which line to name.
struct rule_violation
{
    std::string key;
    std::string message;
};

/// Applies every rule that spans several keys.
std::vector<rule_violation> check_rules(const daemon_settings& settings);

} // namespace catkinkeel::settings_internal
