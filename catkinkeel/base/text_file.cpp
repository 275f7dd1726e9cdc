#include "catkinkeel/base/text_file.hpp"

#include <array>
#include <fstream>

namespace catkinkeel
{

outcome<std::string> read_text_file(const std::string& path, byte_count limit)
{
    std::ifstream file(path, std::ios::binary);
    std::string text;
    std::array<char, 16384> part{};
    while (file && text.size() <= limit.value)
    {
        file.read(part.data(), part.size());
        text.append(part.data(), static_cast<std::size_t>(file.gcount()));
    }
    if (text.size() > limit.value)
    {
        return failure{failure_kind::limit_exceeded,
                       path + " is longer than " + std::to_string(limit.value) +
                           " bytes"};
    }
    // A stream that was read to its end has both bits set; one that could not
    // be opened, or a directory, lacks the first.
    if (!file.eof())
    {
        return failure{failure_kind::unavailable, path + " can't be read"};
    }
    return text;
}

} // namespace catkinkeel
