#pragma once

#include <string_view>

namespace catkinkeel
{

/// Release of this build, for example "0.1.0".
std::string_view release();

} // namespace catkinkeel
