#pragma once

#include "wisteriayard/error.h"

#include <string>
#include <string_view>

namespace wisteriayard {

/// Encodes bytes as base64 with padding, the encoding of keys and values in the store's JSON API.
std::string base64Encode(std::string_view data);

/// Decodes padded base64.
/// @return the bytes, or Protocol if the text is not valid base64
Result<std::string> base64Decode(std::string_view text);

} // namespace wisteriayard
