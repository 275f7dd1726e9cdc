#pragma once

// Whole files of text.

#include "catkinkeel/base/byte_count.hpp"
#include "catkinkeel/base/outcome.hpp"

#include <string>

namespace catkinkeel
{

/// Text of a file. Fails with `unavailable` if it can't be read and with
/// `limit_exceeded` if it is longer than `limit`.
outcome<std::string> read_text_file(const std::string& path, byte_count limit);

} // namespace catkinkeel
