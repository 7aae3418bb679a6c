#pragma once

#include "wisteriayard/error.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wisteriayard {

/// Bytes of the former value that the new one contains.
struct CopiedBytes {
    std::size_t offset = 0;
    std::size_t size = 0;
};
/// Bytes that the former value does not contain.
struct InsertedBytes {
    std::string bytes;
};
using DeltaPart = std::variant<CopiedBytes, InsertedBytes>;

/// Difference between two versions of a value.
///
/// A configuration of hundreds of kilobytes changes in a few hundred bytes. The difference fits into a datagram, the
/// value does not.
struct ValueDelta {
    std::vector<DeltaPart> parts;
    /// Checksum of the new value.
    std::uint64_t checksum = 0;

    /// Approximate size in a message.
    std::size_t encodedSize() const;
};

/// @param former value that the receiver has
ValueDelta makeValueDelta(std::string_view former, std::string_view value);

/// Applies a difference to the value that it was made from.
/// @param maxBytes limit on the size of the new value
/// @return the new value, or Protocol if the difference does not belong to this value
Result<std::string> applyValueDelta(std::string_view former, const ValueDelta& delta, std::size_t maxBytes);

} // namespace wisteriayard
