#pragma once

#include "wisteriayard/ids.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace wisteriayard {

/// Final step of splitmix64: spreads every bit of a value over the result.
std::uint64_t mixHash(std::uint64_t value);

/// Rendezvous weight of an instance for a key: the same in every process and on every build.
std::uint64_t rendezvousWeight(std::string_view key, const InstanceId& instance);

/// The instances with the highest weight for a key, highest first; at most `count` of them.
std::vector<InstanceId> rendezvousTop(
    std::string_view key, const std::vector<InstanceId>& instances, std::size_t count);

} // namespace wisteriayard
