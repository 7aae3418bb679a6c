#pragma once

#include <string>
#include <string_view>

namespace wisteriayard {

/// SHA-256 as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view data);

/// Bytes as lower-case hexadecimal digits.
std::string toHex(std::string_view bytes);

} // namespace wisteriayard
