#include "peer_exchange.h"

#include "address.h"
#include "clock.h"
#include "peer_messages.h"
#include "store_json.h"
#include "wisteriayard/rendezvous.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wisteriayard {

using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;

namespace {

    /// A registration outlives two lost renewals.
    constexpr Duration registrationTime = std::chrono::seconds(9);
    constexpr Duration renewalInterval = std::chrono::milliseconds(2800);
    /// Registrations are read this often, and soon after a datagram of an entry that is not known.
    constexpr Duration registrationReadInterval = std::chrono::seconds(6);
    constexpr Duration registrationRetry = std::chrono::seconds(2);
    constexpr Duration strangerReadInterval = std::chrono::milliseconds(600);
    /// Peers that were silent for longer count as gone for roles: above two times the idle interval.
    constexpr Duration liveTime = std::chrono::milliseconds(2500);
    /// An entry without requests still tells that it lives.
    constexpr Duration idleInterval = std::chrono::seconds(1);
    /// A gap between two rounds of sending that shows that this process did not run.
    constexpr Duration pauseGap = std::chrono::seconds(1);
    /// Datagrams that waited in the socket during a pause are read within this time.
    constexpr Duration settleTime = std::chrono::milliseconds(200);
    /// Entries that ask for a free lease; the others would only add calls to the store.
    constexpr std::size_t leaseCandidates = 3;
    /// Time between two datagrams to each peer of the region. A long prompt waits and is computed for some 200 ms, so
    /// loads that are told less often say nothing of the queues of the moment. With many peers the time grows, so that
    /// what an entry sends and receives stays bounded. Entries of other regions get the sum of the region from its
    /// observers.
    constexpr Duration sendInterval = std::chrono::milliseconds(100);
    constexpr std::size_t peersAtSendInterval = 32;
    /// Loads of some hundred endpoints; a larger message is cut off by the receiver and ignored.
    constexpr std::size_t maxDatagram = 16 * 1024;

} // namespace

PeerExchange::PeerExchange(GatewayState& state, std::unique_ptr<StoreClient> store)
    : m_state(state)
    , m_store(std::move(store))
    , m_socket(state.io)
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
        return fail(Errc::Unavailable, "cannot bind the port for peers: " + error.message());
    return boost::outcome_v2::success();
}

std::string PeerExchange::registration() const
{
    boost::asio::ip::tcp::endpoint address(m_state.settings.callerAddress.address(), m_state.settings.peerPort);
    return formatAddress(address) + " " + m_state.settings.region.value();
}

awaitable<void> PeerExchange::registerSelf()
{
    auto lease = co_await m_store->grantLease(registrationTime);
    if (!lease)
        co_return;
    Transaction transaction;
    PutOperation put;
    put.key = registrationPrefix() + m_state.settings.instance.value();
    put.value = registration();
    put.lease = lease.value();
    transaction.onSuccess.emplace_back(std::move(put));
    auto result = co_await m_store->transact(std::move(transaction));
    if (result && result.value().succeeded)
        m_lease = lease.value();
}

awaitable<void> PeerExchange::keepRegistered()
{
    boost::asio::steady_timer timer(m_state.io);
    while (!m_leaving) {
        if (m_lease.value() == 0) {
            co_await registerSelf();
        } else {
            auto left = co_await m_store->keepAlive(m_lease);
            if (left && left.value() == Duration(0))
                m_lease = LeaseId();
        }
        timer.expires_after(renewalInterval);
        co_await timer.async_wait(use_awaitable);
    }
}

awaitable<void> PeerExchange::leave()
{
    m_leaving = true;
    if (m_lease.value() == 0)
        co_return;
    auto ended = co_await m_store->revokeLease(m_lease);
    if (!ended)
        m_state.log->write(Event::LeaseChanged,
            { { "lease", registrationPrefix() }, { "state", "not_released" }, { "error", ended.error().message } });
}

void PeerExchange::replace(const StoreRange& range)
{
    std::map<InstanceId, Peer> former = std::exchange(m_peers, {});
    for (const StoreItem& item : range.items)
        takeIn(item);
    for (auto& [instance, peer] : m_peers) {
        auto known = former.find(instance);
        if (known != former.end() && known->second.address == peer.address)
            peer = known->second;
    }
    countEntries();
}

awaitable<void> PeerExchange::followRegistrations()
{
    boost::asio::steady_timer timer(m_state.io);
    TimePoint readAt {};
    while (true) {
        TimePoint now = bootTimeNow();
        if (now - readAt >= registrationReadInterval || std::exchange(m_strangerHeard, false)) {
            std::string prefix = registrationPrefix();
            auto range = co_await m_store->range(prefix, prefixEnd(prefix), ReadConsistency::Serializable);
            if (range)
                replace(range.value()); // otherwise the former peers are kept; their loads expire by themselves
            readAt = range ? now : now - registrationReadInterval + registrationRetry;
        }
        timer.expires_after(strangerReadInterval);
        co_await timer.async_wait(use_awaitable);
    }
}

bool PeerExchange::isLive(const Peer& peer, TimePoint now) const
{
    return !peer.leaving && now - peer.heardAt < liveTime;
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

void PeerExchange::updateRole(TimePoint now)
{
    std::vector<InstanceId> live;
    std::vector<InstanceId> reaching;
    for (const auto& [instance, peer] : m_peers) {
        if (!isNear(peer) || !isLive(peer, now))
            continue;
        live.push_back(instance);
        if (peer.inContact)
            reaching.push_back(instance);
    }
    m_role = viewRole(m_state.settings.instance, contactTime(now) > Duration(0), live, reaching);
}

void PeerExchange::takeIn(const StoreItem& item)
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

void PeerExchange::countEntries() { m_state.liveEntries = m_peers.size() + 1; }

PeerLoads PeerExchange::state(TimePoint now) const
{
    PeerLoads state;
    state.time = m_state.clock.guardedMilliseconds(wallClockMilliseconds(), now);
    state.contact = contactTime(now);
    state.leaving = m_leaving;
    return state;
}

PeerLoads PeerExchange::ownLoads(TimePoint now)
{
    PeerLoads loads = state(now);
    for (const auto& [id, use] : m_state.directory.ownUse())
        loads.endpoints[endpointTag(id)] = use;
    loads.work = m_state.directory.ownWork(now);
    for (auto& [id, parts] : m_state.directory.partNews())
        loads.parts[endpointTag(id)] = std::move(parts);
    return loads;
}

PeerLoads PeerExchange::regionLoads(const PeerLoads& own, TimePoint now) const
{
    PeerLoads sum = own;
    for (const auto& [instance, peer] : m_peers) {
        if (isNear(peer) && now - peer.heardAt < idleInterval)
            sum.add(peer.told);
    }
    return sum;
}

Duration PeerExchange::contactTime(TimePoint now) const
{
    bool inOutage = now - m_state.endpointsConfirmedAt >= MembershipTimes().outageThreshold;
    auto since = m_state.directory.contactSince();
    if (!since || inOutage)
        return Duration(0);
    return now - *since;
}

void PeerExchange::send(const std::string& datagram, const Peer& peer)
{
    boost::system::error_code ignored; // a lost datagram is replaced by the next, or shows in the next mark
    m_socket.send_to(boost::asio::buffer(datagram), peer.address, 0, ignored);
}

void PeerExchange::sendToAll(TimePoint now)
{
    PeerLoads own = ownLoads(now);
    std::string far;
    if (m_role == ViewRole::Alone)
        far = encodePeerMessage(own);
    else if (m_role == ViewRole::Observer)
        far = encodePeerMessage(regionLoads(own, now));
    else if (now - m_sentFarAt >= idleInterval || m_leaving)
        far = encodePeerMessage(state(now));
    if (m_role == ViewRole::Observer && !m_leaving)
        own.views = m_views.marks(now);
    std::string near = encodePeerMessage(std::move(own));
    for (const auto& [instance, peer] : m_peers) {
        if (isNear(peer))
            send(near, peer);
        else if (!far.empty())
            send(far, peer);
    }
    m_sentAt = now;
    if (!far.empty())
        m_sentFarAt = now;
}

void PeerExchange::notePause(TimePoint now)
{
    bool paused = m_roundAt != TimePoint() && now - m_roundAt >= pauseGap;
    m_roundAt = now;
    if (paused)
        m_trustMarksFrom = now + settleTime;
}

awaitable<void> PeerExchange::sendLoads()
{
    boost::asio::steady_timer timer(m_state.io);
    while (true) {
        auto factor = static_cast<Duration::rep>(1 + m_peers.size() / peersAtSendInterval);
        timer.expires_after(sendInterval * factor);
        co_await timer.async_wait(use_awaitable);
        TimePoint now = bootTimeNow();
        notePause(now);
        updateRole(now);
        if (m_state.activeRequests > 0 || m_role == ViewRole::Observer || now - m_sentAt >= idleInterval)
            sendToAll(now);
    }
}

void PeerExchange::passOnChanges(StoreView view, Revision from, const WatchBatch& batch)
{
    for (const ViewChanges& changes : splitChanges(view, from, batch)) {
        std::string text = encodePeerMessage(changes);
        for (const auto& [instance, peer] : m_peers) {
            if (isNear(peer))
                send(text, peer);
        }
    }
}

void PeerExchange::announceLeaving()
{
    m_leaving = true;
    sendToAll(bootTimeNow());
}

awaitable<void> PeerExchange::receiveLoads()
{
    std::string buffer(maxDatagram, '\0');
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

void PeerExchange::passOnUsage(WindowId window, const IncarnationId& entry, const PartialUsageRecord& part)
{
    TimePoint now = bootTimeNow();
    std::vector<const Peer*> helpers;
    for (const auto& [instance, peer] : m_peers) {
        if (peer.inContact && isLive(peer, now))
            helpers.push_back(&peer);
    }
    // Tried again with the next part, by another peer.
    if (!helpers.empty())
        send(encodePeerMessage(PeerUsage { window, entry, part }), *helpers[m_nextHelper++ % helpers.size()]);
}

bool PeerExchange::offerUsage(WindowId window, const IncarnationId& entry, const PartialUsageRecord& part)
{
    if (m_role != ViewRole::Follower)
        return false;
    TimePoint now = bootTimeNow();
    std::vector<const Peer*> writers;
    for (const auto& [instance, peer] : m_peers) {
        if (isNear(peer) && peer.isObserver && peer.inContact && isLive(peer, now))
            writers.push_back(&peer);
    }
    std::string datagram = encodePeerMessage(PeerUsage { window, entry, part });
    if (writers.empty() || datagram.size() > maxDatagram)
        return false;
    send(datagram, *writers[m_nextHelper++ % writers.size()]);
    return true;
}

void PeerExchange::announceClosed(const FinalUsageRecord& final)
{
    for (const auto& [entry, sequence] : final.counted) {
        InstanceId instance(entry.value().substr(0, entry.value().rfind('.')));
        auto peer = m_peers.find(instance);
        if (peer != m_peers.end())
            send(encodePeerMessage(PeerWindowClosed { final.window, entry, sequence }), peer->second);
    }
}

struct PeerExchange::Receive {
    PeerExchange& exchange;
    const InstanceId& instance;
    Peer& peer;
    TimePoint now;

    void operator()(const PeerLoads& loads) const { exchange.receiveLoads(instance, loads, now); }
    void operator()(const PeerUsage& usage) const { exchange.receiveUsage(usage, peer); }
    void operator()(const ViewChanges& changes) const { exchange.receiveChanges(changes, now); }
    void operator()(const PeerUsageWritten& written) const
    {
        if (exchange.m_state.usage)
            exchange.m_state.usage->partialRecordStored(written.window, written.entry, written.sequence);
    }
    void operator()(const PeerWindowClosed& closed) const
    {
        if (exchange.m_state.usage)
            exchange.m_state.usage->windowClosed(closed.window, closed.entry, closed.counted);
    }
};

void PeerExchange::receive(std::string_view datagram, const boost::asio::ip::udp::endpoint& sender, TimePoint now)
{
    auto known
        = std::find_if(m_peers.begin(), m_peers.end(), [&](const auto& each) { return each.second.address == sender; });
    if (known == m_peers.end()) {
        // Not registered, or only lately: its next datagram counts if the registrations list it then.
        m_strangerHeard = true;
        return;
    }
    auto message = decodePeerMessage(datagram);
    if (!message) {
        m_state.metrics.peerDatagramRefused();
        return;
    }
    known->second.heardAt = now;
    std::visit(Receive { *this, known->first, known->second, now }, message.value());
}

void PeerExchange::receiveUsage(const PeerUsage& message, const Peer& from)
{
    if (!m_state.usage)
        return;
    PeerUsageWritten written { message.window, message.entry, message.part.sequence };
    auto confirm = [this, written, to = from] { send(encodePeerMessage(written), to); };
    m_state.usage->queueForeignRecord(message.window, message.entry, message.part, std::move(confirm));
}

void PeerExchange::receiveChanges(const ViewChanges& changes, TimePoint now)
{
    notePause(now);
    if (now >= m_trustMarksFrom)
        m_views.takeChanges(changes, now);
}

void PeerExchange::receiveLoads(const InstanceId& peer, const PeerLoads& loads, TimePoint now)
{
    std::int64_t correction = m_state.clock.recordPeerTime(peer, loads.time, now);
    if (correction != 0)
        m_state.log->write(Event::ClockCorrected, { { "milliseconds", correction }, { "cause", "peers" } });
    m_state.directory.storeWasUpSince(now - loads.contact, now);
    Peer& sender = m_peers.at(peer);
    sender.inContact = loads.contact > Duration(0);
    sender.isObserver = !loads.views.empty();
    sender.leaving = loads.leaving;
    notePause(now);
    if (now >= m_trustMarksFrom) {
        for (const auto& [view, mark] : loads.views)
            m_views.takeMark(view, mark, now);
    }
    if (isNear(sender))
        sender.told = loads;
    // The sums of a region's observers replace each other.
    InstanceId source = loads.entries > 1 ? InstanceId("region/" + sender.region.value()) : peer;
    m_state.directory.peerUse(source, loads.endpoints, now);
    m_state.directory.peerParts(loads.parts, now);
    m_state.directory.peerWork(source, loads.work, loads.entries, now);
}

} // namespace wisteriayard
