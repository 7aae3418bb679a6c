#pragma once

#include <cstdint>
#include <string_view>

namespace wisteriayard {

/// Hash of an attempt (64-bit FNV-1a over the request id and the attempt number), the same in all processes.
/// @param request id of the request
/// @param attempt number of the attempt
inline std::uint64_t attemptHash(std::string_view request, std::uint32_t attempt)
{
    constexpr std::uint64_t prime = 1099511628211ULL;
    std::uint64_t hash = 14695981039346656037ULL;
    for (unsigned char c : request)
        hash = (hash ^ c) * prime;
    for (int shift = 0; shift < 32; shift += 8)
        hash = (hash ^ ((attempt >> shift) & 0xff)) * prime;
    return hash;
}

} // namespace wisteriayard
