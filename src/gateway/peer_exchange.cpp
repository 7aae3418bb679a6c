#include "peer_exchange.h"

#include "address.h"
#include "clock.h"
#include "peer_messages.h"
#include "store_json.h"
#include "wisteriayard/rendezvous.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wisteriayard {

using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;

namespace {

    /// A registration outlives two lost renewals.
    constexpr Duration registrationTime = std::chrono::seconds(6);
    constexpr Duration renewalInterval = std::chrono::milliseconds(1800);
    constexpr Duration registrationReadInterval = std::chrono::seconds(2);
    /// Entries that ask for a free lease; the others would only add calls to the store.
    constexpr std::size_t leaseCandidates = 3;
    /// Time between two datagrams to each peer. A long prompt waits and is computed for some 200 ms, so loads that are
    /// told less often say nothing of the queues of the moment. With many peers the time grows, so that what an entry
    /// sends and receives stays bounded.
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

awaitable<void> PeerExchange::registerSelf()
{
    auto lease = co_await m_store->grantLease(registrationTime);
    if (!lease)
        co_return;
    boost::asio::ip::tcp::endpoint address(m_state.settings.callerAddress.address(), m_state.settings.peerPort);
    Transaction transaction;
    PutOperation put;
    put.key = registrationPrefix() + m_state.settings.instance.value();
    put.value = formatAddress(address);
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
    m_peers.clear();
    for (const StoreItem& item : range.items)
        takeIn(item);
    countEntries();
}

awaitable<void> PeerExchange::followRegistrations()
{
    boost::asio::steady_timer timer(m_state.io);
    while (true) {
        std::string prefix = registrationPrefix();
        auto range = co_await m_store->range(prefix, prefixEnd(prefix), ReadConsistency::Serializable);
        if (range)
            replace(range.value()); // otherwise the former peers are kept; their loads expire by themselves
        timer.expires_after(registrationReadInterval);
        co_await timer.async_wait(use_awaitable);
    }
}

bool PeerExchange::isLeaseCandidate() const
{
    std::vector<InstanceId> entries { m_state.settings.instance };
    for (const auto& [instance, address] : m_peers)
        entries.push_back(instance);
    std::vector<InstanceId> candidates = rendezvousTop("lease", entries, leaseCandidates);
    return std::find(candidates.begin(), candidates.end(), m_state.settings.instance) != candidates.end();
}

void PeerExchange::takeIn(const StoreItem& item)
{
    InstanceId instance(item.key.substr(std::min(item.key.size(), registrationPrefix().size())));
    if (instance == m_state.settings.instance)
        return;
    auto address = parseAddress(item.value);
    if (item.value.empty() || !address) {
        m_peers.erase(instance);
        return;
    }
    m_peers[instance] = boost::asio::ip::udp::endpoint(address.value().address(), address.value().port());
}

void PeerExchange::countEntries() { m_state.entries = m_peers.size() + 1; }

std::string PeerExchange::message()
{
    TimePoint now = bootTimeNow();
    PeerLoads loads;
    loads.time = m_state.clock.milliseconds(wallClockMilliseconds(), now);
    loads.contact = contactTime(now);
    for (const auto& [id, use] : m_state.directory.ownUse())
        loads.endpoints[endpointTag(id)] = use;
    loads.work = m_state.directory.ownWork(now);
    return encodePeerMessage(std::move(loads));
}

Duration PeerExchange::contactTime(TimePoint now) const
{
    bool inOutage = now - m_state.endpointsHeardAt >= MembershipTimes().outage;
    auto since = m_state.directory.contactSince();
    if (!since || inOutage)
        return Duration(0);
    return now - *since;
}

awaitable<void> PeerExchange::sendLoads()
{
    boost::asio::steady_timer timer(m_state.io);
    while (true) {
        auto factor = static_cast<Duration::rep>(1 + m_peers.size() / peersAtSendInterval);
        timer.expires_after(sendInterval * factor);
        co_await timer.async_wait(use_awaitable);
        bool idle = m_state.activeRequests == 0;
        if (idle && m_idleSent)
            continue;
        m_idleSent = idle;
        std::string text = message();
        for (const auto& [instance, address] : m_peers) {
            boost::system::error_code ignored; // a lost datagram is replaced by the next
            m_socket.send_to(boost::asio::buffer(text), address, 0, ignored);
        }
    }
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

void PeerExchange::passOnUsage(WindowId window, const IncarnationId& entry, const UsagePart& part)
{
    std::vector<boost::asio::ip::udp::endpoint> helpers;
    for (const auto& [instance, address] : m_peers) {
        if (m_inContact.count(instance) > 0)
            helpers.push_back(address);
    }
    if (helpers.empty())
        return;
    std::string bytes = encodePeerMessage(PeerUsage { window, entry, part });
    boost::system::error_code ignored; // tried again with the next part, by another peer
    m_socket.send_to(boost::asio::buffer(bytes), helpers[m_nextHelper++ % helpers.size()], 0, ignored);
}

void PeerExchange::receive(std::string_view datagram, const boost::asio::ip::udp::endpoint& sender, TimePoint now)
{
    auto known = std::find_if(m_peers.begin(), m_peers.end(), [&](const auto& each) { return each.second == sender; });
    if (known == m_peers.end())
        return; // not registered in the store
    auto message = decodePeerMessage(datagram);
    if (!message) {
        m_state.metrics.peerDatagramRefused();
        return;
    }
    if (auto* usage = std::get_if<PeerUsage>(&message.value()))
        receiveUsage(*usage);
    else
        receiveLoads(known->first, std::get<PeerLoads>(message.value()), now);
}

void PeerExchange::receiveUsage(const PeerUsage& message)
{
    if (!m_state.usage)
        return;
    auto write
        = [usage = m_state.usage, message] { return usage->writeFor(message.window, message.entry, message.part); };
    boost::asio::co_spawn(m_state.io, std::move(write), boost::asio::detached);
}

void PeerExchange::receiveLoads(const InstanceId& peer, const PeerLoads& loads, TimePoint now)
{
    std::int64_t correction = m_state.clock.peerTime(peer, loads.time, now);
    if (correction != 0)
        m_state.log->write(Event::ClockCorrected, { { "milliseconds", correction }, { "cause", "peers" } });
    m_state.directory.storeWasUpSince(now - loads.contact, now);
    if (loads.contact > Duration(0))
        m_inContact.insert(peer);
    else
        m_inContact.erase(peer);
    m_state.directory.peerUse(peer, loads.endpoints, now);
    m_state.directory.peerWork(peer, loads.work, now);
}

} // namespace wisteriayard
