#pragma once

#include "wisteriayard/units.h"

#include <functional>
#include <vector>

namespace wisteriayard {

/// Tracks the era of a store over all clients of a process. Not thread-safe.
class StoreEraMonitor {
public:
    /// Called when the era rises, during the handling of a response of the new era.
    using Handler = std::function<void(StoreEra former, StoreEra current)>;

    /// The highest era of all responses; 0 before the first one.
    StoreEra current() const { return m_current; }
    /// Records the era of a response.
    /// @return false if the response is from an earlier era than another one
    bool observe(StoreEra era);
    /// Adds a handler. It is not called for the first response.
    void addHandler(Handler handler) { m_handlers.push_back(std::move(handler)); }

private:
    StoreEra m_current { 0 };
    std::vector<Handler> m_handlers;
};

} // namespace wisteriayard
