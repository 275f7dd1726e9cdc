#pragma once

// Encodes standard base64 with padding, the encoding of values in the
// platform's store. Only stand-ins encode; the daemons only decode.

#include <sodium.h>

#include <string>

namespace catkinkeel
{

inline std::string encode_base64(const std::string& text)
{
    std::string encoded(
        sodium_base64_encoded_len(text.size(), sodium_base64_VARIANT_ORIGINAL),
        '\0');
    sodium_bin2base64(encoded.data(), encoded.size(),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      text.size(), sodium_base64_VARIANT_ORIGINAL);
    encoded.pop_back();
    return encoded;
}

} // namespace catkinkeel
