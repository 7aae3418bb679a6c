#pragma once

#include "event_log.h"
#include "gateway_metrics.h"
#include "platform_port.h"
#include "wisteriayard/crash_quarantine.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace wisteriayard {

/// Keeps requests away from endpoints if they, or their shared prompt segments, crash endpoints. Not thread-safe; used
/// from the event loop's thread only.
class CrashGuard {
public:
    CrashGuard(boost::asio::io_context& io, std::shared_ptr<EventLog> log, GatewayMetrics& metrics);

    /// Sets the order in which entries may send a request with a suspect on trial.
    void setTrialOrder(CrashQuarantine::TrialOrder order) { m_trialOrder = std::move(order); }
    /// @param onChange called when the state of a suspect changes
    void setChangeHandler(std::function<void(const QuarantineChange&)> onChange) { m_onChange = std::move(onChange); }

    /// Whether tags of requests as a whole are needed: they are costly for large bodies.
    bool hasSuspects() const { return m_quarantine.hasSuspects(); }
    bool mayRefuse() const { return m_quarantine.mayRefuse(); }
    SuspectState state(SuspectTag tag, TimePoint now) const { return m_quarantine.state(tag, now); }
    void expire(TimePoint now);
    /// @return time until a request with these suspects can be tried again; none if it may be sent now
    std::optional<Duration> refusal(const std::vector<SuspectTag>& tags, TimePoint now);
    bool mayRetry(const std::vector<SuspectTag>& tags) const { return m_quarantine.mayRetry(tags); }
    void answerBegan(const std::vector<SuspectTag>& tags, TimePoint now);
    /// Finds out whether an endpoint crashed whose connection broke, and records it.
    /// @param tags what may have made it crash; requests before segments, so that the narrower explanation wins
    /// @param at time at which the connection broke
    boost::asio::awaitable<void> connectionBroke(EndpointRecord endpoint, std::vector<SuspectTag> tags, TimePoint at);

    /// @name Exchange with other entries and the store
    /// @{
    QuarantineReport report(TimePoint now) const { return m_quarantine.report(now); }
    void applyReport(const QuarantineReport& report, TimePoint now);
    void restore(SuspectTag tag, TimePoint now);
    void restoreProbation(SuspectTag tag, TimePoint now);
    /// @}

    /// Registers an attempt that waits for the beginning of its answer, until destruction.
    class WaitingAttempt {
    public:
        /// @param quarantined called for each suspect that is put in quarantine meanwhile
        WaitingAttempt(CrashGuard& guard, std::function<void(SuspectTag)> quarantined);
        WaitingAttempt(const WaitingAttempt&) = delete;
        WaitingAttempt& operator=(const WaitingAttempt&) = delete;
        ~WaitingAttempt();

    private:
        friend class CrashGuard;
        CrashGuard& m_guard;
        std::function<void(SuspectTag)> m_quarantined;
        std::list<WaitingAttempt*>::iterator m_position;
    };

private:
    /// Result of a connection attempt to an endpoint.
    struct Probe {
        TimePoint startedAt {};
        /// Absent while the attempt is in progress.
        std::optional<bool> refused;
    };

    /// Whether an endpoint accepts no connections. Attempts at the same time share one connection.
    boost::asio::awaitable<bool> refusesConnections(EndpointRecord endpoint);
    void publishChanges(std::string_view source);

    boost::asio::io_context& m_io;
    std::shared_ptr<EventLog> m_log;
    GatewayMetrics& m_metrics;
    CrashQuarantine m_quarantine;
    CrashQuarantine::TrialOrder m_trialOrder = [](SuspectTag) { return TrialTurn(); };
    std::function<void(const QuarantineChange&)> m_onChange = [](const QuarantineChange&) {};
    std::map<EndpointId, std::shared_ptr<Probe>> m_probes;
    std::list<WaitingAttempt*> m_waiting;
};

} // namespace wisteriayard
