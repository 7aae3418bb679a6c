#include "wisteriayard/hash.h"

#include <openssl/evp.h>

#include <array>
#include <cstdlib>

namespace wisteriayard {

std::uint64_t fnv1a(std::string_view text, std::uint64_t value)
{
    for (unsigned char c : text)
        value = (value ^ c) * 1099511628211ULL;
    return value;
}

std::string toHex(std::string_view bytes)
{
    constexpr char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (char each : bytes) {
        auto byte = static_cast<unsigned char>(each);
        text.push_back(digits[byte >> 4]);
        text.push_back(digits[byte & 15]);
    }
    return text;
}

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    if (EVP_Digest(data.data(), data.size(), digest.data(), &size, EVP_sha256(), nullptr) != 1)
        std::abort(); // no key can be verified without SHA-256
    return toHex({ reinterpret_cast<const char*>(digest.data()), size });
}

} // namespace wisteriayard
