#pragma once

// A table of text cells. It is printed as Markdown on generated documentation
// pages and as aligned columns on a terminal.

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace catkinkeel
{

/// Rows may be shorter than the header; missing cells are printed as empty.
struct text_table
{
    std::vector<std::string> header;
    std::vector<std::vector<std::string>> rows;

    friend bool operator==(const text_table&, const text_table&) = default;
};

/// Number of code points of UTF-8 text.
inline std::size_t code_point_count(std::string_view text)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        text, [](char c)
        { return (static_cast<unsigned char>(c) & 0xc0U) != 0x80U; }));
}

/// Markdown table. A "|" in a cell is escaped, a line break becomes a space.
inline std::string to_markdown(const text_table& table)
{
    const auto format_row =
        [&table](const std::vector<std::string>& cells, bool escape)
    {
        std::string text = "|";
        for (std::size_t i = 0; i < table.header.size(); ++i)
        {
            text += ' ';
            for (const char c : i < cells.size() ? cells[i] : std::string())
            {
                if (escape && c == '|')
                {
                    text += '\\';
                }
                text += c == '\n' ? ' ' : c;
            }
            text += " |";
        }
        return text + "\n";
    };
    std::string text = format_row(table.header, true);
    text +=
        format_row(std::vector<std::string>(table.header.size(), "---"), false);
    for (const auto& row : table.rows)
    {
        text += format_row(row, true);
    }
    return text;
}

/// Columns aligned with spaces: two between columns, no trailing spaces.
inline std::string to_plain_text(const text_table& table)
{
    std::vector<std::size_t> widths(table.header.size(), 0);
    const auto update_widths = [&widths](const std::vector<std::string>& cells)
    {
        for (std::size_t i = 0; i < std::min(widths.size(), cells.size()); ++i)
        {
            widths[i] = std::max(widths[i], code_point_count(cells[i]));
        }
    };
    update_widths(table.header);
    std::ranges::for_each(table.rows, update_widths);

    std::string text;
    const auto append_row = [&](const std::vector<std::string>& cells)
    {
        std::string line;
        for (std::size_t i = 0; i < std::min(widths.size(), cells.size()); ++i)
        {
            line += cells[i];
            line.append(widths[i] - code_point_count(cells[i]) + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    };
    append_row(table.header);
    std::ranges::for_each(table.rows, append_row);
    return text;
}

} // namespace catkinkeel
