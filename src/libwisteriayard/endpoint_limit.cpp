#include "wisteriayard/endpoint_limit.h"

#include "wisteriayard/limits.h"
#include "wisteriayard/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace wisteriayard {

namespace {

    /// Lowest rate at which requests are sent: without any, the end of the limit would not be noticed.
    constexpr RequestRate minRate { 0.1 };
    /// Age up to which an observation is reported, so that it reaches entries that miss a few datagrams.
    constexpr Duration reportTime = std::chrono::seconds(3);
    /// Time without observations after which one entry sends a probe, and time until the next one does. Entries that
    /// hold no share would otherwise never notice the end of a limit that they missed in the reports.
    constexpr Duration firstProbeDelay = std::chrono::seconds(30);
    constexpr Duration probeSpacing = std::chrono::seconds(1);
    /// Time for which credit must be unused before it is passed on. Requests of this entry come first.
    constexpr Duration unusedDelay = std::chrono::milliseconds(300);
    /// Time within which passed-on credit must be used. The requests of an endpoint in any period can exceed its limit
    /// by the credit outstanding at the start.
    constexpr Duration passedOnLifetime = std::chrono::seconds(1);
    /// Time for which a refused request counts as waiting for credit: most callers return within it.
    constexpr Duration refusalMemory = std::chrono::seconds(1);
    /// Each request of this number is kept for less urgent requests.
    constexpr unsigned lessUrgentTurn = 4;
    /// Limits above this are divided among all entries anyway.
    constexpr float maxHolders = 1e6;

    /// Each share is at least one request per second, or there is only one: with smaller shares, the first request that
    /// each of many entries may send at once would exceed the limit.
    std::size_t holderCount(RequestRate rate)
    {
        return static_cast<std::size_t>(std::clamp(std::floor(rate.value()), 1.0F, maxHolders));
    }

} // namespace

bool EndpointLimit::recordResponse(std::optional<RequestRate> rate, TimePoint sentAt, TimePoint now)
{
    // The response to an earlier request may have been written before the endpoint named its limit.
    if (!rate && m_latest.rate && sentAt <= m_latest.at)
        return false;
    if (rate || m_latest.rate)
        m_own = { rate, now };
    return recordPeerObservation({ rate, now });
}

bool EndpointLimit::recordPeerObservation(const LimitObservation& observation)
{
    if (observation.at <= m_latest.at)
        return false;
    bool changed = observation.rate != m_latest.rate;
    if (changed)
        m_passedOn.clear(); // it was passed on under the former limit
    m_latest = observation;
    return changed;
}

std::optional<LimitObservation> EndpointLimit::reportable(TimePoint now) const
{
    if (m_own.at == TimePoint() || now - m_own.at > reportTime)
        return std::nullopt;
    return m_own;
}

void EndpointLimit::updateShare(
    const EndpointId& endpoint, const RegionId& region, const LimitEntries& entries, TimePoint now)
{
    if (!m_latest.rate) {
        m_share.clear();
        m_passedOn.clear();
        return;
    }
    RequestRate rate = std::max(*m_latest.rate, minRate);
    std::uint64_t weight = rendezvousWeight(endpoint.value(), entries.self);
    auto rank = std::count_if(entries.regions.begin(), entries.regions.end(),
        [&](const auto& each) { return rendezvousWeight(endpoint.value(), each.first) > weight; });
    m_probeDelay = firstProbeDelay + rank * probeSpacing;
    m_probeInterval = firstProbeDelay + static_cast<Duration::rep>(entries.regions.size()) * probeSpacing;
    auto capacity = [](double share) { return creditCapacity(CreditKind::Requests, share); };
    m_share.update(endpoint, region, entries, { rate, holderCount(rate), entries.active }, capacity, now);
}

bool EndpointLimit::isRecent(TimePoint now) const { return m_latest.rate && now - m_latest.at < firstProbeDelay; }

bool EndpointLimit::needsProbe(TimePoint now) const
{
    bool probedRecently = m_probedAt && now - *m_probedAt < m_probeInterval;
    return m_latest.rate && now - m_latest.at >= m_probeDelay && !probedRecently;
}

bool EndpointLimit::admits(TimePoint now) const
{
    bool passedOn = std::any_of(m_passedOn.begin(), m_passedOn.end(), [now](TimePoint end) { return now < end; });
    return !m_latest.rate || passedOn || m_share.available(now) >= 1 || needsProbe(now);
}

bool EndpointLimit::tryAcquire(TimePoint now)
{
    m_unusedSince.reset();
    std::erase_if(m_passedOn, [now](TimePoint end) { return now >= end; });
    if (!m_passedOn.empty()) {
        m_passedOn.erase(m_passedOn.begin());
        return true;
    }
    if (m_share.tryTake(now))
        return true;
    bool probes = needsProbe(now);
    if (probes)
        m_probedAt = now;
    return probes;
}

bool EndpointLimit::takeUnused(TimePoint now)
{
    if (!m_latest.rate || m_share.available(now) < 1) {
        m_unusedSince.reset();
        return false;
    }
    if (!m_unusedSince)
        m_unusedSince = now;
    return now - *m_unusedSince >= unusedDelay && m_share.tryTake(now);
}

void EndpointLimit::addPassedOn(TimePoint now)
{
    std::erase_if(m_passedOn, [now](TimePoint end) { return now >= end; });
    if (m_latest.rate)
        m_passedOn.push_back(now + passedOnLifetime);
}

bool LimitTurns::mustYield(Priority rank, TimePoint now) const
{
    bool forLessUrgent = m_taken % lessUrgentTurn == lessUrgentTurn - 1;
    return std::any_of(m_refusedAt.begin(), m_refusedAt.end(), [&](const auto& each) {
        bool comesFirst = forLessUrgent ? each.first > rank : each.first < rank;
        return comesFirst && now - each.second < refusalMemory;
    });
}

} // namespace wisteriayard
