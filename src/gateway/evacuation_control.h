#pragma once

#include "gateway_state.h"
#include "store_follower.h"
#include "wisteriayard/evacuations.h"

namespace wisteriayard {

/// Applies the operator's requests to evacuate zones, which are keys of the copy that also holds the configuration, to
/// the directory of endpoints.
class EvacuationControl {
public:
    explicit EvacuationControl(GatewayState& state);

    /// Applies a complete read of the copy.
    void replace(const StoreRange& range, const ChangeOrigin& origin, TimePoint now);
    /// Applies changes of the copy.
    void apply(const WatchBatch& batch, const ChangeOrigin& origin, TimePoint now);
    /// Ends evacuations that a restored store still lacks after the grace period.
    void expire(TimePoint now);
    /// Names of the evacuated zones.
    nlohmann::json zonesField() const;

private:
    /// @return the zone that a key requests to evacuate; none for other keys and for a key without a zone
    std::optional<ZoneId> zoneOf(const std::string& key) const;
    /// Passes the zones on, and logs what has changed.
    /// @param source how the changes reached this entry
    void publish(std::string_view source, const std::optional<Duration>& maxDelay);
    void logStart(const ZoneId& zone, std::string_view source, const std::optional<Duration>& maxDelay);

    GatewayState& m_state;
    Evacuations m_evacuations;
    /// What was published last.
    std::map<ZoneId, std::optional<TimePoint>> m_published;
};

} // namespace wisteriayard
