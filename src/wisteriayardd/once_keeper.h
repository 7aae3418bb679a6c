#pragma once

#include "once_partition.h"
#include "wisteriayard.pb.h"

#include <map>
#include <memory>
#include <variant>

namespace wisteriayard {

/// Permission to send a call to the service once; the call's intent is stored.
struct OncePermit {
    std::shared_ptr<OncePartition> partition;
    OnceCallId call;
};

/// Result of admitting a call: permission to run it, or the reply to the entry.
using OnceAdmission = std::variant<OncePermit, wire::Finished, wire::Rejected, wire::Failed>;

/// Admits the at-most-once calls of one agent and records their results (docs/design.md, P3). Not thread-safe: used
/// only on the agent's event loop.
class OnceKeeper {
public:
    /// @param incarnation identifies this start of the agent process
    OnceKeeper(boost::asio::io_context& io, const AgentSettings& settings, std::shared_ptr<EventLog> log,
        std::uint64_t incarnation);

    /// Stores the call's intent, or finds the reason why the call must not run. The caller sets request id and attempt
    /// of a reply.
    boost::asio::awaitable<OnceAdmission> admit(wire::Submit submit);
    /// Records the service's answer.
    void recordAnswer(const OncePermit& permit, const wire::Finished& answer);
    /// Records that a call ended without an answer.
    /// @param outcome NOT_RUN if the call was not sent; otherwise the call is unresolved
    void recordFailure(const OncePermit& permit, wire::Outcome outcome);

    /// Rejects new calls and releases each partition when its calls have ended.
    boost::asio::awaitable<void> drain();
    /// Number of partitions that this agent owns or is claiming.
    std::size_t heldPartitions() const;
    /// Number of partitions with a pending or running write.
    std::size_t writingPartitions() const;

private:
    boost::asio::awaitable<Result<std::uint32_t>> partitionCount();

    std::shared_ptr<OnceContext> m_context;
    std::string m_prefix;
    std::map<std::uint32_t, std::shared_ptr<OncePartition>> m_partitions;
    std::optional<std::uint32_t> m_partitionCount;
    std::uint64_t m_lastCall = 0;
    bool m_draining = false;
};

} // namespace wisteriayard
