#include "wisteriayard/relayed_view.h"

#include "wisteriayard/rendezvous.h"
#include "wisteriayard/store_numbers.h"

#include <algorithm>

namespace wisteriayard {

std::string_view readCauseName(ReadCause cause)
{
    switch (cause) {
    case ReadCause::None:
        return "watch";
    case ReadCause::NotLoaded:
        return "not_loaded";
    case ReadCause::Gap:
        return "gap";
    case ReadCause::Stale:
        return "stale";
    }
    return "unknown";
}

void RelayedView::loaded(Revision revision, TimePoint now)
{
    m_revision = revision;
    // Earlier changes are unknown, so copies of an older revision can't advance to this one without a gap.
    m_lastChange = revision;
    m_confirmedAt = now;
    closeGap();
}

void RelayedView::advance(Revision to, std::optional<Revision> lastChange, TimePoint confirmedAt)
{
    m_revision = std::max(*m_revision, to);
    m_lastChange = std::max(m_lastChange, lastChange.value_or(m_lastChange));
    m_confirmedAt = std::max(m_confirmedAt, confirmedAt);
    closeGap();
}

void RelayedView::advanceFromStore(Revision to, std::optional<Revision> lastChange, TimePoint confirmedAt)
{
    if (m_revision)
        advance(to, lastChange, confirmedAt);
}

void RelayedView::announce(Revision change, TimePoint now)
{
    if (!m_revision || change <= *m_revision)
        return;
    m_announcedChange = std::max(m_announcedChange, change);
    if (!m_gapSince)
        m_gapSince = now;
}

void RelayedView::closeGap()
{
    if (*m_revision >= m_announcedChange)
        m_gapSince.reset();
}

bool RelayedView::advanceFromObserver(Revision from, Revision to, std::optional<Revision> lastChange, TimePoint now)
{
    if (!m_revision)
        return false;
    // The keys that a copy of another era lacks or has in excess are unknown, so it can't be repaired by changes.
    if (eraOf(to) != eraOf(*m_revision)) {
        announce(to, now);
        return false;
    }
    if (from > *m_revision) {
        announce(std::max(from, lastChange.value_or(from)), now);
        return false;
    }
    advance(to, lastChange, now);
    return true;
}

void RelayedView::applyProgress(const ViewProgress& reported, TimePoint now)
{
    if (!m_revision)
        return;
    // In another era the present revision matters even if nothing has changed.
    bool sameEra = eraOf(reported.revision) == eraOf(*m_revision);
    Revision newest = sameEra ? reported.lastChange : reported.revision;
    if (newest > *m_revision || !sameEra) {
        announce(newest, now);
        return;
    }
    advance(reported.revision, std::nullopt, now - reported.age);
}

ReadCause RelayedView::storeReadCause(TimePoint now) const
{
    if (!m_revision)
        return ReadCause::NotLoaded;
    if (m_gapSince && now - *m_gapSince >= m_times.gapGracePeriod)
        return ReadCause::Gap;
    return now - m_confirmedAt >= m_times.staleAfter ? ReadCause::Stale : ReadCause::None;
}

ViewProgress RelayedView::progress(TimePoint now) const
{
    return { m_lastChange, revision(), std::max(Duration(0), now - m_confirmedAt) };
}

std::string_view viewRoleName(ViewRole role)
{
    switch (role) {
    case ViewRole::Alone:
        return "alone";
    case ViewRole::Observer:
        return "observer";
    case ViewRole::Follower:
        return "follower";
    }
    return "unknown";
}

ViewRole viewRole(const InstanceId& self, bool reachesStore, const std::vector<InstanceId>& live,
    const std::vector<InstanceId>& reaching)
{
    if (live.size() + 1 <= maxEntriesWithoutObservers)
        return ViewRole::Alone;
    if (!reachesStore && !reaching.empty())
        return ViewRole::Follower;
    // During an outage no entry reaches the store; the observers selected among all live entries keep trying.
    std::vector<InstanceId> candidates = reachesStore ? reaching : live;
    candidates.push_back(self);
    std::vector<InstanceId> observers = rendezvousTop("observer", candidates, observersPerRegion);
    bool chosen = std::find(observers.begin(), observers.end(), self) != observers.end();
    return chosen ? ViewRole::Observer : ViewRole::Follower;
}

} // namespace wisteriayard
