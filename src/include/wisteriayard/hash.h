#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace wisteriayard {

/// SHA-256 as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view data);

/// 64-bit FNV-1a hash, for checksums and for spreading keys; not safe against crafted input.
/// @param value hash of the preceding bytes, if any
std::uint64_t fnv1a(std::string_view text, std::uint64_t value = 14695981039346656037ULL);

/// Bytes as lower-case hexadecimal digits.
std::string toHex(std::string_view bytes);

} // namespace wisteriayard
