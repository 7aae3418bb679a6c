#pragma once

#include "endpoint_exchange.h"
#include "gateway_state.h"
#include "http_head.h"
#include "wisteriayard/event_stream.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wisteriayard {

/// A whole request of a caller.
struct CallerRequest {
    RequestHead head;
    std::shared_ptr<const std::string> body;
    /// The request has a body, which may be empty.
    bool hasBody = false;
    /// The caller wants to use the connection again.
    bool keepOpen = true;
    /// Without it, a body of unknown length ends with the connection.
    bool takesChunks = true;
    TimePoint arrivedAt {};
};

/// @name How one attempt at an endpoint ended
/// @{

/// The caller has the whole answer.
struct Delivered { };
/// The request has certainly not run there.
struct NotRun {
    std::string reason;
    /// A request reached an endpoint, so that a further one counts as a retry.
    bool offered = true;
};
/// The request may have run, and there is no usable answer.
struct MayHaveRun {
    std::string reason;
};
/// The endpoint's own failure; the request ran.
struct EndpointFailure {
    AnswerHead head;
    std::string body;
};
/// The caller has closed its connection.
struct CallerLeft { };
/// The time for the request is over.
struct TimedOut { };

using AttemptOutcome = std::variant<Delivered, NotRun, MayHaveRun, EndpointFailure, CallerLeft, TimedOut>;
/// @}

/// Name of an outcome with its detail, for log lines.
std::string outcomeName(const AttemptOutcome& outcome);

/// Serves one request of a caller: finds its route, places it at endpoints, and passes the answer on.
class RequestRun {
public:
    RequestRun(GatewayState& state, boost::asio::ip::tcp::socket& caller, CallerRequest request);

    /// @return whether the caller's connection may be used again
    boost::asio::awaitable<bool> serve();

private:
    /// Finds out what the request may do; nothing if it was answered.
    std::optional<OwnAnswer> classify();
    boost::asio::awaitable<bool> runAttempts();
    boost::asio::awaitable<AttemptOutcome> attempt(Placement placement);
    boost::asio::awaitable<EndpointConnectionPtr> connect(const EndpointRecord& record);
    boost::asio::awaitable<AttemptOutcome> converse(
        EndpointConnectionPtr connection, const EndpointRecord& record, Placement& placement);
    boost::asio::awaitable<Status> readOwnHead(
        EndpointExchange& exchange, const EndpointRecord& record, const Placement& placement, AnswerTraits& traits);
    /// Takes in what an answer says of new requests to its endpoint.
    void noteAvailability(const EndpointRecord& record, const Placement& placement, const AnswerTraits& traits);
    boost::asio::awaitable<AttemptOutcome> passWhole(EndpointExchange& exchange, Placement& placement, bool success);
    boost::asio::awaitable<AttemptOutcome> passStream(EndpointExchange& exchange, Placement& placement);
    /// Passes on the whole events that are buffered.
    boost::asio::awaitable<Status> passEvents(EndpointExchange& exchange, EventStream& events, Placement& placement);

    boost::asio::awaitable<bool> answer(OwnAnswer own);
    boost::asio::awaitable<bool> write(std::string text);
    /// @param retryAfter when there will probably be room for a request that has not run
    boost::asio::awaitable<bool> finishFailed(
        const std::optional<EndpointFailure>& failure, const NotRun* notRun, std::optional<Duration> retryAfter = {});
    boost::asio::awaitable<bool> finishTimedOut();

    void watchCaller();
    void stopWatching();
    void expired();
    void closeEndpoint();
    /// An outcome for an interrupted attempt: the caller left, or the time is over.
    std::optional<AttemptOutcome> interruption() const;
    bool mayRepeat(const AttemptOutcome& outcome, TimePoint now);
    EndpointOutcome healthOf(const AttemptOutcome& outcome) const;
    /// Counts the request in the usage of its account, once.
    void countUsage();
    Duration timeLeft(TimePoint now) const { return m_deadline - now; }
    PlacementRequest placementRequest(TimePoint now) const;
    OfferHeaders offerHeaders(const EndpointRecord& record, TimePoint now) const;
    void logAdmitted(const Placement& placement, const EndpointId& endpoint, TimePoint now);
    void logAttempt(const AttemptOutcome& outcome, const EndpointId& endpoint, TimePoint now);
    void logEnd(Event event, const std::string& outcome, const std::string& detail);

    GatewayState& m_state;
    boost::asio::ip::tcp::socket& m_caller;
    CallerRequest m_request;
    RequestTraits m_traits;
    std::shared_ptr<const RouteTable> m_routes;
    const Route* m_route = nullptr;
    TargetId m_target;
    std::optional<AccountId> m_account;
    Priority m_priority { 0 };
    bool m_isEngine = false;
    TimePoint m_deadline {};
    Deadline m_expiry;
    Deadline m_connectExpiry;
    EndpointConnectionPtr m_endpoint;
    /// Ends the watch of the caller's connection.
    std::shared_ptr<bool> m_watching;
    bool m_callerLeft = false;
    bool m_timedOut = false;
    /// Some attempt may have run.
    bool m_mayHaveRun = false;
    bool m_usageCounted = false;
    bool m_headSent = false;
    std::optional<std::int64_t> m_lastEvent;
    TimePoint m_lastEventAt {};
    /// Time from the request to the first event; 0 before it.
    Duration m_firstEventTime {};
    /// Longest time between two writes of events to the caller.
    Duration m_longestPause {};
    int m_attempts = 0;
    int m_offers = 0;
    int m_connectFailures = 0;
    std::vector<EndpointId> m_tried;
};

} // namespace wisteriayard
