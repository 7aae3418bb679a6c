#pragma once

#include "wisteriayard/client_connections.h"
#include "wisteriayard/endpoint_placement.h"
#include "wisteriayard/ids.h"
#include "wisteriayard/stalled_transfers.h"
#include "wisteriayard/units.h"

#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
} // namespace prometheus

namespace wisteriayard {

/// Metrics of a gateway, listed in docs/metrics.md. Label values such as routes and accounts come from the
/// configuration, which bounds their number.
class GatewayMetrics {
public:
    GatewayMetrics();

    /// @param outcome `delivered`, `refused`, `failed`, `timed_out` or `caller_left`
    void requestEnded(const std::string& route, const AccountId& account, const std::string& outcome, Duration time);
    void firstEventReceived(const std::string& route, Duration time);
    void requestRefused(PlacementRefusal reason);
    /// A request that was refused as overloaded was retried.
    /// @param result `placed`, `placed_late`, `refused`, or `early_refused` before the time that was named
    void retryAfterOverload(const std::string& result);
    void attemptEnded(const std::string& outcome);
    /// @param begun whether the endpoint had begun to answer
    void attemptBroken(bool begun);
    /// An endpoint sent bytes that are not a response which can be forwarded.
    void invalidResponseReceived();
    void retryRequested(bool allowed);
    /// @param decision name of a HedgeDecision
    void hedgeDecided(const std::string& decision);
    /// @param result `sent`, then `won` or `wasted`
    void hedgedRequest(const std::string& result);
    void endpointPaused();
    /// An endpoint crashed before it began to answer a request.
    void endpointCrashed();
    void quarantineRefused();
    void setQuarantinedSegments(std::size_t count);
    /// @param further whether the request had been sent to an endpoint before
    void limitedRequestSent(bool further);
    /// @param further whether the request had been sent to an endpoint before
    void coldRequestSent(bool further);
    void setColdEndpointCount(std::size_t count);
    /// Sets the number of engines without memory for a request of mean size.
    void setFullEngineCount(std::size_t count);
    void peerDatagramRefused();
    /// A request was not sent to the chosen endpoint, because it was excluded meanwhile.
    void sendWithheld(const std::string& reason);
    void setEvacuatedZones(std::size_t count);
    void setEndpointCount(std::size_t count);
    void setConfigVersion(std::int64_t version);
    /// @param maxDelay upper bound of the time since the store accepted the configuration
    void configApplied(Duration maxDelay);
    void configRejected();
    void setActiveRequests(int count);
    void setRequestBodyMemory(Bytes reserved);
    void setRequestHeadMemory(Bytes reserved);
    void setStreamBufferMemory(Bytes reserved);
    void setConnections(std::size_t callers, std::size_t endpoints);
    /// A caller's connection without a complete request was closed in favour of others.
    void clientClosed(ClientCloseCause cause);
    /// A caller that did not send or read was ended in favour of others.
    void slowClientEnded(SlowClientCause cause);
    /// @param view `config` or `endpoints`
    void setViewAge(const std::string& view, Duration age);
    /// @param cause reason for reading the store: `watch`, `not_loaded`, `gap` or `stale`
    void viewRead(const std::string& view, const std::string& cause);
    /// @param count changes that arrived together with a later one of the same key
    void supersededChangesReceived(const std::string& view, std::size_t count);
    void setStoreEra(StoreEra era);
    /// The store came back from an older copy of itself.
    void storeRestored();
    void setDroppedLogLines(double count);

    /// All metrics in the Prometheus text format.
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter>& m_requests;
    prometheus::Family<prometheus::Histogram>& m_requestTime;
    prometheus::Family<prometheus::Histogram>& m_firstEvent;
    prometheus::Family<prometheus::Counter>& m_refusals;
    prometheus::Family<prometheus::Counter>& m_overloadRetries;
    prometheus::Family<prometheus::Counter>& m_attempts;
    prometheus::Family<prometheus::Counter>& m_brokenAttempts;
    prometheus::Family<prometheus::Counter>& m_invalidResponses;
    prometheus::Family<prometheus::Counter>& m_retries;
    prometheus::Family<prometheus::Counter>& m_hedgeDecisions;
    prometheus::Family<prometheus::Counter>& m_hedgedRequests;
    prometheus::Family<prometheus::Counter>& m_pauses;
    prometheus::Family<prometheus::Counter>& m_crashes;
    prometheus::Family<prometheus::Counter>& m_quarantineRefusals;
    prometheus::Family<prometheus::Gauge>& m_quarantinedSegments;
    prometheus::Family<prometheus::Counter>& m_limitedRequests;
    prometheus::Family<prometheus::Counter>& m_coldRequests;
    prometheus::Family<prometheus::Gauge>& m_coldEndpoints;
    prometheus::Family<prometheus::Gauge>& m_fullEngines;
    prometheus::Family<prometheus::Counter>& m_peerDatagrams;
    prometheus::Family<prometheus::Counter>& m_viewReads;
    prometheus::Family<prometheus::Counter>& m_supersededChanges;
    prometheus::Family<prometheus::Histogram>& m_configDelay;
    prometheus::Family<prometheus::Counter>& m_configRejections;
    prometheus::Family<prometheus::Counter>& m_withheldSends;
    prometheus::Family<prometheus::Gauge>& m_evacuatedZones;
    prometheus::Family<prometheus::Gauge>& m_endpoints;
    prometheus::Family<prometheus::Gauge>& m_configVersion;
    prometheus::Family<prometheus::Gauge>& m_active;
    prometheus::Family<prometheus::Gauge>& m_bodyMemory;
    prometheus::Family<prometheus::Gauge>& m_headMemory;
    prometheus::Family<prometheus::Gauge>& m_streamMemory;
    prometheus::Family<prometheus::Gauge>& m_connections;
    prometheus::Family<prometheus::Counter>& m_closedClients;
    prometheus::Family<prometheus::Counter>& m_slowClients;
    prometheus::Family<prometheus::Gauge>& m_viewAge;
    prometheus::Family<prometheus::Gauge>& m_storeEra;
    prometheus::Family<prometheus::Counter>& m_restorations;
    prometheus::Family<prometheus::Gauge>& m_dropped;
};

} // namespace wisteriayard
