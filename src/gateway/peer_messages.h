#pragma once

#include "store_types.h"
#include "wisteriayard/endpoint_placement.h"
#include "wisteriayard/error.h"
#include "wisteriayard/relayed_view.h"
#include "wisteriayard/usage.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wisteriayard {

/// Short name of an endpoint in datagrams, which are sent to all entries several times a second.
enum class EndpointTag : std::uint32_t {};
EndpointTag endpointTag(const EndpointId& id);

/// Parts of the store that entries keep copies of.
enum class StoreView : std::uint32_t {
    Configuration = 1,
    Endpoints = 2,
};
std::string_view storeViewName(StoreView view);

/// What an entry tells the others of itself.
struct PeerLoads {
    /// Wall-clock time of the sender in milliseconds.
    std::int64_t time = 0;
    /// Time for which the sender has heard the store; 0 during an outage.
    Duration contact {};
    std::map<EndpointTag, EndpointUse> endpoints;
    std::map<TargetId, WorkRates> work;
    /// Shared prompt parts that requests began to use at endpoints.
    std::map<EndpointTag, std::vector<SegmentTag>> parts;
    /// How far the sender's copies of the store reach; empty if it is no observer.
    std::map<StoreView, ViewProgress> views;
    /// The sender is stopping and will not be heard for long.
    bool leaving = false;
    /// Endpoints and work are sums over so many entries of the sender's region, itself included.
    std::uint32_t entries = 1;

    /// Adds the endpoints, parts and work of another entry.
    void add(const PeerLoads& other);
};

/// A part of the sender's usage that the receiver is asked to write.
struct PeerUsage {
    WindowId window;
    IncarnationId entry;
    PartialUsageRecord part;
};

/// The sender has written a part of the receiver's usage.
struct PeerUsageWritten {
    WindowId window;
    IncarnationId entry;
    std::uint64_t sequence = 0;
};

/// The sender has closed a window.
struct PeerWindowClosed {
    WindowId window;
    IncarnationId entry;
    /// Number of the part of the receiver that the window's record counts; none if it counts none.
    std::optional<std::uint64_t> counted;
};

/// Changes of a part of the store that an observer passes on.
struct ViewChanges {
    StoreView view = StoreView::Configuration;
    /// The changes are all after this revision ...
    Revision from;
    /// ... up to this one.
    Revision to;
    /// An item with an empty value was removed.
    std::vector<StoreItem> items;
};

/// Splits changes into messages that fit into a datagram each. Items that do not are left out with all before them: the
/// receivers see a gap and read the store.
std::vector<ViewChanges> splitChanges(StoreView view, Revision from, const WatchBatch& batch);

using PeerMessage = std::variant<PeerLoads, PeerUsage, ViewChanges, PeerUsageWritten, PeerWindowClosed>;

std::string encodePeerMessage(const PeerMessage& message);
/// @return Protocol if the datagram is cut, of another version, holds figures below 0 or nothing that is known
Result<PeerMessage> decodePeerMessage(std::string_view datagram);

} // namespace wisteriayard
