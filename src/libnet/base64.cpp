#include "base64.h"

#include <openssl/evp.h>

namespace wisteriayard {

std::string base64Encode(std::string_view data)
{
    std::string text((data.size() + 2) / 3 * 4 + 1, '\0'); // EVP_EncodeBlock appends a terminating NUL
    int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
        reinterpret_cast<const unsigned char*>(data.data()), static_cast<int>(data.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

Result<std::string> base64Decode(std::string_view text)
{
    if (text.empty())
        return std::string();
    std::string data(text.size() / 4 * 3 + 3, '\0');
    int length = text.size() % 4 != 0
        ? -1
        : EVP_DecodeBlock(reinterpret_cast<unsigned char*>(data.data()),
            reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (length < 0)
        return fail(Errc::Protocol, "invalid base64: " + std::string(text.substr(0, 32)));
    std::size_t padding = text.back() != '=' ? 0 : text[text.size() - 2] == '=' ? 2 : 1;
    data.resize(static_cast<std::size_t>(length) - padding);
    return data;
}

} // namespace wisteriayard
