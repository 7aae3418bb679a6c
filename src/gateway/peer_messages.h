#pragma once

#include "store_types.h"
#include "wisteriayard/crash_quarantine.h"
#include "wisteriayard/endpoint_placement.h"
#include "wisteriayard/error.h"
#include "wisteriayard/refused_callers.h"
#include "wisteriayard/relayed_view.h"
#include "wisteriayard/usage.h"
#include "wisteriayard/value_delta.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wisteriayard {

/// Short hash of an endpoint's id. It replaces the id in datagrams, which are sent to all entries several times a
/// second.
enum class EndpointTag : std::uint32_t {};
EndpointTag endpointTag(const EndpointId& id);

/// Parts of the store that entries keep a copy of.
enum class StoreView : std::uint32_t {
    Configuration = 1,
    Endpoints = 2,
};
std::string_view storeViewName(StoreView view);

/// Rate limit that an endpoint named in a response to the sender of a report.
struct ReportedLimit {
    /// Absent if the endpoint named none.
    std::optional<RequestRate> rate;
    /// Age of the response.
    Duration age {};
};

/// Report of an entry's load on endpoints and its contact with the store, sent regularly to its peers.
struct PeerLoads {
    /// Wall-clock time of the sender in milliseconds.
    std::int64_t wallClockMs = 0;
    /// Duration of the sender's contact with the store; 0 during an outage.
    Duration storeContactTime {};
    std::map<EndpointTag, EndpointUse> endpoints;
    std::map<TargetId, WorkRates> work;
    /// Shared prompt segments that requests started to use at endpoints.
    std::map<EndpointTag, std::vector<SegmentTag>> cacheHints;
    /// Recent responses of endpoints that name a rate limit or have withdrawn it.
    std::map<EndpointTag, ReportedLimit> limits;
    /// Number of entries for which requests to an endpoint fail.
    std::map<EndpointTag, std::uint32_t> failing;
    /// Speeds of engines that answered requests since the last report.
    std::map<EndpointTag, SpeedReport> speeds;
    /// Requests that the sender refused as overloaded since the last report.
    std::vector<ReturningCaller> returning;
    /// Observations about prompt segments that may crash engines.
    QuarantineReport quarantine;
    /// Progress of the sender's copies of the store; empty if it is not an observer.
    std::map<StoreView, ViewProgress> viewProgress;
    /// Last usage window that the sender knows to be closed.
    std::optional<WindowId> closedWindow;
    /// The sender is shutting down and will soon stop sending.
    bool leaving = false;
    /// Number of entries of the sender's region, including the sender, whose endpoint load and work are summed up.
    std::uint32_t entryCount = 1;

    /// Adds the endpoint load, cache hints, work, rate limits, failures, crash observations and entry count of another
    /// report.
    /// @param age time since the other report was received
    void add(const PeerLoads& other, Duration age);
};

/// Partial usage record of the sender that the receiver is requested to write to the store.
struct PeerUsageToWrite {
    WindowId window;
    IncarnationId entry;
    PartialUsageRecord record;
};

/// Confirms that the sender has written a partial usage record of the receiver.
struct PeerUsageWritten {
    WindowId window;
    IncarnationId entry;
    std::uint64_t sequence = 0;
};

/// Announces that the sender has closed a usage window.
struct PeerWindowClosed {
    WindowId window;
    /// Empty if the final record includes no record of the receiver.
    IncarnationId entry;
    /// Sequence number of the receiver's partial usage record that the final record includes, if any.
    std::optional<std::uint64_t> countedSequence;
};

/// Passes on the sender's unused credit for one request to an endpoint that names a rate limit.
struct PeerLimitCredit {
    EndpointTag endpoint {};
};

/// Changes of a part of the store that an observer relays: all changes after `from` up to `to`.
struct ViewChanges {
    StoreView view = StoreView::Configuration;
    Revision from;
    Revision to;
    /// An empty value means that the key was removed.
    std::vector<StoreItem> items;
    /// As in WatchBatch.
    std::optional<std::uint64_t> keysHash {};
};

/// The only change of a part of the store after `from` up to `to`, of a value that is too large for a datagram.
struct ViewDelta {
    StoreView view = StoreView::Configuration;
    Revision from;
    Revision to;
    std::string key;
    /// Revision of the change.
    Revision revision;
    /// Revision of the former value of the key, from which the difference was made.
    Revision base;
    ValueDelta delta;
    /// As in WatchBatch.
    std::optional<std::uint64_t> keysHash {};
};

using RelayedChange = std::variant<ViewChanges, ViewDelta>;

/// Splits changes into messages that each fit into a datagram. An item that is too large is relayed as the difference
/// to its former value. If that is too large as well, the item is omitted together with all items before it; the
/// receivers detect the gap and read the store.
/// @param formerValues values of keys before the changes
std::vector<RelayedChange> splitChanges(
    StoreView view, Revision from, const WatchBatch& batch, const StoreValues& formerValues);

using PeerMessage = std::variant<PeerLoads, PeerUsageToWrite, ViewChanges, PeerUsageWritten, PeerWindowClosed,
    PeerLimitCredit, ViewDelta>;

std::string encodePeerMessage(const PeerMessage& message);
/// @return Protocol if the datagram is truncated, has another version, unknown content or values out of range
Result<PeerMessage> decodePeerMessage(std::string_view datagram);

} // namespace wisteriayard
