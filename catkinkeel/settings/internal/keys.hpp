#pragma once

// The table of settings keys, used by the parser and by the generated page
// docs/settings.md. In this library, a key is the name of a setting, unless a
// comment says "cryptographic key".

#include "catkinkeel/settings/settings.hpp"

#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace catkinkeel::settings_internal
{

/// Pointer to a member of `Owner`, of any type that a setting may have.
template <class Owner>
using member_pointer =
    std::variant<vm_id Owner::*, data_centre_id Owner::*, endpoint Owner::*,
                 std::string Owner::*, std::uint32_t Owner::*,
                 byte_count Owner::*, std::chrono::seconds Owner::*,
                 double Owner::*, severity Owner::*, log_format Owner::*>;

/// Inclusive range of a number, or of the length of a string in bytes. Ignored
/// for other types.
struct value_range
{
    double minimum = 0;
    double maximum = 0;
};

enum class key_requirement : std::uint8_t
{
    required,
    optional
};

/// Definition of one key. The default is the member's value in a default
/// `Owner`.
template <class Owner>
struct key_definition
{
    /// "section.key", or "key" within a peer.
    std::string_view name;
    member_pointer<Owner> member;
    /// Shown on the generated page; empty for values without a unit.
    std::string_view unit;
    value_range range;
    key_requirement requirement;
    /// As it is written in a file.
    std::string_view example;
    /// Description for the generated page.
    std::string_view meaning;
};

std::span<const key_definition<daemon_settings>> daemon_keys();

/// Keys of one entry of the list `peers`.
std::span<const key_definition<peer_settings>> peer_keys();

/// Maximum number of entries in the list `peers`.
constexpr std::size_t max_peer_entries = 512;

// Names of the TOML types shown on the generated page. The overload depends on
// the type of the member; the value of the argument is ignored.

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

/// Names of the enumerators, indexed by their value. The argument only selects
/// the enumeration.
std::span<const std::string_view> names_of(severity);
std::span<const std::string_view> names_of(log_format);

/// Formats a number with up to 12 significant digits and without trailing
/// zeros, for example 2048 as "2048" and 0.05 as "0.05".
std::string format_number(double value);

/// A contradiction between keys. It is reported at the line of `key`.
struct rule_violation
{
    std::string key;
    std::string message;
};

/// Checks the rules that involve several keys. `settings` must have a value for
/// every required key.
std::vector<rule_violation>
check_cross_key_rules(const daemon_settings& settings);

} // namespace catkinkeel::settings_internal
