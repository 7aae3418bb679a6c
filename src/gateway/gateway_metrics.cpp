#include "gateway_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/text_serializer.h>

namespace wisteriayard {

namespace {

    /// Denser around the latency objectives of contracts, which are 0.12 to 1 s.
    const prometheus::Histogram::BucketBoundaries latencySeconds { 0.02, 0.05, 0.1, 0.12, 0.15, 0.2, 0.3, 0.4, 0.5, 0.8,
        1, 1.5, 2.5, 4, 6, 12 };

    /// Configurations must be in force within 2.5 to 4 s.
    const prometheus::Histogram::BucketBoundaries configDelaySeconds { 0.1, 0.25, 0.5, 1, 1.5, 2, 2.5, 3, 4, 6, 10,
        20 };

    auto& counter(prometheus::Registry& registry, const char* name, const char* help)
    {
        return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
    }

    auto& gauge(prometheus::Registry& registry, const char* name, const char* help)
    {
        return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
    }

    auto& histogram(prometheus::Registry& registry, const char* name, const char* help)
    {
        return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
    }

} // namespace

GatewayMetrics::GatewayMetrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_requests(counter(
          *m_registry, "wisteriayard_gateway_requests_total", "Requests that ended, by route, account and outcome"))
    , m_requestTime(histogram(*m_registry, "wisteriayard_gateway_request_seconds",
          "Time from the whole request to the whole answer, by route"))
    , m_firstEvent(histogram(*m_registry, "wisteriayard_gateway_first_event_seconds",
          "Time from the whole request to the head of the answer, by route"))
    , m_refusals(counter(*m_registry, "wisteriayard_gateway_refusals_total", "Requests refused, by reason"))
    , m_overloadRetries(counter(*m_registry, "wisteriayard_gateway_overload_retries_total",
          "Retries of requests that were refused as overloaded, by result"))
    , m_attempts(counter(*m_registry, "wisteriayard_gateway_attempts_total", "Attempts at endpoints, by outcome"))
    , m_brokenAttempts(counter(*m_registry, "wisteriayard_gateway_broken_attempts_total",
          "Attempts without a complete answer, by whether it had begun"))
    , m_invalidResponses(counter(*m_registry, "wisteriayard_gateway_invalid_responses_total",
          "Attempts in which an endpoint sent bytes that are not a response which can be forwarded"))
    , m_retries(counter(*m_registry, "wisteriayard_gateway_retries_total",
          "Attempts after the first, by whether the budget allowed them"))
    , m_hedgeDecisions(counter(*m_registry, "wisteriayard_gateway_hedge_decisions_total",
          "Decisions whether a slow request is sent to a second endpoint, by decision"))
    , m_hedgedRequests(counter(*m_registry, "wisteriayard_gateway_hedged_requests_total",
          "Requests sent to a second endpoint while the first was slow to answer, by result"))
    , m_pauses(counter(*m_registry, "wisteriayard_gateway_endpoint_pauses_total",
          "Answers after which an endpoint gets no requests for the time that it named"))
    , m_crashes(counter(*m_registry, "wisteriayard_gateway_waiting_attempts_crashed_total",
          "Attempts whose endpoint crashed before it began to answer"))
    , m_quarantineRefusals(counter(*m_registry, "wisteriayard_gateway_quarantine_refusals_total",
          "Requests refused because engines crash under one of their prompt segments"))
    , m_quarantinedSegments(gauge(
          *m_registry, "wisteriayard_gateway_quarantined_segments", "Prompt segments that are not sent to engines"))
    , m_limitedRequests(counter(*m_registry, "wisteriayard_gateway_limited_requests_total",
          "Requests sent to endpoints that name a rate limit, by attempt"))
    , m_coldRequests(counter(*m_registry, "wisteriayard_gateway_cold_requests_total",
          "Requests sent to endpoints that were cold, by attempt"))
    , m_coldEndpoints(
          gauge(*m_registry, "wisteriayard_gateway_cold_endpoints", "Endpoints that count as cold at this entry"))
    , m_fullEngines(gauge(*m_registry, "wisteriayard_gateway_full_engines",
          "Engines that have no memory for a request of mean size of this entry"))
    , m_peerDatagrams(counter(*m_registry, "wisteriayard_gateway_peer_datagrams_refused_total",
          "Datagrams of registered entries that could not be decoded"))
    , m_viewReads(counter(*m_registry, "wisteriayard_gateway_view_reads_total",
          "Calls to the store for copies of its parts, by view and cause"))
    , m_supersededChanges(counter(*m_registry, "wisteriayard_gateway_view_superseded_changes_total",
          "Changes received together with a later one of the same key, by view"))
    , m_configDelay(histogram(*m_registry, "wisteriayard_gateway_config_delay_seconds",
          "Upper bound of the time from the store's acceptance of a configuration until it was in force here"))
    , m_configRejections(counter(*m_registry, "wisteriayard_gateway_config_rejections_total",
          "Configurations in the store that could not be decoded"))
    , m_withheldSends(counter(*m_registry, "wisteriayard_gateway_sends_withheld_total",
          "Attempts that ended before the request was sent, because the chosen endpoint was excluded, by reason"))
    , m_evacuatedZones(
          gauge(*m_registry, "wisteriayard_gateway_evacuated_zones", "Zones to whose endpoints nothing is sent"))
    , m_endpoints(gauge(*m_registry, "wisteriayard_gateway_endpoints", "Endpoints that may be given requests"))
    , m_configVersion(
          gauge(*m_registry, "wisteriayard_gateway_config_version", "Version of the configuration in force"))
    , m_active(gauge(*m_registry, "wisteriayard_gateway_active_requests", "Requests being served"))
    , m_bodyMemory(gauge(
          *m_registry, "wisteriayard_gateway_request_body_bytes", "Memory reserved for bodies of callers' requests"))
    , m_headMemory(gauge(*m_registry, "wisteriayard_gateway_request_head_bytes",
          "Memory reserved for heads of callers' requests and unparsed bytes"))
    , m_streamMemory(gauge(*m_registry, "wisteriayard_gateway_stream_buffer_bytes",
          "Memory reserved for events of streams that their callers have not read"))
    , m_connections(gauge(*m_registry, "wisteriayard_gateway_connections", "Open connections, by peer"))
    , m_closedClients(counter(*m_registry, "wisteriayard_gateway_clients_closed_total",
          "Callers' connections without a complete request that were closed in favour of others, by cause"))
    , m_slowClients(counter(*m_registry, "wisteriayard_gateway_slow_clients_ended_total",
          "Requests of callers that did not send or read and were ended in favour of others, by cause"))
    , m_viewAge(
          gauge(*m_registry, "wisteriayard_gateway_view_age_seconds", "Time since the store was last heard, by view"))
    , m_storeEra(gauge(*m_registry, "wisteriayard_gateway_store_era", "Era that the store names in its responses"))
    , m_restorations(counter(*m_registry, "wisteriayard_gateway_store_restorations_total",
          "Restorations of the store from an older copy that this process noticed"))
    , m_dropped(gauge(*m_registry, "wisteriayard_gateway_log_lines_dropped",
          "Log lines dropped since the start because standard output was not read"))
{
}

void GatewayMetrics::requestEnded(
    const std::string& route, const AccountId& account, const std::string& outcome, Duration time)
{
    m_requests.Add({ { "route", route }, { "account", account.value() }, { "outcome", outcome } }).Increment();
    m_requestTime.Add({ { "route", route } }, latencySeconds).Observe(toSeconds(time));
}

void GatewayMetrics::firstEventReceived(const std::string& route, Duration time)
{
    m_firstEvent.Add({ { "route", route } }, latencySeconds).Observe(toSeconds(time));
}

void GatewayMetrics::requestRefused(PlacementRefusal reason)
{
    m_refusals.Add({ { "reason", std::string(placementRefusalName(reason)) } }).Increment();
}

void GatewayMetrics::retryAfterOverload(const std::string& result)
{
    m_overloadRetries.Add({ { "result", result } }).Increment();
}

void GatewayMetrics::attemptEnded(const std::string& outcome)
{
    m_attempts.Add({ { "outcome", outcome } }).Increment();
}

void GatewayMetrics::attemptBroken(bool begun)
{
    m_brokenAttempts.Add({ { "begun", begun ? "yes" : "no" } }).Increment();
}

void GatewayMetrics::invalidResponseReceived() { m_invalidResponses.Add({}).Increment(); }

void GatewayMetrics::retryRequested(bool allowed)
{
    m_retries.Add({ { "allowed", allowed ? "yes" : "no" } }).Increment();
}

void GatewayMetrics::hedgeDecided(const std::string& decision)
{
    m_hedgeDecisions.Add({ { "decision", decision } }).Increment();
}

void GatewayMetrics::hedgedRequest(const std::string& result)
{
    m_hedgedRequests.Add({ { "result", result } }).Increment();
}

void GatewayMetrics::endpointPaused() { m_pauses.Add({}).Increment(); }

void GatewayMetrics::endpointCrashed() { m_crashes.Add({}).Increment(); }

void GatewayMetrics::quarantineRefused() { m_quarantineRefusals.Add({}).Increment(); }

void GatewayMetrics::setQuarantinedSegments(std::size_t count)
{
    m_quarantinedSegments.Add({}).Set(static_cast<double>(count));
}

void GatewayMetrics::limitedRequestSent(bool further)
{
    m_limitedRequests.Add({ { "attempt", further ? "further" : "first" } }).Increment();
}

void GatewayMetrics::coldRequestSent(bool further)
{
    m_coldRequests.Add({ { "attempt", further ? "further" : "first" } }).Increment();
}

void GatewayMetrics::setFullEngineCount(std::size_t count) { m_fullEngines.Add({}).Set(static_cast<double>(count)); }

void GatewayMetrics::setColdEndpointCount(std::size_t count)
{
    m_coldEndpoints.Add({}).Set(static_cast<double>(count));
}

void GatewayMetrics::peerDatagramRefused() { m_peerDatagrams.Add({}).Increment(); }

void GatewayMetrics::viewRead(const std::string& view, const std::string& cause)
{
    m_viewReads.Add({ { "view", view }, { "cause", cause } }).Increment();
}

void GatewayMetrics::sendWithheld(const std::string& reason)
{
    m_withheldSends.Add({ { "reason", reason } }).Increment();
}

void GatewayMetrics::setEvacuatedZones(std::size_t count) { m_evacuatedZones.Add({}).Set(static_cast<double>(count)); }

void GatewayMetrics::setEndpointCount(std::size_t count) { m_endpoints.Add({}).Set(static_cast<double>(count)); }

void GatewayMetrics::setConfigVersion(std::int64_t version)
{
    m_configVersion.Add({}).Set(static_cast<double>(version));
}

void GatewayMetrics::configApplied(Duration maxDelay)
{
    m_configDelay.Add({}, configDelaySeconds).Observe(toSeconds(maxDelay));
}

void GatewayMetrics::configRejected() { m_configRejections.Add({}).Increment(); }

void GatewayMetrics::supersededChangesReceived(const std::string& view, std::size_t count)
{
    m_supersededChanges.Add({ { "view", view } }).Increment(static_cast<double>(count));
}

void GatewayMetrics::setActiveRequests(int count) { m_active.Add({}).Set(count); }

void GatewayMetrics::setRequestBodyMemory(Bytes reserved)
{
    m_bodyMemory.Add({}).Set(static_cast<double>(reserved.value()));
}

void GatewayMetrics::setRequestHeadMemory(Bytes reserved)
{
    m_headMemory.Add({}).Set(static_cast<double>(reserved.value()));
}

void GatewayMetrics::setStreamBufferMemory(Bytes reserved)
{
    m_streamMemory.Add({}).Set(static_cast<double>(reserved.value()));
}

void GatewayMetrics::setConnections(std::size_t callers, std::size_t endpoints)
{
    m_connections.Add({ { "peer", "caller" } }).Set(static_cast<double>(callers));
    m_connections.Add({ { "peer", "endpoint" } }).Set(static_cast<double>(endpoints));
}

void GatewayMetrics::clientClosed(ClientCloseCause cause)
{
    m_closedClients.Add({ { "cause", clientCloseCauseName(cause) } }).Increment();
}

void GatewayMetrics::slowClientEnded(SlowClientCause cause)
{
    m_slowClients.Add({ { "cause", slowClientCauseName(cause) } }).Increment();
}

void GatewayMetrics::setViewAge(const std::string& view, Duration age)
{
    m_viewAge.Add({ { "view", view } }).Set(toSeconds(age));
}

void GatewayMetrics::setStoreEra(StoreEra era) { m_storeEra.Add({}).Set(static_cast<double>(era.value())); }

void GatewayMetrics::storeRestored() { m_restorations.Add({}).Increment(); }

void GatewayMetrics::setDroppedLogLines(double count) { m_dropped.Add({}).Set(count); }

std::string GatewayMetrics::text() const { return prometheus::TextSerializer().Serialize(m_registry->Collect()); }

} // namespace wisteriayard
