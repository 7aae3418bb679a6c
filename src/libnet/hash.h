#pragma once

#include "wisteriayard/hash.h"

#include <cstddef>
#include <string>

namespace wisteriayard {

/// Random bytes of the system's generator as lower-case hexadecimal digits.
/// @param bytes number of bytes; the result has twice as many digits
std::string randomHex(std::size_t bytes);

} // namespace wisteriayard
