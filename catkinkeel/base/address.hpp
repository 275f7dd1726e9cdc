#pragma once

// IPv4 addresses, endpoints and transport protocols.

#include "catkinkeel/base/outcome.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace catkinkeel
{

/// IPv4 address in host byte order.
struct ipv4_address
{
    std::uint32_t value = 0;

    friend auto operator<=>(const ipv4_address&, const ipv4_address&) = default;
};

/// Address and port (host byte order).
struct endpoint
{
    ipv4_address address;
    std::uint16_t port = 0;

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// Transport protocol, with its IP protocol number.
enum class protocol : std::uint8_t
{
    tcp = 6,
    udp = 17
};

/// Parses "a.b.c.d". Fails with `invalid_input`.
outcome<ipv4_address> parse_ipv4_address(std::string_view text);

/// Parses "a.b.c.d:port", port 1 to 65535. Fails with `invalid_input`.
outcome<endpoint> parse_endpoint(std::string_view text);

/// Parses "tcp" or "udp". Fails with `invalid_input`.
outcome<protocol> parse_protocol(std::string_view text);

std::string to_string(ipv4_address address);
std::string to_string(const endpoint& value);
std::string to_string(protocol value);

} // namespace catkinkeel
