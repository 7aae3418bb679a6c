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

/// Entries of a zone that hold the store's watch.
inline constexpr std::size_t relaysPerZone = 2;
/// A relay sends an update at least this often.
inline constexpr Duration relayHeartbeat = std::chrono::milliseconds(400);
/// A relay without an update for so long counts as silent, and the next one is asked.
inline constexpr Duration relaySilence = std::chrono::milliseconds(900);
/// An entry that hears no relay for so long watches the store itself.
inline constexpr Duration ownWatchDelay = std::chrono::seconds(1);
/// A digest is repeated this often; a relay forgets a receiver after three of them.
inline constexpr Duration digestInterval = std::chrono::seconds(1);

/// One key of the store as it is passed on.
struct ConfigItem {
    std::string key;
    /// Empty: deleted.
    std::string value;
    Revision revision;

    friend bool operator==(const ConfigItem&, const ConfigItem&) = default;
};

/// Contracts and keys as they stand in the store, for passing them on. A lower revision never replaces a higher one.
class ConfigTable {
public:
    /// Takes in changes. @return those that were newer
    std::vector<ConfigItem> apply(const std::vector<ConfigItem>& items);
    /// Takes in all keys at a revision; keys that it lacks were deleted.
    /// @return what changed
    std::vector<ConfigItem> applySnapshot(const std::vector<ConfigItem>& items, Revision revision);
    /// The table holds every change up to the revision.
    void completeTo(Revision revision);

    /// Highest revision to which the table is complete; 0 before the first snapshot.
    Revision revision() const { return m_revision; }
    /// Lowest revision from which on the table knows of deletions.
    Revision base() const { return m_base; }
    std::vector<ConfigItem> since(Revision revision) const;
    /// All keys that exist.
    std::vector<ConfigItem> all() const;

private:
    struct Value {
        std::string value;
        Revision revision;
    };

    std::map<std::string, Value> m_items;
    Revision m_revision;
    Revision m_base;
};

/// Asks a relay for updates.
struct ViewDigest {
    std::uint64_t sequence = 0;
    Revision revision;
};

/// A relay's update; see the message of the same name.
struct ViewUpdate {
    std::uint64_t digestSequence = 0;
    /// From the relay's receipt of the digest to when it asked the store; absent without a confirmed state.
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

/// What an event caused.
struct FanoutResult {
    /// Newer items, to be applied to the view.
    std::vector<ConfigItem> changed;
    std::vector<FanoutSend> sends;
};

/// Decides who of a zone watches the store and passes its changes on. No input or output.
///
/// The two first entries by rendezvous weight are relays. The third hears both and joins them when one is silent.
/// The others hear one relay, ask the next in rank when it is silent, and watch the store themselves when they hear
/// none. An entry only hears entries of a higher rank, so that two of them can't stop watching for each other.
class Fanout {
public:
    Fanout(ZoneId zone, InstanceId self, TimePoint now);

    /// The live entries of the zone changed; this entry is always one of them.
    FanoutResult membersChanged(std::vector<InstanceId> members, TimePoint now);
    /// Time passes.
    FanoutResult tick(TimePoint now);
    /// This entry has to hold the store's watch now.
    bool watches() const { return m_watches; }
    /// Place in the zone by rendezvous weight, from 0.
    std::size_t rank() const { return m_rank; }

    /// All keys were read from the store.
    FanoutResult storeSnapshot(const std::vector<ConfigItem>& items, Revision revision, TimePoint asked, TimePoint now);
    /// The watch delivered all changes up to a revision.
    FanoutResult storeChanges(const std::vector<ConfigItem>& items, Revision revision, TimePoint now);
    /// The store said at a request sent at `asked` that it stands at this revision.
    FanoutResult storeProbed(Revision revision, TimePoint asked, TimePoint now);

    /// Another entry asks for updates.
    FanoutResult received(const InstanceId& from, const ViewDigest& digest, TimePoint now);
    /// A relay sent an update.
    FanoutResult received(const InstanceId& from, const ViewUpdate& update, TimePoint now);

    /// Revision to which this entry's items are complete.
    Revision revision() const { return m_table.revision(); }
    /// The store's state at this time, on this entry's clock, is contained in the items; absent before the first.
    std::optional<TimePoint> confirmedAt() const { return m_confirmedAt; }
    /// The relay that was heard last.
    std::optional<InstanceId> source() const { return m_source; }

private:
    struct Receiver {
        std::uint64_t digestSequence = 0;
        TimePoint digestAt {};
        TimePoint sentAt {};
        Revision sent;
    };
    /// An entry of a higher rank that may be heard.
    struct Source {
        InstanceId id;
        bool asked = false;
        TimePoint askedSince {};
        TimePoint digestAt {};
        std::optional<TimePoint> heardAt;
        std::uint64_t sequence = 0;
        /// When the last digests were sent; an update counts its times from one of them.
        std::map<std::uint64_t, TimePoint> digests;
    };
    struct Probe {
        Revision revision;
        TimePoint asked;
    };

    bool silent(const Source& source, TimePoint now) const;
    void chooseSources(TimePoint now);
    void decideWatch(TimePoint now);
    void sendDigests(FanoutResult& result, TimePoint now);
    FanoutSend makeDigest(Source& source, TimePoint now);
    void sendUpdates(FanoutResult& result, TimePoint now, bool all);
    FanoutSend makeUpdate(const InstanceId& to, Receiver& receiver, TimePoint now);
    void settleProbes();
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
    TimePoint m_lastHeard;
    bool m_placed = false;
    bool m_watches = true;
};

} // namespace wisteriayard
