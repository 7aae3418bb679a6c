#pragma once

#include "wisteriayard.pb.h"
#include "wisteriayard/fanout.h"

#include <optional>
#include <vector>

namespace wisteriayard {

/// Encodes an update as one or more envelopes, each well below the size limit of a message.
std::vector<wire::Envelope> packViewUpdate(const ViewUpdate& update);

/// Reassembles the parts of updates. Each sender needs an assembler of its own.
class UpdateAssembler {
public:
    /// Adds a part.
    /// @return the update once it is complete; a part out of order is dropped
    std::optional<ViewUpdate> add(const wire::ViewUpdate& part);

private:
    std::vector<ConfigItem> m_items;
    std::uint32_t m_nextPart = 0;
};

} // namespace wisteriayard
