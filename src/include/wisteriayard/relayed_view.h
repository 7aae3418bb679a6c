#pragma once

#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace wisteriayard {

/// Progress report of an entry's copy of a part of the store, sent to other entries.
struct ViewProgress {
    /// Revision of the last change in the copy.
    Revision lastChange;
    /// The copy is complete up to this revision.
    Revision revision;
    /// Time since the store confirmed that.
    Duration age {};
};

/// Timing of copies that are kept up to date by other entries.
struct RelayTimes {
    /// A copy that has not been confirmed for this long is read from the store. Observers get a response from the store
    /// within a second and send a progress report every few hundred milliseconds; changes must take effect within 4 s
    /// in fleets with observers.
    Duration staleAfter = std::chrono::milliseconds(2200);
    /// The changes that a progress report covers may arrive slightly after it, from another observer.
    Duration gapGracePeriod = std::chrono::milliseconds(60);
};

/// Why an entry reads the store itself.
enum class ReadCause {
    None,
    /// It has no copy yet.
    NotLoaded,
    /// A change is missing.
    Gap,
    /// No observer has confirmed the copy for too long.
    Stale,
};
std::string_view readCauseName(ReadCause cause);

/// Decides whether an entry's copy of a part of the store can be kept up to date by observers or has to be read from
/// the store.
///
/// Hundreds of entries follow the same changes. If each of them watches the store, every change costs one call per
/// entry; with observers that relay changes, it costs one call per observer. A copy of another era of the store is
/// always read anew.
class RelayedView {
public:
    explicit RelayedView(RelayTimes times = {})
        : m_times(times)
    {
    }

    /// The copy was replaced by a complete read of the store.
    void loaded(Revision revision, TimePoint now);
    /// Discards the copy; it has to be read from the store again.
    void unload() { m_revision.reset(); }
    bool isLoaded() const { return m_revision.has_value(); }

    /// The store returned all changes up to a revision.
    /// @param lastChange revision of the last of them; none if nothing changed
    /// @param confirmedAt time as of which there were no further changes
    void advanceFromStore(Revision to, std::optional<Revision> lastChange, TimePoint confirmedAt);
    /// An observer relayed the changes after `from` up to `to`.
    /// @param lastChange revision of the last of them; none if nothing changed
    /// @return whether the copy now includes them; false if it has no copy or changes before `from` are missing
    bool advanceFromObserver(Revision from, Revision to, std::optional<Revision> lastChange, TimePoint now);
    /// An observer announced a change that can't be applied to the copy.
    void announce(Revision change, TimePoint now);
    /// Applies an observer's progress report.
    void applyProgress(const ViewProgress& reported, TimePoint now);

    /// The reason to read the store now, or None.
    ReadCause storeReadCause(TimePoint now) const;
    /// Revision up to which the copy is complete; 0 before it is loaded.
    Revision revision() const { return m_revision.value_or(Revision(0)); }
    /// Latest known time at which the store confirmed the copy.
    TimePoint confirmedAt() const { return m_confirmedAt; }
    /// Progress report of this copy.
    ViewProgress progress(TimePoint now) const;

private:
    void advance(Revision to, std::optional<Revision> lastChange, TimePoint confirmedAt);
    /// Ends the gap if the copy has reached all changes that are known to exist.
    void closeGap();

    RelayTimes m_times;
    std::optional<Revision> m_revision;
    Revision m_lastChange;
    TimePoint m_confirmedAt {};
    /// Latest change that observers have announced.
    Revision m_announcedChange;
    /// Time since which the copy lacks announced changes.
    std::optional<TimePoint> m_gapSince;
};

/// Entries of a region that watch the store for the others there: two, so that the loss of one does not interrupt
/// updates.
inline constexpr std::size_t observersPerRegion = 2;
/// In regions with up to this many entries each one watches the store itself: the few calls that observers would save
/// do not justify delayed updates after the loss of one.
inline constexpr std::size_t maxEntriesWithoutObservers = 4;

/// How an entry follows the store.
enum class ViewRole {
    /// Watches the store for its own copies only.
    Alone,
    /// Watches the store and relays changes.
    Observer,
    /// Keeps its copies up to date from changes that observers relay.
    Follower,
};
std::string_view viewRoleName(ViewRole role);

/// Selects the role of an entry in its region. While entries see different peers, the region may have more observers
/// than intended, or none; without any, copies become stale and are read from the store.
/// @param reachesStore whether this entry has had recent contact with the store
/// @param live other entries of the region with recent messages
/// @param reaching those of them that have had recent contact with the store: if the store refuses some entries, the
/// others become observers
ViewRole viewRole(const InstanceId& self, bool reachesStore, const std::vector<InstanceId>& live,
    const std::vector<InstanceId>& reaching);

} // namespace wisteriayard
