#include "catkinkeel/base/text_file.hpp"

#include <array>
#include <fstream>

namespace catkinkeel
{

outcome<std::string> read_text_file(const std::string& path, byte_count limit)
{
    std::ifstream file(path, std::ios::binary);
    std::string text;
    std::array<char, 16384> block{};
    while (file && text.size() <= limit.value)
    {
        file.read(block.data(), block.size());
        text.append(block.data(), static_cast<std::size_t>(file.gcount()));
    }
    if (text.size() > limit.value)
    {
        return failure{failure_kind::limit_exceeded,
                       path + " is longer than " + std::to_string(limit.value) +
                           " bytes"};
    }
    // Reading to the end of a file sets eofbit and failbit. A file that could
    // not be opened, or a directory, sets only failbit.
    if (!file.eof())
    {
        return failure{failure_kind::unavailable, path + " can't be read"};
    }
    return text;
}

} // namespace catkinkeel
