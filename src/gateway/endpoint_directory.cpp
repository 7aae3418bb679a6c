#include "endpoint_directory.h"

#include "address.h"
#include "wisteriayard/store_numbers.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace wisteriayard {

nlohmann::json rateField(const std::optional<RequestRate>& rate)
{
    constexpr double steps = 1000; // per request a second
    return rate ? nlohmann::json(std::round(steps * rate->value()) / steps) : nlohmann::json();
}

EndpointDirectory::EndpointDirectory(const GatewaySettings& settings, const PlatformPort& platform,
    std::shared_ptr<EventLog> log, std::function<std::int64_t(TimePoint at)> wallClock,
    std::function<void(const EndpointId&)> onRemoved)
    : m_settings(settings)
    , m_platform(platform)
    , m_log(std::move(log))
    , m_wallClock(std::move(wallClock))
    , m_onRemoved(std::move(onRemoved))
{
}

EndpointId EndpointDirectory::idOf(const std::string& key) const
{
    std::size_t prefix = m_platform.endpointPrefix().size();
    return EndpointId(key.size() > prefix ? key.substr(prefix) : std::string());
}

void EndpointDirectory::replace(const StoreRange& range, TimePoint now)
{
    m_membership.storeContacted(now);
    if (m_loaded && eraOf(range.revision) > eraOf(m_readRevision)) {
        m_membership.storeRestored(now);
        m_restoredRevision = range.revision;
        m_heldBack.clear();
    }
    m_readRevision = range.revision;
    std::set<EndpointId> missing = m_membership.members();
    for (const StoreItem& item : range.items) {
        missing.erase(idOf(item.key));
        applyItem(item, now);
    }
    for (const EndpointId& id : missing) {
        if (m_membership.registrationRemoved(id, now))
            remove(id, "not_listed", now);
    }
    m_loaded = true;
}

void EndpointDirectory::apply(const WatchBatch& batch, TimePoint now)
{
    m_membership.storeContacted(now);
    for (const StoreItem& item : batch.items)
        applyItem(item, now);
}

void EndpointDirectory::applyItem(const StoreItem& item, TimePoint now)
{
    EndpointId id = idOf(item.key);
    m_heldBack.erase(id);
    if (item.value.empty()) {
        if (m_membership.registrationRemoved(id, now))
            remove(id, "entry_removed", now);
        return;
    }
    auto record = m_platform.decodeEndpoint(item.key, item.value);
    if (!record) {
        // A record that cannot be decoded is ignored; the other endpoints stay in use.
        m_log->write(Event::ConfigRejected,
            { { "key", item.key }, { "revision", numberInEra(item.modRevision) },
                { "error", record.error().message } });
        return;
    }
    if (mayBeOld(item) && isOutdated(record.value(), now)) {
        m_heldBack[id] = item;
        m_log->write(Event::EndpointHeldBack, { { "endpoint", id.value() } });
        return;
    }
    auto known = m_records.find(id);
    bool restarted = known != m_records.end()
        && (known->second.incarnation != record.value().incarnation || known->second.address != record.value().address
            || known->second.target != record.value().target);
    if (restarted)
        remove(id, "restarted", now);
    bool usable = m_membership.registrationListed(id, record.value().incarnation);
    if (usable && record.value().state != EndpointState::Draining) {
        recordCold(record.value(), put(record.value()), item.modRevision, now);
        return;
    }
    remove(id, "draining", now);
    m_membership.departed(id, record.value().incarnation, now);
}

bool EndpointDirectory::isOutdated(const EndpointRecord& record, TimePoint now) const
{
    if (m_membership.isRestoredListSettled(now))
        return false;
    auto known = m_records.find(record.id);
    bool hasRestarted = known != m_records.end() && record.incarnation < known->second.incarnation;
    return hasRestarted || m_membership.hasDeparted(record.id, record.incarnation);
}

PlacementEndpoint EndpointDirectory::placementEndpoint(const EndpointRecord& record) const
{
    PlacementEndpoint endpoint;
    endpoint.id = record.id;
    endpoint.zone = record.zone;
    auto region = m_settings.zones.find(record.zone);
    if (region != m_settings.zones.end())
        endpoint.region = region->second;
    endpoint.slots = record.slots;
    auto target = m_targets.find(record.target);
    if (target != m_targets.end() && target->second.engine) {
        endpoint.memory = target->second.engine->cacheCapacity;
        endpoint.tokensPerEvent = target->second.engine->tokensPerEvent;
    }
    return endpoint;
}

bool EndpointDirectory::put(const EndpointRecord& record)
{
    bool isNew = m_records.count(record.id) == 0;
    m_records[record.id] = record;
    m_idsByTag[endpointTag(record.id)] = record.id;
    placement(record.target).put(placementEndpoint(record));
    if (isNew)
        m_log->write(Event::EndpointAdded,
            { { "endpoint", record.id.value() }, { "target", record.target.value() },
                { "address", formatAddress(record.address) }, { "zone", record.zone.value() } });
    return isNew;
}

void EndpointDirectory::remove(const EndpointId& id, std::string_view reason, TimePoint now)
{
    auto known = m_records.find(id);
    if (known == m_records.end())
        return;
    m_membership.departed(id, known->second.incarnation, now);
    placement(known->second.target).remove(id, now);
    m_records.erase(known);
    m_idsByTag.erase(endpointTag(id));
    m_coldProblems.erase(id);
    m_coldRevisions.erase(id);
    m_onRemoved(id);
    m_log->write(Event::EndpointRemoved, { { "endpoint", id.value() }, { "reason", reason } });
}

void EndpointDirectory::removeLapsed(TimePoint now)
{
    for (const EndpointId& id : m_membership.removeLapsed(now))
        remove(id, "lapsed_in_outage", now);
    if (m_heldBack.empty() || !m_membership.isRestoredListSettled(now))
        return;
    for (const auto& [id, item] : std::exchange(m_heldBack, {}))
        applyItem(item, now);
}

void EndpointDirectory::removeMisdirected(const EndpointId& id, TimePoint now) { remove(id, "address_reused", now); }

void EndpointDirectory::shutdownAnnounced(const EndpointId& id, Incarnation incarnation, TimePoint now)
{
    m_membership.shutdownAnnounced(id, incarnation, now);
    const EndpointRecord* known = record(id);
    if (known && known->incarnation == incarnation)
        remove(id, "said_to_leave", now);
}

void EndpointDirectory::configure(const RoutingConfig& config)
{
    m_targets = config.targets;
    updateEndpoints();
}

void EndpointDirectory::updateEndpoints()
{
    for (const auto& [id, record] : m_records)
        placement(record.target).put(placementEndpoint(record));
}

void EndpointDirectory::setEvacuatedZones(const std::set<ZoneId>& zones, TimePoint now)
{
    std::set<ZoneId> withdrawn;
    std::set_difference(m_evacuatedZones.begin(), m_evacuatedZones.end(), zones.begin(), zones.end(),
        std::inserter(withdrawn, withdrawn.end()));
    m_evacuatedZones = zones;
    for (auto& [target, placement] : m_placements)
        placement->setEvacuatedZones(zones);
    if (!withdrawn.empty())
        evacuationsWithdrawn(withdrawn, now);
}

void EndpointDirectory::evacuationsWithdrawn(const std::set<ZoneId>& zones, TimePoint now)
{
    for (auto& [target, placement] : m_placements)
        placement->forgetCachedSegments(zones);
    for (const ZoneId& zone : zones)
        setZoneCold(zone, now);
}

std::size_t EndpointDirectory::sizeOf(const ZoneId& zone) const
{
    return static_cast<std::size_t>(std::count_if(
        m_records.begin(), m_records.end(), [&zone](const auto& each) { return each.second.zone == zone; }));
}

void EndpointDirectory::updatePeerUse(
    const InstanceId& peer, const std::map<EndpointTag, EndpointUse>& reported, TimePoint now)
{
    std::map<EndpointId, EndpointUse> use = resolveTags(reported);
    for (auto& [target, placement] : m_placements)
        placement->updatePeerUse(peer, use, now);
}

std::map<EndpointTag, std::uint32_t> EndpointDirectory::failureReports(TimePoint now) const
{
    std::map<EndpointTag, std::uint32_t> reports;
    if (!m_settings.sharesFailures)
        return reports;
    for (const auto& [target, placement] : m_placements) {
        for (const EndpointId& id : placement->failingEndpoints(now))
            reports[endpointTag(id)] = 1;
    }
    return reports;
}

void EndpointDirectory::updatePeerFailures(
    const InstanceId& peer, const std::map<EndpointTag, std::uint32_t>& reported, TimePoint now)
{
    if (!m_settings.sharesFailures)
        return;
    std::map<EndpointId, std::uint32_t> failing = resolveTags(reported);
    for (auto& [target, placement] : m_placements) {
        for (const EndpointId& id : placement->updatePeerFailures(peer, failing, now))
            m_log->write(Event::EndpointEjected,
                { { "endpoint", id.value() }, { "cause", "failing_at_other_entries" }, { "peer", peer.value() } });
    }
}

std::map<EndpointId, std::vector<SegmentTag>> EndpointDirectory::nextCacheHints()
{
    std::map<EndpointId, std::vector<SegmentTag>> hints;
    for (auto& [target, placement] : m_placements)
        hints.merge(placement->nextCacheHints());
    return hints;
}

void EndpointDirectory::applyCacheHints(const std::map<EndpointTag, std::vector<SegmentTag>>& reported, TimePoint now)
{
    std::map<EndpointId, std::vector<SegmentTag>> hints = resolveTags(reported);
    for (auto& [target, placement] : m_placements)
        placement->applyCacheHints(hints, now);
}

std::map<EndpointId, EndpointUse> EndpointDirectory::ownUse() const
{
    std::map<EndpointId, EndpointUse> use;
    for (const auto& [target, placement] : m_placements)
        use.merge(placement->ownUse());
    return use;
}

std::map<TargetId, WorkRates> EndpointDirectory::ownWork(TimePoint now)
{
    std::map<TargetId, WorkRates> work;
    for (auto& [target, placement] : m_placements)
        work[target] = placement->ownWork(now);
    return work;
}

void EndpointDirectory::updatePeerWork(
    const InstanceId& peer, const std::map<TargetId, WorkRates>& work, std::size_t entries, TimePoint now)
{
    for (const auto& [target, rates] : work) {
        auto known = m_placements.find(target);
        if (known != m_placements.end())
            known->second->updatePeerWork(peer, rates, entries, now);
    }
}

void EndpointDirectory::setLimitEntries(const LimitEntries& entries, TimePoint now)
{
    bool isSame = entries.active == m_limitEntries.active && entries.regions == m_limitEntries.regions;
    m_limitEntries = entries;
    for (auto& [target, placement] : m_placements)
        placement->setLimitEntries(entries, now);
    if (isSame)
        return; // only shares of cold endpoints are affected
    m_log->write(Event::LimitEntriesChanged, { { "entries", entries.regions.size() }, { "active", entries.active } });
}

std::map<EndpointTag, ReportedLimit> EndpointDirectory::limitReports(TimePoint now) const
{
    std::map<EndpointTag, ReportedLimit> reports;
    for (const auto& [target, placement] : m_placements) {
        for (const auto& [id, observation] : placement->limitReports(now))
            reports[endpointTag(id)] = { observation.rate, now - observation.at };
    }
    return reports;
}

std::vector<LimitChange> EndpointDirectory::applyLimitReports(
    const std::map<EndpointTag, ReportedLimit>& reported, TimePoint now)
{
    std::vector<LimitChange> changes;
    for (const auto& [id, limit] : resolveTags(reported)) {
        EndpointPlacement& endpoints = placement(record(id)->target);
        std::optional<RequestRate> former = endpoints.limit(id);
        if (endpoints.applyLimitReport(id, { limit.rate, now - limit.age }, now))
            changes.push_back({ id, former });
    }
    return changes;
}

nlohmann::json EndpointDirectory::limitChangeFields(const LimitChange& change, nlohmann::json source)
{
    const EndpointPlacement& endpoints = placement(record(change.endpoint)->target);
    source.update(
        { { "endpoint", change.endpoint.value() }, { "per_second", rateField(endpoints.limit(change.endpoint)) },
            { "former_per_second", rateField(change.former) },
            { "share_per_second", rateField(endpoints.limitShare(change.endpoint)) },
            { "entries", m_limitEntries.regions.size() } });
    return source;
}

std::vector<EndpointTag> EndpointDirectory::takeUnusedCredit(TimePoint now)
{
    std::vector<EndpointTag> taken;
    for (auto& [target, placement] : m_placements) {
        for (const EndpointId& id : placement->takeUnusedCredit(now))
            taken.push_back(endpointTag(id));
    }
    return taken;
}

void EndpointDirectory::addPassedOnCredit(EndpointTag endpoint, TimePoint now)
{
    auto known = m_idsByTag.find(endpoint);
    if (known != m_idsByTag.end())
        placement(record(known->second)->target).addPassedOnCredit(known->second, now);
}

void EndpointDirectory::logPrefillPools(TimePoint now)
{
    for (auto& [target, placement] : m_placements) {
        std::size_t engines = placement->prefillEngines(now);
        if (std::exchange(m_loggedPrefillEngines[target], engines) == engines)
            continue;
        WorkRates work = placement->ownWork(now);
        m_log->write(Event::PrefillPoolResized,
            { { "target", target.value() }, { "engines", engines }, { "of", placement->size() },
                { "long_work", work.longPrompts }, { "short_work", work.shortPrompts },
                { "late_pauses", placement->latePausesPart() } });
    }
}

void EndpointDirectory::settingsChanged()
{
    updateEndpoints();
    for (auto& [target, placement] : m_placements)
        placement->setSharesCapacity(m_settings.sharesCapacity, m_lateRetryShare);
}

EndpointPlacement& EndpointDirectory::placement(const TargetId& target)
{
    auto& placement = m_placements[target];
    if (!placement) {
        placement = std::make_unique<EndpointPlacement>(PlacementPolicy(), m_settings.zone, m_settings.region);
        placement->setLimitEntries(m_limitEntries, TimePoint());
        placement->setEnforcesMemory(m_settings.enginesEnforceMemory);
        placement->setEvacuatedZones(m_evacuatedZones);
        placement->setColdPolicy(coldPolicy(target), TimePoint());
        placement->setSharesCapacity(m_settings.sharesCapacity, m_lateRetryShare);
    }
    return *placement;
}

const EndpointRecord* EndpointDirectory::record(const EndpointId& id) const
{
    auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second;
}

} // namespace wisteriayard
