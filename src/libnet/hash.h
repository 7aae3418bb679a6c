#pragma once

#include "wisteriayard/hash.h"

#include <cstddef>
#include <string>

namespace wisteriayard {

/// Generates cryptographically secure random bytes, formatted as lower-case hexadecimal digits.
/// @param bytes number of random bytes; the result has twice as many digits
std::string randomHex(std::size_t bytes);

} // namespace wisteriayard
