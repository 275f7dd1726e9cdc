#include "catkinkeel/base/address.hpp"

#include <array>
#include <charconv>
#include <optional>

namespace catkinkeel
{

namespace
{

failure syntax_failure(std::string_view expected, std::string_view text)
{
    return {failure_kind::invalid_input,
            "'" + std::string(text) + "' is not " + std::string(expected)};
}

std::optional<std::uint32_t> parse_number(std::string_view text,
                                          std::uint32_t max_value)
{
    std::uint32_t number = 0;
    const char* end = text.data() + text.size();
    const auto [parsed_end, error] = std::from_chars(text.data(), end, number);
    if (text.empty() || error != std::errc{} || parsed_end != end ||
        number > max_value)
    {
        return std::nullopt;
    }
    return number;
}

} // namespace

outcome<ipv4_address> parse_ipv4_address(std::string_view text)
{
    constexpr int octets = 4;
    std::uint32_t value = 0;
    std::string_view rest = text;
    for (int octet = 0; octet < octets; ++octet)
    {
        const bool last = octet == octets - 1;
        const std::size_t dot = last ? rest.size() : rest.find('.');
        if (dot == std::string_view::npos)
        {
            return syntax_failure("an IPv4 address", text);
        }
        const auto number = parse_number(rest.substr(0, dot), 255);
        if (!number)
        {
            return syntax_failure("an IPv4 address", text);
        }
        value = (value << 8U) | *number;
        rest = last ? std::string_view{} : rest.substr(dot + 1);
    }
    return ipv4_address{value};
}

outcome<endpoint> parse_endpoint(std::string_view text)
{
    constexpr std::string_view expected = "an endpoint (address:port)";
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return syntax_failure(expected, text);
    }
    const auto address = parse_ipv4_address(text.substr(0, colon));
    const auto port = parse_number(text.substr(colon + 1), 65535);
    if (!address || !port || *port == 0)
    {
        return syntax_failure(expected, text);
    }
    return endpoint{address.value(), static_cast<std::uint16_t>(*port)};
}

outcome<protocol> parse_protocol(std::string_view text)
{
    if (text == "tcp")
    {
        return protocol::tcp;
    }
    if (text == "udp")
    {
        return protocol::udp;
    }
    return syntax_failure("a protocol (tcp or udp)", text);
}

std::string to_string(ipv4_address address)
{
    std::string text;
    for (int shift = 24; shift >= 0; shift -= 8)
    {
        text += std::to_string((address.value >> shift) & 0xffU);
        text += shift > 0 ? "." : "";
    }
    return text;
}

std::string to_string(const endpoint& value)
{
    return to_string(value.address) + ":" + std::to_string(value.port);
}

std::string to_string(protocol value)
{
    return value == protocol::tcp ? "tcp" : "udp";
}

} // namespace catkinkeel
