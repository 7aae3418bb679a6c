#include "request_body.h"

#include <algorithm>
#include <bit>

namespace wisteriayard {

namespace {

    /// Least memory of a body of stated length.
    constexpr std::uint64_t minStep = std::uint64_t { 64 } * 1024;
    /// Without a stated length most bodies are small.
    constexpr std::uint64_t minUnstatedStep = 1024;

} // namespace

std::uint64_t bodyMemory(std::uint64_t size, const boost::optional<std::uint64_t>& stated)
{
    if (stated)
        return std::min(*stated, std::bit_ceil(std::max(size, minStep)));
    return size == 0 ? 0 : std::bit_ceil(std::max(size, minUnstatedStep));
}

void RequestBody::reader::growTo(std::size_t size)
{
    if (size <= m_body.capacity())
        return;
    // reserve() of a string that has a capacity allocates at least twice that.
    std::string grown;
    grown.reserve(std::max<std::size_t>(size, bodyMemory(size, m_stated)));
    grown = m_body;
    m_body.swap(grown);
}

} // namespace wisteriayard
