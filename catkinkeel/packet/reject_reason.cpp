#include "catkinkeel/packet/reject_reason.hpp"

namespace catkinkeel
{

namespace
{

/// Whether row i is that of enumerator i, as `to_string` requires, and the last
/// row is that of the last enumerator, `bad_gue`. A new last enumerator must
/// replace `bad_gue` here; its missing row is not detected otherwise.
constexpr bool rows_match_enumerators()
{
    for (std::size_t i = 0; i < reject_reason_rows.size(); ++i)
    {
        if (static_cast<std::size_t>(reject_reason_rows[i].reason) != i)
        {
            return false;
        }
    }
    return reject_reason_rows.back().reason == reject_reason::bad_gue;
}
static_assert(rows_match_enumerators());

} // namespace

std::string_view to_string(reject_reason reason)
{
    return reject_reason_rows[static_cast<std::size_t>(reason)].name;
}

} // namespace catkinkeel
