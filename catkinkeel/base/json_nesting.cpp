#include "catkinkeel/base/json_nesting.hpp"

namespace catkinkeel
{

bool has_limited_nesting(std::string_view text, std::size_t max_depth)
{
    std::size_t depth = 0;
    bool in_string = false;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        const char each = text[i];
        if (in_string)
        {
            // The character after a backslash does not end the string.
            i += each == '\\' ? 1 : 0;
            in_string = each != '"';
        }
        else if (each == '"')
        {
            in_string = true;
        }
        else if (each == '[' || each == '{')
        {
            ++depth;
            if (depth > max_depth)
            {
                return false;
            }
        }
        else if ((each == ']' || each == '}') && depth > 0)
        {
            --depth;
        }
    }
    return true;
}

} // namespace catkinkeel
