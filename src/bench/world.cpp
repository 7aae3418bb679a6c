#include "world.h"

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
    constexpr std::size_t subsetSize = 40;

    std::uint32_t numberOf(const std::string& id) { return static_cast<std::uint32_t>(std::stoul(id.substr(1))); }

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

World::World(const Deployment& deployment, const std::vector<Arrival>& arrivals, RunSettings settings)
    : m_deployment(deployment)
    , m_arrivals(arrivals)
    , m_settings(settings)
    , m_live(arrivals.size())
    , m_random(settings.seed * 7919)
    , m_linkRate(linkBytesPerSecond)
{
    if (settings.scenario == Scenario::StaleReports)
        m_reportLag = staleLag;
    for (const ClassLoad& load : deployment.classes) {
        ClassFigures figures;
        figures.name = load.requestClass.name.value();
        figures.tier = load.requestClass.tier;
        figures.longestWait = load.requestClass.longestWait;
        figures.byAccount.resize(deployment.accounts.size());
        m_figures.classes.push_back(std::move(figures));
    }
    buildEndpoints();
    buildEntries();
    planFaults();
}

void World::buildEndpoints()
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

void World::buildEntries()
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
            introduce(m_entries.back(), static_cast<std::uint64_t>(i), fleet.target);
        push(m_now, Kind::Tick, static_cast<std::uint32_t>(i));
    }
    for (std::uint32_t e = 0; e < m_endpoints.size(); ++e)
        push(m_now + Duration(static_cast<std::int64_t>(mix(e) % 500'000)), Kind::Report, e);
}

void World::introduce(Entry& entry, std::uint64_t number, const TargetId& target)
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
    ranked.resize(std::min(ranked.size(), subsetSize));
    for (const auto& each : ranked) {
        std::uint32_t e = std::get<2>(each);
        entry.knows[e] = true;
        carryOut(
            std::visit([&](auto& policy) { return policy.endpointAdded(m_endpoints[e].info, m_now); }, entry.policy));
    }
}

void World::push(TimePoint at, Kind kind, std::uint32_t subject, std::uint32_t attempt, std::int64_t value)
{
    m_events.push({ at, m_order++, kind, subject, attempt, value });
}

RunFigures World::run()
{
    TimePoint end = TimePoint(m_settings.length);
    m_open = m_arrivals.size();
    if (!m_arrivals.empty())
        push(m_arrivals[0].at + m_deployment.toClients, Kind::Arrive, 0);
    while (m_open > 0 && !m_events.empty()) {
        Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        handle(event);
    }
    m_figures.seconds = std::chrono::duration<double>(end.time_since_epoch()).count();
    // The time of a target's endpoints is charged to its classes by the work that they had done.
    for (const Deployment::Fleet& fleet : m_deployment.fleets) {
        double total = 0;
        for (std::size_t c = 0; c < m_figures.classes.size(); ++c) {
            if (m_deployment.classes[c].requestClass.match.target == fleet.target)
                total += m_figures.classes[c].lowerBoundSeconds;
        }
        for (std::size_t c = 0; c < m_figures.classes.size(); ++c) {
            ClassFigures& figures = m_figures.classes[c];
            if (m_deployment.classes[c].requestClass.match.target == fleet.target && total > 0)
                figures.spendSeconds = fleet.count * m_figures.seconds * figures.lowerBoundSeconds / total;
        }
    }
    return std::move(m_figures);
}

void World::handle(const Event& event)
{
    std::uint32_t subject = event.subject;
    switch (event.kind) {
    case Kind::Arrive:
        m_nextArrival = subject + 1;
        if (m_nextArrival < m_arrivals.size())
            push(m_arrivals[m_nextArrival].at + m_deployment.toClients, Kind::Arrive,
                static_cast<std::uint32_t>(m_nextArrival));
        ++figuresOf(subject).submitted;
        ++figuresOf(subject).byAccount[m_arrivals[subject].account].first;
        submit(subject, SubmitReason::First);
        break;
    case Kind::ReachEndpoint:
        reachEndpoint(event);
        break;
    case Kind::EngineStep:
        engineStep(event);
        break;
    case Kind::ServiceDone:
        serviceDone(event);
        break;
    case Kind::Progress:
        if (current(subject, event.attempt)) {
            Entry& entry = m_entries[m_arrivals[subject].entry];
            RequestId id("r" + std::to_string(subject));
            std::visit([&](auto& policy) { policy.progress(id, Tokens(event.value), m_now); }, entry.policy);
        }
        break;
    case Kind::Finished:
        if (current(subject, event.attempt))
            attemptFinished(subject);
        break;
    case Kind::Failed:
        if (current(subject, event.attempt))
            attemptFailed(event);
        break;
    case Kind::Cancel:
        cancelAtEndpoint(event);
        break;
    case Kind::Report:
        report(subject);
        break;
    case Kind::Tick:
        carryOut(std::visit([&](auto& policy) { return policy.tick(m_now); }, m_entries[subject].policy));
        push(m_now + tickInterval, Kind::Tick, subject);
        break;
    case Kind::EndpointDown:
    case Kind::EndpointUp:
        for (Entry& entry : m_entries) {
            if (!entry.knows[subject])
                continue;
            const EndpointInfo& info = m_endpoints[subject].info;
            bool up = event.kind == Kind::EndpointUp;
            carryOut(std::visit(
                [&](auto& policy) {
                    return up ? policy.endpointAdded(info, m_now) : policy.endpointRemoved(info.id, m_now);
                },
                entry.policy));
        }
        break;
    case Kind::Fault:
        applyFault(m_faults[subject]);
        break;
    }
}

bool World::current(std::uint32_t request, std::uint32_t attempt) const
{
    return !m_live[request].done && m_live[request].attempt == attempt;
}

RequestInfo World::infoOf(std::uint32_t request, SubmitReason reason) const
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
    info.delivered = Tokens(m_live[request].delivered);
    return info;
}

void World::submit(std::uint32_t request, SubmitReason reason)
{
    Entry& entry = m_entries[m_arrivals[request].entry];
    RequestInfo info = infoOf(request, reason);
    carryOut(std::visit([&](auto& policy) { return policy.submit(info, m_now); }, entry.policy));
}

void World::carryOut(const Scheduler::Decisions& decisions)
{
    for (const Decision& decision : decisions)
        std::visit([this](const auto& each) { this->carryOut(each); }, decision);
}

void World::carryOut(const Dispatch& dispatch)
{
    std::uint32_t request = numberOf(dispatch.request.value());
    Live& live = m_live[request];
    live.endpoint = static_cast<std::int32_t>(numberOf(dispatch.endpoint.value()));
    ++live.attempt;
    live.attemptStart = live.delivered;
    ClassFigures& figures = figuresOf(request);
    if (!live.dispatched) {
        live.dispatched = true;
        live.firstDispatch = m_now;
        figures.maxWait = std::max(figures.maxWait, m_now - m_arrivals[request].at - m_deployment.toClients);
    }
    const Endpoint& endpoint = m_endpoints[static_cast<std::size_t>(live.endpoint)];
    if (m_settings.trace)
        std::cerr << m_now.time_since_epoch().count() << " dispatch " << dispatch.request << " " << figures.name << " "
                  << dispatch.endpoint << " attempt " << live.attempt << "\n";
    std::int64_t bytes
        = bytesPerPromptToken * (loadOf(request).prefixTokens + loadOf(request).promptTokens + live.delivered);
    Duration delay = travel(m_entries[m_arrivals[request].entry].zone, endpoint.zone, bytes, figures);
    push(m_now + delay, Kind::ReachEndpoint, request, live.attempt);
}

void World::carryOut(const Refusal& refusal)
{
    std::uint32_t request = numberOf(refusal.request.value());
    Live& live = m_live[request];
    ClassFigures& figures = figuresOf(request);
    ++figures.shed;
    if (m_settings.trace)
        std::cerr << m_now.time_since_epoch().count() << " refuse " << refusal.request << " " << figures.name << " "
                  << refusalReasonName(refusal.reason) << "\n";
    if (live.attempt == 0)
        ++figures.notRunRefusals;
    if (!live.dispatched)
        figures.maxWait = std::max(figures.maxWait, m_now - m_arrivals[request].at - m_deployment.toClients);
    ended(request, false);
}

void World::carryOut(const Preempt& preempt)
{
    std::uint32_t request = numberOf(preempt.request.value());
    ++figuresOf(request).preempted;
    push(m_now, Kind::Cancel, request, m_live[request].attempt, m_live[request].endpoint);
    ++m_live[request].attempt;
    Entry& entry = m_entries[m_arrivals[request].entry];
    AttemptResult result { false, Tokens(m_live[request].delivered) };
    carryOut(std::visit([&](auto& policy) { return policy.finished(preempt.request, result, m_now); }, entry.policy));
    submit(request, SubmitReason::Preempted);
}

Duration World::travel(std::size_t fromZone, std::size_t toZone, std::int64_t bytes, ClassFigures& figures)
{
    if (fromZone == toZone)
        return Duration(200);
    const ZoneLoad& from = m_deployment.zones[fromZone];
    const ZoneLoad& to = m_deployment.zones[toZone];
    if (from.region == to.region)
        return m_deployment.betweenZones;
    figures.crossRegionBytes += bytes;
    TimePoint& free = m_linkFree[{ from.region, to.region }];
    free = std::max(free, m_now) + Duration(static_cast<std::int64_t>(static_cast<double>(bytes) / m_linkRate * 1e6));
    return free - m_now + m_deployment.betweenRegions;
}

void World::reachEndpoint(const Event& event)
{
    std::uint32_t request = event.subject;
    if (!current(request, event.attempt))
        return;
    Live& live = m_live[request];
    auto index = static_cast<std::uint32_t>(live.endpoint);
    Endpoint& endpoint = m_endpoints[index];
    int held = endpoint.plain ? static_cast<int>(endpoint.serviceRunning.size() + endpoint.serviceQueue.size())
                              : endpoint.engine.running() + endpoint.engine.queued();
    std::size_t zone = m_entries[m_arrivals[request].entry].zone;
    if (!endpoint.up || held >= endpoint.info.slots * agentQueueFactor) {
        Duration notice = endpoint.up ? Duration(0) : failureNotice;
        push(m_now + notice + travel(endpoint.zone, zone, bytesPerChunk, figuresOf(request)), Kind::Failed, request,
            event.attempt, 1);
        return;
    }
    const ClassLoad& load = loadOf(request);
    auto priority = static_cast<std::int32_t>(load.requestClass.tier) * 1000 + load.requestClass.priority.value();
    if (endpoint.plain) {
        endpoint.serviceQueue.emplace(priority, m_order++, request);
        startServices(endpoint);
        return;
    }
    EngineJob job;
    job.request = request;
    job.attempt = event.attempt;
    job.priority = priority;
    job.prefixHash = m_arrivals[request].prefixHash;
    job.prefixTokens = load.prefixTokens;
    job.prompt = load.prefixTokens + load.promptTokens + live.delivered;
    job.outputLeft = std::max(1, m_arrivals[request].output - live.delivered);
    endpoint.engine.add(job);
    startStep(endpoint, index);
}

void World::startStep(Endpoint& endpoint, std::uint32_t index)
{
    if (endpoint.stepping || !endpoint.up)
        return;
    Duration time = endpoint.engine.startStep();
    if (time == Duration(0))
        return;
    endpoint.stepping = true;
    push(m_now + time, Kind::EngineStep, index, endpoint.epoch);
}

void World::engineStep(const Event& event)
{
    Endpoint& endpoint = m_endpoints[event.subject];
    if (endpoint.epoch != event.attempt)
        return;
    endpoint.stepping = false;
    for (const EngineJob& job : endpoint.engine.finishStep().tokens) {
        Live& live = m_live[job.request];
        if (!current(job.request, job.attempt))
            continue;
        std::size_t zone = m_entries[m_arrivals[job.request].entry].zone;
        ClassFigures& figures = figuresOf(job.request);
        TimePoint arrives = m_now + travel(endpoint.zone, zone, bytesPerChunk, figures);
        bool first = live.delivered == 0;
        ++live.delivered;
        live.lastToken = arrives + m_deployment.toClients;
        if (first)
            live.firstToken = live.lastToken;
        int ofAttempt = live.delivered - live.attemptStart;
        if (job.outputLeft <= 0) {
            figures.computedTokens += job.computed;
            push(arrives, Kind::Finished, job.request, job.attempt);
        } else if (ofAttempt == 1 || ofAttempt % progressInterval == 0) {
            push(arrives, Kind::Progress, job.request, job.attempt, live.delivered);
        }
    }
    startStep(endpoint, event.subject);
}

Duration World::serviceTime(std::uint32_t request) const
{
    constexpr std::int64_t leastMicroseconds = 20'000;
    constexpr std::uint64_t spreadMicroseconds = 40'000;
    std::uint64_t hash = mix(request * 31ULL + m_settings.seed);
    return Duration(leastMicroseconds + static_cast<std::int64_t>(hash % spreadMicroseconds));
}

void World::startServices(Endpoint& endpoint)
{
    auto index = static_cast<std::int64_t>(&endpoint - m_endpoints.data());
    while (!endpoint.serviceQueue.empty() && static_cast<int>(endpoint.serviceRunning.size()) < endpoint.info.slots) {
        std::uint32_t request = std::get<2>(*endpoint.serviceQueue.begin());
        endpoint.serviceQueue.erase(endpoint.serviceQueue.begin());
        endpoint.serviceRunning.insert(request);
        push(m_now + serviceTime(request), Kind::ServiceDone, request, m_live[request].attempt, index);
    }
}

void World::serviceDone(const Event& event)
{
    Endpoint& endpoint = m_endpoints[static_cast<std::size_t>(event.value)];
    if (!endpoint.serviceRunning.erase(event.subject))
        return;
    std::size_t zone = m_entries[m_arrivals[event.subject].entry].zone;
    Duration delay = travel(endpoint.zone, zone, bytesPerChunk, figuresOf(event.subject));
    push(m_now + delay, Kind::Finished, event.subject, event.attempt);
    startServices(endpoint);
}

void World::attemptFinished(std::uint32_t request)
{
    Entry& entry = m_entries[m_arrivals[request].entry];
    if (loadOf(request).plain)
        m_live[request].lastToken = m_now + m_deployment.toClients;
    RequestId id("r" + std::to_string(request));
    AttemptResult result { true, Tokens(m_live[request].delivered) };
    ended(request, true);
    carryOut(std::visit([&](auto& policy) { return policy.finished(id, result, m_now); }, entry.policy));
}

void World::attemptFailed(const Event& event)
{
    std::uint32_t request = event.subject;
    Live& live = m_live[request];
    bool neverRan = event.value == 1;
    Entry& entry = m_entries[m_arrivals[request].entry];
    RequestId id("r" + std::to_string(request));
    AttemptResult result { false, Tokens(live.delivered) };
    auto decisions = std::visit([&](auto& policy) { return policy.finished(id, result, m_now); }, entry.policy);
    ++live.attempt;
    carryOut(decisions);
    bool repeatable = neverRan || !loadOf(request).requestClass.atMostOnce;
    if (repeatable && live.attempt < 2 * maxAttempts) {
        submit(request, neverRan ? SubmitReason::NotExecuted : SubmitReason::Retry);
        return;
    }
    ++figuresOf(request).failed;
    ended(request, false);
}

void World::cancelAtEndpoint(const Event& event)
{
    Endpoint& endpoint = m_endpoints[static_cast<std::size_t>(event.value)];
    if (endpoint.plain)
        return;
    std::int64_t computed = endpoint.engine.cancel(event.subject);
    ClassFigures& figures = figuresOf(event.subject);
    figures.computedTokens += computed;
    figures.wastedTokens
        += std::max<std::int64_t>(0, computed - (m_live[event.subject].delivered - m_live[event.subject].attemptStart));
}

void World::report(std::uint32_t index)
{
    Endpoint& endpoint = m_endpoints[index];
    push(m_now + reportInterval, Kind::Report, index);
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
    load.tokensPerSecond = static_cast<double>(endpoint.engine.tokensMade() - endpoint.tokensAtSample) / seconds;
    endpoint.tokensAtSample = endpoint.engine.tokensMade();
    for (Entry& entry : m_entries) {
        if (!entry.knows[index])
            continue;
        carryOut(std::visit(
            [&](auto& policy) { return policy.endpointReported(endpoint.info.id, load, m_now); }, entry.policy));
    }
}

bool World::metTargets(std::uint32_t request) const
{
    const Arrival& arrival = m_arrivals[request];
    const Live& live = m_live[request];
    const LatencyTargets& targets = loadOf(request).requestClass.targets;
    if (targets.firstToken && live.firstToken - arrival.at > *targets.firstToken)
        return false;
    if (targets.total && live.lastToken - arrival.at > *targets.total)
        return false;
    return !targets.betweenTokens || live.delivered < 2
        || (live.lastToken - live.firstToken) / (live.delivered - 1) <= *targets.betweenTokens;
}

double World::idealSeconds(std::uint32_t request) const
{
    if (loadOf(request).plain)
        return std::chrono::duration<double>(serviceTime(request)).count() / plainSlots;
    EngineTimes times;
    Duration fullStep = times.stepBase + times.perSequence * times.slots;
    return std::chrono::duration<double>(fullStep).count() / times.slots * m_live[request].delivered
        + std::chrono::duration<double>(times.perPrefillToken).count() * loadOf(request).promptTokens;
}

void World::ended(std::uint32_t request, bool complete)
{
    Live& live = m_live[request];
    if (live.done)
        return;
    live.done = true;
    --m_open;
    ClassFigures& figures = figuresOf(request);
    if (!complete) {
        figures.wastedTokens += live.delivered;
        return;
    }
    bool inTime = m_now <= TimePoint(m_settings.length);
    if (inTime)
        figures.lowerBoundSeconds += idealSeconds(request);
    if (!metTargets(request)) {
        if (m_settings.trace)
            std::cerr << m_now.time_since_epoch().count() << " late r" << request << " " << figures.name << " first "
                      << (live.firstToken - m_arrivals[request].at).count() << " between "
                      << (live.lastToken - live.firstToken).count() / std::max(1, live.delivered - 1) << "\n";
        return;
    }
    ++figures.met;
    ++figures.byAccount[m_arrivals[request].account].second;
    const ClassLoad& load = loadOf(request);
    if (inTime)
        figures.goodTokens += load.plain ? 0 : load.prefixTokens + load.promptTokens + live.delivered;
}

} // namespace wisteriayard::bench
