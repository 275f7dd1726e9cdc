#include "catkinkeel/link/key_ring.hpp"

#include <sodium.h>

#include <charconv>
#include <fstream>
#include <sstream>
#include <vector>

namespace catkinkeel
{

namespace
{

outcome<link_key> parse_key(const std::string& line, std::size_t line_number)
{
    const auto invalid_line = [&](const char* problem)
    {
        return failure{failure_kind::invalid_input,
                       "key file, line " + std::to_string(line_number) + ": " +
                           problem};
    };
    std::istringstream fields(line);
    std::string id_text;
    std::string secret_text;
    std::string extra_field;
    if (!(fields >> id_text >> secret_text) || (fields >> extra_field))
    {
        return invalid_line("expected a key identifier and a key");
    }
    link_key key;
    const char* const end = id_text.data() + id_text.size();
    const auto parsed = std::from_chars(id_text.data(), end, key.id);
    if (parsed.ec != std::errc() || parsed.ptr != end)
    {
        return invalid_line("the key identifier is not a number from 0 to 255");
    }
    std::size_t size = 0;
    if (secret_text.size() != 2 * key.secret.size() ||
        sodium_hex2bin(key.secret.data(), key.secret.size(), secret_text.data(),
                       secret_text.size(), nullptr, &size, nullptr) != 0 ||
        size != key.secret.size())
    {
        return invalid_line("the key is not 64 hexadecimal digits");
    }
    return key;
}

} // namespace

const link_key* key_ring::find(std::uint8_t id) const
{
    if (primary.id == id)
    {
        return &primary;
    }
    return secondary && secondary->id == id ? &*secondary : nullptr;
}

outcome<key_ring> parse_key_ring(const std::string& text)
{
    std::vector<link_key> keys;
    std::istringstream lines(text);
    std::string line;
    for (std::size_t line_number = 1; std::getline(lines, line); ++line_number)
    {
        const auto first = line.find_first_not_of(" \t\r");
        if (first == std::string::npos || line[first] == '#')
        {
            continue;
        }
        const auto key = parse_key(line, line_number);
        if (!key)
        {
            return key.error();
        }
        keys.push_back(key.value());
    }
    if (keys.empty() || keys.size() > 2)
    {
        return failure{failure_kind::invalid_input,
                       "key file: expected one or two keys, found " +
                           std::to_string(keys.size())};
    }
    if (keys.size() == 1)
    {
        return key_ring{keys.front(), std::nullopt};
    }
    if (keys.front().id == keys.back().id)
    {
        return failure{failure_kind::invalid_input,
                       "key file: both keys have the same identifier"};
    }
    return key_ring{keys.front(), keys.back()};
}

outcome<key_ring> read_key_ring(const std::filesystem::path& file)
{
    std::ifstream stream(file);
    std::ostringstream text;
    if (!stream || !(text << stream.rdbuf()))
    {
        return failure{failure_kind::unavailable,
                       "key file " + file.string() + " cannot be read"};
    }
    return parse_key_ring(text.str());
}

} // namespace catkinkeel
