#include "wisteriayard/cold_start.h"

#include "wisteriayard/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace wisteriayard {

namespace {

    /// Requests that a holder may send at once.
    constexpr double capacity = 1;
    /// Distance from the bound of a single holder's requests in a second, which is a whole number.
    constexpr double singleHolderMargin = 0.05;
    /// More holders than any deployment has entries.
    constexpr double maxHolders = 1e6;
    /// Time within which the entries cease, one after the other, to count an endpoint as cold. Load reports of the
    /// former ones, sent each 0.1 to 1 s, reach the others meanwhile: without this, all entries would send their next
    /// requests to the idle endpoint at the same moment.
    constexpr Duration endSpread = std::chrono::milliseconds(500);
    /// Time after the end within which prompt segments return to the endpoint: each one has to be computed again.
    constexpr Duration segmentSpread = std::chrono::seconds(3);

    constexpr double slowdownWeight = 0.2;
    constexpr double minSlowdown = 1;
    constexpr double maxSlowdown = 20;

    /// Range of the time after which a refused caller returns.
    constexpr Duration minReturnTime = std::chrono::milliseconds(100);
    constexpr Duration maxReturnTime = std::chrono::seconds(5);
    /// Multiples of this spread evenly over any power of two.
    constexpr std::uint64_t goldenStep = 633;

    /// Part of a duration by an evenly distributed weight.
    Duration partOf(Duration whole, std::uint64_t weight)
    {
        constexpr std::uint64_t steps = 1024;
        return whole * static_cast<Duration::rep>(weight % steps) / static_cast<Duration::rep>(steps);
    }

} // namespace

EntryShare::Terms ColdPolicy::terms() const
{
    double rate = perSecond.value();
    double bound = rate * excess + slack;
    // Each holder sends in any second at most its capacity and one second of its share: together holders + rate.
    double holders = std::floor(bound - 1 - rate);
    if (holders >= 1)
        return { perSecond, static_cast<std::size_t>(std::min(holders, maxHolders)), false };
    // A single holder with capacity 1 sends at most floor(1 + rate) in any second.
    double single = std::min(rate, std::floor(bound) - singleHolderMargin);
    return { RequestRate(std::max(0.0, single)), 1, false };
}

void ColdStart::recordTimeLeft(Duration left, TimePoint now)
{
    if (left <= Duration(0))
        return;
    TimePoint end = now + std::min(left, maxColdTime);
    m_statedEnd = std::max(m_statedEnd.value_or(end), end);
}

void ColdStart::recordStart(TimePoint startedAt) { m_startedAt = std::max(m_startedAt.value_or(startedAt), startedAt); }

void ColdStart::mark(TimePoint now) { m_markedAt = std::max(m_markedAt.value_or(now), now); }

void ColdStart::update(const EndpointId& endpoint, const RegionId& region, const ColdPolicy& policy,
    const LimitEntries& entries, TimePoint now)
{
    m_perSecond = policy.perSecond;
    std::optional<TimePoint> end;
    if (policy.isEnabled())
        end = m_statedEnd;
    for (const auto& start : { m_startedAt, m_markedAt }) {
        if (start && policy.warmup > Duration(0))
            end = std::max(end.value_or(*start), *start + policy.warmup);
    }
    Duration spread = partOf(endSpread, rendezvousWeight(endpoint.value(), entries.self));
    m_end = end ? *end + spread : TimePoint();
    if (!isLimited(now)) {
        m_share.clear();
        return;
    }
    EntryShare::Terms terms = policy.terms();
    terms.active = entries.active && entries.exclusive;
    m_share.update(
        endpoint, region, entries, terms, [](double) { return capacity; }, now);
}

bool ColdStart::takesSegment(std::uint64_t weight, TimePoint now) const
{
    return m_end == TimePoint() || now >= m_end + partOf(segmentSpread, weight);
}

bool ColdStart::admits(TimePoint now) const { return !isLimited(now) || m_share.available(now) >= 1 + m_reserved; }

bool ColdStart::tryReserve(TimePoint now)
{
    if (!isLimited(now) || !admits(now))
        return false;
    ++m_reserved;
    return true;
}

ColdStart ColdStart::withoutCredit() const
{
    ColdStart copy = *this;
    copy.m_share.clear();
    copy.m_reserved = 0;
    return copy;
}

bool ColdStart::trySend(bool isReserved, TimePoint now)
{
    if (isReserved)
        release();
    return !isLimited(now) || (admits(now) && m_share.tryTake(now));
}

void ColdStart::recordResponseTime(Duration elapsed, Duration expected)
{
    if (expected <= Duration(0))
        return;
    double sample = std::clamp(toSeconds(elapsed) / toSeconds(expected), minSlowdown, maxSlowdown);
    m_slowdown += slowdownWeight * (sample - m_slowdown);
}

Duration ReturnSchedule::next(Duration spacing, TimePoint now)
{
    m_next = std::max(m_next + spacing, now + minReturnTime);
    if (m_next - now > maxReturnTime) {
        // More callers than the rate serves in that time: each round of delays begins at another offset.
        Duration range = std::min(spacing, maxReturnTime - minReturnTime);
        m_next = now + minReturnTime + partOf(range, goldenStep * ++m_rounds);
    }
    return m_next - now;
}

} // namespace wisteriayard
