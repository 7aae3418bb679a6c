// RequestHandler: a single attempt at an endpoint, from the connection to forwarding the response.
#include "clock.h"
#include "request_handler.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace wisteriayard {

namespace http = boost::beast::http;
using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;

namespace {

    /// Connect timeout: several round trips between regions.
    constexpr Duration connectTimeout = std::chrono::milliseconds(250);
    /// Idle time after which a connection is not reused for a non-repeatable request. The endpoint or a device on the
    /// path may have dropped the connection, and a request lost on it can't be retried.
    constexpr Duration maxIdleNonRepeatable = std::chrono::milliseconds(800);
    constexpr Duration maxIdleRepeatable = std::chrono::hours(1);
    /// Idle limit of connections to endpoints that do not state one.
    constexpr Duration defaultIdleLimit = std::chrono::seconds(4);
    /// Limit on responses to earlier requests that are skipped on a connection.
    constexpr int maxStaleResponses = 2;
    /// Size limit of a buffered response.
    constexpr std::size_t maxBufferedResponse = 8 * 1024 * 1024;
    /// Size limit of the body of a skipped response to an earlier request.
    constexpr std::size_t maxStaleBody = 1024 * 1024;
    /// Limits on size and read time of the body of a response that states that the request was not executed. Beyond
    /// them the connection is closed instead of delaying the retry.
    constexpr std::size_t maxNotExecutedBody = 64 * 1024;
    constexpr Duration notExecutedBodyTimeout = std::chrono::milliseconds(100);

    /// Limit on logged bytes of a response's field value.
    constexpr std::size_t maxLoggedValue = 64;

    /// @param error the error that ended the exchange with the endpoint
    MayHaveExecuted brokenExchange(const Error& error)
    {
        if (error.code == Errc::Unavailable)
            return { error.message, MayHaveExecuted::Cause::ConnectionLost };
        return { "invalid response: " + error.message, MayHaveExecuted::Cause::InvalidResponse };
    }

} // namespace

awaitable<AttemptOutcomes> RequestHandler::runAttempt(Placement placement)
{
    TimePoint now = bootTimeNow();
    if (m_triedEndpoints.empty())
        m_state.hedges.recordPlaced(m_target, now);
    AttemptOutcomes outcomes;
    EndpointAttemptPtr attempt = beginAttempt(placement);
    if (!attempt) {
        outcomes.push_back(NotExecuted { "endpoint_left", false });
        co_return outcomes;
    }
    if (isHedgeable() && !m_headSent && !m_hedged) {
        m_state.hedges.recordWaiting(hedgeClass(), now);
        if (auto times = m_state.hedges.times(hedgeClass(), now))
            co_return co_await runRace(attempt, attempt->placement.placedAt + times->delay);
    }
    outcomes.push_back(co_await performAttempt(attempt));
    if (attempt->possibleCrash)
        co_await m_state.crashGuard.connectionBroke(
            attempt->record, attempt->possibleCrash->suspects, attempt->possibleCrash->at);
    co_return outcomes;
}

EndpointAttemptPtr RequestHandler::beginAttempt(const Placement& placement)
{
    auto& endpoints = m_state.directory.placement(m_target);
    EndpointId id = endpoints.endpoint(placement.endpoint).id;
    m_triedEndpoints.push_back(id);
    const EndpointRecord* record = m_state.directory.record(id);
    if (!record)
        return nullptr;
    auto attempt = std::make_shared<EndpointAttempt>(m_state.watchdog, *record, placement);
    m_runningAttempts.push_back(attempt);
    TimePoint now = bootTimeNow();
    endpoints.started(attempt->placement, placementRequest(now), now);
    logAdmitted(attempt->placement, id, now);
    return attempt;
}

std::optional<std::string> RequestHandler::sendObstacle(EndpointAttempt& attempt, TimePoint now)
{
    if (attempt.isHedge && (m_quarantined || isSuspected(now)))
        return "suspected";
    if (attempt.isHedge && timeLeft(now) < minTimeForAttempt)
        return "too_little_time";
    if (m_state.directory.placement(m_target).accepts(attempt.placement, placementRequest(now), now))
        return std::nullopt;
    return withheldReason(attempt.placement, now);
}

awaitable<AttemptOutcome> RequestHandler::performAttempt(EndpointAttemptPtr attempt)
{
    AttemptOutcome outcome = NotExecuted { "connect_failed", false };
    bool connected = co_await connect(*attempt);
    TimePoint now = bootTimeNow();
    if (connected || (attempt->isHedge && m_quarantined)) {
        if (auto obstacle = sendObstacle(*attempt, now))
            outcome = NotExecuted { *obstacle, false };
        else if (!interruption(*attempt))
            outcome = co_await exchangeWithEndpoint(*attempt);
    }
    now = bootTimeNow();
    auto interrupted = interruption(*attempt);
    auto* broken = std::get_if<MayHaveExecuted>(&outcome);
    bool begun = attempt->placement.firstEventSeen;
    if (broken && broken->cause == MayHaveExecuted::Cause::ConnectionLost && !m_quarantined && !interrupted)
        attempt->possibleCrash = PossibleCrash { now, suspects(!begun) };
    if (interrupted && !std::holds_alternative<Delivered>(outcome))
        outcome = *interrupted;
    std::erase(m_runningAttempts, attempt);
    auto& endpoints = m_state.directory.placement(m_target);
    if (!attempt->requestSent)
        endpoints.notSent(attempt->placement, now);
    const EndpointId& id = attempt->record.id;
    attempt->placement.isCold = attempt->placement.isCold || endpoints.isCold(attempt->placement, now);
    HealthChange change = endpoints.ended(attempt->placement, healthOutcome(outcome, attempt->placement), now);
    if (change == HealthChange::Ejected)
        m_state.log->write(Event::EndpointEjected, { { "endpoint", id.value() }, { "cause", outcomeName(outcome) } });
    if (change == HealthChange::Restored)
        m_state.log->write(Event::EndpointTakenBack, { { "endpoint", id.value() } });
    logAttempt(outcome, id, begun, now);
    recordHedgeEnd(*attempt, outcome, now);
    co_return outcome;
}

std::string RequestHandler::withheldReason(const Placement& placement, TimePoint now)
{
    EndpointPlacement& endpoints = m_state.directory.placement(m_target);
    auto reason = endpoints.sendExclusion(placement, placementRequest(now), now);
    if (reason)
        m_state.metrics.sendWithheld(std::string(endpointExclusionName(*reason)));
    if (reason == EndpointExclusion::Evacuated || reason == EndpointExclusion::OtherRegion
        || reason == EndpointExclusion::Memory)
        return "endpoint_" + std::string(endpointExclusionName(*reason));
    if (endpoints.isCold(placement, now))
        return "endpoint_cold";
    return endpoints.limit(placement) ? "endpoint_limited" : "endpoint_left_or_paused";
}

EndpointOutcome RequestHandler::healthOutcome(const AttemptOutcome& outcome, const Placement& placement) const
{
    // A cold endpoint is slow, which is no sign of a fault.
    if (std::holds_alternative<TimedOut>(outcome) && placement.isCold)
        return EndpointOutcome::Neutral;
    if (std::holds_alternative<Delivered>(outcome))
        return EndpointOutcome::Succeeded;
    if (auto* notExecuted = std::get_if<NotExecuted>(&outcome))
        return notExecuted->reason == "connect_failed" ? EndpointOutcome::Failed : EndpointOutcome::Neutral;
    if (std::holds_alternative<Cancelled>(outcome))
        return EndpointOutcome::Cancelled;
    if (std::holds_alternative<CallerDisconnected>(outcome) || m_quarantined)
        return EndpointOutcome::Neutral;
    return EndpointOutcome::Failed;
}

awaitable<bool> RequestHandler::connect(EndpointAttempt& attempt)
{
    if (interruption(attempt))
        co_return false;
    TimePoint now = bootTimeNow();
    Duration maxIdle = m_route->isRetryable() ? maxIdleRepeatable : maxIdleNonRepeatable;
    attempt.connection = m_state.pool.acquire(attempt.record.id, maxIdle, now);
    if (attempt.connection)
        co_return true;
    attempt.connection = m_state.pool.make();
    attempt.expiry.set(now + connectTimeout);
    boost::system::error_code error;
    auto& socket = attempt.connection->socket;
    openWithLimitedBuffer(socket, attempt.record.address.protocol());
    co_await socket.async_connect(attempt.record.address, redirect_error(use_awaitable, error));
    attempt.expiry.clear();
    if (error || !socket.is_open())
        co_return false;
    setTcpOptions(socket);
    socket.non_blocking(true, error); // EndpointExchange waits before it reads
    co_return true;
}

ForwardingHeaders RequestHandler::forwardingHeaders(const EndpointRecord& record, TimePoint now) const
{
    ForwardingHeaders headers;
    headers.endpoint = record.id;
    headers.timeLeft = timeLeft(now);
    headers.account = m_account;
    if (m_isEngine)
        headers.priority = m_priority;
    headers.resumeAfter = m_lastEvent ? m_lastEvent : m_traits.resumeAfter;
    return headers;
}

awaitable<AttemptOutcome> RequestHandler::exchangeWithEndpoint(EndpointAttempt& attempt)
{
    const EndpointRecord& record = attempt.record;
    EndpointExchange exchange(
        attempt.connection, m_state.receiveBuffer, m_state.bufferedResponses, m_request.head.isHeadRequest());
    std::optional<std::size_t> bodySize;
    if (m_request.hasBody)
        bodySize = m_request.body->size();
    ForwardingHeaders headers = forwardingHeaders(record, bootTimeNow());
    ++m_requestsSent;
    attempt.requestSent = true;
    if (attempt.isHedge)
        m_state.metrics.hedgedRequest("sent");
    attempt.sentAt = bootTimeNow();
    if (m_state.directory.placement(m_target).limit(attempt.placement))
        m_state.metrics.limitedRequestSent(m_requestsSent > 1);
    if (attempt.placement.isCold)
        m_state.metrics.coldRequestSent(m_requestsSent > 1);
    std::optional<CrashGuard::WaitingAttempt> waiting;
    if (!m_headSent)
        waiting.emplace(m_state.crashGuard, [this](SuspectTag tag) { suspectQuarantined(tag); });
    exchange.send(
        m_request.head.lines(), endpointRequestEnd(m_state.platform.codec(), headers, bodySize), m_request.body);
    ResponseTraits traits;
    Status read = co_await readMatchingHead(exchange, attempt, traits);
    if (!read) {
        exchange.close();
        ++m_possibleExecutions;
        attempt.mayHaveExecuted = true;
        m_mayHaveExecuted = true;
        // Without a response, usage is recorded only if execution has probably started. A stream counts as started with
        // its first event: not if it was interrupted before, nor if it was still queued at an endpoint that crashed,
        // but it does if only the response was lost.
        bool mayHaveStarted = m_route->kind != RequestKind::Stream
            || (!interruption(attempt) && !m_quarantined && attempt.placement.hasProbablyBegun(bootTimeNow()));
        if (mayHaveStarted)
            recordUsage();
        co_return brokenExchange(read.error());
    }
    attempt.connection->idleLimit = traits.idleTimeout.value_or(defaultIdleLimit);
    bool statedNotExecuted
        = traits.execution == ExecutionStatus::NotExecuted || traits.execution == ExecutionStatus::Misdirected;
    if (!statedNotExecuted) {
        ++m_possibleExecutions;
        attempt.mayHaveExecuted = true;
        m_mayHaveExecuted = true;
        recordUsage();
    }
    AttemptOutcome outcome = MayHaveExecuted { "the response has no seal" };
    bool success = exchange.head().isSuccess();
    attempt.answerBegun = statedNotExecuted || !success || m_route->kind != RequestKind::Stream;
    if (traits.execution == ExecutionStatus::Misdirected)
        m_state.directory.removeMisdirected(record.id, bootTimeNow());
    if (traits.execution == ExecutionStatus::NotExecuted)
        m_state.hedges.recordRefused(m_target, bootTimeNow());
    if (statedNotExecuted) {
        outcome
            = NotExecuted { traits.execution == ExecutionStatus::NotExecuted ? "endpoint_refused" : "address_reused",
                  true };
        attempt.expiry.set(bootTimeNow() + notExecutedBodyTimeout);
        // If the body can't be read completely, only the connection is affected: it is not reused.
        (void)co_await exchange.discardBody(maxNotExecutedBody);
        attempt.expiry.clear();
    } else if (traits.execution == ExecutionStatus::Executed && success && m_route->kind == RequestKind::Stream) {
        outcome = co_await forwardStream(exchange, attempt);
    } else if (traits.execution == ExecutionStatus::Executed) {
        outcome = co_await forwardBufferedResponse(exchange, attempt, success);
    }
    if (exchange.isReusable() && !interruption(attempt))
        m_state.pool.release(record.id, attempt.connection, bootTimeNow());
    else
        exchange.close();
    co_return outcome;
}

void RequestHandler::logUnreadableField(
    const EndpointRecord& record, std::string_view field, const std::string& value, TimePoint now)
{
    if (value.empty())
        return;
    m_state.logRequest(Event::AnswerFieldUnreadable,
        { { "request", m_traits.id.value() }, { "endpoint", record.id.value() }, { "field", field },
            { "value", value.substr(0, maxLoggedValue) } },
        now);
}

void RequestHandler::recordRateLimit(const EndpointAttempt& attempt, const ResponseTraits& traits, TimePoint now)
{
    // A late response to an earlier request may be older than the limit in force, so it doesn't end it.
    bool isLate = !traits.request.empty() && traits.request != m_traits.id;
    if (!traits.invalidRateLimit.empty() || (isLate && !traits.rateLimit))
        return;
    EndpointPlacement& endpoints = m_state.directory.placement(m_target);
    std::optional<RequestRate> former = endpoints.limit(attempt.placement);
    if (endpoints.recordLimit(attempt.placement, traits.rateLimit, attempt.sentAt, now))
        m_state.logRequest(Event::EndpointLimitChanged,
            m_state.directory.limitChangeFields({ attempt.record.id, former }, { { "request", m_traits.id.value() } }),
            now);
}

void RequestHandler::recordAvailability(const EndpointAttempt& attempt, const ResponseTraits& traits)
{
    // A misdirected response comes from another endpoint and says nothing about this one.
    if (traits.execution == ExecutionStatus::Misdirected)
        return;
    const EndpointRecord& record = attempt.record;
    TimePoint now = bootTimeNow();
    logUnreadableField(record, "pause", traits.invalidPause, now);
    logUnreadableField(record, "limit", traits.invalidRateLimit, now);
    logUnreadableField(record, "cold_time", traits.invalidColdTime, now);
    recordRateLimit(attempt, traits, now);
    if (traits.coldTime)
        m_state.directory.placement(m_target).recordColdTime(attempt.placement, *traits.coldTime, now);
    if (traits.pause && m_state.directory.placement(m_target).pause(attempt.placement, *traits.pause, now)) {
        m_state.metrics.endpointPaused();
        m_state.logRequest(Event::EndpointPaused,
            { { "request", m_traits.id.value() }, { "endpoint", record.id.value() },
                { "pause_ms", traits.pause->count() / 1000 } },
            now);
    }
    if (traits.leaving)
        m_state.directory.shutdownAnnounced(record.id, record.incarnation, now);
}

awaitable<Status> RequestHandler::readMatchingHead(
    EndpointExchange& exchange, const EndpointAttempt& attempt, ResponseTraits& traits)
{
    for (int stale = 0; stale <= maxStaleResponses; ++stale) {
        Status read = co_await exchange.readHead();
        if (!read)
            co_return read;
        traits = m_state.platform.codec().decodeResponse(exchange.head().status, exchange.fields());
        Status kept = exchange.keepHead();
        if (!kept)
            co_return kept;
        recordAvailability(attempt, traits);
        bool matches = traits.request.empty() || traits.request == m_traits.id;
        if (matches)
            co_return boost::outcome_v2::success();
        // A late duplicate response to an earlier request on this connection.
        Status skipped = co_await exchange.discardBody(maxStaleBody);
        if (!skipped)
            co_return skipped;
    }
    co_return fail(Errc::Protocol, "the connection carries responses to other requests");
}

awaitable<AttemptOutcome> RequestHandler::forwardBufferedResponse(
    EndpointExchange& exchange, EndpointAttempt& attempt, bool success)
{
    auto body = std::make_shared<ReservedText>(m_state.bufferedResponses);
    while (true) {
        auto part = co_await exchange.readBody();
        if (!part)
            co_return brokenExchange(part.error());
        m_state.directory.placement(m_target).firstEvent(attempt.placement, bootTimeNow());
        if (part.value().empty())
            break;
        std::size_t size = body->text.size() + part.value().size();
        if (size > maxBufferedResponse || !body->reservation.extendTo(Bytes(static_cast<std::int64_t>(size))))
            co_return MayHaveExecuted { "the response exceeds the buffer limit" };
        body->text += part.value();
    }
    if (attempt.cancelled)
        co_return Cancelled {};
    m_state.crashGuard.answerBegan(m_sharedSegments, bootTimeNow());
    answerCompleted(bootTimeNow());
    // The head of a failure is kept beside its body, after the exchange.
    Bytes kept(static_cast<std::int64_t>(body->text.size() + exchange.head().lines.size()));
    if (!success && !body->reservation.extendTo(kept))
        co_return MayHaveExecuted { "the response exceeds the buffer limit" };
    if (!success)
        co_return EndpointFailure { exchange.head(), std::shared_ptr<const std::string>(body, &body->text) };
    if (!claimAnswer(attempt))
        co_return Cancelled {};
    m_headSent = true;
    co_await forwardResponse(exchange.head(), body->text);
    if (m_callerDisconnected)
        co_return CallerDisconnected {};
    co_return Delivered {};
}

awaitable<Status> RequestHandler::forwardEvents(
    EndpointExchange& exchange, EventStream& events, EndpointAttempt& attempt)
{
    if (attempt.cancelled)
        co_return fail(Errc::Unavailable, "another attempt was answered first");
    std::string text;
    std::size_t count = 0;
    while (auto event = events.next()) {
        ++count;
        if (event->id && m_lastEvent && *event->id <= *m_lastEvent)
            continue; // already forwarded in an earlier attempt
        if (event->id)
            m_lastEvent = event->id;
        text += event->text;
    }
    if (text.empty())
        co_return boost::outcome_v2::success();
    std::string output;
    TimePoint now = bootTimeNow();
    if (m_headSent)
        m_longestEventGap = std::max(m_longestEventGap, now - m_lastEventAt);
    if (attempt.placement.firstEventSeen)
        m_state.directory.placement(m_target).eventsArrived(attempt.placement, count, now - m_lastEventAt, now);
    m_lastEventAt = now;
    if (!attempt.placement.firstEventSeen)
        m_state.crashGuard.answerBegan(m_sharedSegments, now);
    if (!m_headSent) {
        m_firstEventDelay = now - m_request.arrivedAt;
        m_state.metrics.firstEventReceived(m_route->name, m_firstEventDelay);
        m_state.directory.placement(m_target).firstEvent(attempt.placement, now);
        claimAnswer(attempt);
        attempt.answerBegun = true;
        m_headSent = true;
        BodyFraming framing = m_request.acceptsChunked ? BodyFraming::Chunked : BodyFraming::UntilClose;
        // Until the body is complete, only a reset shows that it is truncated, also if this process is killed.
        resetOnClose(framing == BodyFraming::UntilClose);
        output = callerResponseHead(exchange.head(), framing, 0, m_request.keepAlive && !m_state.isStopping());
    } else {
        m_state.directory.placement(m_target).firstEvent(attempt.placement, now);
    }
    output += m_request.acceptsChunked ? chunkText(text) : text;
    bool written = co_await writeStream(std::move(output));
    if (!written)
        co_return fail(Errc::Unavailable, "connection to the caller lost");
    co_return boost::outcome_v2::success();
}

awaitable<AttemptOutcome> RequestHandler::forwardStream(EndpointExchange& exchange, EndpointAttempt& attempt)
{
    EventStream events;
    while (true) {
        auto part = co_await exchange.readBody();
        if (!part)
            co_return brokenExchange(part.error());
        if (part.value().empty())
            break;
        events.feed(part.value());
        Status passed = co_await forwardEvents(exchange, events, attempt);
        if (!passed)
            co_return CallerDisconnected {};
        if (events.isOversized())
            co_return MayHaveExecuted { "the stream has an unterminated event beyond the size limit" };
    }
    if (!events.pendingBytes().empty() || !m_headSent)
        co_return MayHaveExecuted { "the stream ended in the middle of an event or without any",
            MayHaveExecuted::Cause::ConnectionLost };
    answerCompleted(bootTimeNow());
    if (m_request.acceptsChunked) {
        bool written = co_await writeStream(std::string(lastChunk));
        if (!written)
            co_return CallerDisconnected {};
    }
    co_return Delivered {};
}

void RequestHandler::recordUsage()
{
    if (m_usageRecorded || !m_account || !m_state.usage)
        return;
    m_usageRecorded = true;
    UsageFigures figures;
    figures.requests = 1;
    m_state.usage->count(*m_account, ClassId(m_route->name), figures);
}

} // namespace wisteriayard
