#pragma once

#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <map>
#include <optional>
#include <vector>

namespace wisteriayard {

/// Load of one model or service in a zone.
struct TargetLoad {
    TargetId target;
    /// Live endpoints in the zone.
    int endpoints = 0;
    /// Total number of requests that they can run at once.
    int slots = 0;
    int running = 0;
    int queued = 0;
};

/// Required number of endpoints for a target in a zone.
struct ZoneOrder {
    TargetId target;
    int endpoints = 0;
};

/// Thresholds for changing the number of endpoints. Loads are fractions of the slots.
struct PlannerPolicy {
    double highLoad = 0.8;
    /// Load for which a new number of endpoints is chosen; between lowLoad and highLoad, so that an order does not
    /// trigger the next one.
    double desiredLoad = 0.6;
    double lowLoad = 0.3;
    Duration scaleUpAfter = std::chrono::seconds(5);
    /// Longer than scaleUpAfter: a missing endpoint costs service targets, a spare one only its running time.
    Duration scaleDownAfter = std::chrono::minutes(2);
};

/// Plans the number of endpoints of one zone from their load, with hysteresis. Does no I/O.
class ZonePlanner {
public:
    explicit ZonePlanner(PlannerPolicy policy);

    /// @param loads load of each of the zone's targets
    /// @return the orders in effect. An order is repeated until the zone has that many endpoints or the load no longer
    /// requires it, because its receiver may have missed it
    std::vector<ZoneOrder> plan(const std::vector<TargetLoad>& loads, TimePoint now);
    /// Discards all observations and orders, after authority was lost.
    void reset() { m_targets.clear(); }

private:
    struct Target {
        std::optional<TimePoint> highSince;
        std::optional<TimePoint> lowSince;
        std::optional<int> ordered;
    };

    void observe(Target& target, const TargetLoad& load, TimePoint now) const;
    std::optional<int> desiredEndpoints(const Target& target, const TargetLoad& load, TimePoint now) const;

    PlannerPolicy m_policy;
    std::map<TargetId, Target> m_targets;
};

} // namespace wisteriayard
