#include "wisteriayard/engine_speed.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace wisteriayard {

namespace {

    /// Time per prompt token that is assumed before the first answer, in microseconds; typical of a mid-size model.
    constexpr double initialTokenTime = 20;
    constexpr double minTokenTime = 3;
    constexpr double maxTokenTime = 300;
    /// Shorter prompts are no measure of the time per token, because their first event waits for the batch.
    constexpr std::int64_t minMeasuredTokens = 2000;
    /// Longest prompt that is a measure of the time to the first event that doesn't depend on the number of tokens.
    constexpr std::int64_t maxBaseTokens = 1000;
    /// Time to the first event without prompt tokens to compute, in microseconds.
    constexpr double initialBaseTime = 60'000;
    constexpr double minBaseTime = 5'000;
    constexpr double maxBaseTime = 200'000;
    constexpr double averageWeight = 0.1;
    /// Weights of samples of the time per prompt token below and above the average of all endpoints.
    constexpr double fallWeight = 0.1;
    constexpr double riseWeight = 0.01;
    /// Time between two events of a stream, in microseconds.
    constexpr double initialEventTime = 40'000;
    constexpr double eventWeight = 0.02;
    constexpr double minEventTime = 1'000;
    constexpr double maxEventTime = 2'000'000;

    /// Time constant with which samples of an engine's ratio lose weight. A busy engine has dozens of samples within
    /// it, and one that is avoided gets requests again after about one.
    constexpr Duration ratioLifetime = std::chrono::seconds(15);
    /// Limit for the logarithm of one sample's ratio, a factor of 3, so that single slow responses count little.
    constexpr double maxSample = 1.1;
    /// Weight of a new sample in the mean from which ratios are measured.
    constexpr double meanWeight = 0.02;
    /// Events of one stream are alike, so that one of them is less evidence than a first event.
    constexpr double eventSampleWeight = 0.2;
    /// Differences below this ratio, and below this many standard errors, have little effect. Engines of equal speed
    /// differ by this much because of their batches.
    constexpr double minRatio = 0.15;
    constexpr double standardErrors = 2;
    /// Variance that is assumed in addition to that of the samples, with the weight of one sample.
    constexpr double priorVariance = 0.25;
    /// Weight of another entry's report, which is recent but may be wrong.
    constexpr double reportWeight = 0.5;
    /// The reports of all other entries together weigh as much as this many samples at most.
    constexpr double maxPeerWeight = 8;
    constexpr Duration maxReportAge = std::chrono::seconds(15);
    /// Time for which the summary of the reports is used again. In a fleet of 103 entries, a new summary for each
    /// engine and placement took 30% of the processor time.
    constexpr Duration summaryLifetime = std::chrono::milliseconds(500);
    /// Time for which an engine's factor is used again. It changes over seconds, and a placement asks for the factors
    /// of all engines several times.
    constexpr Duration factorLifetime = std::chrono::milliseconds(100);

    double microseconds(Duration time) { return static_cast<double>(time.count()); }

    void average(double& value, double sample) { value += averageWeight * (sample - value); }

    std::size_t roleIndex(const EngineSpeed::Engine& engine) { return static_cast<std::size_t>(engine.role); }

    double clampSample(double ratio) { return std::clamp(ratio, -maxSample, maxSample); }

} // namespace

double EngineSpeed::Reference::ratio(double sample)
{
    double logarithm = std::log(sample);
    double weight = std::max(meanWeight, 1.0 / ++samples);
    mean += weight * (samples > 1 ? clampSample(logarithm - mean) : logarithm);
    return clampSample(logarithm - mean);
}

void EngineSpeed::Ratio::add(double sample, double weight, TimePoint now)
{
    double kept = this->weight(now);
    m_weight = kept + weight;
    m_mean += weight / m_weight * (sample - m_mean);
    m_squares += weight / m_weight * (sample * sample - m_squares);
    m_at = now;
}

double EngineSpeed::Ratio::weight(TimePoint now) const
{
    if (m_weight == 0)
        return 0;
    return m_weight * std::exp(-microseconds(now - m_at) / microseconds(ratioLifetime));
}

double EngineSpeed::Ratio::variance() const { return std::max(0.0, m_squares - m_mean * m_mean); }

EngineSpeed::EngineSpeed(Duration tokenTimeLifetime, bool sharesFirstTimes)
    : m_tokenTimeLifetime(tokenTimeLifetime)
    , m_sharesFirstTimes(sharesFirstTimes)
    , m_tokenTime(initialTokenTime)
    , m_baseTime(initialBaseTime)
    , m_eventTime(initialEventTime)
{
}

EngineSpeed::Difference EngineSpeed::PeerRatios::summary(TimePoint now)
{
    bool isCurrent = m_summarized == m_reports.size() && now - m_summarizedAt < summaryLifetime;
    if (isCurrent)
        return m_summary;
    std::erase_if(m_reports, [now](const auto& each) { return now - each.second.second >= maxReportAge; });
    m_summarizedAt = now;
    m_summarized = m_reports.size();
    m_summary = {};
    if (m_reports.empty())
        return m_summary;
    std::vector<double> ratios;
    ratios.reserve(m_reports.size());
    for (const auto& [peer, report] : m_reports) {
        ratios.push_back(report.first);
        // Further reports add nothing to the largest weight.
        if (m_summary.weight < maxPeerWeight)
            m_summary.weight
                += reportWeight * std::exp(-microseconds(now - report.second) / microseconds(ratioLifetime));
    }
    // The median, so that one wrong report among several has no effect.
    auto middle = ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
    std::nth_element(ratios.begin(), middle, ratios.end());
    m_summary.mean = *middle;
    m_summary.weight = std::min(m_summary.weight, maxPeerWeight);
    return m_summary;
}

EngineSpeed::Difference EngineSpeed::difference(const Quantity& quantity, TimePoint now)
{
    Difference difference { quantity.own.mean(), quantity.own.weight(now) };
    Difference reported = quantity.peers.summary(now);
    if (reported.weight <= 0)
        return difference;
    double weight = difference.weight + reported.weight;
    difference.mean = (difference.weight * difference.mean + reported.weight * reported.mean) / weight;
    difference.weight = weight;
    return difference;
}

double EngineSpeed::factor(const Quantity& quantity, TimePoint now)
{
    if (now >= quantity.factorUntil) {
        quantity.factor = computeFactor(quantity, now);
        quantity.factorUntil = now + factorLifetime;
    }
    return quantity.factor;
}

double EngineSpeed::computeFactor(const Quantity& quantity, TimePoint now)
{
    auto [mean, weight] = difference(quantity, now);
    if (weight <= 0 || mean == 0)
        return 1;
    double variance = (weight * quantity.own.variance() + priorVariance) / (weight + 1);
    double margin = std::max(minRatio, standardErrors * std::sqrt(variance / weight));
    return std::exp(mean * std::max(0.0, 1 - margin * margin / (mean * mean)));
}

double EngineSpeed::pauseTime(const Engine& engine, TimePoint now) const
{
    auto [mean, weight] = difference(engine.events, now);
    return m_eventTime * std::exp(mean * weight / (weight + 1));
}

bool EngineSpeed::mayPauseLonger(const Engine& engine, Duration limit, TimePoint now) const
{
    // The mean in pauseTime() lies between these, and its weight only brings it closer to 0.
    double mean = std::max({ 0.0, engine.events.own.mean(), engine.events.peers.summary(now).mean });
    // 1 / (1 - x) is at least exp(x). The margin is for rounding.
    constexpr double margin = 1.000001;
    return mean >= 1 || m_eventTime / (1 - mean) * margin >= microseconds(limit);
}

double EngineSpeed::tokenTime(const Engine& engine, TimePoint now) const
{
    double usual = m_tokenTime * factor(engine.tokens, now);
    // Averages over an engine's few samples still begin with the assumed time.
    if (engine.tokenTime == 0 || usesFirstTimes())
        return usual;
    double age = microseconds(now - engine.tokenTimeAt) / microseconds(m_tokenTimeLifetime);
    return usual + std::exp(-age) * (engine.tokenTime - usual);
}

double EngineSpeed::eventTime(const Engine& engine, TimePoint now) const
{
    return m_eventTime * factor(engine.events, now);
}

void EngineSpeed::recordFirstEvent(Engine& engine, std::int64_t tokens, Duration elapsed, TimePoint now)
{
    if (tokens <= maxBaseTokens) {
        double base = microseconds(elapsed) - tokenTime(engine, now) * static_cast<double>(tokens);
        average(m_baseTime, std::clamp(base, minBaseTime, maxBaseTime));
    }
    if (tokens < minMeasuredTokens)
        return;
    double sample = std::max(0.0, microseconds(elapsed) - m_baseTime) / static_cast<double>(tokens);
    sample = std::clamp(sample, minTokenTime, maxTokenTime);
    engine.tokenTime = tokenTime(engine, now);
    engine.tokenTimeAt = now;
    average(engine.tokenTime, sample);
    // Samples include the wait behind prompts unknown to this entry, so low samples are closer to the engine's speed.
    double usual = sample / factor(engine.tokens, now);
    if (usesFirstTimes()) {
        m_firstTimes.addOwn(usual);
        applyFirstTimes(now);
    } else
        m_tokenTime += (usual < m_tokenTime ? fallWeight : riseWeight) * (usual - m_tokenTime);
    engine.tokens.own.add(m_meanTokens[roleIndex(engine)].ratio(sample), 1, now);
}

void EngineSpeed::applyFirstTimes(TimePoint now)
{
    if (auto median = m_firstTimes.median(now)) {
        // The first samples include waits behind prompts that this entry does not know. Where they exceed the
        // assumption, the mean follows the later ones.
        m_tokenTime = std::min(initialTokenTime, *median);
        m_isAssumed = false;
    }
}

void EngineSpeed::recordEvents(Engine& engine, std::size_t count, Duration sincePrevious, TimePoint now)
{
    if (count == 0)
        return;
    double sample = microseconds(sincePrevious) / static_cast<double>(count);
    double usual = sample / factor(engine.events, now);
    m_eventTime += eventWeight * (usual - m_eventTime);
    double limited = std::clamp(sample, minEventTime, maxEventTime);
    engine.events.own.add(m_meanEvents[roleIndex(engine)].ratio(limited), eventSampleWeight, now);
}

bool EngineSpeed::differs(const Engine& engine, TimePoint now) const
{
    return factor(engine.tokens, now) != 1 || factor(engine.events, now) != 1;
}

std::optional<SpeedReport> EngineSpeed::report(const Engine& engine, TimePoint now) const
{
    Duration tokenAge = now - engine.tokens.own.sampledAt();
    Duration eventAge = now - engine.events.own.sampledAt();
    SpeedReport report;
    if (m_meanTokens[roleIndex(engine)].samples > 0 && tokenAge < maxReportAge)
        report.tokenTime = std::exp(m_meanTokens[roleIndex(engine)].mean + engine.tokens.own.mean());
    if (m_meanEvents[roleIndex(engine)].samples > 0 && eventAge < maxReportAge)
        report.eventTime = std::exp(m_meanEvents[roleIndex(engine)].mean + engine.events.own.mean());
    if (report.tokenTime == 0 && report.eventTime == 0)
        return std::nullopt;
    report.age = std::min(tokenAge, eventAge);
    return report;
}

void EngineSpeed::applyReport(Engine& engine, const InstanceId& peer, const SpeedReport& report, TimePoint now)
{
    addReport(engine, peer, report, now);
    reportsAdded(now);
}

void EngineSpeed::reportsAdded(TimePoint now)
{
    if (std::exchange(m_hasNewFirstTimes, false))
        applyFirstTimes(now);
}

void EngineSpeed::addReport(Engine& engine, const InstanceId& peer, const SpeedReport& report, TimePoint now)
{
    TimePoint at = now - std::clamp(report.age, Duration(0), maxReportAge);
    if (report.tokenTime > 0 && usesFirstTimes()) {
        m_firstTimes.addReport(peer, std::clamp(report.tokenTime, minTokenTime, maxTokenTime), at);
        m_hasNewFirstTimes = true;
    }
    if (report.tokenTime > 0 && m_meanTokens[roleIndex(engine)].samples > 0) {
        double time = std::clamp(report.tokenTime, minTokenTime, maxTokenTime);
        engine.tokens.peers.set(peer, clampSample(std::log(time) - m_meanTokens[roleIndex(engine)].mean), at);
    }
    if (report.eventTime > 0 && m_meanEvents[roleIndex(engine)].samples > 0) {
        double time = std::clamp(report.eventTime, minEventTime, maxEventTime);
        engine.events.peers.set(peer, clampSample(std::log(time) - m_meanEvents[roleIndex(engine)].mean), at);
    }
}

} // namespace wisteriayard
