// EndpointPlacement: which requests are placed when capacity is short.
#include "wisteriayard/endpoint_placement.h"

#include <algorithm>

namespace wisteriayard {

namespace {

    constexpr Duration minRetryAfter = std::chrono::milliseconds(100);

    double microseconds(Duration time) { return static_cast<double>(time.count()); }

} // namespace

void EndpointPlacement::setSharesCapacity(bool shares, double lateRetryShare)
{
    m_sharesCapacity = shares;
    m_returnBudget = ReturnBudget(lateRetryShare);
    m_speed.setSharesFirstTimes(shares);
    m_pool.setFollowsQuickly(shares);
}

bool EndpointPlacement::admitsReturning(const PlacementRequest& request, const Candidate& best, TimePoint now)
{
    if (!m_sharesCapacity || !request.isReturning)
        return false;
    if (best.firstEvent > m_policy.maxTimeLeftShare * microseconds(request.timeLeft))
        return false;
    bool isAboveShare = m_accounts.isAboveShare(request.account, now);
    return m_returnBudget.tryTake(expectedWork(m_states[best.index], best.uncached, request, now), isAboveShare);
}

void EndpointPlacement::recordPlaced(const PlacementRequest& request, Duration work, TimePoint now)
{
    if (!m_sharesCapacity)
        return;
    m_returnBudget.recordWork(work);
    if (!request.account.empty())
        m_accounts.recordPlaced(request.account, work, now);
}

Duration EndpointPlacement::returnSpacing(const PlacementRequest& request, const Candidate& best, TimePoint now)
{
    Duration work = expectedWork(m_states[best.index], best.uncached, request, now);
    std::size_t usable = 0;
    for (const auto& [id, index] : m_index)
        usable += availabilityExclusion(m_states[index], request, now) ? 0 : 1;
    // Assumes that each other entry refuses as many requests as this one.
    double entries = 1 + static_cast<double>(m_pool.peerEntries(now));
    return scaled(work, entries / static_cast<double>(std::max<std::size_t>(1, usable)));
}

Refused EndpointPlacement::overloadedRefusal(
    const PlacementRequest& request, const Candidate& best, double latest, TimePoint now)
{
    Refused refused;
    refused.reason = PlacementRefusal::Overloaded;
    refused.expectedFirstEvent = Duration(static_cast<std::int64_t>(best.firstEvent));
    if (!m_sharesCapacity) {
        refused.retryAfter = std::max(minRetryAfter, refused.expectedFirstEvent - request.objective);
        return refused;
    }
    Duration backlog(static_cast<std::int64_t>(best.firstEvent - latest));
    refused.retryAfter = std::max(minRetryAfter, backlog);
    if (!request.isNewDemand)
        return refused;
    // A caller with less time than the objective is refused without an overload, and could not use a share.
    bool isOverload = best.firstEvent > m_policy.maxObjectiveShare * microseconds(request.objective);
    if (request.timeLeft >= request.objective && !request.account.empty())
        m_accounts.recordRefused(
            request.account, expectedWork(m_states[best.index], best.uncached, request, now), isOverload, now);
    refused.retryAfter = m_returnTimes.next(
        refused.retryAfter, returnSpacing(request, best, now), scaled(request.timeLeft, m_policy.maxRetryShare), now);
    return refused;
}

double EndpointPlacement::latestFirstEvent(const PlacementRequest& request, TimePoint now)
{
    double inTime = m_policy.maxTimeLeftShare * microseconds(request.timeLeft);
    bool hasEngines = m_sharesCapacity && std::any_of(m_states.begin(), m_states.end(), [](const State& state) {
        return state.info.memory.value() > 0;
    });
    // An assumed time is no reason to refuse a request that the engines may be able to answer in time.
    if (hasEngines && m_speed.isAssumed())
        return inTime;
    bool isAboveShare = m_sharesCapacity && m_accounts.isAboveShare(request.account, now);
    double share = isAboveShare ? m_policy.maxObjectiveShareAbove : m_policy.maxObjectiveShare;
    return std::min(inTime, share * microseconds(request.objective));
}

} // namespace wisteriayard
