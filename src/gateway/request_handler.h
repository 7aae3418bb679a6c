#pragma once

#include "caller_backlog.h"
#include "caller_head.h"
#include "endpoint_attempt.h"
#include "endpoint_exchange.h"
#include "gateway_state.h"
#include "http_head.h"
#include "wisteriayard/event_stream.h"
#include "wisteriayard/region_rules.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wisteriayard {

/// A received request of a caller.
struct CallerRequest {
    CallerHead head;
    /// There was no memory for the head: only its decoded values are left, and the request is refused.
    bool isHeadDropped = false;
    /// Null if there was no memory for the head or the body: the body was not read, and the request is refused.
    std::shared_ptr<const std::string> body;
    /// The request has a body, possibly an empty one.
    bool hasBody = false;
    /// The caller asks to keep the connection open.
    bool keepAlive = true;
    /// The caller accepts chunked encoding. Otherwise closing the connection marks the end of a body of unknown length.
    bool acceptsChunked = true;
    TimePoint arrivedAt {};
};

/// @name Outcomes of one attempt at an endpoint
/// @{

/// The complete response was sent to the caller.
struct Delivered { };
/// The endpoint has certainly not executed the request.
struct NotExecuted {
    std::string reason;
    /// The request was sent to the endpoint, so that a further attempt counts as a retry.
    bool requestSent = true;
};
/// The endpoint may have executed the request, and there is no usable response.
struct MayHaveExecuted {
    enum class Cause {
        /// The endpoint closed the connection, so it may have crashed.
        ConnectionLost,
        /// The endpoint sent bytes that are no response.
        InvalidResponse,
        Other,
    };

    std::string reason;
    Cause cause = Cause::Other;
};
/// The endpoint executed the request and responded with an error.
struct EndpointFailure {
    EndpointHead head;
    std::shared_ptr<const std::string> body;
};
/// The caller closed its connection.
struct CallerDisconnected { };
/// The request's deadline passed.
struct TimedOut { };
/// Another attempt of the request, which ran beside this one, was answered first.
struct Cancelled { };

using AttemptOutcome
    = std::variant<Delivered, NotExecuted, MayHaveExecuted, EndpointFailure, CallerDisconnected, TimedOut, Cancelled>;
/// Outcomes of an attempt and of the one that ran beside it, if any.
using AttemptOutcomes = std::vector<AttemptOutcome>;
/// @}

/// Name of an outcome with its reason or status, for log lines.
std::string outcomeName(const AttemptOutcome& outcome);

/// Serves one request of a caller: selects its route, sends it to endpoints with retries, and forwards the response.
class RequestHandler {
public:
    RequestHandler(GatewayState& state, boost::asio::ip::tcp::socket& caller, CallerRequest request);

    /// @return whether the caller's connection can serve another request
    boost::asio::awaitable<bool> serve();
    /// Ends the request as if its deadline had passed.
    void expire();
    /// Whether the caller's connection has the longer time limit for callers that pause.
    bool isPauseAllowed() const { return m_isPauseAllowed || (m_backlog && m_backlog->isPauseAllowed()); }

private:
    /// Limit on requests sent to endpoints for one request of a caller, including those that endpoints refuse.
    static constexpr int maxRequestsSent = 3;
    /// Least remaining time for a further attempt; with less, it can't succeed.
    static constexpr Duration minTimeForAttempt = std::chrono::milliseconds(30);

    struct AttemptRace;

    /// Determines the route, account, priority, target and deadline.
    /// @return the response to send if the request is refused
    std::optional<LocalResponse> classify();
    boost::asio::awaitable<bool> runAttempts();
    /// Records the outcomes of attempts that ended, and responds if the request is done.
    /// @return whether the caller's connection can serve another request; none if a further attempt may be made
    boost::asio::awaitable<std::optional<bool>> finishIfDone(const AttemptOutcomes& outcomes);
    /// Makes an attempt, and a second one beside it if the first is slow to answer and hedging allows it.
    boost::asio::awaitable<AttemptOutcomes> runAttempt(Placement placement);
    /// @return null if the endpoint is no longer known
    EndpointAttemptPtr beginAttempt(const Placement& placement);
    /// Runs an attempt that has begun to its end, except for the check of an endpoint that may have crashed.
    boost::asio::awaitable<AttemptOutcome> performAttempt(EndpointAttemptPtr attempt);
    /// Reason why the request must not be sent although the attempt is connected, as NotExecuted::reason.
    std::optional<std::string> sendObstacle(EndpointAttempt& attempt, TimePoint now);
    /// Why an endpoint no longer accepts the request immediately before it is sent.
    std::string withheldReason(const Placement& placement, TimePoint now);
    /// Takes an idle connection to the attempt's endpoint, or makes one.
    /// @return whether the attempt has a usable connection
    boost::asio::awaitable<bool> connect(EndpointAttempt& attempt);
    boost::asio::awaitable<AttemptOutcome> exchangeWithEndpoint(EndpointAttempt& attempt);
    boost::asio::awaitable<Status> readMatchingHead(
        EndpointExchange& exchange, const EndpointAttempt& attempt, ResponseTraits& traits);
    /// Logs a field of a response that can't be decoded; does nothing if the value is empty.
    void logUnreadableField(
        const EndpointRecord& record, std::string_view field, const std::string& value, TimePoint now);
    /// Records the rate limit that a response names, or the end of the limit.
    void recordRateLimit(const EndpointAttempt& attempt, const ResponseTraits& traits, TimePoint now);
    /// Applies a pause, rate limit or shutdown announcement in a response to the state of its endpoint.
    void recordAvailability(const EndpointAttempt& attempt, const ResponseTraits& traits);
    boost::asio::awaitable<AttemptOutcome> forwardBufferedResponse(
        EndpointExchange& exchange, EndpointAttempt& attempt, bool success);
    boost::asio::awaitable<AttemptOutcome> forwardStream(EndpointExchange& exchange, EndpointAttempt& attempt);
    /// Forwards the complete events that are buffered.
    boost::asio::awaitable<Status> forwardEvents(
        EndpointExchange& exchange, EventStream& events, EndpointAttempt& attempt);

    /// Sends a complete response of an endpoint.
    boost::asio::awaitable<bool> forwardResponse(const EndpointHead& head, const std::string& body);
    boost::asio::awaitable<bool> respond(LocalResponse response);
    /// Refuses a request that is in quarantine, or whose prompt has a segment in quarantine.
    /// @param wait time until such a request can be tried again
    boost::asio::awaitable<bool> refuseQuarantined(Duration wait);
    boost::asio::awaitable<bool> write(std::string text, std::string_view body = {});
    /// Writes a part of a stream, or keeps it for a caller that does not read. Waits for the caller only if there is no
    /// memory for that.
    /// @return false if the caller has disconnected
    boost::asio::awaitable<bool> writeStream(std::string text);
    /// Lets a caller pause whose connection has not taken all that was written: the kernel counts the time in which the
    /// window is closed also if its buffer holds the whole response.
    /// @param written bytes that were written now
    /// @param isLast the response is complete
    void allowPauseIfUnsent(std::size_t written, bool isLast);
    /// Sets whether closing the caller's connection, also by the end of this process, resets it.
    void resetOnClose(bool enabled);
    /// Writes what the connection accepts at once.
    /// @return bytes that were written; none if the caller has disconnected
    std::optional<std::size_t> writeNow(std::string_view text);
    /// Waits until the caller has accepted all of the stream that is kept for it.
    /// @return false if the caller has disconnected
    boost::asio::awaitable<bool> writeBacklog();
    void callerLost();
    /// @param refused why there is no further attempt, if no endpoint was chosen; used if the request was not executed
    boost::asio::awaitable<bool> respondToFailure(const Refused* refused = nullptr);
    boost::asio::awaitable<bool> respondToTimeout();

    void watchForDisconnect();
    void stopDisconnectWatch();
    /// Closes the connections of all running attempts, which ends them.
    void closeAttempts();
    /// Makes an attempt the one whose answer is forwarded, and cancels the others.
    /// @return false if another attempt was answered first
    bool claimAnswer(EndpointAttempt& attempt);
    /// Ends the attempt if the request or a segment of its prompt was put in quarantine, unless the answer has begun.
    void suspectQuarantined(SuspectTag tag);
    /// What may make an endpoint crash that runs the request: the request as a whole, and the shared segments of its
    /// prompt.
    /// @param withSegments false once an answer has begun, which clears the segments
    std::vector<SuspectTag> suspects(bool withSegments);
    /// Whether the request must not be sent now because of its suspects.
    /// @return time until it can be tried again; none if it may be sent
    std::optional<Duration> quarantineTime(TimePoint now);
    /// Records a complete answer, which clears the request.
    void answerCompleted(TimePoint now);
    /// Outcome of an interrupted attempt, if the caller disconnected, the deadline passed or the attempt was cancelled.
    std::optional<AttemptOutcome> interruption(const EndpointAttempt& attempt) const;
    bool mayRetry(const AttemptOutcome& outcome, TimePoint now);
    EndpointOutcome healthOutcome(const AttemptOutcome& outcome, const Placement& placement) const;
    /// Records the request in the usage of its account, at most once.
    void recordUsage();
    Duration timeLeft(TimePoint now) const { return m_deadline - now; }
    PlacementRequest placementRequest(TimePoint now);
    /// Waits, for a short time, until reports of other entries show that an engine has memory for this request.
    boost::asio::awaitable<void> awaitMemory();
    /// Chooses the endpoint of the next attempt.
    PlacementDecision place(TimePoint now);
    /// Tag of the last prompt segment, by which a retry of a refused request is recognized.
    std::optional<SegmentTag> returnTag() const;
    /// Records a refusal of the request, so that its retry is recognized.
    /// @return time after which the request may be retried
    Duration recordOverloaded(Duration retryAfter, TimePoint now);
    /// Limits a retry time to a share of the caller's remaining time.
    Duration limitedRetryAfter(Duration retryAfter, TimePoint now) const;
    ForwardingHeaders forwardingHeaders(const EndpointRecord& record, TimePoint now) const;
    void logAdmitted(const Placement& placement, const EndpointId& endpoint, TimePoint now);
    /// Tag of the request as a whole; computed when it is first needed, as bodies may be large.
    SuspectTag requestTag();
    /// @param begun whether the endpoint had begun to answer in this attempt
    void logAttempt(const AttemptOutcome& outcome, const EndpointId& endpoint, bool begun, TimePoint now);
    /// @name Hedged requests
    /// @{

    HedgeClass hedgeClass() const { return { m_route->name, m_target }; }
    /// Whether requests of the route may be hedged at all.
    bool isHedgeable() const;
    /// Whether the request or a shared segment of its prompt may have crashed endpoints.
    bool isSuspected(TimePoint now);
    HedgeState hedgeState(const EndpointAttempt& first, TimePoint now);
    /// Runs an attempt, and a second one if a decision allows it.
    /// @param dueAt time of the first decision
    boost::asio::awaitable<AttemptOutcomes> runRace(EndpointAttemptPtr first, TimePoint dueAt);
    void spawnAttempt(std::shared_ptr<AttemptRace> race, EndpointAttemptPtr attempt);
    /// Decides whether the second attempt is made now, and makes it.
    /// @return time of the next decision; none if there is none
    std::optional<TimePoint> considerHedge(
        const std::shared_ptr<AttemptRace>& race, const EndpointAttempt& first, TimePoint now);
    /// Looks for an endpoint for the second attempt.
    std::optional<Placement> chooseSecondEndpoint(HedgeState& state, TimePoint now);
    void logHedgeDecision(const EndpointAttempt& first, const HedgeState& state, HedgeDecision decision,
        const std::optional<Placement>& second, TimePoint now);
    /// Records the time of an attempt that ended, for the delay of later hedged requests.
    void recordHedgeEnd(const EndpointAttempt& attempt, const AttemptOutcome& outcome, TimePoint now);
    /// @}
    void logEnd(Event event, const std::string& outcome, const std::string& detail);

    GatewayState& m_state;
    boost::asio::ip::tcp::socket& m_caller;
    CallerRequest m_request;
    RequestTraits m_traits;
    std::vector<SuspectTag> m_sharedSegments;
    std::optional<SuspectTag> m_requestTag;
    std::shared_ptr<const RouteTable> m_routes;
    const Route* m_route = nullptr;
    TargetId m_target;
    std::optional<AccountId> m_account;
    Priority m_priority { 0 };
    RequestRegions m_regions;
    bool m_isEngine = false;
    TimePoint m_deadline {};
    Deadline m_expiry;
    std::vector<EndpointAttemptPtr> m_runningAttempts;
    /// Set to false to disable the pending disconnect watch, whose handler may run after this object's destruction.
    std::shared_ptr<bool> m_watchActive;
    /// Null until the caller does not read a part of a stream at once.
    std::shared_ptr<CallerBacklog> m_backlog;
    bool m_callerDisconnected = false;
    bool m_isPauseAllowed = false;
    std::size_t m_writtenBytes = 0;
    std::size_t m_nextUnsentCheck = 0;
    bool m_timedOut = false;
    /// The attempt was ended because the request or a segment of its prompt was put in quarantine.
    bool m_quarantined = false;
    /// An endpoint may have executed the request.
    bool m_mayHaveExecuted = false;
    bool m_usageRecorded = false;
    bool m_headSent = false;
    bool m_resetsOnClose = false;
    std::optional<std::int64_t> m_lastEvent;
    TimePoint m_lastEventAt {};
    /// Time from the arrival of the request to the first event; 0 before it.
    Duration m_firstEventDelay {};
    /// Longest time between two successive writes of events to the caller.
    Duration m_longestEventGap {};
    /// Attempts in which an endpoint may have executed the request.
    int m_possibleExecutions = 0;
    /// Attempts in which the request was sent to an endpoint.
    int m_requestsSent = 0;
    int m_connectFailures = 0;
    std::optional<EndpointFailure> m_failure;
    std::optional<NotExecuted> m_notExecuted;
    /// The request exceeded the delay after which it may be hedged.
    bool m_hedgeDue = false;
    /// A second attempt was made beside the first.
    bool m_hedged = false;
    std::vector<EndpointId> m_triedEndpoints;
};

} // namespace wisteriayard
