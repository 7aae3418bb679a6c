#include "wisteriayard/scheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wisteriayard {

namespace {

    constexpr Duration defaultRetryAfter = std::chrono::seconds(1);
    constexpr Duration longestRetryAfter = std::chrono::minutes(1);
    /// Share of the dispatched work that each lower tier gets at least while it waits.
    constexpr double leastShare = 0.05;
    /// Bound of what is owed to a tier, in tokens of work, so that a long backlog can't turn into a burst.
    constexpr double maxCredit = 20'000;
    /// Time for the way between caller and entry, which the caller's target includes.
    constexpr Duration callerMargin = std::chrono::milliseconds(10);
    /// Time of one output token until streams were seen.
    constexpr double defaultGap = 20'000;
    /// A prediction has to be wrong by less than this before a request is refused at the door.
    constexpr double predictionMargin = 1.2;
    constexpr Duration rateInterval = std::chrono::milliseconds(100);
    constexpr double rateWeight = 0.1;
    /// Slower than rateWeight: it limits bulk requests that run for minutes.
    constexpr double neededWeight = 0.02;
    /// Room for the variation of the demand above bulk.
    constexpr double neededMargin = 1.2;
    constexpr double firstTokenWeight = 0.05;
    /// A first token from another region later than this many times the usual shows that the link is busy.
    constexpr double lateFactor = 3;

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

Scheduler::Pool& Scheduler::poolOf(const TargetId& target)
{
    return m_pools.try_emplace(target, EndpointSelector(m_zone, m_region)).first->second;
}

Scheduler::Decisions Scheduler::endpointAdded(const EndpointInfo& info, TimePoint now)
{
    advance(now);
    Decisions decisions;
    if (!validate(info))
        return decisions;
    Pool& pool = poolOf(info.target);
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

std::optional<RefusalReason> Scheduler::refusalAtDoor(const RequestInfo& request)
{
    if (!validate(request))
        return RefusalReason::Invalid;
    if (m_index.count(request.id))
        return RefusalReason::Duplicate;
    if (request.placement == Placement::First)
        m_retries.request(m_now);
    if (request.placement == Placement::Retry && !m_retries.takeRetry(m_now))
        return RefusalReason::RetryBudget;
    return std::nullopt;
}

Scheduler::Decisions Scheduler::submit(const RequestInfo& request, TimePoint now)
{
    advance(now);
    Decisions decisions;
    if (auto reason = refusalAtDoor(request)) {
        bool retry = *reason == RefusalReason::RetryBudget;
        decisions.push_back(Refusal { request.id, *reason, retry ? defaultRetryAfter : Duration(0) });
        return decisions;
    }
    Item item = allocate(request);
    Job& job = m_jobs[item];
    job.pool = &poolOf(request.target);
    job.since = m_now;
    estimate(job);
    setDeadlines(job);
    if (auto excess = predictedExcess(job)) {
        release(item);
        decisions.push_back(Refusal { request.id, RefusalReason::TargetMissed, std::min(*excess, longestRetryAfter) });
        return decisions;
    }
    enqueue(item);
    makeRoom(item, decisions);
    dispatchWaiting(*m_jobs[item].pool, decisions);
    if (m_jobs[item].state == JobState::Queued && request.tier == Tier::Top)
        preemptFor(m_jobs[item], decisions);
    return decisions;
}

void Scheduler::estimate(Job& job)
{
    const RequestInfo& info = job.info;
    job.output = info.delivered.value();
    job.estimate = 0;
    if (info.expectedOutput.value() > 0 || info.delivered.value() > 0)
        job.estimate
            = m_estimator.estimate(info.requestClass, info.account, info.expectedOutput, info.delivered).value();
    job.openTokens = std::max<std::int64_t>(0, job.estimate - job.output);
    // The prefix is taken to be cached: it is sent where it was before.
    std::int64_t uncached = std::max<std::int64_t>(0, info.promptTokens.value() - info.prefixTokens.value());
    job.work = std::max(1.0, static_cast<double>(uncached + job.openTokens));
}

void Scheduler::setDeadlines(Job& job)
{
    const RequestInfo& info = job.info;
    const Pool& pool = *job.pool;
    double gap = pool.selector.medianGap() > 0 ? pool.selector.medianGap() : defaultGap;
    auto firstToken = Duration(static_cast<std::int64_t>(pool.firstToken + pool.firstTokenDeviation));
    auto service = firstToken + Duration(static_cast<std::int64_t>(gap * static_cast<double>(job.openTokens)));
    job.refuseAt = job.since + info.longestWait;
    job.refuseReason = RefusalReason::WaitExceeded;
    job.agesAt = job.since + std::max(Duration(0), info.longestWait - service);
    if (info.tier != Tier::Bulk && info.placement == Placement::First)
        job.pool->offered += std::chrono::duration<double>(service).count();
    if (info.tier == Tier::Top || info.placement != Placement::First)
        return;
    Duration slack = info.longestWait;
    if (info.firstTokenTarget)
        slack = std::min(slack, *info.firstTokenTarget - firstToken - callerMargin);
    if (info.totalTarget)
        slack = std::min(slack, *info.totalTarget - service - callerMargin);
    if (slack >= info.longestWait)
        return;
    job.refuseAt = job.since + std::max(Duration(0), slack);
    job.refuseReason = RefusalReason::TargetMissed;
}

std::optional<Duration> Scheduler::predictedExcess(const Job& job) const
{
    const RequestInfo& info = job.info;
    const Pool& pool = *job.pool;
    auto queue = pool.queues.find({ info.tier, info.priority });
    if (info.tier == Tier::Top || info.placement != Placement::First || queue == pool.queues.end())
        return std::nullopt;
    if (queue->second.empty())
        return std::nullopt;
    // Higher tiers take their part before; what is left serves this tier.
    double rate = 0;
    for (auto tier = static_cast<std::size_t>(info.tier); tier < tierCount; ++tier)
        rate += pool.rate[tier];
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
    bool first = job.info.placement != Placement::First;
    job.handle = job.pool->queues[key].push(job.info.account, job.info.weight, item, job.work, first);
    job.pool->backlog.insert(key);
    job.pool->ageing.emplace(job.agesAt, item);
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
    job.pool->ageing.erase({ job.agesAt, item });
    m_deadlines.erase({ job.refuseAt, item });
    --m_queued;
}

void Scheduler::refuse(Item item, RefusalReason reason, Duration retryAfter, Decisions& decisions)
{
    decisions.push_back(Refusal { m_jobs[item].info.id, reason, retryAfter });
    dequeue(item, false);
    release(item);
}

void Scheduler::makeRoom(Item newcomer, Decisions& decisions)
{
    if (m_queued <= m_settings.maxQueued)
        return;
    for (std::size_t tier = tierCount; tier-- > 0;) {
        if (m_backlog[tier].empty())
            continue;
        bool newcomersTier = m_jobs[newcomer].info.tier == static_cast<Tier>(tier);
        const auto& [target, key] = *m_backlog[tier].rbegin();
        Item victim
            = newcomersTier && key.first == Tier::Top ? newcomer : m_pools.at(target).queues[key].furthestBack();
        refuse(victim, RefusalReason::QueueFull, defaultRetryAfter, decisions);
        return;
    }
}

std::optional<Scheduler::Next> Scheduler::owed(const Pool& pool) const
{
    for (std::size_t tier = tierCount; tier-- > 1;) {
        auto waiting = pool.backlog.lower_bound({ static_cast<Tier>(tier), Priority(0) });
        if (waiting == pool.backlog.end() || waiting->first != static_cast<Tier>(tier))
            continue;
        const FairQueue& queue = pool.queues.at(*waiting);
        if (pool.credit[tier] >= std::min(queue.frontWork(), maxCredit))
            return Next { queue.front(), true };
    }
    return std::nullopt;
}

std::optional<Scheduler::Next> Scheduler::next(const Pool& pool) const
{
    if (pool.backlog.empty())
        return std::nullopt;
    if (auto due = owed(pool))
        return due;
    const ClassKey& first = *pool.backlog.begin();
    if (first.first != Tier::Top && pool.ageing.begin()->first <= m_now)
        return Next { pool.ageing.begin()->second, true };
    return Next { pool.queues.at(first).front(), false };
}

void Scheduler::dispatchWaiting(Pool& pool, Decisions& decisions)
{
    while (auto each = next(pool)) {
        if (!dispatch(*each, decisions))
            return;
    }
}

bool Scheduler::bulkMayStart(const Pool& pool)
{
    double own = pool.selector.ownSlots();
    return pool.bulkRunning < own - neededMargin * pool.needed;
}

EndpointQuery Scheduler::queryOf(const Job& job, bool urgent) const
{
    EndpointQuery query;
    query.promptTokens = job.info.promptTokens.value() + job.output;
    query.outputTokens = job.openTokens;
    query.prefixTokens = job.info.prefixTokens.value();
    query.prefixHash = job.info.prefixHash;
    query.keepReserve = job.info.tier == Tier::Bulk && !urgent;
    query.mayProbe = job.info.tier != Tier::Top;
    return query;
}

bool Scheduler::dispatch(const Next& next, Decisions& decisions)
{
    Job& job = m_jobs[next.item];
    Pool& pool = *job.pool;
    EndpointQuery query = queryOf(job, next.urgent);
    if (query.keepReserve && !bulkMayStart(pool))
        return false;
    auto endpoint = pool.selector.choose(query, m_link, m_now);
    if (!endpoint)
        return false;
    dequeue(next.item, true);
    charge(pool, job.info.tier, job.work);
    job.prefill = pool.selector.started(*endpoint, query, m_now);
    job.state = JobState::Running;
    job.urgent = next.urgent;
    job.endpoint = *endpoint;
    job.dispatchedAt = m_now;
    job.lastProgress = m_now;
    job.preemptionLoss = job.prefill;
    pool.bulkRunning += job.info.tier == Tier::Bulk;
    if (job.info.tier == Tier::Bulk && job.info.resumable)
        pool.preemptible.emplace(job.preemptionLoss, next.item);
    decisions.push_back(Dispatch { job.info.id, pool.selector.info(*endpoint).id });
    return true;
}

void Scheduler::charge(Pool& pool, Tier tier, double work)
{
    pool.dispatched[static_cast<std::size_t>(tier)] += work;
    for (std::size_t other = 1; other < tierCount; ++other) {
        auto waiting = pool.backlog.lower_bound({ static_cast<Tier>(other), Priority(0) });
        bool waits = waiting != pool.backlog.end() && waiting->first == static_cast<Tier>(other);
        double& credit = pool.credit[other];
        credit = waits ? std::min(maxCredit, credit + leastShare * work) : std::min(0.0, credit);
        if (other == static_cast<std::size_t>(tier))
            credit = std::min(credit, std::max(0.0, credit - work));
    }
}

void Scheduler::correct(const Job& job, double work)
{
    Pool& pool = *job.pool;
    pool.queues[{ job.info.tier, job.info.priority }].correct(job.info.account, work);
    // Work beyond the estimate counts against the least share that let the request go first.
    if (job.urgent)
        pool.credit[static_cast<std::size_t>(job.info.tier)] -= work;
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
    std::int64_t output = std::max(job.output, result.output.value());
    if (result.complete && output == 0)
        observeGap(job, m_now - job.dispatchedAt);
    if (result.complete)
        m_estimator.observe(job.info.requestClass, job.info.account, Tokens(output));
    std::int64_t done = output - job.info.delivered.value();
    std::int64_t estimated = std::max<std::int64_t>(0, job.estimate - job.info.delivered.value());
    pool.queues[{ job.info.tier, job.info.priority }].correct(job.info.account, static_cast<double>(done - estimated));
    pool.selector.ended(job.endpoint, job.openTokens, m_now);
    pool.selector.prefillDone(job.endpoint, job.prefill);
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
        m_link.observe(pool.firstToken > 0 && time > lateFactor * pool.firstToken);
        return;
    }
    if (pool.firstToken == 0)
        pool.firstToken = time;
    pool.firstTokenDeviation += firstTokenWeight * (std::abs(time - pool.firstToken) - pool.firstTokenDeviation);
    pool.firstToken += firstTokenWeight * (time - pool.firstToken);
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
    std::int64_t tokens = output.value() - job.output;
    if (job.state != JobState::Running || tokens <= 0)
        return;
    if (job.output == job.info.delivered.value())
        observeFirstToken(job);
    else
        observeGap(job, (m_now - job.lastProgress) / tokens);
    job.pool->selector.prefillDone(job.endpoint, std::exchange(job.prefill, 0));
    job.lastProgress = m_now;
    job.output = output.value();
    std::int64_t before = job.openTokens;
    if (job.output >= job.estimate) {
        std::int64_t longer
            = m_estimator.estimate(job.info.requestClass, job.info.account, Tokens(job.estimate), output).value();
        correct(job, static_cast<double>(longer - job.estimate));
        job.estimate = longer;
    }
    job.openTokens = job.estimate - job.output;
    job.pool->selector.tokensChanged(job.endpoint, job.openTokens - before);
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
        double rate = pool.dispatched[tier] / seconds;
        pool.rate[tier] += rateWeight * (rate - pool.rate[tier]);
        pool.dispatched[tier] = 0;
    }
    pool.needed += neededWeight * (pool.offered / seconds - pool.needed);
    pool.offered = 0;
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
