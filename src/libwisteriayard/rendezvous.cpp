#include "wisteriayard/rendezvous.h"

#include "wisteriayard/hash.h"

#include <algorithm>
#include <tuple>

namespace wisteriayard {

std::uint64_t mixHash(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

std::uint64_t rendezvousWeight(std::string_view key, const InstanceId& instance)
{
    std::uint64_t value = fnv1a(key);
    value = fnv1a(std::string_view("\0", 1), value);
    // With FNV alone, similar names would have similar high bits.
    return mixHash(fnv1a(instance.value(), value));
}

std::vector<InstanceId> rendezvousTop(std::string_view key, const std::vector<InstanceId>& instances, std::size_t count)
{
    std::vector<InstanceId> sorted = instances;
    auto before = [&](const InstanceId& a, const InstanceId& b) {
        // The instance id breaks ties, so that all processes agree.
        return std::make_tuple(rendezvousWeight(key, b), a) < std::make_tuple(rendezvousWeight(key, a), b);
    };
    count = std::min(count, sorted.size());
    std::partial_sort(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(count), sorted.end(), before);
    sorted.resize(count);
    return sorted;
}

} // namespace wisteriayard
