#include "wisteriayard/hedge_policy.h"

#include <algorithm>
#include <cmath>

namespace wisteriayard {

namespace {

    /// Share of a class's attempts that complete within the quantile.
    constexpr double delayQuantile = 0.95;
    /// Least delay as a multiple of the median: a request that is late by less is about to complete.
    constexpr double minDelayFactor = 1.5;
    /// The evaluation of a full window of samples is used again for this time, unless as many were added.
    constexpr Duration evaluationLifetime = std::chrono::milliseconds(50);
    constexpr std::size_t evaluationSamples = 8;
    /// Least remaining time for a second attempt.
    constexpr Duration minTimeLeft = std::chrono::milliseconds(30);

    /// The service has become slower if, over the last seconds, more requests exceed the delay than three times the
    /// share that defines it, and some more than chance brings about.
    constexpr std::size_t dueSeconds = 2;
    constexpr double maxDueShare = 3 * (1 - delayQuantile);
    constexpr double dueSlack = 3;

    /// Credit that is not used lapses with the requests that earned it, but for one hedged request, which entries with
    /// few requests would otherwise never be allowed.
    constexpr std::size_t creditSeconds = 10;
    constexpr double minCreditLimit = 1;
    /// Credit is a sum of fractions, which may lack this much to a whole number.
    constexpr double creditRounding = 1e-6;

    /// Share of refused requests, and share of the retry budget that failed requests use, at which there is no hedging.
    constexpr std::size_t refusedSeconds = 3;
    constexpr double maxRefusedShare = 0.05;
    constexpr double maxRetriedShare = 0.5;
    /// Share of the retry budget that hedged requests may use together with failed ones, so that they leave some for
    /// requests that fail later.
    constexpr double maxRetryBudgetShare = 0.5;
    constexpr std::size_t retryBudgetSeconds = 10;

    std::int64_t secondOf(TimePoint now)
    {
        return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    }

    /// Time that an attempt probably takes beyond `time`, which is exceeded by the samples from `first` on. Estimate
    /// for an exponential tail: the sum of the excess of all these samples, divided by the number of completed
    /// attempts.
    template <typename Samples> double expectedExcess(const Samples& sorted, std::size_t first, Duration time)
    {
        double excess = 0;
        double completed = 0;
        for (std::size_t i = first; i < sorted.size(); ++i) {
            excess += static_cast<double>((sorted[i].time - time).count());
            completed += sorted[i].isLowerBound ? 0 : 1;
        }
        return excess / std::max(1.0, completed);
    }

} // namespace

std::string_view hedgeDecisionName(HedgeDecision decision)
{
    switch (decision) {
    case HedgeDecision::Send:
        return "sent";
    case HedgeDecision::NotDue:
        return "not_due";
    case HedgeDecision::NotRepeatable:
        return "not_repeatable";
    case HedgeDecision::AnswerBegun:
        return "answer_begun";
    case HedgeDecision::AlreadyHedged:
        return "already_hedged";
    case HedgeDecision::Suspected:
        return "suspected";
    case HedgeDecision::AttemptsUsed:
        return "attempts_used";
    case HedgeDecision::TooLittleTime:
        return "too_little_time";
    case HedgeDecision::TooFewSamples:
        return "too_few_samples";
    case HedgeDecision::AllSlower:
        return "all_slower";
    case HedgeDecision::Shortage:
        return "shortage";
    case HedgeDecision::RatioUsed:
        return "ratio_used";
    case HedgeDecision::NoEndpoint:
        return "no_endpoint";
    case HedgeDecision::EndpointEjected:
        return "endpoint_ejected";
    case HedgeDecision::EndpointQueue:
        return "endpoint_queue";
    case HedgeDecision::RetryBudgetUsed:
        return "retry_budget_used";
    }
    return "unknown";
}

bool mayHedgeLater(HedgeDecision decision)
{
    switch (decision) {
    case HedgeDecision::NotDue:
    case HedgeDecision::AllSlower:
    case HedgeDecision::Shortage:
    case HedgeDecision::RatioUsed:
    case HedgeDecision::RetryBudgetUsed:
    case HedgeDecision::EndpointQueue:
        return true;
    case HedgeDecision::Send:
    case HedgeDecision::NotRepeatable:
    case HedgeDecision::AnswerBegun:
    case HedgeDecision::AlreadyHedged:
    case HedgeDecision::Suspected:
    case HedgeDecision::AttemptsUsed:
    case HedgeDecision::TooLittleTime:
    case HedgeDecision::TooFewSamples:
    case HedgeDecision::NoEndpoint:
    case HedgeDecision::EndpointEjected:
        break;
    }
    return false;
}

void HedgePolicy::RecentCounts::add(TimePoint now)
{
    std::int64_t second = secondOf(now);
    Bucket& bucket = m_buckets[static_cast<std::size_t>(second) % m_buckets.size()];
    if (bucket.second != second)
        bucket = { second, 0 };
    ++bucket.count;
}

std::int64_t HedgePolicy::RecentCounts::sum(std::size_t seconds, TimePoint now) const
{
    std::int64_t oldest = secondOf(now) - static_cast<std::int64_t>(seconds);
    std::int64_t total = 0;
    for (const Bucket& each : m_buckets) {
        if (each.second > oldest)
            total += each.count;
    }
    return total;
}

HedgePolicy::ClassState& HedgePolicy::classState(const HedgeClass& requests, TimePoint now)
{
    auto known = m_classes.find(requests);
    if (known == m_classes.end()) {
        std::erase_if(m_classes, [now](const auto& each) { return now - each.second.usedAt > maxAge; });
        known = m_classes.emplace(requests, ClassState()).first;
    }
    known->second.usedAt = now;
    return known->second;
}

void HedgePolicy::recordPlaced(const TargetId& target, TimePoint now)
{
    if (!isEnabled())
        return;
    ServiceState& service = m_services[target];
    service.placed.add(now);
    service.credit = credit(service, now) + m_ratio;
}

void HedgePolicy::recordRefused(const TargetId& target, TimePoint now)
{
    if (isEnabled())
        m_services[target].refused.add(now);
}

void HedgePolicy::recordWaiting(const HedgeClass& requests, TimePoint now)
{
    classState(requests, now).waiting.add(now);
}

void HedgePolicy::recordDue(const HedgeClass& requests, TimePoint now) { classState(requests, now).due.add(now); }

void HedgePolicy::recordTime(const HedgeClass& requests, Duration time, TimePoint now)
{
    addSample(requests, { time, false, now });
}

void HedgePolicy::recordLowerBound(const HedgeClass& requests, Duration time, TimePoint now)
{
    auto known = times(requests, now);
    if (known && time >= known->delay)
        addSample(requests, { time, true, now });
}

void HedgePolicy::addSample(const HedgeClass& requests, const Sample& sample)
{
    ClassState& state = classState(requests, sample.at);
    ++state.addedSamples;
    if (state.samples.size() < maxSamples) {
        state.samples.push_back(sample);
        return;
    }
    state.samples[state.oldest] = sample;
    state.oldest = (state.oldest + 1) % maxSamples;
}

void HedgePolicy::recordSent(const TargetId& target, const RetryUse& retries, TimePoint now)
{
    ServiceState& service = m_services[target];
    service.credit = credit(service, now) - cost(service, retries, now).value_or(1);
    service.sent.add(now);
}

std::optional<HedgeTimes> HedgePolicy::times(const HedgeClass& requests, TimePoint now)
{
    auto known = m_classes.find(requests);
    if (known == m_classes.end())
        return std::nullopt;
    ClassState& state = known->second;
    std::size_t maxAdded = state.samples.size() < maxSamples ? 0 : evaluationSamples;
    if (state.addedSamples > maxAdded || now - state.evaluatedAt > evaluationLifetime) {
        state.times = evaluate(state.samples, now);
        state.evaluatedAt = now;
        state.addedSamples = 0;
    }
    return state.times;
}

std::optional<HedgeTimes> HedgePolicy::evaluate(const std::vector<Sample>& samples, TimePoint now)
{
    std::vector<Sample> recent;
    recent.reserve(samples.size());
    for (const Sample& sample : samples) {
        if (now - sample.at <= maxAge)
            recent.push_back(sample);
    }
    if (recent.size() < minSamples)
        return std::nullopt;
    std::sort(recent.begin(), recent.end(), [](const Sample& a, const Sample& b) { return a.time < b.time; });
    HedgeTimes times;
    times.samples = recent.size();
    times.median = recent[recent.size() / 2].time;
    auto rank = static_cast<std::size_t>(std::ceil(delayQuantile * static_cast<double>(recent.size())));
    times.quantile = recent[rank - 1].time;
    Duration least = std::max(times.quantile, scaled(times.median, minDelayFactor));
    // Before the slowest attempt, a second one gains time only if the first probably takes longer than a new one.
    times.delay = std::max(least, recent.back().time);
    for (std::size_t i = rank - 1; i + 1 < recent.size(); ++i) {
        Duration candidate = std::max(least, recent[i].time);
        if (recent[i + 1].time <= candidate)
            continue;
        if (expectedExcess(recent, i + 1, candidate) < static_cast<double>(times.median.count()))
            continue;
        times.delay = candidate;
        break;
    }
    return times;
}

double HedgePolicy::credit(const ServiceState& service, TimePoint now) const
{
    double earned = m_ratio * static_cast<double>(service.placed.sum(creditSeconds, now));
    return std::min(service.credit, std::max(minCreditLimit, earned));
}

std::optional<double> HedgePolicy::cost(const ServiceState& service, const RetryUse& retries, TimePoint now)
{
    auto refused = static_cast<double>(service.refused.sum(refusedSeconds, now));
    auto placed = static_cast<double>(service.placed.sum(refusedSeconds, now));
    double refusedShare = refused == 0 ? 0 : refused / (refused + placed);
    auto hedged = static_cast<double>(service.sent.sum(retryBudgetSeconds, now));
    double retried = std::max(0.0, retries.made - hedged);
    double retriedShare = retried == 0 ? 0 : retried / retries.allowed;
    double pressure = std::max(refusedShare / maxRefusedShare, retriedShare / maxRetriedShare);
    if (pressure >= 1)
        return std::nullopt;
    return 1 / (1 - pressure);
}

bool HedgePolicy::isAllSlower(const ClassState& state, TimePoint now)
{
    auto waiting = static_cast<double>(state.waiting.sum(dueSeconds, now));
    auto due = static_cast<double>(state.due.sum(dueSeconds, now));
    return due > dueSlack + maxDueShare * waiting;
}

HedgeFigures HedgePolicy::figures(const HedgeClass& requests, const RetryUse& retries, TimePoint now)
{
    HedgeFigures figures;
    figures.times = times(requests, now);
    if (auto known = m_classes.find(requests); known != m_classes.end()) {
        auto waiting = static_cast<double>(known->second.waiting.sum(dueSeconds, now));
        auto due = static_cast<double>(known->second.due.sum(dueSeconds, now));
        figures.dueShare = waiting == 0 ? 0 : due / waiting;
    }
    const ServiceState& service = m_services[requests.target];
    figures.credit = credit(service, now);
    figures.cost = cost(service, retries, now);
    return figures;
}

HedgeDecision HedgePolicy::decide(const HedgeClass& requests, const HedgeState& state, TimePoint now)
{
    if (!state.repeatable)
        return HedgeDecision::NotRepeatable;
    if (state.answerBegun)
        return HedgeDecision::AnswerBegun;
    if (state.hedged)
        return HedgeDecision::AlreadyHedged;
    if (state.suspected)
        return HedgeDecision::Suspected;
    if (state.attempts >= state.maxAttempts)
        return HedgeDecision::AttemptsUsed;
    HedgeFigures known = figures(requests, state.retries, now);
    if (!known.times)
        return HedgeDecision::TooFewSamples;
    if (state.elapsed < known.times->delay)
        return HedgeDecision::NotDue;
    if (state.timeLeft < std::max(minTimeLeft, known.times->median))
        return HedgeDecision::TooLittleTime;
    if (isAllSlower(m_classes.at(requests), now))
        return HedgeDecision::AllSlower;
    if (!known.cost)
        return HedgeDecision::Shortage;
    if (known.credit + creditRounding < *known.cost)
        return HedgeDecision::RatioUsed;
    if (state.retries.made + 1 > maxRetryBudgetShare * state.retries.allowed)
        return HedgeDecision::RetryBudgetUsed;
    if (!state.second)
        return HedgeDecision::Send;
    if (!state.second->available)
        return HedgeDecision::NoEndpoint;
    if (state.second->ejected)
        return HedgeDecision::EndpointEjected;
    return state.second->queued ? HedgeDecision::EndpointQueue : HedgeDecision::Send;
}

} // namespace wisteriayard
