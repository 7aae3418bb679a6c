#pragma once

#include "wisteriayard/error.h"

#include <string>
#include <string_view>

namespace wisteriayard {

/// Base64 with padding, as the store's JSON gateway carries keys and values.
std::string base64Encode(std::string_view data);

/// Decodes padded base64.
/// @return the bytes, or Protocol if the text is not base64
Result<std::string> base64Decode(std::string_view text);

} // namespace wisteriayard
