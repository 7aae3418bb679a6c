#pragma once

#include <string_view>

namespace wisteriayard {

/// Whether the first bytes of a body in chunks have to wait for further ones, as they may belong to an empty body. The
/// library's parser aborts the process if it gets the line "0\r\n" of such a body and, in a later call, a single byte
/// more.
///
/// No sound body waits in vain: neither a body nor what follows the size of its first chunk has fewer than five bytes.
/// @param received bytes that the parser has not got yet, of a body of which it has returned nothing
/// @return false as soon as the parser can take the bytes, whatever follows them
inline bool isPartOfEmptyChunkedBody(std::string_view received)
{
    constexpr std::string_view shortest = "0\r\n\r\n";
    return received.size() < shortest.size() && received.starts_with(shortest.front());
}

} // namespace wisteriayard
