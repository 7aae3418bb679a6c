#pragma once

#include "wisteriayard.pb.h"
#include "wisteriayard/fanout.h"

#include <optional>
#include <vector>

namespace wisteriayard {

/// Packs an update into one or more envelopes that stay well below the largest message.
std::vector<wire::Envelope> packUpdate(const ViewUpdate& update);

/// Puts an update's parts together. One for each sender.
class UpdateAssembler {
public:
    /// Takes in a part.
    /// @return the update when it is whole; parts out of order are dropped with those before them
    std::optional<ViewUpdate> add(const wire::ViewUpdate& part);

private:
    std::vector<ConfigItem> m_items;
    std::uint32_t m_nextPart = 0;
};

} // namespace wisteriayard
