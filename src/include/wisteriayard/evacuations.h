#pragma once

#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace wisteriayard {

/// A change of the key that requests the evacuation of a zone.
struct EvacuationChange {
    ZoneId zone;
    /// The key was removed, or is missing in a read.
    bool removed = false;
};

/// The zones whose evacuation the operator requests, as of this entry's copy of the store.
///
/// The first contact with a restored store is a read, complete or compared with the copy. A zone that it lacks may have
/// been requested after the copy from which the store was restored. The operator's writes are then written again within
/// about two seconds, so the zone stays evacuated for a grace period.
class Evacuations {
public:
    /// @param restorationGrace grace period of a zone that a restored store lacks
    explicit Evacuations(Duration restorationGrace = std::chrono::seconds(6))
        : m_restorationGrace(restorationGrace)
    {
    }

    /// Applies a complete read.
    /// @param era era of the store that was read
    void replace(const std::set<ZoneId>& requested, StoreEra era, TimePoint now);
    /// Applies changes in their order. Changes of an earlier era are ignored.
    void apply(const std::vector<EvacuationChange>& changes, StoreEra era, TimePoint now);
    /// Drops the zones whose grace period has ended.
    void expire(TimePoint now);

    /// The evacuated zones; for a zone that a restored store lacks, the end of its grace period.
    const std::map<ZoneId, std::optional<TimePoint>>& zones() const { return m_zones; }
    Duration restorationGrace() const { return m_restorationGrace; }

private:
    /// Records the era of a read or of changes. In a new era, the grace periods start anew.
    /// @return whether the store was restored
    bool observeEra(StoreEra era, TimePoint now);

    Duration m_restorationGrace;
    std::optional<StoreEra> m_era;
    std::map<ZoneId, std::optional<TimePoint>> m_zones;
};

} // namespace wisteriayard
