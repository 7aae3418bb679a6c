#pragma once

#include "event_log.h"
#include "peer_messages.h"
#include "platform_port.h"
#include "wisteriayard/endpoint_placement.h"
#include "wisteriayard/membership.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace wisteriayard {

/// Value of a rate in a log line; null if there is none.
nlohmann::json rateField(const std::optional<RequestRate>& rate);

/// A change of the rate limit that an endpoint names.
struct LimitChange {
    EndpointId endpoint;
    std::optional<RequestRate> former;
};

/// The endpoints that may receive requests, by service, as listed in the platform's store.
class EndpointDirectory {
public:
    /// @param wallClock returns the guarded wall-clock time of a past or present moment, in milliseconds since 1970
    /// @param onRemoved called for each endpoint that may no longer receive requests
    EndpointDirectory(const GatewaySettings& settings, const PlatformPort& platform, std::shared_ptr<EventLog> log,
        std::function<std::int64_t(TimePoint at)> wallClock, std::function<void(const EndpointId&)> onRemoved);

    /// Replaces the content by a complete read of the list.
    void replace(const StoreRange& range, TimePoint now);
    /// Applies changes of the list.
    void apply(const WatchBatch& batch, TimePoint now);
    /// Removes endpoints that were not listed again within the grace period after an outage or restoration of the
    /// store, and uses records that were held back once the list of a restored store is right again.
    void removeLapsed(TimePoint now);
    /// Records that another entry has had contact with the store without an outage since a point in time.
    void storeWasUpSince(TimePoint since, TimePoint now) { m_membership.storeWasUpSince(since, now); }
    /// Start of the current period of contact with the store without an outage.
    std::optional<TimePoint> contactSince() const { return m_membership.contactSince(); }
    /// Removes an endpoint whose address was reused by another endpoint, until its record in the store changes or the
    /// complete list is read again.
    void removeMisdirected(const EndpointId& id, TimePoint now);
    /// Records that an endpoint announced its shutdown in a response. It receives no new requests, even if the list
    /// still contains it.
    /// @param incarnation incarnation that sent the response
    void shutdownAnnounced(const EndpointId& id, Incarnation incarnation, TimePoint now);
    /// Applies the engine parameters of a new configuration.
    void configure(const RoutingConfig& config);
    /// Applies changed zones of the settings to the endpoints.
    void settingsChanged();
    /// Sets the share of this entry's work that late retries may be, for services that are used from now on.
    void setLateRetryShare(double share) { m_lateRetryShare = share; }
    /// Sets the zones to whose endpoints nothing may be sent.
    void setEvacuatedZones(const std::set<ZoneId>& zones, TimePoint now);
    /// Number of endpoints in a zone.
    std::size_t sizeOf(const ZoneId& zone) const;
    /// Records the load that another entry reported.
    void updatePeerUse(const InstanceId& peer, const std::map<EndpointTag, EndpointUse>& reported, TimePoint now);
    /// @name Endpoints at which requests fail; empty unless the settings ask for the exchange
    /// @{
    std::map<EndpointTag, std::uint32_t> failureReports(TimePoint now) const;
    /// Ejects endpoints at which the requests of several other entries fail.
    /// @param reported number of entries for which requests fail
    void updatePeerFailures(
        const InstanceId& peer, const std::map<EndpointTag, std::uint32_t>& reported, TimePoint now);
    /// @}
    /// @name Cache hints: shared prompt segments that requests started to use at endpoints
    /// @{
    std::map<EndpointId, std::vector<SegmentTag>> nextCacheHints();
    void applyCacheHints(const std::map<EndpointTag, std::vector<SegmentTag>>& reported, TimePoint now);
    /// @}
    /// @name Engine time that requests need, by service
    /// @{
    std::map<TargetId, WorkRates> ownWork(TimePoint now);
    void updatePeerWork(
        const InstanceId& peer, const std::map<TargetId, WorkRates>& work, std::size_t entries, TimePoint now);
    /// @}
    /// @name Rate limits that endpoints name for all entries together
    /// @{
    void setLimitEntries(const LimitEntries& entries, TimePoint now);
    std::map<EndpointTag, ReportedLimit> limitReports(TimePoint now) const;
    /// @return the endpoints whose limit changed
    std::vector<LimitChange> applyLimitReports(const std::map<EndpointTag, ReportedLimit>& reported, TimePoint now);
    /// Takes unused credit for one request to each limited endpoint, to pass it on to other entries.
    std::vector<EndpointTag> takeUnusedCredit(TimePoint now);
    void addPassedOnCredit(EndpointTag endpoint, TimePoint now);
    /// Fields of a log line about a change.
    /// @param source fields that name where the change was observed
    nlohmann::json limitChangeFields(const LimitChange& change, nlohmann::json source);
    /// @}
    /// @name Speeds of engines, by samples of this entry and of others
    /// @{
    std::map<EndpointTag, SpeedReport> speedReports(TimePoint now);
    void applySpeedReports(const InstanceId& peer, const std::map<EndpointTag, SpeedReport>& reported, TimePoint now);
    /// @}
    /// @name Cold endpoints
    /// @{

    /// All endpoints of a zone count as cold for their service's warm-up time from now on, for example because no
    /// requests were sent to the zone for a while. The records of their cached segments are discarded.
    void setZoneCold(const ZoneId& zone, TimePoint now);
    /// Sets the time until which the shares of setLimitEntries() are certainly this entry's alone.
    void confirmShares(TimePoint until, TimePoint now);
    /// Applies changed settings, and logs the endpoints that turned cold or warm since the last call.
    void updateCold(TimePoint now);
    /// Number of cold endpoints at the last updateCold().
    std::size_t coldEndpointCount() const { return m_loggedCold.size(); }
    /// @}
    /// @name Memory of engines as a bound, if the settings ask for it
    /// @{

    /// Logs the services that got their first engine without memory for a request of mean size, or lost their last one,
    /// since the last call.
    void updateFullEngines(TimePoint now);
    /// Number of these engines at the last updateFullEngines().
    std::size_t fullEngineCount() const;
    /// @}
    /// Logs the services whose number of engines reserved for long prompts changed since the last call.
    void logPrefillPools(TimePoint now);
    /// Load by requests of this entry on all endpoints.
    std::map<EndpointId, EndpointUse> ownUse() const;

    /// Whether the list has been read at least once.
    bool isLoaded() const { return m_loaded; }
    EndpointPlacement& placement(const TargetId& target);
    /// @return null if the endpoint is not known
    const EndpointRecord* record(const EndpointId& id) const;
    std::size_t size() const { return m_records.size(); }

private:
    void applyItem(const StoreItem& item, TimePoint now);
    /// Called with the zones whose evacuation has just been withdrawn: their endpoints have had no requests meanwhile,
    /// and may have turned cold.
    void evacuationsWithdrawn(const std::set<ZoneId>& zones, TimePoint now);
    void updateEndpoints();
    /// Whether a record may come from the copy from which the store was restored.
    bool mayBeOld(const StoreItem& item) const { return item.modRevision <= m_restoredRevision; }
    /// Whether an endpoint has left or restarted since the copy with this record was made.
    bool isOutdated(const EndpointRecord& record, TimePoint now) const;
    /// @return whether the endpoint was not known, in this incarnation
    bool put(const EndpointRecord& record);
    /// Records what a record says about the endpoint's coldness.
    /// @param isNew the endpoint was not known, in this incarnation
    /// @param revision revision of the record's write
    void recordCold(const EndpointRecord& record, bool isNew, Revision revision, TimePoint now);
    /// Latest time at which an endpoint that is new may have started, if it matters.
    std::optional<TimePoint> latestStart(const EndpointRecord& record, TimePoint now) const;
    ColdPolicy coldPolicy(const TargetId& target) const;
    void remove(const EndpointId& id, std::string_view reason, TimePoint now);
    EndpointId idOf(const std::string& key) const;
    /// Replaces endpoint tags by endpoint ids; unknown tags are omitted.
    template <typename Value> std::map<EndpointId, Value> resolveTags(const std::map<EndpointTag, Value>& byTag) const;
    PlacementEndpoint placementEndpoint(const EndpointRecord& record) const;

    const GatewaySettings& m_settings;
    const PlatformPort& m_platform;
    std::shared_ptr<EventLog> m_log;
    std::function<std::int64_t(TimePoint at)> m_wallClock;
    std::function<void(const EndpointId&)> m_onRemoved;
    Membership m_membership;
    std::unordered_map<EndpointId, EndpointRecord> m_records;
    /// Endpoint ids by their tags in datagrams.
    std::map<EndpointTag, EndpointId> m_idsByTag;
    std::map<TargetId, std::unique_ptr<EndpointPlacement>> m_placements;
    std::map<TargetId, TargetInfo> m_targets;
    std::map<TargetId, std::size_t> m_loggedPrefillEngines;
    std::map<TargetId, std::size_t> m_fullEngines;
    LimitEntries m_limitEntries;
    double m_lateRetryShare = 0;
    std::set<ZoneId> m_evacuatedZones;
    bool m_loggedColdShares = false;
    /// Endpoints that were cold when that was last logged.
    std::set<EndpointId> m_loggedCold;
    /// Revision of the last record from which a cold time was taken. A record that is read again is not new.
    std::map<EndpointId, Revision> m_coldRevisions;
    /// Last logged problem of each endpoint's stated cold time.
    std::map<EndpointId, std::string> m_coldProblems;
    bool m_loaded = false;
    /// Revision of the last complete read.
    Revision m_readRevision;
    /// Revision of the first complete read since the store was restored; 0 if it never was.
    Revision m_restoredRevision;
    /// Outdated records in the list of a restored store. They are used after all if the list still has them later.
    std::map<EndpointId, StoreItem> m_heldBack;
};

template <typename Value>
std::map<EndpointId, Value> EndpointDirectory::resolveTags(const std::map<EndpointTag, Value>& byTag) const
{
    std::map<EndpointId, Value> values;
    for (const auto& [tag, value] : byTag) {
        auto known = m_idsByTag.find(tag);
        if (known != m_idsByTag.end())
            values[known->second] = value;
    }
    return values;
}

} // namespace wisteriayard
