#pragma once

#include <string>
#include <string_view>

namespace wisteriayard {

/// SHA-256 as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view data);

/// Random bytes of the system's generator as lower-case hexadecimal digits.
/// @param bytes number of bytes; the result has twice as many digits
std::string randomHex(std::size_t bytes);

} // namespace wisteriayard
