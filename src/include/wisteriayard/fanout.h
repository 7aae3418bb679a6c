#pragma once

#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wisteriayard {

/// Entries of a zone that watch the store.
inline constexpr std::size_t relaysPerZone = 2;
/// A relay sends an update at least this often.
inline constexpr Duration relayHeartbeat = std::chrono::milliseconds(400);
/// A relay without an update for this long has timed out; updates are requested from the next one as well.
inline constexpr Duration relayTimeout = std::chrono::milliseconds(900);
/// An entry without updates from any relay for this long watches the store itself.
inline constexpr Duration ownWatchDelay = std::chrono::seconds(1);
/// Interval between digests. A relay drops a receiver that has missed three of them.
inline constexpr Duration digestInterval = std::chrono::seconds(1);

/// One key of the store as relays send it.
struct ConfigItem {
    std::string key;
    /// Empty: deleted.
    std::string value;
    Revision revision;

    friend bool operator==(const ConfigItem&, const ConfigItem&) = default;
};

/// Contracts and keys in the form the store holds them, for relaying. A lower revision never replaces a higher one.
class ConfigTable {
public:
    /// Applies changes.
    /// @return those newer than the table
    std::vector<ConfigItem> apply(const std::vector<ConfigItem>& items);
    /// Applies the complete set of keys at a revision; keys missing from it were deleted.
    /// @return what changed
    std::vector<ConfigItem> applySnapshot(const std::vector<ConfigItem>& items, Revision revision);
    /// Records that the table holds every change up to the revision.
    void markCompleteTo(Revision revision);

    /// Highest revision to which the table is complete; 0 before the first snapshot.
    Revision revision() const { return m_revision; }
    /// Deletions after this revision are known to the table.
    Revision historyStart() const { return m_historyStart; }
    std::vector<ConfigItem> changesSince(Revision revision) const;
    /// All keys that exist.
    std::vector<ConfigItem> existingItems() const;

private:
    struct Value {
        std::string value;
        Revision revision;
    };

    std::map<std::string, Value> m_items;
    Revision m_revision;
    Revision m_historyStart;
};

/// Requests updates from a relay.
struct ViewDigest {
    std::uint64_t sequence = 0;
    Revision revision;
};

/// A relay's update; see the message of the same name.
struct ViewUpdate {
    std::uint64_t digestSequence = 0;
    /// Time from the relay's receipt of the digest to its request that confirmed the state at the store; negative if
    /// the request came first, absent without a confirmed state.
    std::optional<Duration> confirmedAfterDigest;
    Revision from;
    Revision revision;
    bool snapshot = false;
    std::vector<ConfigItem> items;
};

/// A message to another entry.
struct FanoutSend {
    InstanceId to;
    std::variant<ViewDigest, ViewUpdate> message;
};

/// Effects of an event.
struct FanoutResult {
    /// Items to apply to the view.
    std::vector<ConfigItem> changed;
    std::vector<FanoutSend> sends;
};

/// Decides which entries of a zone watch the store and relay its changes. Does no I/O.
///
/// The first two entries by rendezvous weight are relays. The third receives updates from both and watches the store
/// when one of them times out. The others receive updates from one relay, request them from the next in rank when it
/// times out, and watch the store themselves when no updates arrive. An entry only receives from entries of a higher
/// rank, so that two entries can't both stop watching by relying on each other.
class Fanout {
public:
    Fanout(ZoneId zone, InstanceId self, TimePoint now);

    /// The live entries of the zone changed; this entry is always one of them.
    FanoutResult membersChanged(std::vector<InstanceId> members, TimePoint now);
    /// Evaluates timeouts and sends digests and updates that are due.
    FanoutResult tick(TimePoint now);
    /// Whether this entry has to watch the store now.
    bool watchesStore() const { return m_watches; }
    /// Place in the zone by rendezvous weight, from 0.
    std::size_t rank() const { return m_rank; }

    /// Applies a read of all keys of the store.
    /// @param requestedAt when the read was sent
    FanoutResult applyStoreSnapshot(
        const std::vector<ConfigItem>& items, Revision revision, TimePoint requestedAt, TimePoint now);
    /// Applies all changes up to a revision, as delivered by the watch.
    FanoutResult applyStoreChanges(const std::vector<ConfigItem>& items, Revision revision, TimePoint now);
    /// Applies the store's current revision, returned to a request sent at `requestedAt`.
    FanoutResult applyStoreProbe(Revision revision, TimePoint requestedAt, TimePoint now);

    /// Handles another entry's request for updates.
    FanoutResult received(const InstanceId& from, const ViewDigest& digest, TimePoint now);
    /// Handles a relay's update.
    FanoutResult received(const InstanceId& from, const ViewUpdate& update, TimePoint now);

    /// Revision to which this entry's items are complete.
    Revision revision() const { return m_table.revision(); }
    /// The items include the store's state at this time, on this entry's clock; absent before the first confirmation.
    std::optional<TimePoint> confirmedAt() const { return m_confirmedAt; }
    /// Relay that sent the last update.
    std::optional<InstanceId> source() const { return m_source; }

private:
    struct Receiver {
        std::uint64_t digestSequence = 0;
        TimePoint digestAt {};
        TimePoint sentAt {};
        Revision sent;
    };
    /// An entry of a higher rank that can send updates.
    struct Source {
        InstanceId id;
        bool requested = false;
        TimePoint requestedSince {};
        TimePoint digestAt {};
        std::optional<TimePoint> lastUpdateAt;
        std::uint64_t sequence = 0;
        /// Send times of the last digests by sequence number; the times in an update are relative to one of them.
        std::map<std::uint64_t, TimePoint> digests;
    };
    struct Probe {
        Revision revision;
        TimePoint requestedAt;
    };

    bool timedOut(const Source& source, TimePoint now) const;
    void selectSources(TimePoint now);
    void updateWatch(TimePoint now);
    void sendDigests(FanoutResult& result, TimePoint now);
    FanoutSend makeDigest(Source& source, TimePoint now);
    void sendUpdates(FanoutResult& result, TimePoint now, bool all);
    FanoutSend makeUpdate(const InstanceId& to, Receiver& receiver, TimePoint now);
    void confirmProbes();
    void confirm(TimePoint at);

    ZoneId m_zone;
    InstanceId m_self;
    std::size_t m_rank = 0;
    std::vector<Source> m_sources;
    std::map<InstanceId, Receiver> m_receivers;
    ConfigTable m_table;
    std::optional<TimePoint> m_confirmedAt;
    std::deque<Probe> m_probes;
    std::optional<InstanceId> m_source;
    TimePoint m_lastUpdateAt;
    bool m_ranked = false;
    bool m_watches = true;
};

} // namespace wisteriayard
