#include "wisteriayard/relayed_view.h"

#include "wisteriayard/rendezvous.h"

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
    // What changed before the reading is not known: others can't continue their copies from here.
    m_lastChange = revision;
    m_confirmedAt = now;
    m_gapSince.reset();
}

void RelayedView::advance(Revision to, std::optional<Revision> lastChange, TimePoint now)
{
    m_revision = std::max(*m_revision, to);
    m_lastChange = std::max(m_lastChange, lastChange.value_or(m_lastChange));
    m_confirmedAt = now;
}

void RelayedView::heardStore(Revision to, std::optional<Revision> lastChange, TimePoint now)
{
    if (!m_revision)
        return;
    advance(to, lastChange, now);
    m_gapSince.reset();
}

void RelayedView::noteGap(TimePoint now)
{
    if (!m_gapSince)
        m_gapSince = now;
}

bool RelayedView::takeChanges(Revision from, Revision to, std::optional<Revision> lastChange, TimePoint now)
{
    if (!m_revision)
        return false;
    if (from > *m_revision) {
        noteGap(now);
        return false;
    }
    advance(to, lastChange, now);
    return true;
}

void RelayedView::takeMark(const ViewMark& mark, TimePoint now)
{
    if (!m_revision)
        return;
    if (mark.lastChange > *m_revision) {
        noteGap(now);
        return;
    }
    m_revision = std::max(*m_revision, mark.revision);
    m_confirmedAt = std::max(m_confirmedAt, now - mark.age);
    m_gapSince.reset();
}

ReadCause RelayedView::mustRead(TimePoint now) const
{
    if (!m_revision)
        return ReadCause::NotLoaded;
    if (m_gapSince && now - *m_gapSince >= m_times.gapGrace)
        return ReadCause::Gap;
    return now - m_confirmedAt >= m_times.stale ? ReadCause::Stale : ReadCause::None;
}

ViewMark RelayedView::mark(TimePoint now) const
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
    if (live.size() + 1 <= mostWithoutObservers)
        return ViewRole::Alone;
    if (!reachesStore && !reaching.empty())
        return ViewRole::Follower;
    // Nobody hears the store in an outage; then those go on trying that are chosen anyway.
    std::vector<InstanceId> candidates = reachesStore ? reaching : live;
    candidates.push_back(self);
    std::vector<InstanceId> observers = rendezvousTop("observer", candidates, observersPerRegion);
    bool chosen = std::find(observers.begin(), observers.end(), self) != observers.end();
    return chosen ? ViewRole::Observer : ViewRole::Follower;
}

} // namespace wisteriayard
