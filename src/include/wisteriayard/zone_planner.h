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
    /// Endpoints that live in the zone.
    int endpoints = 0;
    /// Requests that they run at once, together.
    int slots = 0;
    int running = 0;
    int queued = 0;
};

/// How many endpoints a zone has to have for a target.
struct ZoneOrder {
    TargetId target;
    int endpoints = 0;
};

/// When the planner changes the number of endpoints. Loads are shares of the slots.
struct PlannerPolicy {
    double high = 0.8;
    /// Load that a new number of endpoints aims at; between low and high, so that an order does not cause the next.
    double aim = 0.6;
    double low = 0.3;
    Duration growAfter = std::chrono::seconds(5);
    /// Longer than growAfter: a missing endpoint costs targets, a spare one only its time.
    Duration shrinkAfter = std::chrono::minutes(2);
};

/// Plans the number of endpoints of one zone from their load, with hysteresis. Free of input and output.
class ZonePlanner {
public:
    explicit ZonePlanner(PlannerPolicy policy);

    /// @param loads the zone's targets
    /// @return the orders that are due; one is due until the zone has that many endpoints or the load no longer asks
    /// for it, because its receiver may have missed it
    std::vector<ZoneOrder> plan(const std::vector<TargetLoad>& loads, TimePoint now);
    /// Forgets what it saw, after authority was lost.
    void reset() { m_targets.clear(); }

private:
    struct Target {
        std::optional<TimePoint> highSince;
        std::optional<TimePoint> lowSince;
        std::optional<int> ordered;
    };

    void observe(Target& target, const TargetLoad& load, TimePoint now) const;
    std::optional<int> wanted(const Target& target, const TargetLoad& load, TimePoint now) const;

    PlannerPolicy m_policy;
    std::map<TargetId, Target> m_targets;
};

} // namespace wisteriayard
