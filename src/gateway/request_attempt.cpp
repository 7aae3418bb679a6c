// One attempt at an endpoint: connection, request, and the answer that is passed on.
#include "clock.h"
#include "request_run.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace wisteriayard {

namespace http = boost::beast::http;
using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;

namespace {

    /// Time to open a connection to an endpoint: some round trips between regions.
    constexpr Duration connectTimeout = std::chrono::milliseconds(250);
    /// Idle time after which a connection is not trusted with a request that must not run twice: the endpoint, or a
    /// device on the way, may have dropped it, and a request lost on it can't be sent again.
    constexpr Duration trustedIdle = std::chrono::milliseconds(800);
    constexpr Duration anyIdle = std::chrono::hours(1);
    /// Idle time of a connection whose endpoint does not state its limit.
    constexpr Duration defaultIdleLimit = std::chrono::seconds(4);
    /// Answers to other requests that are skipped on a connection.
    constexpr int maxForeignAnswers = 2;
    /// Largest answer that is kept in memory until it is whole.
    constexpr std::size_t maxWholeAnswer = 8 * 1024 * 1024;
    /// Part of the process's memory that such answers may take together.
    constexpr double answerMemoryShare = 0.125;
    /// Body of an answer to an earlier request, which is skipped.
    constexpr std::size_t maxForeignBody = 1024 * 1024;
    /// Body of an answer that states that the request has not run, and the time to read it: the connection is given up
    /// rather than the request kept waiting.
    constexpr std::size_t maxRefusalBody = 64 * 1024;
    constexpr Duration refusalBodyTimeout = std::chrono::milliseconds(100);

    /// Bytes of a field of an answer that are logged.
    constexpr std::size_t maxLoggedValue = 64;

    /// Counts bytes of an answer in memory for as long as it is kept.
    class AnswerBytes {
    public:
        explicit AnswerBytes(GatewayState& state)
            : m_state(state)
        {
        }
        AnswerBytes(const AnswerBytes&) = delete;
        AnswerBytes& operator=(const AnswerBytes&) = delete;
        ~AnswerBytes() { m_state.answerBytes -= m_bytes; }

        /// @return whether there is room for them
        bool add(std::size_t bytes)
        {
            m_bytes += bytes;
            m_state.answerBytes += bytes;
            auto most = answerMemoryShare * static_cast<double>(m_state.settings.memory.value());
            return m_bytes <= maxWholeAnswer && static_cast<double>(m_state.answerBytes) <= most;
        }

    private:
        GatewayState& m_state;
        std::size_t m_bytes = 0;
    };

    bool isSuccess(const AnswerHead& head)
    {
        return http::to_status_class(head.result()) == http::status_class::successful;
    }

} // namespace

awaitable<AttemptOutcome> RequestRun::attempt(Placement placement)
{
    auto& endpoints = m_state.directory.placement(m_target);
    EndpointId id = endpoints.endpoint(placement.endpoint).id;
    m_tried.push_back(id);
    const EndpointRecord* known = m_state.directory.record(id);
    if (!known)
        co_return NotRun { "endpoint_left", false };
    EndpointRecord record = *known;
    TimePoint now = bootTimeNow();
    endpoints.started(placement, placementRequest(now), now);
    logAdmitted(placement, id, now);
    AttemptOutcome outcome = NotRun { "connect_failed", false };
    EndpointConnectionPtr connection = co_await connect(record);
    if (connection && !endpoints.accepts(placement, bootTimeNow()))
        outcome = NotRun { "endpoint_left_or_paused", false };
    else if (connection && !interruption())
        outcome = co_await converse(connection, record, placement);
    now = bootTimeNow();
    if (auto interrupted = interruption(); interrupted && !std::holds_alternative<Delivered>(outcome))
        outcome = *interrupted;
    m_endpoint.reset();
    HealthChange change = endpoints.ended(placement, healthOf(outcome), now);
    if (change == HealthChange::Ejected)
        m_state.log->write(Event::EndpointEjected, { { "endpoint", id.value() }, { "cause", outcomeName(outcome) } });
    if (change == HealthChange::Restored)
        m_state.log->write(Event::EndpointTakenBack, { { "endpoint", id.value() } });
    logAttempt(outcome, id, now);
    co_return outcome;
}

EndpointOutcome RequestRun::healthOf(const AttemptOutcome& outcome) const
{
    if (std::holds_alternative<Delivered>(outcome))
        return EndpointOutcome::Succeeded;
    if (auto* notRun = std::get_if<NotRun>(&outcome))
        return notRun->reason == "connect_failed" ? EndpointOutcome::Failed : EndpointOutcome::Neutral;
    if (std::holds_alternative<CallerLeft>(outcome))
        return EndpointOutcome::Neutral;
    return EndpointOutcome::Failed;
}

awaitable<EndpointConnectionPtr> RequestRun::connect(const EndpointRecord& record)
{
    TimePoint now = bootTimeNow();
    EndpointConnectionPtr connection
        = m_state.pool.take(record.id, m_route->isRepeatable() ? anyIdle : trustedIdle, now);
    if (connection) {
        m_endpoint = connection;
        co_return connection;
    }
    connection = m_state.pool.make();
    m_endpoint = connection;
    m_connectExpiry.set(now + connectTimeout);
    boost::system::error_code error;
    co_await connection->socket.async_connect(record.address, redirect_error(use_awaitable, error));
    m_connectExpiry.clear();
    if (error || !connection->socket.is_open())
        co_return nullptr;
    setPeerOptions(connection->socket);
    co_return connection;
}

OfferHeaders RequestRun::offerHeaders(const EndpointRecord& record, TimePoint now) const
{
    OfferHeaders offer;
    offer.endpoint = record.id;
    offer.timeLeft = timeLeft(now);
    offer.account = m_account;
    if (m_isEngine)
        offer.priority = m_priority;
    offer.resumeAfter = m_lastEvent ? m_lastEvent : m_traits.resumeAfter;
    return offer;
}

awaitable<AttemptOutcome> RequestRun::converse(
    EndpointConnectionPtr connection, const EndpointRecord& record, Placement& placement)
{
    bool bodyless = m_request.head.method() == http::verb::head;
    EndpointExchange exchange(connection, bodyless);
    std::optional<std::size_t> bodySize;
    if (m_request.hasBody)
        bodySize = m_request.body->size();
    OfferHeaders offer = offerHeaders(record, bootTimeNow());
    ++m_offers;
    exchange.send(endpointRequestHead(m_request.head, m_state.platform.codec(), offer, bodySize), m_request.body);
    AnswerTraits traits;
    Status read = co_await readOwnHead(exchange, record, placement, traits);
    if (!read) {
        exchange.close();
        ++m_attempts;
        m_mayHaveRun = true;
        // A stream begins with its first event. One that was given up before has not been used, nor has one that waited
        // at an endpoint which crashed; one whose answer was lost has.
        bool begun
            = m_route->kind != RequestKind::Stream || (!interruption() && placement.hasProbablyBegun(bootTimeNow()));
        if (begun)
            countUsage();
        co_return MayHaveRun { read.error().message };
    }
    connection->idleLimit = traits.idleTimeout.value_or(defaultIdleLimit);
    bool claimsNotRun = traits.claim == AnswerClaim::NotRun || traits.claim == AnswerClaim::Misdirected;
    if (!claimsNotRun) {
        ++m_attempts;
        m_mayHaveRun = true;
        countUsage();
    }
    AttemptOutcome outcome = MayHaveRun { "the answer has no receipt" };
    bool success = isSuccess(exchange.head());
    if (traits.claim == AnswerClaim::Misdirected)
        m_state.directory.misdirected(record.id);
    if (claimsNotRun) {
        outcome = NotRun { traits.claim == AnswerClaim::NotRun ? "endpoint_refused" : "address_reused", true };
        m_connectExpiry.set(bootTimeNow() + refusalBodyTimeout);
        (void)co_await exchange.skipBody(maxRefusalBody); // an incomplete answer makes the connection unusable only
        m_connectExpiry.clear();
    } else if (traits.claim == AnswerClaim::Ran && success && m_route->kind == RequestKind::Stream) {
        outcome = co_await passStream(exchange, placement);
    } else if (traits.claim == AnswerClaim::Ran) {
        outcome = co_await passWhole(exchange, placement, success);
    }
    if (exchange.isReusable() && !interruption())
        m_state.pool.put(record.id, connection, bootTimeNow());
    else
        exchange.close();
    co_return outcome;
}

void RequestRun::noteAvailability(const EndpointRecord& record, const Placement& placement, const AnswerTraits& traits)
{
    // An answer of another endpoint at the address says nothing of this one.
    if (traits.claim == AnswerClaim::Misdirected)
        return;
    TimePoint now = bootTimeNow();
    if (!traits.unreadablePause.empty())
        m_state.logRequest(Event::AnswerFieldUnreadable,
            { { "request", m_traits.id.value() }, { "endpoint", record.id.value() }, { "field", "pause" },
                { "value", traits.unreadablePause.substr(0, maxLoggedValue) } },
            now);
    if (traits.pause && m_state.directory.placement(m_target).pause(placement, *traits.pause, now)) {
        m_state.metrics.endpointPaused();
        m_state.logRequest(Event::EndpointPaused,
            { { "request", m_traits.id.value() }, { "endpoint", record.id.value() },
                { "pause_ms", traits.pause->count() / 1000 } },
            now);
    }
    if (traits.leaving)
        m_state.directory.saidToLeave(record.id, record.incarnation, now);
}

awaitable<Status> RequestRun::readOwnHead(
    EndpointExchange& exchange, const EndpointRecord& record, const Placement& placement, AnswerTraits& traits)
{
    for (int foreign = 0; foreign <= maxForeignAnswers; ++foreign) {
        Status read = co_await exchange.readHead();
        if (!read)
            co_return read;
        traits = m_state.platform.codec().decodeAnswer(exchange.head().result_int(), exchange.head());
        noteAvailability(record, placement, traits);
        bool own = traits.request.empty() || traits.request == m_traits.id;
        if (own)
            co_return boost::outcome_v2::success();
        // A late second answer to an earlier request of this connection.
        Status skipped = co_await exchange.skipBody(maxForeignBody);
        if (!skipped)
            co_return skipped;
    }
    co_return fail(Errc::Protocol, "the connection carries answers to other requests");
}

awaitable<AttemptOutcome> RequestRun::passWhole(EndpointExchange& exchange, Placement& placement, bool success)
{
    std::string body;
    AnswerBytes kept(m_state);
    while (true) {
        auto part = co_await exchange.readBody();
        if (!part)
            co_return MayHaveRun { part.error().message };
        m_state.directory.placement(m_target).firstEvent(placement, bootTimeNow());
        if (part.value().empty())
            break;
        body += part.value();
        if (!kept.add(part.value().size()))
            co_return MayHaveRun { "the answer is too large" };
    }
    if (!success)
        co_return EndpointFailure { exchange.head(), std::move(body) };
    bool keepOpen = m_request.keepOpen && !m_state.drainingSince;
    std::string text = callerAnswerHead(exchange.head(), BodyFraming::Length, body.size(), keepOpen);
    text += body;
    m_headSent = true;
    bool written = co_await write(std::move(text));
    if (!written)
        co_return CallerLeft {};
    co_return Delivered {};
}

awaitable<Status> RequestRun::passEvents(EndpointExchange& exchange, EventStream& events, Placement& placement)
{
    std::string text;
    std::size_t count = 0;
    while (auto event = events.next()) {
        ++count;
        if (event->id && m_lastEvent && *event->id <= *m_lastEvent)
            continue; // the caller has it from the attempt before
        if (event->id)
            m_lastEvent = event->id;
        text += event->text;
    }
    if (text.empty())
        co_return boost::outcome_v2::success();
    std::string output;
    TimePoint now = bootTimeNow();
    if (m_headSent)
        m_longestPause = std::max(m_longestPause, now - m_lastEventAt);
    if (placement.firstEventSeen)
        m_state.directory.placement(m_target).eventsArrived(placement, count, now - m_lastEventAt);
    m_lastEventAt = now;
    if (!m_headSent) {
        m_firstEventTime = now - m_request.arrivedAt;
        m_state.metrics.firstEvent(m_route->name, m_firstEventTime);
        m_state.directory.placement(m_target).firstEvent(placement, now);
        m_headSent = true;
        BodyFraming framing = m_request.takesChunks ? BodyFraming::Chunked : BodyFraming::UntilClose;
        output = callerAnswerHead(exchange.head(), framing, 0, m_request.keepOpen && !m_state.drainingSince);
    } else {
        m_state.directory.placement(m_target).firstEvent(placement, now);
    }
    output += m_request.takesChunks ? chunkText(text) : text;
    bool written = co_await write(std::move(output));
    if (!written)
        co_return fail(Errc::Unavailable, "the caller's connection broke");
    co_return boost::outcome_v2::success();
}

awaitable<AttemptOutcome> RequestRun::passStream(EndpointExchange& exchange, Placement& placement)
{
    EventStream events;
    while (true) {
        auto part = co_await exchange.readBody();
        if (!part)
            co_return MayHaveRun { part.error().message };
        if (part.value().empty())
            break;
        events.feed(part.value());
        Status passed = co_await passEvents(exchange, events, placement);
        if (!passed)
            co_return CallerLeft {};
        if (events.isOversized())
            co_return MayHaveRun { "an event has no end" };
    }
    if (!events.rest().empty() || !m_headSent)
        co_return MayHaveRun { "the stream ended within an event" };
    if (m_request.takesChunks) {
        bool written = co_await write(std::string(lastChunk));
        if (!written)
            co_return CallerLeft {};
    }
    co_return Delivered {};
}

void RequestRun::countUsage()
{
    if (m_usageCounted || !m_account || !m_state.usage)
        return;
    m_usageCounted = true;
    UsageFigures figures;
    figures.requests = 1;
    m_state.usage->count(*m_account, ClassId(m_route->name), figures);
}

} // namespace wisteriayard
