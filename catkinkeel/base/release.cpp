#include "catkinkeel/base/release.hpp"

namespace catkinkeel
{

std::string_view release()
{
    return CATKINKEEL_VERSION;
}

} // namespace catkinkeel
