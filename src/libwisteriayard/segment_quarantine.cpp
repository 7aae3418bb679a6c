#include "wisteriayard/segment_quarantine.h"

#include <algorithm>
#include <utility>

namespace wisteriayard {

namespace {

    /// Crashes kept for a segment; more than are needed for any decision.
    constexpr std::size_t maxCrashes = 16;

    /// Times in reports seem later by the time that the report takes. Entries pass them on, so smaller differences are
    /// ignored; trials are much farther apart.
    constexpr Duration reportTolerance = std::chrono::seconds(2);

    /// @return the observation of a segment; added if there is none and the limit allows, else null
    template <typename Observation>
    Observation* findOrAdd(std::vector<Observation>& observations, const Observation& observation)
    {
        auto known = std::find_if(observations.begin(), observations.end(),
            [&observation](const Observation& each) { return each.segment == observation.segment; });
        if (known != observations.end())
            return &*known;
        if (observations.size() >= SegmentQuarantine::maxReported)
            return nullptr;
        return &observations.emplace_back(observation);
    }

} // namespace

void QuarantineReport::add(const QuarantineReport& other, Duration age)
{
    for (const CrashObservation& each : other.crashes) {
        if (crashes.size() < SegmentQuarantine::maxReported)
            crashes.push_back({ each.segment, each.crash, each.age + age });
    }
    for (const BeginObservation& each : other.begins) {
        BeginObservation aged { each.segment, each.age + age };
        if (auto* kept = findOrAdd(begins, aged))
            kept->age = std::min(kept->age, aged.age);
    }
    for (const QuarantinedSegment& each : other.quarantined) {
        QuarantinedSegment aged { each.segment, each.age + age, each.quiet + age };
        if (auto* kept = findOrAdd(quarantined, aged)) {
            kept->age = std::min(kept->age, aged.age);
            kept->quiet = std::min(kept->quiet, aged.quiet);
        }
    }
}

TimePoint SegmentQuarantine::lastBegin(SegmentTag segment, TimePoint now) const
{
    auto known = m_lastBegin.find(segment);
    bool isRemembered = known != m_lastBegin.end() && now - known->second.at < m_times.memory;
    return isRemembered ? known->second.at : TimePoint();
}

void SegmentQuarantine::removeOld(TimePoint now)
{
    if (m_lastBegin.size() >= maxRemembered)
        std::erase_if(m_lastBegin, [&](const auto& each) { return now - each.second.at >= m_times.memory; });
    // Above the limit all are forgotten: it takes thousands of segments within the lifetime of observations.
    if (m_lastBegin.size() >= maxRemembered)
        m_lastBegin.clear();
    auto isOld = [&](const auto& each) {
        const Suspect& suspect = each.second;
        return !suspect.quarantinedSince && now >= suspect.reportBeginUntil
            && (suspect.crashes.empty() || now - suspect.crashes.back().at >= m_times.memory);
    };
    if (m_suspects.size() >= maxSuspects)
        std::erase_if(m_suspects, isOld);
    if (m_suspects.size() >= maxSuspects)
        std::erase_if(m_suspects, [](const auto& each) { return !each.second.quarantinedSince; });
    if (m_suspects.size() >= maxSuspects) {
        m_suspects.clear();
        m_quarantinedCount = 0;
    }
}

SegmentQuarantine::Suspect& SegmentQuarantine::suspect(SegmentTag segment, TimePoint now)
{
    if (m_suspects.count(segment) == 0)
        removeOld(now);
    return m_suspects[segment];
}

std::size_t SegmentQuarantine::separateCrashes(const Suspect& suspect) const
{
    std::size_t count = 0;
    std::optional<TimePoint> last;
    for (const Crash& crash : suspect.crashes) {
        if (last && crash.at - *last < m_times.separation)
            continue;
        last = crash.at;
        ++count;
    }
    return count;
}

void SegmentQuarantine::quarantine(SegmentTag segment, Suspect& suspect, TimePoint since, TimePoint lastEvidence)
{
    suspect.quarantinedSince = since;
    suspect.lastEvidence = lastEvidence;
    suspect.trialInterval = m_times.firstTrial;
    suspect.nextTrial = lastEvidence + suspect.trialInterval;
    suspect.firstTrial = suspect.nextTrial;
    ++m_quarantinedCount;
    m_changes.push_back({ segment, true, suspect.crashes.size() });
}

void SegmentQuarantine::addCrash(SegmentTag segment, const Crash& crash, TimePoint now)
{
    if (lastBegin(segment, now) >= crash.at) {
        // The answer that began later clears the segment for the entry that reports the crash, too.
        if (!crash.own)
            suspect(segment, now).reportBeginUntil = now + m_times.reporting;
        return;
    }
    Suspect& suspect = this->suspect(segment, now);
    std::erase_if(suspect.crashes, [&](const Crash& each) { return now - each.at >= m_times.memory; });
    auto known = std::find_if(
        suspect.crashes.begin(), suspect.crashes.end(), [&](const Crash& each) { return each.tag == crash.tag; });
    if (known != suspect.crashes.end()) {
        known->own = known->own || crash.own;
        return;
    }
    if (suspect.crashes.size() >= maxCrashes)
        suspect.crashes.erase(suspect.crashes.begin());
    auto later = [](TimePoint at, const Crash& each) { return at < each.at; };
    suspect.crashes.insert(std::upper_bound(suspect.crashes.begin(), suspect.crashes.end(), crash.at, later), crash);
    if (!suspect.quarantinedSince) {
        if (separateCrashes(suspect) >= crashesToQuarantine)
            quarantine(segment, suspect, suspect.crashes.front().at, crash.at);
        return;
    }
    // Requests sent before the quarantine may still crash engines; only a trial makes the next one later.
    if (crash.at >= suspect.firstTrial)
        suspect.trialInterval = std::min(2 * suspect.trialInterval, m_times.longestTrialInterval);
    suspect.lastEvidence = std::max(suspect.lastEvidence, crash.at);
    suspect.nextTrial = std::max(suspect.nextTrial, crash.at + suspect.trialInterval);
}

void SegmentQuarantine::endpointCrashed(
    CrashTag crash, const std::vector<SegmentTag>& segments, TimePoint at, TimePoint now)
{
    for (SegmentTag segment : segments)
        addCrash(segment, { crash, at, true }, now);
}

void SegmentQuarantine::clear(SegmentTag segment, TimePoint begunAt, TimePoint now)
{
    auto known = m_suspects.find(segment);
    if (known == m_suspects.end())
        return;
    Suspect& suspect = known->second;
    std::erase_if(suspect.crashes, [begunAt](const Crash& crash) { return crash.at <= begunAt; });
    suspect.reportBeginUntil = now + m_times.reporting;
    if (!suspect.quarantinedSince || begunAt < *suspect.quarantinedSince)
        return;
    suspect.quarantinedSince.reset();
    --m_quarantinedCount;
    m_changes.push_back({ segment, false, suspect.crashes.size() });
}

void SegmentQuarantine::answerBegan(const std::vector<SegmentTag>& segments, TimePoint now)
{
    for (SegmentTag segment : segments) {
        if (m_lastBegin.count(segment) == 0)
            removeOld(now);
        m_lastBegin[segment] = { now, true };
        clear(segment, now, now);
    }
}

void SegmentQuarantine::restore(SegmentTag segment, TimePoint now)
{
    Suspect& suspect = this->suspect(segment, now);
    if (!suspect.quarantinedSince && lastBegin(segment, now) == TimePoint())
        quarantine(segment, suspect, now, now);
}

Duration SegmentQuarantine::timeToTrial(const Suspect& suspect, std::size_t turn, TimePoint now) const
{
    return suspect.nextTrial + static_cast<Duration::rep>(turn) * m_times.trialTurn - now;
}

std::optional<Duration> SegmentQuarantine::refusal(
    const std::vector<SegmentTag>& segments, const TrialTurn& turn, TimePoint now)
{
    if (m_quarantinedCount == 0)
        return std::nullopt;
    std::vector<Suspect*> quarantined;
    std::optional<Duration> longest;
    for (SegmentTag segment : segments) {
        auto known = m_suspects.find(segment);
        if (known == m_suspects.end() || !known->second.quarantinedSince)
            continue;
        quarantined.push_back(&known->second);
        Duration wait = timeToTrial(known->second, turn(segment), now);
        longest = std::max(longest.value_or(wait), wait);
    }
    if (!longest || *longest > Duration(0))
        return longest;
    for (Suspect* suspect : quarantined) {
        suspect->lastEvidence = now;
        suspect->nextTrial = now + suspect->trialInterval;
    }
    return std::nullopt;
}

bool SegmentQuarantine::mayRetry(const std::vector<SegmentTag>& segments) const
{
    return std::none_of(segments.begin(), segments.end(), [this](SegmentTag segment) {
        auto known = m_suspects.find(segment);
        return known != m_suspects.end()
            && (known->second.quarantinedSince || separateCrashes(known->second) >= crashesToRetry);
    });
}

bool SegmentQuarantine::isQuarantined(SegmentTag segment) const
{
    if (m_quarantinedCount == 0)
        return false;
    auto known = m_suspects.find(segment);
    return known != m_suspects.end() && known->second.quarantinedSince;
}

QuarantineReport SegmentQuarantine::report(TimePoint now) const
{
    QuarantineReport report;
    for (const auto& [segment, suspect] : m_suspects) {
        for (const Crash& crash : suspect.crashes) {
            if (crash.own && now - crash.at < m_times.reporting && report.crashes.size() < maxReported)
                report.crashes.push_back({ segment, crash.tag, now - crash.at });
        }
        if (suspect.quarantinedSince && report.quarantined.size() < maxReported)
            report.quarantined.push_back({ segment, now - *suspect.quarantinedSince, now - suspect.lastEvidence });
        auto begin = m_lastBegin.find(segment);
        bool isObserved = begin != m_lastBegin.end() && begin->second.own;
        if (now < suspect.reportBeginUntil && isObserved && report.begins.size() < maxReported)
            report.begins.push_back({ segment, now - begin->second.at });
    }
    return report;
}

void SegmentQuarantine::applyReport(const QuarantineReport& report, TimePoint now)
{
    for (const BeginObservation& begin : report.begins) {
        auto known = m_suspects.find(begin.segment);
        TimePoint at = now - begin.age;
        if (known == m_suspects.end() || at <= lastBegin(begin.segment, now))
            continue;
        m_lastBegin[begin.segment] = { at, false };
        clear(begin.segment, at, now);
    }
    for (const CrashObservation& each : report.crashes)
        addCrash(each.segment, { each.crash, now - each.age, false }, now);
    for (const QuarantinedSegment& each : report.quarantined) {
        Suspect& suspect = this->suspect(each.segment, now);
        TimePoint lastEvidence = now - each.quiet;
        if (suspect.quarantinedSince) {
            if (lastEvidence - suspect.lastEvidence < reportTolerance)
                continue;
            suspect.lastEvidence = lastEvidence;
            suspect.nextTrial = std::max(suspect.nextTrial, lastEvidence + suspect.trialInterval);
        } else if (lastBegin(each.segment, now) == TimePoint()) {
            quarantine(each.segment, suspect, now - each.age, lastEvidence);
        } else {
            // An entry that remembers an answer judges by the crashes after it, which are reported too.
            suspect.reportBeginUntil = now + m_times.reporting;
        }
    }
}

std::vector<QuarantineChange> SegmentQuarantine::takeChanges() { return std::exchange(m_changes, {}); }

} // namespace wisteriayard
