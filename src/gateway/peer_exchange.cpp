#include "peer_exchange.h"

#include "address.h"
#include "clock.h"
#include "peer_messages.h"
#include "store_json.h"
#include "wisteriayard/rendezvous.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <set>

namespace wisteriayard {

using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;

namespace {

    constexpr Duration unknownSenderCheckInterval = std::chrono::milliseconds(600);
    /// Peers without contact for longer are considered dead, in the assignment of roles among others. More than twice
    /// the idle interval.
    constexpr Duration peerTimeout = std::chrono::milliseconds(2500);
    /// Interval of reports by an entry without requests, which show that it is running.
    constexpr Duration idleSendInterval = std::chrono::seconds(1);
    /// A longer gap between two checks means that this process was paused.
    constexpr Duration pauseThreshold = std::chrono::seconds(1);
    /// Datagrams that waited in the socket during a pause are read within this time.
    constexpr Duration staleDatagramTime = std::chrono::milliseconds(200);
    /// Number of entries that try to acquire a free lease; more of them would only add calls to the store.
    constexpr std::size_t leaseCandidates = 3;
    /// Interval of load reports to each peer of the region. Queueing and prefill of a long prompt take about 200 ms, so
    /// less frequent reports would not reflect the current queues. The interval grows with the number of peers to bound
    /// the traffic of an entry. Entries of other regions receive the sum of the region's loads from its observers.
    constexpr Duration sendInterval = std::chrono::milliseconds(100);
    constexpr std::size_t peersAtSendInterval = 32;
    /// Fits the loads of several hundred endpoints; a larger message is truncated by the receiver and ignored.
    constexpr std::size_t maxDatagramBytes = 16 * 1024;

} // namespace

PeerExchange::PeerExchange(GatewayState& state, std::unique_ptr<StoreClient> store)
    : m_state(state)
    , m_store(std::move(store))
    , m_socket(state.io)
    , m_registrationTimer(state.io)
{
}

Status PeerExchange::open()
{
    boost::asio::ip::udp::endpoint local(m_state.settings.callerAddress.address(), m_state.settings.peerPort);
    boost::system::error_code error;
    m_socket.open(local.protocol(), error);
    if (!error)
        m_socket.bind(local, error);
    if (error)
        return fail(Errc::Unavailable, "cannot bind the UDP port for peers: " + error.message());
    return boost::outcome_v2::success();
}

std::string PeerExchange::registration() const
{
    boost::asio::ip::tcp::endpoint address(m_state.settings.callerAddress.address(), m_state.settings.peerPort);
    return formatAddress(address) + " " + m_state.settings.region.value();
}

awaitable<RegistrationState> PeerExchange::registerSelf()
{
    bool isFirst = !std::exchange(m_registrationTried, true);
    m_activation.registering();
    TimePoint start = bootTimeNow();
    auto lease = co_await m_store->grantLease(registrationTimeToLive);
    if (!lease)
        co_return RegistrationState::Unconfirmed;
    PutOperation put;
    put.key = registrationPrefix() + m_state.settings.instance.value();
    put.value = registration();
    put.lease = lease.value();
    Transaction transaction;
    transaction.onSuccess.emplace_back(put);
    if (isFirst)
        transaction.compares.emplace_back(CompareModRevision { put.key, Revision(0) });
    auto result = co_await m_store->transact(transaction);
    bool wasRegistered = isFirst && result && !result.value().succeeded;
    if (wasRegistered) {
        transaction.compares.clear();
        result = co_await m_store->transact(std::move(transaction));
    }
    if (!result || !result.value().succeeded)
        co_return RegistrationState::Unconfirmed;
    m_lease = lease.value();
    // After a restoration of the store the others have kept counting this entry.
    bool wasCounted = start < m_registrationsIncompleteUntil;
    m_activation.registered(start, bootTimeNow(), wasRegistered, wasCounted);
    co_return RegistrationState::Confirmed;
}

awaitable<RegistrationState> PeerExchange::renewRegistration()
{
    TimePoint start = bootTimeNow();
    auto left = co_await m_store->keepAlive(m_lease);
    if (!left)
        co_return RegistrationState::Unconfirmed;
    if (left.value() == Duration(0)) {
        m_lease = LeaseId();
        co_return RegistrationState::Lapsed;
    }
    m_activation.confirmed(start);
    co_return RegistrationState::Confirmed;
}

awaitable<void> PeerExchange::keepRegistered()
{
    while (!m_leaving) {
        RegistrationState state = RegistrationState::Unconfirmed;
        if (m_lease.value() != 0)
            state = co_await renewRegistration();
        else
            state = co_await registerSelf();
        boost::system::error_code ignored; // storeRestored() cancels the wait
        m_registrationTimer.expires_after(registrationCallDelay(state));
        co_await m_registrationTimer.async_wait(redirect_error(use_awaitable, ignored));
    }
}

void PeerExchange::storeRestored(TimePoint now)
{
    m_registrationsIncompleteUntil = now + missingPeerGrace;
    m_registrationTimer.cancel();
}

awaitable<void> PeerExchange::unregister()
{
    m_leaving = true;
    if (m_lease.value() == 0)
        co_return;
    auto ended = co_await m_store->revokeLease(m_lease);
    if (!ended)
        m_state.log->write(Event::LeaseChanged,
            { { "lease", registrationPrefix() }, { "state", "not_released" }, { "error", ended.error().message } });
}

void PeerExchange::replaceRegistrations(const StoreRange& range, TimePoint readSince)
{
    std::map<InstanceId, Peer> previous = std::exchange(m_peers, {});
    for (const StoreItem& item : range.items)
        applyRegistration(item);
    for (auto& [instance, peer] : m_peers) {
        auto known = previous.find(instance);
        if (known != previous.end() && known->second.address == peer.address)
            peer = known->second;
        m_missingPeers.erase(instance);
    }
    TimePoint now = bootTimeNow();
    for (const auto& [instance, peer] : previous) {
        if (m_peers.count(instance) > 0)
            continue;
        if (now < m_registrationsIncompleteUntil && isLive(peer, now))
            m_peers[instance] = peer;
        else if (!peer.leaving)
            m_missingPeers.try_emplace(instance, MissingPeer { peer.region, now });
    }
    m_activation.listRead(readSince, now);
    updateEntryCount();
    updateLimitEntries(now);
}

awaitable<void> PeerExchange::followRegistrations()
{
    boost::asio::steady_timer timer(m_state.io);
    TimePoint readAt {};
    while (true) {
        TimePoint now = bootTimeNow();
        if (now - readAt >= registrationReadInterval || std::exchange(m_unknownSenderSeen, false)) {
            std::string prefix = registrationPrefix();
            auto range = co_await m_store->range(prefix, prefixEnd(prefix), ReadConsistency::Serializable);
            if (range)
                replaceRegistrations(range.value(), now); // on failure the known peers are kept; their loads expire
            readAt = range ? now : now - registrationReadInterval + registrationRetryDelay;
        }
        timer.expires_after(unknownSenderCheckInterval);
        co_await timer.async_wait(use_awaitable);
    }
}

bool PeerExchange::isLive(const Peer& peer, TimePoint now) const
{
    return !peer.leaving && now - peer.lastContact < peerTimeout;
}

bool PeerExchange::isLeaseCandidate() const
{
    TimePoint now = bootTimeNow();
    std::vector<InstanceId> entries { m_state.settings.instance };
    for (const auto& [instance, peer] : m_peers) {
        if (isLive(peer, now))
            entries.push_back(instance);
    }
    std::vector<InstanceId> candidates = rendezvousTop("lease", entries, leaseCandidates);
    return std::find(candidates.begin(), candidates.end(), m_state.settings.instance) != candidates.end();
}

TrialTurn PeerExchange::trialTurn(SuspectTag suspect) const
{
    TimePoint now = bootTimeNow();
    std::string key = "trial/" + std::to_string(static_cast<std::uint32_t>(suspect));
    std::uint64_t own = rendezvousWeight(key, m_state.settings.instance);
    TrialTurn turn;
    for (const auto& [instance, peer] : m_peers) {
        if (!isLive(peer, now))
            continue;
        ++turn.entries;
        turn.position += rendezvousWeight(key, instance) > own ? 1 : 0;
    }
    return turn;
}

void PeerExchange::updateRole(TimePoint now)
{
    std::vector<InstanceId> live;
    std::vector<InstanceId> withContact;
    for (const auto& [instance, peer] : m_peers) {
        if (!isInSameRegion(peer) || !isLive(peer, now))
            continue;
        live.push_back(instance);
        if (peer.reachesStore)
            withContact.push_back(instance);
    }
    m_role = viewRole(m_state.settings.instance, storeContactTime(now) > Duration(0), live, withContact);
}

void PeerExchange::applyRegistration(const StoreItem& item)
{
    InstanceId instance(item.key.substr(std::min(item.key.size(), registrationPrefix().size())));
    if (instance == m_state.settings.instance)
        return;
    std::size_t space = item.value.find(' ');
    auto address = parseAddress(item.value.substr(0, space));
    if (space == std::string::npos || !address)
        return;
    Peer peer;
    peer.address = boost::asio::ip::udp::endpoint(address.value().address(), address.value().port());
    peer.region = RegionId(item.value.substr(space + 1));
    m_peers[instance] = std::move(peer);
}

void PeerExchange::updateEntryCount() { m_state.liveEntries = m_peers.size() + m_missingPeers.size() + 1; }

PeerLoads PeerExchange::livenessReport(TimePoint now) const
{
    PeerLoads report;
    report.wallClockMs = m_state.clock.guardedMilliseconds(wallClockMilliseconds(), now);
    report.storeContactTime = storeContactTime(now);
    report.leaving = m_leaving;
    if (m_state.usage)
        report.closedWindow = m_state.usage->lastClosedWindow();
    return report;
}

PeerLoads PeerExchange::ownLoads(TimePoint now)
{
    PeerLoads loads = livenessReport(now);
    for (const auto& [id, use] : m_state.directory.ownUse())
        loads.endpoints[endpointTag(id)] = use;
    loads.work = m_state.directory.ownWork(now);
    for (auto& [id, hints] : m_state.directory.nextCacheHints())
        loads.cacheHints[endpointTag(id)] = std::move(hints);
    loads.limits = m_state.directory.limitReports(now);
    loads.failing = m_state.directory.failureReports(now);
    loads.speeds = m_state.directory.speedReports(now);
    loads.quarantine = m_state.crashGuard.report(now);
    return loads;
}

PeerLoads PeerExchange::regionLoads(const PeerLoads& own, TimePoint now) const
{
    PeerLoads sum = own;
    for (const auto& [instance, peer] : m_peers) {
        if (isInSameRegion(peer) && now - peer.lastContact < idleSendInterval)
            sum.add(peer.loads, now - peer.loadsReceivedAt);
    }
    return sum;
}

Duration PeerExchange::storeContactTime(TimePoint now) const
{
    bool inOutage = now - m_state.endpointsConfirmedAt >= MembershipTimes().outageThreshold;
    auto since = m_state.directory.contactSince();
    if (!since || inOutage)
        return Duration(0);
    return now - *since;
}

void PeerExchange::send(const std::string& datagram, const Peer& peer)
{
    boost::system::error_code ignored; // the next datagram replaces a lost one, or a progress report shows the gap
    m_socket.send_to(boost::asio::buffer(datagram), peer.address, 0, ignored);
}

void PeerExchange::sendToAll(TimePoint now)
{
    PeerLoads own = ownLoads(now);
    m_reportedUse = !own.endpoints.empty();
    std::string remoteReport;
    if (m_role == ViewRole::Alone)
        remoteReport = encodePeerMessage(own);
    else if (m_role == ViewRole::Observer)
        remoteReport = encodePeerMessage(regionLoads(own, now));
    else if (now - m_sentToOtherRegionsAt >= idleSendInterval || m_leaving)
        remoteReport = encodePeerMessage(livenessReport(now));
    if (m_role == ViewRole::Observer && !m_leaving)
        own.viewProgress = m_views.progress(now);
    own.returning = m_state.refusedCallers.takeReport(now);
    std::string localReport = encodePeerMessage(std::move(own));
    for (const auto& [instance, peer] : m_peers) {
        if (isInSameRegion(peer))
            send(localReport, peer);
        else if (!remoteReport.empty())
            send(remoteReport, peer);
    }
    m_sentAt = now;
    if (!remoteReport.empty())
        m_sentToOtherRegionsAt = now;
}

void PeerExchange::detectPause(TimePoint now)
{
    bool paused = m_pauseCheckedAt != TimePoint() && now - m_pauseCheckedAt >= pauseThreshold;
    m_pauseCheckedAt = now;
    if (paused)
        m_ignoreViewsUntil = now + staleDatagramTime;
}

awaitable<void> PeerExchange::sendLoads()
{
    boost::asio::steady_timer timer(m_state.io);
    while (true) {
        auto factor = static_cast<Duration::rep>(1 + m_peers.size() / peersAtSendInterval);
        timer.expires_after(sendInterval * factor);
        co_await timer.async_wait(use_awaitable);
        TimePoint now = bootTimeNow();
        detectPause(now);
        updateRole(now);
        updateLimitEntries(now);
        passOnCredit(now);
        // Other entries count the reported requests until the next report. Without the one that states their end, they
        // would refuse requests for memory that is free.
        bool reportsEnd = m_state.settings.enginesEnforceMemory && m_reportedUse;
        bool isBusy = m_state.activeRequests > 0 || m_state.refusedCallers.hasNews() || reportsEnd;
        if (isBusy || m_role == ViewRole::Observer || now - m_sentAt >= idleSendInterval)
            sendToAll(now);
    }
}

void PeerExchange::relayChanges(StoreView view, Revision from, const WatchBatch& batch, const StoreValues& formerValues)
{
    for (const RelayedChange& change : splitChanges(view, from, batch, formerValues)) {
        std::string text = std::visit([](const auto& each) { return encodePeerMessage(each); }, change);
        for (const auto& [instance, peer] : m_peers) {
            if (isInSameRegion(peer))
                send(text, peer);
        }
    }
}

void PeerExchange::announceShutdown()
{
    m_leaving = true;
    updateLimitEntries(bootTimeNow());
    sendToAll(bootTimeNow());
}

awaitable<void> PeerExchange::receiveDatagrams()
{
    std::string buffer(maxDatagramBytes, '\0');
    boost::asio::ip::udp::endpoint sender;
    while (true) {
        boost::system::error_code error;
        std::size_t size = co_await m_socket.async_receive_from(
            boost::asio::buffer(buffer), sender, redirect_error(use_awaitable, error));
        if (!error)
            receive(std::string_view(buffer).substr(0, size), sender, bootTimeNow());
        else if (!m_socket.is_open())
            co_return;
    }
}

void PeerExchange::requestUsageWrite(WindowId window, const IncarnationId& entry, const PartialUsageRecord& record)
{
    TimePoint now = bootTimeNow();
    std::vector<const Peer*> writers;
    for (const auto& [instance, peer] : m_peers) {
        if (peer.reachesStore && isLive(peer, now))
            writers.push_back(&peer);
    }
    // If no peer is available or the datagram is lost, the next partial record is sent to another peer.
    if (!writers.empty())
        send(encodePeerMessage(PeerUsageToWrite { window, entry, record }),
            *writers[m_nextUsageWriter++ % writers.size()]);
}

bool PeerExchange::sendUsageToObserver(WindowId window, const IncarnationId& entry, const PartialUsageRecord& record)
{
    if (m_role != ViewRole::Follower)
        return false;
    TimePoint now = bootTimeNow();
    std::vector<const Peer*> observers;
    for (const auto& [instance, peer] : m_peers) {
        if (isInSameRegion(peer) && peer.isObserver && peer.reachesStore && isLive(peer, now))
            observers.push_back(&peer);
    }
    std::string datagram = encodePeerMessage(PeerUsageToWrite { window, entry, record });
    if (observers.empty() || datagram.size() > maxDatagramBytes)
        return false;
    send(datagram, *observers[m_nextUsageWriter++ % observers.size()]);
    return true;
}

void PeerExchange::announceWindowClosed(const FinalUsageRecord& final)
{
    std::set<InstanceId> informed;
    for (const auto& [entry, sequence] : final.counted) {
        InstanceId instance(entry.value().substr(0, entry.value().rfind('.')));
        auto peer = m_peers.find(instance);
        if (peer == m_peers.end())
            continue;
        send(encodePeerMessage(PeerWindowClosed { final.window, entry, sequence }), peer->second);
        informed.insert(instance);
    }
    std::string closed = encodePeerMessage(PeerWindowClosed { final.window, IncarnationId(), std::nullopt });
    for (const auto& [instance, peer] : m_peers) {
        if (informed.count(instance) == 0)
            send(closed, peer);
    }
}

struct PeerExchange::MessageHandler {
    PeerExchange& exchange;
    const InstanceId& instance;
    Peer& peer;
    TimePoint now;

    void operator()(const PeerLoads& loads) const { exchange.applyLoads(instance, loads, now); }
    void operator()(const PeerUsageToWrite& usage) const { exchange.writePeerUsage(usage, peer); }
    void operator()(const ViewChanges& changes) const { exchange.applyChange(changes, now); }
    void operator()(const ViewDelta& delta) const { exchange.applyChange(delta, now); }
    void operator()(const PeerUsageWritten& written) const
    {
        if (exchange.m_state.usage)
            exchange.m_state.usage->partialRecordStored(written.window, written.entry, written.sequence);
    }
    void operator()(const PeerLimitCredit& credit) const
    {
        exchange.detectPause(now);
        if (now >= exchange.m_ignoreViewsUntil)
            exchange.m_state.directory.addPassedOnCredit(credit.endpoint, now);
    }
    void operator()(const PeerWindowClosed& closed) const
    {
        if (exchange.m_state.usage)
            exchange.m_state.usage->windowClosed(closed.window, closed.entry, closed.countedSequence);
    }
};

void PeerExchange::receive(std::string_view datagram, const boost::asio::ip::udp::endpoint& sender, TimePoint now)
{
    auto known
        = std::find_if(m_peers.begin(), m_peers.end(), [&](const auto& each) { return each.second.address == sender; });
    if (known == m_peers.end()) {
        // The sender is not registered or was registered recently. Its datagrams are accepted once the registrations
        // have been read again and list it.
        m_unknownSenderSeen = true;
        return;
    }
    auto message = decodePeerMessage(datagram);
    if (!message) {
        m_state.metrics.peerDatagramRefused();
        return;
    }
    known->second.lastContact = now;
    std::visit(MessageHandler { *this, known->first, known->second, now }, message.value());
}

void PeerExchange::writePeerUsage(const PeerUsageToWrite& message, const Peer& from)
{
    if (!m_state.usage)
        return;
    PeerUsageWritten written { message.window, message.entry, message.record.sequence };
    auto confirm = [this, written, to = from] { send(encodePeerMessage(written), to); };
    m_state.usage->queueForeignRecord(message.window, message.entry, message.record, std::move(confirm));
}

void PeerExchange::applyChange(const RelayedChange& change, TimePoint now)
{
    detectPause(now);
    if (now >= m_ignoreViewsUntil)
        m_views.applyChange(change, now);
}

void PeerExchange::applyLoads(const InstanceId& peer, const PeerLoads& loads, TimePoint now)
{
    std::int64_t correction = m_state.clock.recordPeerTime(peer, loads.wallClockMs, now);
    if (correction != 0)
        m_state.log->write(Event::ClockCorrected, { { "milliseconds", correction }, { "cause", "peers" } });
    m_state.directory.storeWasUpSince(now - loads.storeContactTime, now);
    Peer& sender = m_peers.at(peer);
    sender.reachesStore = loads.storeContactTime > Duration(0);
    sender.isObserver = !loads.viewProgress.empty();
    sender.leaving = loads.leaving;
    if (m_state.usage && loads.closedWindow)
        m_state.usage->windowClosedElsewhere(*loads.closedWindow);
    detectPause(now);
    if (now >= m_ignoreViewsUntil) {
        for (const auto& [view, progress] : loads.viewProgress)
            m_views.applyProgress(view, progress, now);
        for (const LimitChange& change : m_state.directory.applyLimitReports(loads.limits, now))
            m_state.logRequest(Event::EndpointLimitChanged,
                m_state.directory.limitChangeFields(change, { { "peer", peer.value() } }), now);
        m_state.crashGuard.applyReport(loads.quarantine, now);
        if (m_state.settings.sharesCapacity)
            m_state.refusedCallers.applyReport(loads.returning, now);
    }
    if (isInSameRegion(sender)) {
        sender.loads = loads;
        sender.loadsReceivedAt = now;
    }
    // Each observer of a region reports the sum of the whole region, so its report replaces those of the other
    // observers.
    InstanceId source = loads.entryCount > 1 ? regionSource(sender.region) : peer;
    m_state.directory.updatePeerUse(source, loads.endpoints, now);
    m_state.directory.updatePeerFailures(source, loads.failing, now);
    m_state.directory.applySpeedReports(source, loads.speeds, now);
    m_state.directory.applyCacheHints(loads.cacheHints, now);
    m_state.directory.updatePeerWork(source, loads.work, loads.entryCount, now);
}

} // namespace wisteriayard
