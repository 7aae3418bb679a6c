#include "hash.h"

#include <openssl/rand.h>

#include <cstdlib>

namespace wisteriayard {

std::string randomHex(std::size_t bytes)
{
    std::string buffer(bytes, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char*>(buffer.data()), static_cast<int>(bytes)) != 1)
        std::abort(); // without a working random generator, ids and keys would be predictable
    return toHex(buffer);
}

} // namespace wisteriayard
