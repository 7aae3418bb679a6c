#include "wisteriayard/crash_quarantine.h"

#include "wisteriayard/hash.h"
#include "wisteriayard/rendezvous.h"

#include <algorithm>
#include <utility>

namespace wisteriayard {

namespace {

    /// Set in tags of requests and not in those of segments.
    constexpr std::uint32_t requestBit = 0x80000000U;

    /// Crashes kept for a suspect; more than are needed for any decision.
    constexpr std::size_t maxCrashes = 16;

    /// Times in reports seem later by the time that the report takes. Entries pass them on, so smaller differences are
    /// ignored; trials are much farther apart.
    constexpr Duration reportTolerance = std::chrono::seconds(2);

    /// @return the observation of a segment; added if there is none and the limit allows, else null
    template <typename Observation>
    Observation* findOrAdd(std::vector<Observation>& observations, const Observation& observation)
    {
        auto known = std::find_if(observations.begin(), observations.end(),
            [&observation](const Observation& each) { return each.tag == observation.tag; });
        if (known != observations.end())
            return &*known;
        if (observations.size() >= CrashQuarantine::maxReported)
            return nullptr;
        return &observations.emplace_back(observation);
    }

} // namespace

SuspectTag segmentSuspect(std::uint64_t segment)
{
    return SuspectTag(static_cast<std::uint32_t>(segmentTag(segment)) & ~requestBit);
}

bool isRequest(SuspectTag tag) { return (static_cast<std::uint32_t>(tag) & requestBit) != 0; }

SuspectTag requestSuspect(
    std::string_view method, std::string_view target, std::string_view caller, std::string_view body)
{
    std::uint64_t hash = fnv1a("request");
    for (std::string_view part : { method, target, caller, body }) {
        // The length keeps the parts apart.
        hash = fnv1a(std::to_string(part.size()) + ":", hash);
        hash = fnv1a(part, hash);
    }
    return SuspectTag(static_cast<std::uint32_t>(mixHash(hash)) | requestBit);
}

void QuarantineReport::add(const QuarantineReport& other, Duration age)
{
    for (const CrashObservation& each : other.crashes) {
        if (crashes.size() < CrashQuarantine::maxReported)
            crashes.push_back({ each.tag, each.crash, each.age + age });
    }
    for (const BeginObservation& each : other.begins) {
        BeginObservation aged { each.tag, each.age + age };
        if (auto* kept = findOrAdd(begins, aged))
            kept->age = std::min(kept->age, aged.age);
    }
    for (const QuarantinedSuspect& each : other.quarantined) {
        QuarantinedSuspect aged { each.tag, each.age + age, each.quiet + age };
        if (auto* kept = findOrAdd(quarantined, aged)) {
            kept->age = std::min(kept->age, aged.age);
            kept->quiet = std::min(kept->quiet, aged.quiet);
        }
    }
}

TimePoint CrashQuarantine::lastBegin(SuspectTag tag, TimePoint now) const
{
    auto known = m_lastBegin.find(tag);
    bool isRemembered = known != m_lastBegin.end() && now - known->second.at < m_times.memory;
    return isRemembered ? known->second.at : TimePoint();
}

void CrashQuarantine::removeOld(TimePoint now)
{
    if (m_lastBegin.size() >= maxRemembered)
        std::erase_if(m_lastBegin, [&](const auto& each) { return now - each.second.at >= m_times.memory; });
    // Above the limit all are forgotten: it takes thousands of segments within the lifetime of observations.
    if (m_lastBegin.size() >= maxRemembered)
        m_lastBegin.clear();
    if (m_suspects.size() >= maxSuspects)
        expire(now);
    if (m_suspects.size() >= maxSuspects)
        std::erase_if(m_suspects, [](const auto& each) { return !each.second.quarantinedSince; });
    if (m_suspects.size() >= maxSuspects) {
        m_suspects.clear();
        m_quarantinedCount = 0;
    }
}

CrashQuarantine::Suspect& CrashQuarantine::suspect(SuspectTag tag, TimePoint now)
{
    if (m_suspects.count(tag) == 0)
        removeOld(now);
    return m_suspects[tag];
}

std::vector<TimePoint> CrashQuarantine::unexplainedCrashes(SuspectTag tag, const Suspect& suspect) const
{
    std::vector<TimePoint> times;
    for (const Crash& crash : suspect.crashes) {
        if (!isExplained(tag, crash.tag))
            times.push_back(crash.at);
    }
    return times;
}

std::size_t CrashQuarantine::separateCrashes(const std::vector<TimePoint>& crashes) const
{
    std::size_t count = 0;
    std::optional<TimePoint> last;
    for (TimePoint at : crashes) {
        if (last && at - *last < m_times.separation)
            continue;
        last = at;
        ++count;
    }
    return count;
}

bool CrashQuarantine::areConclusive(SuspectTag tag, const std::vector<TimePoint>& crashes) const
{
    if (separateCrashes(crashes) >= crashesToQuarantine)
        return true;
    // One of the crashes has come during a probation.
    for (std::size_t count = 1; count < crashes.size(); ++count) {
        auto start = probationStart(tag, std::span(crashes).first(count));
        if (start && crashes[count] >= *start)
            return true;
    }
    return false;
}

std::optional<TimePoint> CrashQuarantine::probationStart(SuspectTag tag, std::span<const TimePoint> crashes) const
{
    std::size_t needed = isRequest(tag) ? crashesToProbationOfRequest : crashesToProbationOfSegment;
    if (crashes.size() < needed)
        return std::nullopt;
    return crashes.back() + m_times.probationDelay;
}

bool CrashQuarantine::isOnProbation(SuspectTag tag, const Suspect& suspect, TimePoint now) const
{
    if (suspect.quarantinedSince)
        return false;
    if (suspect.probationRestored && now - *suspect.probationRestored < m_times.memory)
        return true;
    auto start = probationStart(tag, unexplainedCrashes(tag, suspect));
    return start && now >= *start;
}

void CrashQuarantine::setProbation(SuspectTag tag, Suspect& suspect, bool onProbation)
{
    if (suspect.onProbation == onProbation)
        return;
    auto stateOf = [](bool probation) { return probation ? SuspectState::OnProbation : SuspectState::Free; };
    m_changes.push_back({ tag, stateOf(suspect.onProbation), stateOf(onProbation), suspect.crashes.size() });
    suspect.onProbation = onProbation;
}

void CrashQuarantine::quarantine(SuspectTag tag, Suspect& suspect, TimePoint since, TimePoint lastEvidence)
{
    suspect.quarantinedSince = since;
    suspect.probationRestored.reset();
    suspect.lastEvidence = lastEvidence;
    suspect.trialInterval = m_times.firstTrial;
    suspect.nextTrial = lastEvidence + suspect.trialInterval;
    suspect.firstTrial = suspect.nextTrial;
    ++m_quarantinedCount;
    bool wasOnProbation = std::exchange(suspect.onProbation, false);
    m_changes.push_back({ tag, wasOnProbation ? SuspectState::OnProbation : SuspectState::Free,
        SuspectState::Quarantined, suspect.crashes.size() });
}

bool CrashQuarantine::isExplained(SuspectTag tag, CrashTag crash) const
{
    return m_quarantinedCount > 0 && std::any_of(m_suspects.begin(), m_suspects.end(), [tag, crash](const auto& each) {
        return each.first != tag && isRequest(each.first) && each.second.quarantinedSince
            && each.second.hasCrash(crash);
    });
}

bool CrashQuarantine::Suspect::hasCrash(CrashTag crash) const
{
    return std::any_of(crashes.begin(), crashes.end(), [crash](const Crash& each) { return each.tag == crash; });
}

void CrashQuarantine::expire(TimePoint now)
{
    for (auto& [tag, suspect] : m_suspects) {
        if (suspect.quarantinedSince && now - suspect.lastEvidence >= m_times.longestTrialInterval)
            release(tag, suspect);
        else
            setProbation(tag, suspect, !isOld(suspect, now) && isOnProbation(tag, suspect, now));
    }
    std::erase_if(m_suspects, [this, now](const auto& each) { return isOld(each.second, now); });
}

void CrashQuarantine::release(SuspectTag tag, Suspect& suspect)
{
    suspect.quarantinedSince.reset();
    --m_quarantinedCount;
    m_changes.push_back({ tag, SuspectState::Quarantined, SuspectState::Free, suspect.crashes.size() });
}

bool CrashQuarantine::isOld(const Suspect& suspect, TimePoint now) const
{
    bool isRestored = suspect.probationRestored && now - *suspect.probationRestored < m_times.memory;
    return !suspect.quarantinedSince && !isRestored && now >= suspect.reportBeginUntil
        && (suspect.crashes.empty() || now - suspect.crashes.back().at >= m_times.memory);
}

void CrashQuarantine::addCrash(SuspectTag tag, const Crash& crash, TimePoint now)
{
    if (lastBegin(tag, now) >= crash.at) {
        // The answer that began later clears the segment for the entry that reports the crash, too.
        if (!crash.own)
            suspect(tag, now).reportBeginUntil = now + m_times.reporting;
        return;
    }
    Suspect& suspect = this->suspect(tag, now);
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
        bool isOnRestored = suspect.probationRestored && crash.at >= *suspect.probationRestored
            && isOnProbation(tag, suspect, now) && !isExplained(tag, crash.tag);
        if (isOnRestored || areConclusive(tag, unexplainedCrashes(tag, suspect)))
            quarantine(tag, suspect, suspect.crashes.front().at, crash.at);
        return;
    }
    // Requests sent before the quarantine may still crash engines; only a trial makes the next one later.
    if (crash.at >= suspect.firstTrial)
        suspect.trialInterval = std::min(2 * suspect.trialInterval, m_times.longestTrialInterval);
    suspect.lastEvidence = std::max(suspect.lastEvidence, crash.at);
    suspect.nextTrial = std::max(suspect.nextTrial, crash.at + suspect.trialInterval);
}

void CrashQuarantine::endpointCrashed(CrashTag crash, const std::vector<SuspectTag>& tags, TimePoint at, TimePoint now)
{
    for (SuspectTag tag : tags)
        addCrash(tag, { crash, at, true }, now);
}

void CrashQuarantine::clear(SuspectTag tag, TimePoint begunAt, TimePoint now)
{
    auto known = m_suspects.find(tag);
    if (known == m_suspects.end())
        return;
    Suspect& suspect = known->second;
    std::erase_if(suspect.crashes, [begunAt](const Crash& crash) { return crash.at <= begunAt; });
    suspect.reportBeginUntil = now + m_times.reporting;
    if (suspect.probationRestored && begunAt >= *suspect.probationRestored)
        suspect.probationRestored.reset();
    if (suspect.quarantinedSince && begunAt >= *suspect.quarantinedSince)
        release(tag, suspect);
    else if (suspect.onProbation)
        setProbation(tag, suspect, isOnProbation(tag, suspect, now));
}

void CrashQuarantine::answerBegan(const std::vector<SuspectTag>& tags, TimePoint now)
{
    for (SuspectTag tag : tags) {
        if (m_lastBegin.count(tag) == 0)
            removeOld(now);
        m_lastBegin[tag] = { now, true };
        clear(tag, now, now);
    }
}

void CrashQuarantine::restore(SuspectTag tag, TimePoint now)
{
    Suspect& suspect = this->suspect(tag, now);
    if (!suspect.quarantinedSince && lastBegin(tag, now) == TimePoint())
        quarantine(tag, suspect, now, now);
}

void CrashQuarantine::restoreProbation(SuspectTag tag, TimePoint now)
{
    Suspect& suspect = this->suspect(tag, now);
    if (suspect.quarantinedSince || lastBegin(tag, now) != TimePoint())
        return;
    suspect.probationRestored = now;
    setProbation(tag, suspect, true);
}

Duration CrashQuarantine::timeToTrial(
    SuspectTag tag, const Suspect& suspect, const TrialTurn& turn, TimePoint now) const
{
    TimePoint from = suspect.nextTrial;
    Duration length = m_times.trialTurn;
    if (!suspect.quarantinedSince) {
        TimePoint restored = suspect.probationRestored.value_or(now);
        from = std::max(from, probationStart(tag, unexplainedCrashes(tag, suspect)).value_or(restored));
        length = m_times.probationTurn;
    }
    auto turns = static_cast<Duration::rep>(std::min(turn.entries, maxTurns));
    auto own = static_cast<Duration::rep>(turn.position) % turns;
    if (now < from)
        return from + own * length - now;
    Duration::rep current = (now - from) / length % turns;
    if (current == own)
        return Duration(0);
    return (own - current + turns) % turns * length - (now - from) % length;
}

std::optional<Duration> CrashQuarantine::refusal(
    const std::vector<SuspectTag>& tags, const TrialOrder& order, TimePoint now)
{
    std::vector<Suspect*> refused;
    std::optional<Duration> longest;
    for (SuspectTag tag : tags) {
        auto known = m_suspects.find(tag);
        if (known == m_suspects.end())
            continue;
        Suspect& suspect = known->second;
        if (isOnProbation(tag, suspect, now))
            setProbation(tag, suspect, true);
        else if (!suspect.quarantinedSince)
            continue;
        refused.push_back(&suspect);
        Duration wait = timeToTrial(tag, suspect, order(tag), now);
        longest = std::max(longest.value_or(wait), wait);
    }
    if (!longest || *longest > Duration(0))
        return longest;
    for (Suspect* suspect : refused) {
        suspect->lastEvidence = now;
        suspect->nextTrial = now + (suspect->quarantinedSince ? suspect->trialInterval : m_times.probationTurn);
    }
    return std::nullopt;
}

bool CrashQuarantine::mayRetry(const std::vector<SuspectTag>& tags) const
{
    return std::none_of(tags.begin(), tags.end(), [this](SuspectTag tag) {
        auto known = m_suspects.find(tag);
        return known != m_suspects.end()
            && (known->second.quarantinedSince || known->second.probationRestored
                || separateCrashes(unexplainedCrashes(tag, known->second)) >= crashesToRetry);
    });
}

SuspectState CrashQuarantine::state(SuspectTag tag, TimePoint now) const
{
    auto known = m_suspects.find(tag);
    if (known == m_suspects.end())
        return SuspectState::Free;
    if (known->second.quarantinedSince)
        return SuspectState::Quarantined;
    return isOnProbation(tag, known->second, now) ? SuspectState::OnProbation : SuspectState::Free;
}

bool CrashQuarantine::mayRefuse() const
{
    return m_quarantinedCount > 0 || std::any_of(m_suspects.begin(), m_suspects.end(), [](const auto& each) {
        return each.second.probationRestored || each.second.crashes.size() >= crashesToProbationOfRequest;
    });
}

bool CrashQuarantine::isQuarantined(SuspectTag tag) const
{
    if (m_quarantinedCount == 0)
        return false;
    auto known = m_suspects.find(tag);
    return known != m_suspects.end() && known->second.quarantinedSince;
}

QuarantineReport CrashQuarantine::report(TimePoint now) const
{
    QuarantineReport report;
    for (const auto& [tag, suspect] : m_suspects) {
        for (const Crash& crash : suspect.crashes) {
            if (crash.own && now - crash.at < m_times.reporting && report.crashes.size() < maxReported)
                report.crashes.push_back({ tag, crash.tag, now - crash.at });
        }
        if (suspect.quarantinedSince && report.quarantined.size() < maxReported)
            report.quarantined.push_back({ tag, now - *suspect.quarantinedSince, now - suspect.lastEvidence });
        auto begin = m_lastBegin.find(tag);
        bool isObserved = begin != m_lastBegin.end() && begin->second.own;
        if (now < suspect.reportBeginUntil && isObserved && report.begins.size() < maxReported)
            report.begins.push_back({ tag, now - begin->second.at });
    }
    return report;
}

void CrashQuarantine::applyReport(const QuarantineReport& report, TimePoint now)
{
    for (const BeginObservation& begin : report.begins) {
        auto known = m_suspects.find(begin.tag);
        TimePoint at = now - begin.age;
        if (known == m_suspects.end() || at <= lastBegin(begin.tag, now))
            continue;
        m_lastBegin[begin.tag] = { at, false };
        clear(begin.tag, at, now);
    }
    for (const CrashObservation& each : report.crashes)
        addCrash(each.tag, { each.crash, now - each.age, false }, now);
    for (const QuarantinedSuspect& each : report.quarantined) {
        if (each.quiet >= m_times.longestTrialInterval)
            continue;
        Suspect& suspect = this->suspect(each.tag, now);
        TimePoint lastEvidence = now - each.quiet;
        if (suspect.quarantinedSince) {
            if (lastEvidence - suspect.lastEvidence < reportTolerance)
                continue;
            suspect.lastEvidence = lastEvidence;
            suspect.nextTrial = std::max(suspect.nextTrial, lastEvidence + suspect.trialInterval);
        } else if (lastBegin(each.tag, now) == TimePoint()) {
            quarantine(each.tag, suspect, now - each.age, lastEvidence);
        } else {
            // An entry that remembers an answer judges by the crashes after it, which are reported too.
            suspect.reportBeginUntil = now + m_times.reporting;
        }
    }
}

std::vector<QuarantineChange> CrashQuarantine::takeChanges() { return std::exchange(m_changes, {}); }

} // namespace wisteriayard
