#include "crash_guard.h"

#include "clock.h"
#include "wisteriayard/hash.h"
#include "wisteriayard/rendezvous.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace wisteriayard {

using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;

namespace {

    /// Time limit of a connection attempt: several round trips between regions.
    constexpr Duration probeTimeout = std::chrono::milliseconds(250);
    /// Time for which the result of a connection attempt is used again.
    constexpr Duration probeLifetime = std::chrono::milliseconds(500);
    constexpr Duration probePollInterval = std::chrono::milliseconds(5);

    const char* suspectField(SuspectTag tag) { return isRequest(tag) ? "tag" : "segment"; }

    Event changeEvent(const QuarantineChange& change)
    {
        bool request = isRequest(change.tag);
        switch (change.state) {
        case SuspectState::Quarantined:
            return request ? Event::RequestQuarantined : Event::SegmentQuarantined;
        case SuspectState::OnProbation:
            return request ? Event::RequestOnProbation : Event::SegmentOnProbation;
        case SuspectState::Free:
            break;
        }
        return request ? Event::RequestReleased : Event::SegmentReleased;
    }

    CrashTag crashTag(const EndpointRecord& endpoint)
    {
        std::uint64_t hash = fnv1a("#" + std::to_string(endpoint.incarnation.value()), fnv1a(endpoint.id.value()));
        return CrashTag(static_cast<std::uint32_t>(mixHash(hash)));
    }

} // namespace

CrashGuard::CrashGuard(boost::asio::io_context& io, std::shared_ptr<EventLog> log, GatewayMetrics& metrics)
    : m_io(io)
    , m_log(std::move(log))
    , m_metrics(metrics)
{
}

std::optional<Duration> CrashGuard::refusal(const std::vector<SuspectTag>& tags, TimePoint now)
{
    auto wait = m_quarantine.refusal(tags, m_trialOrder, now);
    publishChanges("request");
    if (wait) {
        m_metrics.quarantineRefused();
        return wait;
    }
    for (SuspectTag tag : tags) {
        if (m_quarantine.state(tag, now) != SuspectState::Free)
            m_log->write(isRequest(tag) ? Event::RequestTried : Event::SegmentTried,
                { { suspectField(tag), static_cast<std::uint32_t>(tag) } });
    }
    return std::nullopt;
}

void CrashGuard::answerBegan(const std::vector<SuspectTag>& tags, TimePoint now)
{
    m_quarantine.answerBegan(tags, now);
    publishChanges("answer");
}

awaitable<bool> CrashGuard::refusesConnections(EndpointRecord endpoint)
{
    TimePoint now = bootTimeNow();
    std::erase_if(m_probes,
        [now](const auto& each) { return each.second->refused && now - each.second->startedAt >= probeLifetime; });
    boost::asio::steady_timer timer(m_io);
    if (auto known = m_probes.find(endpoint.id); known != m_probes.end()) {
        std::shared_ptr<Probe> probe = known->second;
        while (!probe->refused) {
            timer.expires_after(probePollInterval);
            co_await timer.async_wait(use_awaitable);
        }
        co_return *probe->refused;
    }
    auto probe = std::make_shared<Probe>(Probe { now, std::nullopt });
    m_probes[endpoint.id] = probe;
    auto socket = std::make_shared<boost::asio::ip::tcp::socket>(m_io);
    timer.expires_after(probeTimeout);
    timer.async_wait([socket](const boost::system::error_code& error) {
        boost::system::error_code ignored;
        if (!error)
            socket->close(ignored);
    });
    boost::system::error_code error;
    co_await socket->async_connect(endpoint.address, redirect_error(use_awaitable, error));
    timer.cancel();
    probe->refused = error || !socket->is_open();
    if (*probe->refused)
        m_log->write(Event::EndpointCrashed,
            { { "endpoint", endpoint.id.value() }, { "probe_ms", (bootTimeNow() - now).count() / 1000 },
                { "error", error.message() } });
    co_return *probe->refused;
}

awaitable<void> CrashGuard::connectionBroke(EndpointRecord endpoint, std::vector<SuspectTag> tags, TimePoint at)
{
    bool crashed = co_await refusesConnections(endpoint);
    if (!crashed)
        co_return;
    m_metrics.endpointCrashed();
    m_quarantine.endpointCrashed(crashTag(endpoint), tags, at, bootTimeNow());
    publishChanges("crash");
}

void CrashGuard::applyReport(const QuarantineReport& report, TimePoint now)
{
    if (report.empty())
        return;
    m_quarantine.applyReport(report, now);
    publishChanges("peer");
}

void CrashGuard::expire(TimePoint now)
{
    m_quarantine.expire(now);
    publishChanges("age");
}

void CrashGuard::restore(SuspectTag tag, TimePoint now)
{
    m_quarantine.restore(tag, now);
    publishChanges("store");
}

void CrashGuard::restoreProbation(SuspectTag tag, TimePoint now)
{
    m_quarantine.restoreProbation(tag, now);
    publishChanges("store");
}

void CrashGuard::publishChanges(std::string_view source)
{
    for (const QuarantineChange& change : m_quarantine.takeChanges()) {
        m_log->write(changeEvent(change),
            { { suspectField(change.tag), static_cast<std::uint32_t>(change.tag) }, { "crashes", change.crashes },
                { "source", source } });
        m_metrics.setQuarantinedSegments(m_quarantine.quarantinedCount());
        m_onChange(change);
        if (change.state != SuspectState::Quarantined)
            continue;
        for (WaitingAttempt* attempt : m_waiting)
            attempt->m_quarantined(change.tag);
    }
}

CrashGuard::WaitingAttempt::WaitingAttempt(CrashGuard& guard, std::function<void(SuspectTag)> quarantined)
    : m_guard(guard)
    , m_quarantined(std::move(quarantined))
    , m_position(guard.m_waiting.insert(guard.m_waiting.end(), this))
{
}

CrashGuard::WaitingAttempt::~WaitingAttempt() { m_guard.m_waiting.erase(m_position); }

} // namespace wisteriayard
