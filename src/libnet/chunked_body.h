#pragma once

#include <string_view>

namespace wisteriayard {

/// Whether bytes from the begin of a body in chunks may be a part of an empty one that the library's parser must not
/// get yet: it aborts the process if it gets the line "0\r\n" and, in a later call, a single byte more.
/// @param received all bytes of the body so far
/// @return false as soon as the bytes can be parsed, whatever follows
inline bool isPartOfEmptyChunkedBody(std::string_view received)
{
    constexpr std::string_view shortest = "0\r\n\r\n";
    return received.size() < shortest.size() && received.starts_with(shortest.front());
}

} // namespace wisteriayard
