#include "wisteriayard/scheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wisteriayard {

namespace {

    constexpr Duration defaultRetryAfter = std::chrono::seconds(1);
    constexpr Duration maxRetryAfter = std::chrono::minutes(1);
    /// Minimum share of the dispatched work for each lower tier that has requests queued.
    constexpr double minTierShare = 0.05;
    /// Maximum accumulated minimum share of a tier, in tokens of work, so that a long backlog can't cause a burst.
    constexpr double maxMinShareCredit = 20'000;
    /// Transfer time between caller and entry, which is part of the latency that the caller sees.
    constexpr Duration callerMargin = std::chrono::milliseconds(10);
    /// Time per output token in microseconds, used until gaps have been measured.
    constexpr double defaultGap = 20'000;
    /// A request is refused on arrival only if its predicted wait exceeds the allowed one by this factor.
    constexpr double predictionMargin = 1.2;
    constexpr Duration rateInterval = std::chrono::milliseconds(100);
    constexpr double rateSmoothing = 0.1;
    /// Slower than rateSmoothing, because it limits bulk requests, which run for minutes.
    constexpr double neededSlotsSmoothing = 0.02;
    /// Margin for variations of the demand above bulk.
    constexpr double neededSlotsMargin = 1.2;
    constexpr double firstTokenSmoothing = 0.05;
    /// A first token from another region that takes this many times the usual time shows that the link is saturated.
    constexpr double lateFirstTokenFactor = 3;

} // namespace

Scheduler::Scheduler(ZoneId zone, RegionId region, SchedulerSettings settings)
    : m_zone(std::move(zone))
    , m_region(std::move(region))
    , m_settings(settings)
    , m_link(settings.linkBytesPerSecond)
{
}

TimePoint Scheduler::advance(TimePoint now)
{
    m_now = std::max(m_now, now);
    return m_now;
}

Scheduler::Pool& Scheduler::poolFor(const TargetId& target)
{
    return m_pools.try_emplace(target, EndpointSelector(m_zone, m_region)).first->second;
}

Scheduler::Decisions Scheduler::endpointAdded(const EndpointInfo& info, TimePoint now)
{
    advance(now);
    Decisions decisions;
    if (!validate(info))
        return decisions;
    Pool& pool = poolFor(info.target);
    auto known = m_poolOfEndpoint.find(info.id);
    if (known != m_poolOfEndpoint.end() && known->second != &pool)
        known->second->selector.remove(info.id);
    m_poolOfEndpoint[info.id] = &pool;
    pool.selector.add(info, m_now);
    dispatchWaiting(pool, decisions);
    return decisions;
}

Scheduler::Decisions Scheduler::endpointRemoved(const EndpointId& id, TimePoint now)
{
    advance(now);
    auto known = m_poolOfEndpoint.find(id);
    if (known == m_poolOfEndpoint.end())
        return {};
    known->second->selector.remove(id);
    m_poolOfEndpoint.erase(known);
    return {};
}

Scheduler::Decisions Scheduler::endpointReported(const EndpointId& id, const EndpointLoad& load, TimePoint now)
{
    advance(now);
    Decisions decisions;
    auto known = m_poolOfEndpoint.find(id);
    if (known == m_poolOfEndpoint.end() || !validate(load))
        return decisions;
    Pool& pool = *known->second;
    pool.selector.report(*pool.selector.find(id), load, m_now);
    dispatchWaiting(pool, decisions);
    return decisions;
}

Scheduler::Item Scheduler::allocate(const RequestInfo& request)
{
    Item item = 0;
    if (m_free.empty()) {
        item = static_cast<Item>(m_jobs.size());
        m_jobs.emplace_back();
    } else {
        item = m_free.back();
        m_free.pop_back();
    }
    m_jobs[item] = Job();
    m_jobs[item].info = request;
    m_index[request.id] = item;
    return item;
}

void Scheduler::release(Item item)
{
    m_index.erase(m_jobs[item].info.id);
    m_jobs[item].state = JobState::Free;
    m_free.push_back(item);
}

std::optional<RefusalReason> Scheduler::admissionRefusal(const RequestInfo& request)
{
    if (!validate(request))
        return RefusalReason::Invalid;
    if (m_index.count(request.id))
        return RefusalReason::Duplicate;
    if (request.submitReason == SubmitReason::First)
        m_retries.recordRequest(m_now);
    if (request.submitReason == SubmitReason::Retry && !m_retries.tryAcquireRetry(m_now))
        return RefusalReason::RetryBudget;
    return std::nullopt;
}

Scheduler::Decisions Scheduler::submit(const RequestInfo& request, TimePoint now)
{
    advance(now);
    Decisions decisions;
    if (auto reason = admissionRefusal(request)) {
        bool retry = *reason == RefusalReason::RetryBudget;
        decisions.push_back(Refusal { request.id, *reason, retry ? defaultRetryAfter : Duration(0) });
        return decisions;
    }
    Item item = allocate(request);
    Job& job = m_jobs[item];
    job.pool = &poolFor(request.target);
    job.submittedAt = m_now;
    estimate(job);
    setDeadlines(job);
    if (auto excess = predictedExcess(job)) {
        release(item);
        decisions.push_back(Refusal { request.id, RefusalReason::TargetMissed, std::min(*excess, maxRetryAfter) });
        return decisions;
    }
    enqueue(item);
    enforceQueueLimit(item, decisions);
    dispatchWaiting(*m_jobs[item].pool, decisions);
    if (m_jobs[item].state == JobState::Queued && request.tier == Tier::Top)
        preemptFor(m_jobs[item], decisions);
    return decisions;
}

void Scheduler::estimate(Job& job)
{
    const RequestInfo& info = job.info;
    job.outputTokens = info.delivered.value();
    job.estimatedOutput = 0;
    if (info.expectedOutput.value() > 0 || info.delivered.value() > 0)
        job.estimatedOutput
            = m_estimator.estimate(info.requestClass, info.account, info.expectedOutput, info.delivered).value();
    job.remainingTokens = std::max<std::int64_t>(0, job.estimatedOutput - job.outputTokens);
    // The prefix is assumed to be cached, since requests with the same prefix prefer the same endpoint.
    std::int64_t uncached = std::max<std::int64_t>(0, info.promptTokens.value() - info.prefixTokens.value());
    job.work = std::max(1.0, static_cast<double>(uncached + job.remainingTokens));
}

void Scheduler::setDeadlines(Job& job)
{
    const RequestInfo& info = job.info;
    const Pool& pool = *job.pool;
    double gap = pool.selector.medianGap() > 0 ? pool.selector.medianGap() : defaultGap;
    auto firstToken = Duration(static_cast<std::int64_t>(pool.firstToken + pool.firstTokenDeviation));
    auto service = firstToken + Duration(static_cast<std::int64_t>(gap * static_cast<double>(job.remainingTokens)));
    job.refuseAt = job.submittedAt + info.longestWait;
    job.refuseReason = RefusalReason::WaitExceeded;
    job.promoteAt = job.submittedAt + std::max(Duration(0), info.longestWait - service);
    if (info.tier != Tier::Bulk && info.submitReason == SubmitReason::First)
        job.pool->offeredSlotSeconds += std::chrono::duration<double>(service).count();
    if (info.tier == Tier::Top || info.submitReason != SubmitReason::First)
        return;
    Duration slack = info.longestWait;
    if (info.firstTokenTarget)
        slack = std::min(slack, *info.firstTokenTarget - firstToken - callerMargin);
    if (info.totalTarget)
        slack = std::min(slack, *info.totalTarget - service - callerMargin);
    if (slack >= info.longestWait)
        return;
    job.refuseAt = job.submittedAt + std::max(Duration(0), slack);
    job.refuseReason = RefusalReason::TargetMissed;
}

std::optional<Duration> Scheduler::predictedExcess(const Job& job) const
{
    const RequestInfo& info = job.info;
    const Pool& pool = *job.pool;
    auto queue = pool.queues.find({ info.tier, info.priority });
    if (info.tier == Tier::Top || info.submitReason != SubmitReason::First || queue == pool.queues.end())
        return std::nullopt;
    if (queue->second.empty())
        return std::nullopt;
    // Higher tiers are dispatched first; the rate of this tier and the lower ones is available to this request.
    double rate = 0;
    for (auto tier = static_cast<std::size_t>(info.tier); tier < tierCount; ++tier)
        rate += pool.dispatchRate[tier];
    if (rate <= 0)
        return std::nullopt;
    double wait = queue->second.workAhead(info.account, info.weight) / rate;
    double allowed = std::chrono::duration<double>(job.refuseAt - m_now).count();
    if (wait <= allowed * predictionMargin)
        return std::nullopt;
    constexpr double most = 3600;
    auto excess = Duration(static_cast<std::int64_t>(std::min(wait - allowed, most) * 1e6));
    return std::max(excess, defaultRetryAfter);
}

void Scheduler::enqueue(Item item)
{
    Job& job = m_jobs[item];
    ClassKey key { job.info.tier, job.info.priority };
    bool first = job.info.submitReason != SubmitReason::First;
    job.handle = job.pool->queues[key].push(job.info.account, job.info.weight, item, job.work, first);
    job.pool->backlog.insert(key);
    job.pool->promotions.emplace(job.promoteAt, item);
    m_deadlines.emplace(job.refuseAt, item);
    m_backlog[static_cast<std::size_t>(job.info.tier)].emplace(job.info.target, key);
    job.state = JobState::Queued;
    ++m_queued;
}

void Scheduler::dequeue(Item item, bool dispatched)
{
    Job& job = m_jobs[item];
    ClassKey key { job.info.tier, job.info.priority };
    FairQueue& queue = job.pool->queues[key];
    if (dispatched)
        queue.dispatch(job.handle);
    else
        queue.remove(job.handle);
    if (queue.empty()) {
        job.pool->backlog.erase(key);
        m_backlog[static_cast<std::size_t>(job.info.tier)].erase({ job.info.target, key });
    }
    job.pool->promotions.erase({ job.promoteAt, item });
    m_deadlines.erase({ job.refuseAt, item });
    --m_queued;
}

void Scheduler::refuse(Item item, RefusalReason reason, Duration retryAfter, Decisions& decisions)
{
    decisions.push_back(Refusal { m_jobs[item].info.id, reason, retryAfter });
    dequeue(item, false);
    release(item);
}

void Scheduler::enforceQueueLimit(Item arrival, Decisions& decisions)
{
    if (m_queued <= m_settings.maxQueued)
        return;
    for (std::size_t tier = tierCount; tier-- > 0;) {
        if (m_backlog[tier].empty())
            continue;
        bool arrivalsTier = m_jobs[arrival].info.tier == static_cast<Tier>(tier);
        const auto& [target, key] = *m_backlog[tier].rbegin();
        Item victim
            = arrivalsTier && key.first == Tier::Top ? arrival : m_pools.at(target).queues[key].lastByFinishTag();
        refuse(victim, RefusalReason::QueueFull, defaultRetryAfter, decisions);
        return;
    }
}

std::optional<Scheduler::Candidate> Scheduler::nextByMinShare(const Pool& pool) const
{
    for (std::size_t tier = tierCount; tier-- > 1;) {
        auto waiting = pool.backlog.lower_bound({ static_cast<Tier>(tier), Priority(0) });
        if (waiting == pool.backlog.end() || waiting->first != static_cast<Tier>(tier))
            continue;
        const FairQueue& queue = pool.queues.at(*waiting);
        if (pool.minShareCredit[tier] >= std::min(queue.frontWork(), maxMinShareCredit))
            return Candidate { queue.front(), true };
    }
    return std::nullopt;
}

std::optional<Scheduler::Candidate> Scheduler::next(const Pool& pool) const
{
    if (pool.backlog.empty())
        return std::nullopt;
    if (auto due = nextByMinShare(pool))
        return due;
    const ClassKey& first = *pool.backlog.begin();
    if (first.first != Tier::Top && pool.promotions.begin()->first <= m_now)
        return Candidate { pool.promotions.begin()->second, true };
    return Candidate { pool.queues.at(first).front(), false };
}

void Scheduler::dispatchWaiting(Pool& pool, Decisions& decisions)
{
    while (auto each = next(pool)) {
        if (!dispatch(*each, decisions))
            return;
    }
}

bool Scheduler::canStartBulk(const Pool& pool)
{
    double own = pool.selector.ownSlots();
    return pool.bulkRunning < own - neededSlotsMargin * pool.neededSlots;
}

EndpointQuery Scheduler::makeQuery(const Job& job, bool urgent) const
{
    EndpointQuery query;
    query.promptTokens = job.info.promptTokens.value() + job.outputTokens;
    query.outputTokens = job.remainingTokens;
    query.prefixTokens = job.info.prefixTokens.value();
    query.prefixHash = job.info.prefixHash;
    query.keepReserve = job.info.tier == Tier::Bulk && !urgent;
    query.mayProbe = job.info.tier != Tier::Top;
    return query;
}

bool Scheduler::dispatch(const Candidate& next, Decisions& decisions)
{
    Job& job = m_jobs[next.item];
    Pool& pool = *job.pool;
    EndpointQuery query = makeQuery(job, next.urgent);
    if (query.keepReserve && !canStartBulk(pool))
        return false;
    auto endpoint = pool.selector.choose(query, m_link, m_now);
    if (!endpoint)
        return false;
    dequeue(next.item, true);
    charge(pool, job.info.tier, job.work);
    job.prefillTokens = pool.selector.started(*endpoint, query, m_now);
    job.state = JobState::Running;
    job.urgent = next.urgent;
    job.endpoint = *endpoint;
    job.dispatchedAt = m_now;
    job.lastProgress = m_now;
    job.preemptionLoss = job.prefillTokens;
    pool.bulkRunning += job.info.tier == Tier::Bulk;
    if (job.info.tier == Tier::Bulk && job.info.resumable)
        pool.preemptible.emplace(job.preemptionLoss, next.item);
    decisions.push_back(Dispatch { job.info.id, pool.selector.info(*endpoint).id });
    return true;
}

void Scheduler::charge(Pool& pool, Tier tier, double work)
{
    pool.dispatchedWork[static_cast<std::size_t>(tier)] += work;
    for (std::size_t other = 1; other < tierCount; ++other) {
        auto waiting = pool.backlog.lower_bound({ static_cast<Tier>(other), Priority(0) });
        bool waits = waiting != pool.backlog.end() && waiting->first == static_cast<Tier>(other);
        double& credit = pool.minShareCredit[other];
        credit = waits ? std::min(maxMinShareCredit, credit + minTierShare * work) : std::min(0.0, credit);
        if (other == static_cast<std::size_t>(tier))
            credit = std::min(credit, std::max(0.0, credit - work));
    }
}

void Scheduler::adjustCharge(const Job& job, double work)
{
    Pool& pool = *job.pool;
    pool.queues[{ job.info.tier, job.info.priority }].adjustCharge(job.info.account, work);
    // Work beyond the estimate is charged to the minimum share by which the request was dispatched first.
    if (job.urgent)
        pool.minShareCredit[static_cast<std::size_t>(job.info.tier)] -= work;
}

void Scheduler::preemptFor(const Job& job, Decisions& decisions)
{
    Pool& pool = *job.pool;
    if (pool.preemptible.empty())
        return;
    auto [loss, item] = *pool.preemptible.begin();
    if (static_cast<double>(loss) >= job.work)
        return;
    pool.preemptible.erase(pool.preemptible.begin());
    const Job& victim = m_jobs[item];
    decisions.push_back(Preempt { victim.info.id, pool.selector.info(victim.endpoint).id });
}

Scheduler::Decisions Scheduler::finished(const RequestId& request, const AttemptResult& result, TimePoint now)
{
    advance(now);
    Decisions decisions;
    auto known = m_index.find(request);
    if (known == m_index.end() || m_jobs[known->second].state != JobState::Running)
        return decisions;
    Item item = known->second;
    Job& job = m_jobs[item];
    Pool& pool = *job.pool;
    std::int64_t output = std::max(job.outputTokens, result.output.value());
    if (result.complete && output == 0)
        observeGap(job, m_now - job.dispatchedAt);
    if (result.complete)
        m_estimator.observe(job.info.requestClass, job.info.account, Tokens(output));
    std::int64_t done = output - job.info.delivered.value();
    std::int64_t estimated = std::max<std::int64_t>(0, job.estimatedOutput - job.info.delivered.value());
    pool.queues[{ job.info.tier, job.info.priority }].adjustCharge(
        job.info.account, static_cast<double>(done - estimated));
    pool.selector.ended(job.endpoint, job.remainingTokens, m_now);
    pool.selector.prefillDone(job.endpoint, job.prefillTokens);
    pool.bulkRunning -= job.info.tier == Tier::Bulk;
    pool.preemptible.erase({ job.preemptionLoss, item });
    release(item);
    dispatchWaiting(pool, decisions);
    return decisions;
}

void Scheduler::observeFirstToken(Job& job)
{
    Pool& pool = *job.pool;
    auto time = static_cast<double>((m_now - job.dispatchedAt).count());
    if (pool.selector.isRemote(job.endpoint)) {
        m_link.observe(pool.firstToken > 0 && time > lateFirstTokenFactor * pool.firstToken);
        return;
    }
    if (pool.firstToken == 0)
        pool.firstToken = time;
    pool.firstTokenDeviation += firstTokenSmoothing * (std::abs(time - pool.firstToken) - pool.firstTokenDeviation);
    pool.firstToken += firstTokenSmoothing * (time - pool.firstToken);
}

void Scheduler::observeGap(const Job& job, Duration gap)
{
    EndpointSelector& selector = job.pool->selector;
    if (selector.observeGap(job.endpoint, gap, m_now))
        m_healthChanges.push_back({ selector.info(job.endpoint).id, selector.isEjected(job.endpoint) });
}

void Scheduler::progress(const RequestId& request, Tokens output, TimePoint now)
{
    advance(now);
    auto known = m_index.find(request);
    if (known == m_index.end())
        return;
    Job& job = m_jobs[known->second];
    std::int64_t tokens = output.value() - job.outputTokens;
    if (job.state != JobState::Running || tokens <= 0)
        return;
    if (job.outputTokens == job.info.delivered.value())
        observeFirstToken(job);
    else
        observeGap(job, (m_now - job.lastProgress) / tokens);
    job.pool->selector.prefillDone(job.endpoint, std::exchange(job.prefillTokens, 0));
    job.lastProgress = m_now;
    job.outputTokens = output.value();
    std::int64_t before = job.remainingTokens;
    if (job.outputTokens >= job.estimatedOutput) {
        std::int64_t longer
            = m_estimator.estimate(job.info.requestClass, job.info.account, Tokens(job.estimatedOutput), output)
                  .value();
        adjustCharge(job, static_cast<double>(longer - job.estimatedOutput));
        job.estimatedOutput = longer;
    }
    job.remainingTokens = job.estimatedOutput - job.outputTokens;
    job.pool->selector.tokensChanged(job.endpoint, job.remainingTokens - before);
}

Scheduler::Decisions Scheduler::cancelled(const RequestId& request, TimePoint now)
{
    advance(now);
    auto known = m_index.find(request);
    if (known == m_index.end() || m_jobs[known->second].state != JobState::Queued)
        return {};
    Item item = known->second;
    dequeue(item, false);
    release(item);
    return {};
}

void Scheduler::updateRates(Pool& pool, double seconds)
{
    for (std::size_t tier = 0; tier < tierCount; ++tier) {
        double rate = pool.dispatchedWork[tier] / seconds;
        pool.dispatchRate[tier] += rateSmoothing * (rate - pool.dispatchRate[tier]);
        pool.dispatchedWork[tier] = 0;
    }
    pool.neededSlots += neededSlotsSmoothing * (pool.offeredSlotSeconds / seconds - pool.neededSlots);
    pool.offeredSlotSeconds = 0;
}

Scheduler::Decisions Scheduler::tick(TimePoint now)
{
    advance(now);
    Decisions decisions;
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= m_now) {
        Item item = m_deadlines.begin()->second;
        refuse(item, m_jobs[item].refuseReason, defaultRetryAfter, decisions);
    }
    double seconds = std::chrono::duration<double>(m_now - m_ratesAt).count();
    bool ratesDue = m_now - m_ratesAt >= rateInterval;
    for (auto& [target, pool] : m_pools) {
        pool.selector.refresh(m_now);
        if (ratesDue)
            updateRates(pool, seconds);
        dispatchWaiting(pool, decisions);
    }
    if (ratesDue)
        m_ratesAt = m_now;
    return decisions;
}

std::vector<EndpointHealthChange> Scheduler::takeHealthChanges() { return std::exchange(m_healthChanges, {}); }

} // namespace wisteriayard
