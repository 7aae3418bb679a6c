#pragma once

#include "wisteriayard/scheduler.h"

#include <array>
#include <deque>
#include <unordered_map>

namespace wisteriayard::bench {

/// Queueing and endpoint selection rules of a baseline.
struct BaselineRules {
    bool strictPriority = false;
    bool roundRobin = false;
};

/// A simple scheduling policy with the interface of Scheduler, as a reference for comparison.
class Baseline {
public:
    using Decisions = Scheduler::Decisions;

    explicit Baseline(BaselineRules rules)
        : m_rules(rules)
    {
    }

    Decisions endpointAdded(const EndpointInfo& info, TimePoint now);
    Decisions endpointRemoved(const EndpointId& id, TimePoint now);
    Decisions endpointReported(const EndpointId&, const EndpointLoad&, TimePoint) { return {}; }
    Decisions submit(const RequestInfo& request, TimePoint now);
    Decisions finished(const RequestId& request, const AttemptResult& result, TimePoint now);
    void progress(const RequestId&, Tokens, TimePoint) { }
    Decisions tick(TimePoint now);

private:
    struct Waiting {
        RequestInfo info;
        TimePoint since;
    };
    struct Endpoint {
        EndpointInfo info;
        int inFlight = 0;
    };
    struct Pool {
        std::vector<Endpoint> endpoints;
        std::size_t next = 0;
        std::array<std::deque<Waiting>, tierCount> queues;
    };

    Endpoint* selectEndpoint(Pool& pool);
    void dispatch(Pool& pool, Decisions& decisions);

    BaselineRules m_rules;
    std::map<TargetId, Pool> m_pools;
    std::unordered_map<RequestId, std::pair<TargetId, EndpointId>> m_running;
};

} // namespace wisteriayard::bench
