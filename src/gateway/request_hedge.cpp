// RequestHandler: hedged requests, which are sent to a second endpoint because the first is slow to answer.
#include "clock.h"
#include "request_handler.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace wisteriayard {

using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;

namespace {

    /// Factor of the elapsed time after which a decision that depends on the load is made again: slow requests get
    /// several decisions, and those that have waited longest get scarce credit more often.
    constexpr double nextDecisionFactor = 1.5;
    /// Wait of a race without a pending decision; the end of an attempt ends the wait.
    constexpr Duration idleWait = std::chrono::hours(1);

    nlohmann::json millisecondsField(const std::optional<Duration>& time)
    {
        return time ? nlohmann::json(time->count() / 1000) : nlohmann::json();
    }

} // namespace

/// Attempts of a request that run beside each other. Outlives the handler while an endpoint that may have crashed is
/// checked after the caller has its answer.
struct RequestHandler::AttemptRace {
    explicit AttemptRace(boost::asio::io_context& io)
        : changed(io)
    {
    }

    /// Records the end of an attempt, which doesn't use the handler any more.
    /// @param isChecking the endpoint is still being checked
    void ended(AttemptOutcome outcome, bool isChecking)
    {
        outcomes.push_back(std::move(outcome));
        --running;
        checking += isChecking ? 1 : 0;
        changed.cancel();
    }

    void checked()
    {
        --checking;
        changed.cancel();
    }

    /// Whether the request goes on: to its end, or to a further attempt once all endpoints are checked.
    bool isOver() const
    {
        bool isAnswered = std::any_of(outcomes.begin(), outcomes.end(), [](const AttemptOutcome& each) {
            return std::holds_alternative<Delivered>(each) || std::holds_alternative<CallerDisconnected>(each)
                || std::holds_alternative<TimedOut>(each);
        });
        return running == 0 && (checking == 0 || isAnswered);
    }

    /// Cancelled at each change.
    boost::asio::steady_timer changed;
    AttemptOutcomes outcomes;
    int running = 0;
    int checking = 0;
};

bool RequestHandler::isHedgeable() const
{
    bool repeatable
        = m_route->kind == RequestKind::Idempotent || (m_route->kind == RequestKind::Stream && m_route->resumable);
    return m_state.hedges.isEnabled() && repeatable && m_route->maxAttempts > 1;
}

bool RequestHandler::isSuspected(TimePoint now)
{
    if (!m_state.crashGuard.hasSuspects())
        return false;
    std::vector<SuspectTag> tags = suspects(!m_headSent);
    bool known = std::any_of(tags.begin(), tags.end(),
        [&](SuspectTag tag) { return m_state.crashGuard.state(tag, now) != SuspectState::Free; });
    return known || !m_state.crashGuard.mayRetry(tags);
}

HedgeState RequestHandler::hedgeState(const EndpointAttempt& first, TimePoint now)
{
    HedgeState state;
    state.repeatable = isHedgeable();
    state.answerBegun = first.answerBegun || m_headSent;
    state.suspected = m_quarantined || isSuspected(now);
    state.hedged = m_hedged;
    state.attempts = m_possibleExecutions + (first.mayHaveExecuted ? 0 : 1);
    int sent = m_requestsSent + (first.requestSent ? 0 : 1);
    state.maxAttempts = sent < maxRequestsSent ? m_route->maxAttempts : state.attempts;
    state.elapsed = now - first.placement.placedAt;
    state.timeLeft = timeLeft(now);
    state.retries = m_state.retryBudget(m_target).use(now);
    return state;
}

awaitable<AttemptOutcomes> RequestHandler::runRace(EndpointAttemptPtr first, TimePoint dueAt)
{
    auto race = std::make_shared<AttemptRace>(m_state.io);
    std::optional<TimePoint> next = dueAt;
    spawnAttempt(race, first);
    while (!race->isOver()) {
        Duration wait = next ? *next - bootTimeNow() : idleWait;
        race->changed.expires_after(std::max(Duration(0), wait));
        boost::system::error_code ignored; // cancelled at the end of an attempt
        co_await race->changed.async_wait(redirect_error(use_awaitable, ignored));
        TimePoint now = bootTimeNow();
        if (!race->outcomes.empty() || first->answerBegun || interruption(*first))
            next.reset();
        if (next && now >= *next)
            next = considerHedge(race, *first, now);
    }
    co_return race->outcomes;
}

void RequestHandler::spawnAttempt(std::shared_ptr<AttemptRace> race, EndpointAttemptPtr attempt)
{
    ++race->running;
    auto run = [this, race, attempt]() -> awaitable<void> {
        CrashGuard& crashGuard = m_state.crashGuard;
        AttemptOutcome outcome = co_await performAttempt(attempt);
        // The handler may be gone after this.
        race->ended(std::move(outcome), attempt->possibleCrash.has_value());
        if (!attempt->possibleCrash)
            co_return;
        co_await crashGuard.connectionBroke(
            attempt->record, attempt->possibleCrash->suspects, attempt->possibleCrash->at);
        race->checked();
    };
    boost::asio::co_spawn(m_state.io, std::move(run), boost::asio::detached);
}

std::optional<TimePoint> RequestHandler::considerHedge(
    const std::shared_ptr<AttemptRace>& race, const EndpointAttempt& first, TimePoint now)
{
    HedgePolicy& policy = m_state.hedges;
    HedgeState state = hedgeState(first, now);
    HedgeDecision decision = policy.decide(hedgeClass(), state, now);
    if (decision == HedgeDecision::NotDue)
        return first.placement.placedAt + policy.times(hedgeClass(), now)->delay;
    if (!std::exchange(m_hedgeDue, true))
        policy.recordDue(hedgeClass(), now);
    std::optional<Placement> second;
    if (decision == HedgeDecision::Send) {
        second = chooseSecondEndpoint(state, now);
        decision = policy.decide(hedgeClass(), state, now);
    }
    if (decision == HedgeDecision::Send && !m_state.retryBudget(m_target).tryAcquireRetry(now))
        decision = HedgeDecision::RetryBudgetUsed;
    m_state.metrics.hedgeDecided(std::string(hedgeDecisionName(decision)));
    logHedgeDecision(first, state, decision, second, now);
    if (decision != HedgeDecision::Send) {
        Duration next = scaled(state.elapsed, nextDecisionFactor);
        return mayHedgeLater(decision) ? std::optional(first.placement.placedAt + next) : std::nullopt;
    }
    policy.recordSent(m_target, state.retries, now);
    m_hedged = true;
    if (EndpointAttemptPtr attempt = beginAttempt(*second)) {
        attempt->isHedge = true;
        spawnAttempt(race, attempt);
    }
    return std::nullopt;
}

std::optional<Placement> RequestHandler::chooseSecondEndpoint(HedgeState& state, TimePoint now)
{
    m_state.directory.removeLapsed(now);
    auto choice = place(now);
    auto* placement = std::get_if<Placement>(&choice);
    state.second = SecondEndpoint {};
    if (!placement)
        return std::nullopt;
    state.second = SecondEndpoint { true, placement->queued, placement->atEjectedEndpoint };
    return *placement;
}

void RequestHandler::logHedgeDecision(const EndpointAttempt& first, const HedgeState& state, HedgeDecision decision,
    const std::optional<Placement>& second, TimePoint now)
{
    HedgeFigures figures = m_state.hedges.figures(hedgeClass(), state.retries, now);
    auto time = [&](Duration HedgeTimes::*member) {
        return millisecondsField(figures.times ? std::optional(*figures.times.*member) : std::nullopt);
    };
    const auto& endpoints = m_state.directory.placement(m_target);
    nlohmann::json fields = { { "request", m_traits.id.value() }, { "route", m_route->name },
        { "target", m_target.value() }, { "decision", hedgeDecisionName(decision) },
        { "first", first.record.id.value() }, { "elapsed_ms", state.elapsed.count() / 1000 },
        { "time_left_ms", state.timeLeft.count() / 1000 }, { "attempts", state.attempts },
        { "max_attempts", state.maxAttempts }, { "delay_ms", time(&HedgeTimes::delay) },
        { "quantile_ms", time(&HedgeTimes::quantile) }, { "median_ms", time(&HedgeTimes::median) },
        { "samples", figures.times ? figures.times->samples : 0 }, { "due_share", figures.dueShare },
        { "credit", figures.credit }, { "cost", figures.cost ? nlohmann::json(*figures.cost) : nlohmann::json() },
        { "retries", state.retries.made }, { "retries_allowed", state.retries.allowed } };
    fields["second"] = second ? nlohmann::json(endpoints.endpoint(second->endpoint).id.value()) : nlohmann::json();
    fields["tokens_ahead"] = second ? nlohmann::json(second->tokensAhead) : nlohmann::json();
    fields["queued"] = second ? nlohmann::json(second->queued) : nlohmann::json();
    m_state.logRequest(Event::HedgeDecided, std::move(fields), now);
}

void RequestHandler::recordHedgeEnd(const EndpointAttempt& attempt, const AttemptOutcome& outcome, TimePoint now)
{
    bool interrupted = std::holds_alternative<TimedOut>(outcome) || std::holds_alternative<CallerDisconnected>(outcome);
    bool unanswered = std::holds_alternative<Cancelled>(outcome) || (interrupted && !m_headSent);
    if (isHedgeable() && unanswered)
        m_state.hedges.recordLowerBound(hedgeClass(), now - attempt.placement.placedAt, now);
    if (!attempt.isHedge)
        return;
    std::string result = attempt.answered ? "won" : "wasted";
    if (attempt.requestSent)
        m_state.metrics.hedgedRequest(result);
    m_state.logRequest(Event::HedgeEnded,
        { { "request", m_traits.id.value() }, { "endpoint", attempt.record.id.value() },
            { "result", attempt.requestSent ? result : "not_sent" }, { "outcome", outcomeName(outcome) },
            { "time_ms", (now - attempt.placement.placedAt).count() / 1000 } },
        now);
}

} // namespace wisteriayard
