#pragma once

#include "event_log.h"
#include "peer_messages.h"
#include "platform_port.h"
#include "wisteriayard/endpoint_placement.h"
#include "wisteriayard/membership.h"

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace wisteriayard {

/// The endpoints that may be given requests, by service, as the platform's store lists them.
class EndpointDirectory {
public:
    /// @param left called for each endpoint that is no longer usable
    EndpointDirectory(const GatewaySettings& settings, const PlatformPort& platform, std::shared_ptr<EventLog> log,
        std::function<void(const EndpointId&)> left);

    /// Takes in the complete list.
    void replace(const StoreRange& range, TimePoint now);
    /// Takes in changes of the list.
    void apply(const WatchBatch& batch, TimePoint now);
    /// Removes endpoints that did not come back after an outage of the store.
    void removeLapsed(TimePoint now);
    /// Another entry has heard the store without an outage since a point in time.
    void storeWasUpSince(TimePoint since, TimePoint now) { m_membership.storeWasUpSince(since, now); }
    /// Since when this entry has heard the store without an outage.
    std::optional<TimePoint> contactSince() const { return m_membership.contactSince(); }
    /// An endpoint's address answered for another endpoint: it is not used until its entry changes.
    void misdirected(const EndpointId& id);
    /// An endpoint said in an answer that it leaves: it gets no new requests, whatever the list says.
    /// @param incarnation the one that the answer came from
    void saidToLeave(const EndpointId& id, Incarnation incarnation, TimePoint now);
    /// Takes the engines' traits from a new configuration.
    void configure(const RoutingConfig& config);
    /// Takes in the load that another entry puts on endpoints.
    void peerUse(const InstanceId& peer, const std::map<EndpointTag, EndpointUse>& told, TimePoint now);
    /// @name Shared prompt parts that requests began to use at endpoints
    /// @{
    std::map<EndpointId, std::vector<SegmentTag>> partNews();
    void peerParts(const std::map<EndpointTag, std::vector<SegmentTag>>& told, TimePoint now);
    /// @}
    /// @name Engine time that requests ask for, by service
    /// @{
    std::map<TargetId, WorkRates> ownWork(TimePoint now);
    void peerWork(
        const InstanceId& peer, const std::map<TargetId, WorkRates>& work, std::size_t entries, TimePoint now);
    /// @}
    /// Logs services for which another number of engines is kept for long prompts than at the last call.
    void logPools(TimePoint now);
    /// Load by this entry on all endpoints.
    std::map<EndpointId, EndpointUse> ownUse() const;

    /// The list was read at least once.
    bool isLoaded() const { return m_loaded; }
    EndpointPlacement& placement(const TargetId& target);
    /// @return null if the endpoint is not known
    const EndpointRecord* record(const EndpointId& id) const;
    std::size_t size() const { return m_records.size(); }

private:
    void takeIn(const StoreItem& item, TimePoint now);
    void put(const EndpointRecord& record);
    void remove(const EndpointId& id, std::string_view reason);
    EndpointId idOf(const std::string& key) const;
    /// What was told of endpoints by their names in datagrams, without those that are not known here.
    template <typename Value> std::map<EndpointId, Value> byId(const std::map<EndpointTag, Value>& told) const;
    PlacementEndpoint placementEndpoint(const EndpointRecord& record) const;

    const GatewaySettings& m_settings;
    const PlatformPort& m_platform;
    std::shared_ptr<EventLog> m_log;
    std::function<void(const EndpointId&)> m_left;
    Membership m_membership;
    std::unordered_map<EndpointId, EndpointRecord> m_records;
    /// Endpoints by their names in datagrams.
    std::map<EndpointTag, EndpointId> m_tags;
    std::map<TargetId, std::unique_ptr<EndpointPlacement>> m_placements;
    std::map<TargetId, TargetInfo> m_targets;
    std::map<TargetId, std::size_t> m_loggedPools;
    bool m_loaded = false;
};

} // namespace wisteriayard
