#include "simulation.h"

#include <algorithm>
#include <iostream>

namespace wisteriayard::bench {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(10);
    constexpr Duration reportInterval = std::chrono::milliseconds(500);
    constexpr Duration staleLag = std::chrono::seconds(10);
    constexpr std::int64_t bytesPerPromptToken = 4;
    constexpr std::int64_t bytesPerChunk = 100;
    constexpr int plainSlots = 16;
    constexpr int agentQueueFactor = 3;
    constexpr int progressInterval = 8;
    constexpr int maxAttempts = 4;
    constexpr std::size_t endpointSubsetSize = 40;

    std::uint32_t parseIndex(const std::string& id) { return static_cast<std::uint32_t>(std::stoul(id.substr(1))); }

    std::uint64_t mix(std::uint64_t value)
    {
        value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9ULL;
        value = (value ^ (value >> 27)) * 0x94D049BB133111EBULL;
        return value ^ (value >> 31);
    }

} // namespace

std::string policyName(PolicyKind kind)
{
    static const char* const names[policyCount]
        = { "wisteriayard", "fifo_round_robin", "fifo_least_outstanding", "priority_least_outstanding" };
    return names[static_cast<int>(kind)];
}

Simulation::Simulation(const Deployment& deployment, const std::vector<Arrival>& arrivals, RunSettings settings)
    : m_deployment(deployment)
    , m_arrivals(arrivals)
    , m_settings(settings)
    , m_requests(arrivals.size())
    , m_random(settings.seed * 7919)
    , m_linkRate(linkBytesPerSecond)
{
    if (settings.scenario == Scenario::StaleReports)
        m_reportLag = staleLag;
    for (const ClassLoad& load : deployment.classes) {
        ClassMetrics metrics;
        metrics.name = load.requestClass.name.value();
        metrics.tier = load.requestClass.tier;
        metrics.longestWait = load.requestClass.longestWait;
        metrics.byAccount.resize(deployment.accounts.size());
        m_metrics.classes.push_back(std::move(metrics));
    }
    buildEndpoints();
    buildEntries();
    scheduleFaults();
}

void Simulation::buildEndpoints()
{
    for (const Deployment::Fleet& fleet : m_deployment.fleets) {
        for (int i = 0; i < fleet.count; ++i) {
            std::size_t zone = static_cast<std::size_t>(i) % m_deployment.zones.size();
            EngineTimes times;
            int slots = fleet.plain ? plainSlots : times.slots;
            EndpointInfo info { EndpointId("e" + std::to_string(m_endpoints.size())), fleet.target,
                m_deployment.zones[zone].zone, m_deployment.zones[zone].region, slots };
            m_endpoints.push_back({ info, zone, fleet.plain, true, 0, false, EngineModel(times), {}, {}, {}, 0, 0 });
        }
    }
}

void Simulation::buildEntries()
{
    for (int i = 0; i < m_deployment.entries; ++i) {
        std::size_t zone = static_cast<std::size_t>(i) % m_deployment.zones.size();
        const ZoneLoad& place = m_deployment.zones[zone];
        std::variant<Scheduler, Baseline> policy = Baseline({});
        switch (m_settings.policy) {
        case PolicyKind::Core:
            policy.emplace<Scheduler>(place.zone, place.region);
            break;
        case PolicyKind::FifoRoundRobin:
            policy.emplace<Baseline>(BaselineRules { false, true });
            break;
        case PolicyKind::FifoLeastOutstanding:
            policy.emplace<Baseline>(BaselineRules { false, false });
            break;
        case PolicyKind::PriorityLeastOutstanding:
            policy.emplace<Baseline>(BaselineRules { true, false });
            break;
        }
        m_entries.push_back({ zone, std::move(policy), std::vector<bool>(m_endpoints.size(), false) });
        for (const Deployment::Fleet& fleet : m_deployment.fleets)
            addEndpointSubset(m_entries.back(), static_cast<std::uint64_t>(i), fleet.target);
        schedule(m_now, EventKind::Tick, static_cast<std::uint32_t>(i));
    }
    for (std::uint32_t e = 0; e < m_endpoints.size(); ++e)
        schedule(m_now + Duration(static_cast<std::int64_t>(mix(e) % 500'000)), EventKind::Report, e);
}

void Simulation::addEndpointSubset(Entry& entry, std::uint64_t number, const TargetId& target)
{
    const ZoneLoad& place = m_deployment.zones[entry.zone];
    std::vector<std::tuple<int, std::uint64_t, std::uint32_t>> ranked;
    for (std::uint32_t e = 0; e < m_endpoints.size(); ++e) {
        const EndpointInfo& info = m_endpoints[e].info;
        if (info.target != target)
            continue;
        int distance = info.zone == place.zone ? 0 : info.region == place.region ? 1 : 2;
        ranked.emplace_back(distance, mix(e * 1000003ULL + number), e);
    }
    std::sort(ranked.begin(), ranked.end());
    ranked.resize(std::min(ranked.size(), endpointSubsetSize));
    for (const auto& each : ranked) {
        std::uint32_t e = std::get<2>(each);
        entry.knownEndpoints[e] = true;
        execute(
            std::visit([&](auto& policy) { return policy.endpointAdded(m_endpoints[e].info, m_now); }, entry.policy));
    }
}

void Simulation::schedule(
    TimePoint at, EventKind kind, std::uint32_t subject, std::uint32_t attempt, std::int64_t value)
{
    m_events.push({ at, m_order++, kind, subject, attempt, value });
}

RunMetrics Simulation::run()
{
    TimePoint end = TimePoint(m_settings.length);
    m_openRequests = m_arrivals.size();
    if (!m_arrivals.empty())
        schedule(m_arrivals[0].at + m_deployment.clientDelay, EventKind::Arrive, 0);
    while (m_openRequests > 0 && !m_events.empty()) {
        Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        handle(event);
    }
    m_metrics.seconds = std::chrono::duration<double>(end.time_since_epoch()).count();
    // Endpoint time of a target is divided among its classes in proportion to their completed work.
    for (const Deployment::Fleet& fleet : m_deployment.fleets) {
        double total = 0;
        for (std::size_t c = 0; c < m_metrics.classes.size(); ++c) {
            if (m_deployment.classes[c].requestClass.match.target == fleet.target)
                total += m_metrics.classes[c].lowerBoundSeconds;
        }
        for (std::size_t c = 0; c < m_metrics.classes.size(); ++c) {
            ClassMetrics& metrics = m_metrics.classes[c];
            if (m_deployment.classes[c].requestClass.match.target == fleet.target && total > 0)
                metrics.spendSeconds = fleet.count * m_metrics.seconds * metrics.lowerBoundSeconds / total;
        }
    }
    return std::move(m_metrics);
}

void Simulation::handle(const Event& event)
{
    std::uint32_t subject = event.subject;
    switch (event.kind) {
    case EventKind::Arrive:
        m_nextArrival = subject + 1;
        if (m_nextArrival < m_arrivals.size())
            schedule(m_arrivals[m_nextArrival].at + m_deployment.clientDelay, EventKind::Arrive,
                static_cast<std::uint32_t>(m_nextArrival));
        ++metricsOf(subject).submitted;
        ++metricsOf(subject).byAccount[m_arrivals[subject].account].first;
        submit(subject, SubmitReason::First);
        break;
    case EventKind::ReachEndpoint:
        handleEndpointArrival(event);
        break;
    case EventKind::EngineStep:
        completeEngineStep(event);
        break;
    case EventKind::ServiceDone:
        completeService(event);
        break;
    case EventKind::Progress:
        if (isCurrentAttempt(subject, event.attempt)) {
            Entry& entry = m_entries[m_arrivals[subject].entry];
            RequestId id("r" + std::to_string(subject));
            std::visit([&](auto& policy) { policy.progress(id, Tokens(event.value), m_now); }, entry.policy);
        }
        break;
    case EventKind::Finished:
        if (isCurrentAttempt(subject, event.attempt))
            attemptFinished(subject);
        break;
    case EventKind::Failed:
        if (isCurrentAttempt(subject, event.attempt))
            attemptFailed(event);
        break;
    case EventKind::Cancel:
        cancelAtEndpoint(event);
        break;
    case EventKind::Report:
        report(subject);
        break;
    case EventKind::Tick:
        execute(std::visit([&](auto& policy) { return policy.tick(m_now); }, m_entries[subject].policy));
        schedule(m_now + tickInterval, EventKind::Tick, subject);
        break;
    case EventKind::EndpointDown:
    case EventKind::EndpointUp:
        for (Entry& entry : m_entries) {
            if (!entry.knownEndpoints[subject])
                continue;
            const EndpointInfo& info = m_endpoints[subject].info;
            bool up = event.kind == EventKind::EndpointUp;
            execute(std::visit(
                [&](auto& policy) {
                    return up ? policy.endpointAdded(info, m_now) : policy.endpointRemoved(info.id, m_now);
                },
                entry.policy));
        }
        break;
    case EventKind::Fault:
        applyFault(m_faults[subject]);
        break;
    }
}

bool Simulation::isCurrentAttempt(std::uint32_t request, std::uint32_t attempt) const
{
    return !m_requests[request].done && m_requests[request].attempt == attempt;
}

RequestInfo Simulation::makeRequestInfo(std::uint32_t request, SubmitReason reason) const
{
    const Arrival& arrival = m_arrivals[request];
    const ClassLoad& load = loadOf(request);
    RequestInfo info;
    info.id = RequestId("r" + std::to_string(request));
    info.account = m_deployment.accounts[arrival.account].id;
    info.requestClass = load.requestClass.name;
    info.target = load.requestClass.match.target;
    info.tier = load.requestClass.tier;
    info.priority = load.requestClass.priority;
    info.weight = m_deployment.accounts[arrival.account].weight;
    info.promptTokens = Tokens(load.prefixTokens + load.promptTokens);
    info.prefixTokens = Tokens(load.prefixTokens);
    info.prefixHash = arrival.prefixHash;
    info.expectedOutput = load.requestClass.expectedOutput;
    info.longestWait = load.requestClass.longestWait;
    info.firstTokenTarget = load.requestClass.targets.firstToken;
    info.totalTarget = load.requestClass.targets.total;
    info.submitReason = reason;
    info.resumable = !load.plain;
    info.delivered = Tokens(m_requests[request].delivered);
    return info;
}

void Simulation::submit(std::uint32_t request, SubmitReason reason)
{
    Entry& entry = m_entries[m_arrivals[request].entry];
    RequestInfo info = makeRequestInfo(request, reason);
    execute(std::visit([&](auto& policy) { return policy.submit(info, m_now); }, entry.policy));
}

void Simulation::execute(const Scheduler::Decisions& decisions)
{
    for (const Decision& decision : decisions)
        std::visit([this](const auto& each) { this->execute(each); }, decision);
}

void Simulation::execute(const Dispatch& dispatch)
{
    std::uint32_t request = parseIndex(dispatch.request.value());
    RequestState& state = m_requests[request];
    state.endpoint = static_cast<std::int32_t>(parseIndex(dispatch.endpoint.value()));
    ++state.attempt;
    state.attemptStart = state.delivered;
    ClassMetrics& metrics = metricsOf(request);
    if (!state.dispatched) {
        state.dispatched = true;
        state.firstDispatch = m_now;
        metrics.maxWait = std::max(metrics.maxWait, m_now - m_arrivals[request].at - m_deployment.clientDelay);
    }
    const Endpoint& endpoint = m_endpoints[static_cast<std::size_t>(state.endpoint)];
    if (m_settings.trace)
        std::cerr << m_now.time_since_epoch().count() << " dispatch " << dispatch.request << " " << metrics.name << " "
                  << dispatch.endpoint << " attempt " << state.attempt << "\n";
    std::int64_t bytes
        = bytesPerPromptToken * (loadOf(request).prefixTokens + loadOf(request).promptTokens + state.delivered);
    Duration delay = networkDelay(m_entries[m_arrivals[request].entry].zone, endpoint.zone, bytes, metrics);
    schedule(m_now + delay, EventKind::ReachEndpoint, request, state.attempt);
}

void Simulation::execute(const Refusal& refusal)
{
    std::uint32_t request = parseIndex(refusal.request.value());
    RequestState& state = m_requests[request];
    ClassMetrics& metrics = metricsOf(request);
    ++metrics.shed;
    if (m_settings.trace)
        std::cerr << m_now.time_since_epoch().count() << " refuse " << refusal.request << " " << metrics.name << " "
                  << refusalReasonName(refusal.reason) << "\n";
    if (state.attempt == 0)
        ++metrics.notExecutedRefusals;
    if (!state.dispatched)
        metrics.maxWait = std::max(metrics.maxWait, m_now - m_arrivals[request].at - m_deployment.clientDelay);
    finishRequest(request, false);
}

void Simulation::execute(const Preempt& preempt)
{
    std::uint32_t request = parseIndex(preempt.request.value());
    ++metricsOf(request).preempted;
    schedule(m_now, EventKind::Cancel, request, m_requests[request].attempt, m_requests[request].endpoint);
    ++m_requests[request].attempt;
    Entry& entry = m_entries[m_arrivals[request].entry];
    AttemptResult result { false, Tokens(m_requests[request].delivered) };
    execute(std::visit([&](auto& policy) { return policy.finished(preempt.request, result, m_now); }, entry.policy));
    submit(request, SubmitReason::Preempted);
}

Duration Simulation::networkDelay(std::size_t fromZone, std::size_t toZone, std::int64_t bytes, ClassMetrics& metrics)
{
    if (fromZone == toZone)
        return Duration(200);
    const ZoneLoad& from = m_deployment.zones[fromZone];
    const ZoneLoad& to = m_deployment.zones[toZone];
    if (from.region == to.region)
        return m_deployment.interZoneDelay;
    metrics.crossRegionBytes += bytes;
    TimePoint& free = m_linkFreeAt[{ from.region, to.region }];
    free = std::max(free, m_now) + Duration(static_cast<std::int64_t>(static_cast<double>(bytes) / m_linkRate * 1e6));
    return free - m_now + m_deployment.interRegionDelay;
}

void Simulation::handleEndpointArrival(const Event& event)
{
    std::uint32_t request = event.subject;
    if (!isCurrentAttempt(request, event.attempt))
        return;
    RequestState& state = m_requests[request];
    auto index = static_cast<std::uint32_t>(state.endpoint);
    Endpoint& endpoint = m_endpoints[index];
    int jobCount = endpoint.plain ? static_cast<int>(endpoint.serviceRunning.size() + endpoint.serviceQueue.size())
                                  : endpoint.engine.running() + endpoint.engine.queued();
    std::size_t zone = m_entries[m_arrivals[request].entry].zone;
    if (!endpoint.up || jobCount >= endpoint.info.slots * agentQueueFactor) {
        Duration detectionDelay = endpoint.up ? Duration(0) : failureDetectionDelay;
        schedule(m_now + detectionDelay + networkDelay(endpoint.zone, zone, bytesPerChunk, metricsOf(request)),
            EventKind::Failed, request, event.attempt, 1);
        return;
    }
    const ClassLoad& load = loadOf(request);
    auto priority = static_cast<std::int32_t>(load.requestClass.tier) * 1000 + load.requestClass.priority.value();
    if (endpoint.plain) {
        endpoint.serviceQueue.emplace(priority, m_order++, request);
        startServiceCalls(endpoint);
        return;
    }
    EngineJob job;
    job.request = request;
    job.attempt = event.attempt;
    job.priority = priority;
    job.prefixHash = m_arrivals[request].prefixHash;
    job.prefixTokens = load.prefixTokens;
    job.prompt = load.prefixTokens + load.promptTokens + state.delivered;
    job.remainingOutput = std::max(1, m_arrivals[request].output - state.delivered);
    endpoint.engine.add(job);
    startStep(endpoint, index);
}

void Simulation::startStep(Endpoint& endpoint, std::uint32_t index)
{
    if (endpoint.stepping || !endpoint.up)
        return;
    Duration time = endpoint.engine.startStep();
    if (time == Duration(0))
        return;
    endpoint.stepping = true;
    schedule(m_now + time, EventKind::EngineStep, index, endpoint.epoch);
}

void Simulation::completeEngineStep(const Event& event)
{
    Endpoint& endpoint = m_endpoints[event.subject];
    if (endpoint.epoch != event.attempt)
        return;
    endpoint.stepping = false;
    for (const EngineJob& job : endpoint.engine.finishStep().tokens) {
        RequestState& state = m_requests[job.request];
        if (!isCurrentAttempt(job.request, job.attempt))
            continue;
        std::size_t zone = m_entries[m_arrivals[job.request].entry].zone;
        ClassMetrics& metrics = metricsOf(job.request);
        TimePoint arrives = m_now + networkDelay(endpoint.zone, zone, bytesPerChunk, metrics);
        bool first = state.delivered == 0;
        ++state.delivered;
        state.lastToken = arrives + m_deployment.clientDelay;
        if (first)
            state.firstToken = state.lastToken;
        int attemptTokens = state.delivered - state.attemptStart;
        if (job.remainingOutput <= 0) {
            metrics.computedTokens += job.computed;
            schedule(arrives, EventKind::Finished, job.request, job.attempt);
        } else if (attemptTokens == 1 || attemptTokens % progressInterval == 0) {
            schedule(arrives, EventKind::Progress, job.request, job.attempt, state.delivered);
        }
    }
    startStep(endpoint, event.subject);
}

Duration Simulation::serviceTime(std::uint32_t request) const
{
    constexpr std::int64_t minMicroseconds = 20'000;
    constexpr std::uint64_t spreadMicroseconds = 40'000;
    std::uint64_t hash = mix(request * 31ULL + m_settings.seed);
    return Duration(minMicroseconds + static_cast<std::int64_t>(hash % spreadMicroseconds));
}

void Simulation::startServiceCalls(Endpoint& endpoint)
{
    auto index = static_cast<std::int64_t>(&endpoint - m_endpoints.data());
    while (!endpoint.serviceQueue.empty() && static_cast<int>(endpoint.serviceRunning.size()) < endpoint.info.slots) {
        std::uint32_t request = std::get<2>(*endpoint.serviceQueue.begin());
        endpoint.serviceQueue.erase(endpoint.serviceQueue.begin());
        endpoint.serviceRunning.insert(request);
        schedule(m_now + serviceTime(request), EventKind::ServiceDone, request, m_requests[request].attempt, index);
    }
}

void Simulation::completeService(const Event& event)
{
    Endpoint& endpoint = m_endpoints[static_cast<std::size_t>(event.value)];
    if (!endpoint.serviceRunning.erase(event.subject))
        return;
    std::size_t zone = m_entries[m_arrivals[event.subject].entry].zone;
    Duration delay = networkDelay(endpoint.zone, zone, bytesPerChunk, metricsOf(event.subject));
    schedule(m_now + delay, EventKind::Finished, event.subject, event.attempt);
    startServiceCalls(endpoint);
}

void Simulation::attemptFinished(std::uint32_t request)
{
    Entry& entry = m_entries[m_arrivals[request].entry];
    if (loadOf(request).plain)
        m_requests[request].lastToken = m_now + m_deployment.clientDelay;
    RequestId id("r" + std::to_string(request));
    AttemptResult result { true, Tokens(m_requests[request].delivered) };
    finishRequest(request, true);
    execute(std::visit([&](auto& policy) { return policy.finished(id, result, m_now); }, entry.policy));
}

void Simulation::attemptFailed(const Event& event)
{
    std::uint32_t request = event.subject;
    RequestState& state = m_requests[request];
    bool notExecuted = event.value == 1;
    Entry& entry = m_entries[m_arrivals[request].entry];
    RequestId id("r" + std::to_string(request));
    AttemptResult result { false, Tokens(state.delivered) };
    auto decisions = std::visit([&](auto& policy) { return policy.finished(id, result, m_now); }, entry.policy);
    ++state.attempt;
    execute(decisions);
    bool retryable = notExecuted || !loadOf(request).requestClass.atMostOnce;
    if (retryable && state.attempt < 2 * maxAttempts) {
        submit(request, notExecuted ? SubmitReason::NotExecuted : SubmitReason::Retry);
        return;
    }
    ++metricsOf(request).failed;
    finishRequest(request, false);
}

void Simulation::cancelAtEndpoint(const Event& event)
{
    Endpoint& endpoint = m_endpoints[static_cast<std::size_t>(event.value)];
    if (endpoint.plain)
        return;
    std::int64_t computed = endpoint.engine.cancel(event.subject);
    ClassMetrics& metrics = metricsOf(event.subject);
    metrics.computedTokens += computed;
    metrics.wastedTokens += std::max<std::int64_t>(
        0, computed - (m_requests[event.subject].delivered - m_requests[event.subject].attemptStart));
}

void Simulation::report(std::uint32_t index)
{
    Endpoint& endpoint = m_endpoints[index];
    schedule(m_now + reportInterval, EventKind::Report, index);
    if (!endpoint.up)
        return;
    int running = endpoint.plain ? static_cast<int>(endpoint.serviceRunning.size()) : endpoint.engine.running();
    int queued = endpoint.plain ? static_cast<int>(endpoint.serviceQueue.size()) : endpoint.engine.queued();
    endpoint.samples.emplace_back(m_now, running, queued);
    while (endpoint.samples.size() > 1 && std::get<0>(endpoint.samples[1]) <= m_now - m_reportLag)
        endpoint.samples.pop_front();
    auto [takenAt, oldRunning, oldQueued] = endpoint.samples.front();
    EndpointLoad load;
    load.running = oldRunning;
    load.queued = oldQueued;
    load.takenAt = takenAt;
    double seconds = std::chrono::duration<double>(reportInterval).count();
    load.tokensPerSecond
        = static_cast<double>(endpoint.engine.tokensGenerated() - endpoint.lastReportedTokens) / seconds;
    endpoint.lastReportedTokens = endpoint.engine.tokensGenerated();
    for (Entry& entry : m_entries) {
        if (!entry.knownEndpoints[index])
            continue;
        execute(std::visit(
            [&](auto& policy) { return policy.endpointReported(endpoint.info.id, load, m_now); }, entry.policy));
    }
}

bool Simulation::metTargets(std::uint32_t request) const
{
    const Arrival& arrival = m_arrivals[request];
    const RequestState& state = m_requests[request];
    const LatencyTargets& targets = loadOf(request).requestClass.targets;
    if (targets.firstToken && state.firstToken - arrival.at > *targets.firstToken)
        return false;
    if (targets.total && state.lastToken - arrival.at > *targets.total)
        return false;
    return !targets.betweenTokens || state.delivered < 2
        || (state.lastToken - state.firstToken) / (state.delivered - 1) <= *targets.betweenTokens;
}

double Simulation::idealSeconds(std::uint32_t request) const
{
    if (loadOf(request).plain)
        return std::chrono::duration<double>(serviceTime(request)).count() / plainSlots;
    EngineTimes times;
    Duration fullStep = times.stepBase + times.perSequence * times.slots;
    return std::chrono::duration<double>(fullStep).count() / times.slots * m_requests[request].delivered
        + std::chrono::duration<double>(times.perPrefillToken).count() * loadOf(request).promptTokens;
}

void Simulation::finishRequest(std::uint32_t request, bool complete)
{
    RequestState& state = m_requests[request];
    if (state.done)
        return;
    state.done = true;
    --m_openRequests;
    ClassMetrics& metrics = metricsOf(request);
    if (!complete) {
        metrics.wastedTokens += state.delivered;
        return;
    }
    bool inTime = m_now <= TimePoint(m_settings.length);
    if (inTime)
        metrics.lowerBoundSeconds += idealSeconds(request);
    if (!metTargets(request)) {
        if (m_settings.trace)
            std::cerr << m_now.time_since_epoch().count() << " late r" << request << " " << metrics.name << " first "
                      << (state.firstToken - m_arrivals[request].at).count() << " between "
                      << (state.lastToken - state.firstToken).count() / std::max(1, state.delivered - 1) << "\n";
        return;
    }
    ++metrics.met;
    ++metrics.byAccount[m_arrivals[request].account].second;
    const ClassLoad& load = loadOf(request);
    if (inTime)
        metrics.goodTokens += load.plain ? 0 : load.prefixTokens + load.promptTokens + state.delivered;
}

} // namespace wisteriayard::bench
