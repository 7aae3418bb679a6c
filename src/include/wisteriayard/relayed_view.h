#pragma once

#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace wisteriayard {

/// How far an entry's copy of a part of the store reaches, as it tells others.
struct ViewMark {
    /// Revision of the last change in the copy.
    Revision lastChange;
    /// The copy is complete up to this revision.
    Revision revision;
    /// Time since the store confirmed that.
    Duration age {};
};

/// Times of copies that are kept by what other entries tell.
struct RelayTimes {
    /// A copy that nobody has confirmed for so long is compared with the store. Observers hear the store within a
    /// second and tell of it every few hundred milliseconds; changes must be in force within 4 s in fleets that relay.
    Duration stale = std::chrono::milliseconds(2200);
    /// The changes up to a mark may come a little later than the mark, from another observer.
    Duration gapGrace = std::chrono::milliseconds(60);
};

/// Why an entry reads the store itself.
enum class ReadCause {
    None,
    /// It has no copy yet.
    NotLoaded,
    /// Some change did not arrive.
    Gap,
    /// No observer has confirmed the copy for too long.
    Stale,
};
std::string_view readCauseName(ReadCause cause);

/// Decides whether an entry's copy of a part of the store can be kept by what observers tell, or has to be read from
/// the store.
///
/// Load pattern: hundreds of entries follow the same changes. If each watches the store, every change costs as many
/// calls as there are entries; with a few observers that pass changes on, it costs a few.
class RelayedView {
public:
    explicit RelayedView(RelayTimes times = {})
        : m_times(times)
    {
    }

    /// The copy was replaced by a complete reading of the store.
    void loaded(Revision revision, TimePoint now);
    /// The copy can't be continued; it has to be read anew.
    void unload() { m_revision.reset(); }
    bool isLoaded() const { return m_revision.has_value(); }

    /// The store answered with all changes up to a revision.
    /// @param lastChange revision of the last of them; none if nothing changed
    void heardStore(Revision to, std::optional<Revision> lastChange, TimePoint now);
    /// An observer passed on the changes after `from` up to `to`.
    /// @param lastChange revision of the last of them; none if nothing changed
    /// @return whether they continue the copy; if not, the entry has to read the store
    bool takeChanges(Revision from, Revision to, std::optional<Revision> lastChange, TimePoint now);
    /// An observer told how far its own copy reaches.
    void takeMark(const ViewMark& mark, TimePoint now);

    /// Whether and why the store has to be read now.
    ReadCause mustRead(TimePoint now) const;
    /// The copy is complete up to here; 0 before it is loaded.
    Revision revision() const { return m_revision.value_or(Revision(0)); }
    /// When the store last confirmed the copy, as far as is known here.
    TimePoint confirmedAt() const { return m_confirmedAt; }
    /// What this entry tells others of its copy.
    ViewMark mark(TimePoint now) const;

private:
    void noteGap(TimePoint now);
    void advance(Revision to, std::optional<Revision> lastChange, TimePoint now);

    RelayTimes m_times;
    std::optional<Revision> m_revision;
    Revision m_lastChange;
    TimePoint m_confirmedAt {};
    std::optional<TimePoint> m_gapSince;
};

/// Entries of a region that read the store's changes for the others there: two, so that the loss of one leaves no gap.
inline constexpr std::size_t observersPerRegion = 2;
/// In regions with up to so many entries all read for themselves: the few calls that observers would save are not worth
/// the later news after the loss of one.
inline constexpr std::size_t mostWithoutObservers = 4;

/// How an entry follows the store.
enum class ViewRole {
    /// It watches the store for itself.
    Alone,
    /// It watches the store and passes changes on.
    Observer,
    /// It keeps its copies by what observers pass on.
    Follower,
};
std::string_view viewRoleName(ViewRole role);

/// Role of an entry in its region. Entries that see different peers may choose more observers for a while, or none:
/// then the copies become stale and are read from the store.
/// @param reachesStore this entry has heard the store lately
/// @param live other entries of the region that were heard lately
/// @param reaching those of them that have heard the store lately: if the store refuses some, the others observe
ViewRole viewRole(const InstanceId& self, bool reachesStore, const std::vector<InstanceId>& live,
    const std::vector<InstanceId>& reaching);

} // namespace wisteriayard
