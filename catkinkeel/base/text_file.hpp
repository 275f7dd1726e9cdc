#pragma once

// Reads a text file into memory.

#include "catkinkeel/base/byte_count.hpp"
#include "catkinkeel/base/outcome.hpp"

#include <string>

namespace catkinkeel
{

/// Returns the content of a file. Fails with `unavailable` if it cannot be read
/// and with `limit_exceeded` if it is longer than `limit`.
outcome<std::string> read_text_file(const std::string& path, byte_count limit);

} // namespace catkinkeel
