#include "hash.h"

#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>
#include <cstdlib>
#include <vector>

namespace wisteriayard {

namespace {

    std::string toHex(const unsigned char* data, std::size_t size)
    {
        constexpr char digits[] = "0123456789abcdef";
        std::string text;
        text.reserve(size * 2);
        for (std::size_t i = 0; i < size; ++i) {
            text.push_back(digits[data[i] >> 4]);
            text.push_back(digits[data[i] & 15]);
        }
        return text;
    }

} // namespace

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    if (EVP_Digest(data.data(), data.size(), digest.data(), &size, EVP_sha256(), nullptr) != 1)
        std::abort(); // OpenSSL without SHA-256 can't check any key
    return toHex(digest.data(), size);
}

std::string randomHex(std::size_t bytes)
{
    std::vector<unsigned char> buffer(bytes);
    if (RAND_bytes(buffer.data(), static_cast<int>(bytes)) != 1)
        std::abort(); // without random bytes, ids and keys could be guessed
    return toHex(buffer.data(), bytes);
}

} // namespace wisteriayard
