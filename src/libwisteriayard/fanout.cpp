#include "wisteriayard/fanout.h"

#include "wisteriayard/rendezvous.h"

#include <algorithm>

namespace wisteriayard {

namespace {

    /// Entries of a higher rank that an entry may receive updates from; if all of them are gone it watches the store
    /// itself.
    constexpr std::size_t maxSources = 4;
    constexpr std::size_t maxKeptDigests = 8;
    constexpr int maxMissedDigests = 3;

} // namespace

std::vector<ConfigItem> ConfigTable::apply(const std::vector<ConfigItem>& items)
{
    std::vector<ConfigItem> changed;
    for (const ConfigItem& item : items) {
        Value& value = m_items[item.key];
        if (item.revision <= value.revision)
            continue;
        value = { item.value, item.revision };
        changed.push_back(item);
    }
    return changed;
}

std::vector<ConfigItem> ConfigTable::applySnapshot(const std::vector<ConfigItem>& items, Revision revision)
{
    std::vector<ConfigItem> changed = apply(items);
    std::map<std::string, bool> present;
    for (const ConfigItem& item : items)
        present[item.key] = true;
    for (auto& [key, value] : m_items) {
        if (present.count(key) || value.value.empty() || value.revision > revision)
            continue;
        value = { "", revision };
        changed.push_back({ key, "", revision });
    }
    if (m_historyStart == Revision(0))
        m_historyStart = revision;
    markCompleteTo(revision);
    return changed;
}

void ConfigTable::markCompleteTo(Revision revision) { m_revision = std::max(m_revision, revision); }

std::vector<ConfigItem> ConfigTable::changesSince(Revision revision) const
{
    std::vector<ConfigItem> items;
    for (const auto& [key, value] : m_items) {
        if (value.revision > revision)
            items.push_back({ key, value.value, value.revision });
    }
    return items;
}

std::vector<ConfigItem> ConfigTable::existingItems() const
{
    std::vector<ConfigItem> items = changesSince(Revision(0));
    std::erase_if(items, [](const ConfigItem& item) { return item.value.empty(); });
    return items;
}

Fanout::Fanout(ZoneId zone, InstanceId self, TimePoint now)
    : m_zone(std::move(zone))
    , m_self(std::move(self))
    , m_lastUpdateAt(now)
{
}

FanoutResult Fanout::membersChanged(std::vector<InstanceId> members, TimePoint now)
{
    if (std::find(members.begin(), members.end(), m_self) == members.end())
        members.push_back(m_self);
    auto ranked = rendezvousTop(m_zone.value(), members, members.size());
    m_rank = static_cast<std::size_t>(std::find(ranked.begin(), ranked.end(), m_self) - ranked.begin());
    ranked.resize(std::min(m_rank, maxSources));
    // Balances the entries that receive from one relay between the two.
    if (m_rank > relaysPerZone && (m_rank % 2) == 1)
        std::swap(ranked[0], ranked[1]);
    std::vector<Source> sources;
    for (const InstanceId& id : ranked) {
        auto known
            = std::find_if(m_sources.begin(), m_sources.end(), [&](const Source& each) { return each.id == id; });
        if (known != m_sources.end()) {
            sources.push_back(std::move(*known));
        } else {
            Source source;
            source.id = id;
            sources.push_back(std::move(source));
        }
    }
    m_sources = std::move(sources);
    if (!m_ranked) {
        // An entry that starts in a zone with relays waits for their updates instead of reading the store.
        m_ranked = true;
        m_watches = m_rank < relaysPerZone || m_table.revision() != Revision(0);
        m_lastUpdateAt = now;
    }
    return tick(now);
}

bool Fanout::timedOut(const Source& source, TimePoint now) const
{
    if (!source.requested)
        return false;
    TimePoint since = std::max(source.requestedSince, source.lastUpdateAt.value_or(source.requestedSince));
    return now - since >= relayTimeout;
}

void Fanout::selectSources(TimePoint now)
{
    // The third in rank monitors both relays; the others need one.
    std::size_t wanted = m_rank == relaysPerZone ? relaysPerZone : 1;
    if (m_rank < relaysPerZone)
        wanted = 0;
    std::size_t live = 0;
    for (Source& source : m_sources) {
        bool request = live < wanted;
        if (request && !source.requested) {
            source.requestedSince = now;
            source.digestAt = TimePoint {};
        }
        source.requested = request;
        // Updates are still requested from a source that has timed out, so that its recovery is noticed.
        live += request && !timedOut(source, now) ? 1 : 0;
    }
}

void Fanout::updateWatch(TimePoint now)
{
    if (m_rank < relaysPerZone) {
        m_watches = true;
        return;
    }
    std::size_t live = 0;
    for (const Source& source : m_sources) {
        bool updated = source.requested && source.lastUpdateAt && now - *source.lastUpdateAt < relayTimeout;
        live += updated ? 1 : 0;
    }
    if (m_rank == relaysPerZone) {
        bool waited = now - m_lastUpdateAt >= ownWatchDelay;
        bool anyTimedOut
            = std::any_of(m_sources.begin(), m_sources.end(), [&](const Source& each) { return timedOut(each, now); });
        if (live == relaysPerZone)
            m_watches = false;
        else if (anyTimedOut || waited)
            m_watches = true;
        return;
    }
    if (live > 0)
        m_watches = false;
    else if (now - m_lastUpdateAt >= ownWatchDelay)
        m_watches = true;
}

FanoutSend Fanout::makeDigest(Source& source, TimePoint now)
{
    source.digestAt = now;
    source.digests[++source.sequence] = now;
    if (source.digests.size() > maxKeptDigests)
        source.digests.erase(source.digests.begin());
    return { source.id, ViewDigest { source.sequence, m_table.revision() } };
}

void Fanout::sendDigests(FanoutResult& result, TimePoint now)
{
    for (Source& source : m_sources) {
        if (source.requested && now - source.digestAt >= digestInterval)
            result.sends.push_back(makeDigest(source, now));
    }
}

FanoutSend Fanout::makeUpdate(const InstanceId& to, Receiver& receiver, TimePoint now)
{
    ViewUpdate update;
    update.digestSequence = receiver.digestSequence;
    if (m_confirmedAt)
        update.confirmedAfterDigest = *m_confirmedAt - receiver.digestAt;
    update.revision = m_table.revision();
    // Deletions before the start of the history are unknown, so a receiver that is older needs all keys.
    update.snapshot = receiver.sent < m_table.historyStart();
    update.from = update.snapshot ? Revision(0) : receiver.sent;
    update.items = update.snapshot ? m_table.existingItems() : m_table.changesSince(receiver.sent);
    receiver.sent = std::max(receiver.sent, update.revision);
    receiver.sentAt = now;
    return { to, std::move(update) };
}

void Fanout::sendUpdates(FanoutResult& result, TimePoint now, bool all)
{
    std::erase_if(
        m_receivers, [&](const auto& each) { return now - each.second.digestAt > digestInterval * maxMissedDigests; });
    if (!m_watches || m_table.revision() == Revision(0))
        return;
    for (auto& [id, receiver] : m_receivers) {
        if (all || now - receiver.sentAt >= relayHeartbeat)
            result.sends.push_back(makeUpdate(id, receiver, now));
    }
}

FanoutResult Fanout::tick(TimePoint now)
{
    FanoutResult result;
    selectSources(now);
    updateWatch(now);
    sendDigests(result, now);
    sendUpdates(result, now, false);
    return result;
}

FanoutResult Fanout::applyStoreSnapshot(
    const std::vector<ConfigItem>& items, Revision revision, TimePoint requestedAt, TimePoint now)
{
    FanoutResult result;
    result.changed = m_table.applySnapshot(items, revision);
    confirm(requestedAt);
    sendUpdates(result, now, !result.changed.empty());
    return result;
}

FanoutResult Fanout::applyStoreChanges(const std::vector<ConfigItem>& items, Revision revision, TimePoint now)
{
    FanoutResult result;
    result.changed = m_table.apply(items);
    m_table.markCompleteTo(revision);
    confirmProbes();
    sendUpdates(result, now, !result.changed.empty());
    return result;
}

FanoutResult Fanout::applyStoreProbe(Revision revision, TimePoint requestedAt, TimePoint now)
{
    FanoutResult result;
    m_probes.push_back({ revision, requestedAt });
    if (m_probes.size() > maxKeptDigests)
        m_probes.pop_front();
    confirmProbes();
    sendUpdates(result, now, false);
    return result;
}

void Fanout::confirmProbes()
{
    while (!m_probes.empty() && m_probes.front().revision <= m_table.revision()) {
        confirm(m_probes.front().requestedAt);
        m_probes.pop_front();
    }
}

void Fanout::confirm(TimePoint at) { m_confirmedAt = std::max(m_confirmedAt.value_or(at), at); }

FanoutResult Fanout::received(const InstanceId& from, const ViewDigest& digest, TimePoint now)
{
    FanoutResult result;
    Receiver& receiver = m_receivers[from];
    // A digest with a lower revision than was sent before indicates a lost update.
    bool behind = receiver.digestSequence == 0 || digest.revision < receiver.sent;
    receiver.digestSequence = digest.sequence;
    receiver.digestAt = now;
    if (!m_watches || m_table.revision() == Revision(0))
        return result;
    if (behind || receiver.sent < digest.revision) {
        receiver.sent = digest.revision;
        result.sends.push_back(makeUpdate(from, receiver, now));
    }
    return result;
}

FanoutResult Fanout::received(const InstanceId& from, const ViewUpdate& update, TimePoint now)
{
    FanoutResult result;
    auto source = std::find_if(m_sources.begin(), m_sources.end(), [&](const Source& each) { return each.id == from; });
    if (source == m_sources.end())
        return result;
    source->lastUpdateAt = now;
    m_lastUpdateAt = now;
    m_source = from;
    if (update.snapshot) {
        result.changed = m_table.applySnapshot(update.items, update.revision);
    } else {
        result.changed = m_table.apply(update.items);
        if (update.from > m_table.revision()) {
            // An update in between is missing: newer items are applied, but neither completeness nor freshness
            // advances.
            result.sends.push_back(makeDigest(*source, now));
            return result;
        }
        m_table.markCompleteTo(update.revision);
    }
    auto digest = source->digests.find(update.digestSequence);
    // The digest was sent before the relay received it, so this time is not later than the relay's confirmation.
    if (update.confirmedAfterDigest && digest != source->digests.end())
        confirm(std::min(digest->second + *update.confirmedAfterDigest, now));
    confirmProbes();
    updateWatch(now);
    sendUpdates(result, now, !result.changed.empty());
    return result;
}

} // namespace wisteriayard
