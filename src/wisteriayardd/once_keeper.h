#pragma once

#include "once_partition.h"
#include "wisteriayard.pb.h"

#include <map>
#include <memory>
#include <variant>

namespace wisteriayard {

/// Allows the holder to send a call to the service, once.
struct OncePermit {
    std::shared_ptr<OncePartition> partition;
    OnceCallId call;
};

/// What the agent does with a call: run it, or send one of the replies.
using OnceVerdict = std::variant<OncePermit, wire::Finished, wire::Rejected, wire::Failed>;

/// At-most-once calls of one agent (docs/design.md, P3). Belongs to the agent's loop.
class OnceKeeper {
public:
    /// @param service name of the service that the agent's endpoint serves
    OnceKeeper(boost::asio::io_context& io, const AgentSettings& settings, std::shared_ptr<EventLog> log,
        std::uint64_t incarnation);

    /// Writes the call's intent to the store, or finds out why it must not run. The replies lack request id and
    /// attempt.
    boost::asio::awaitable<OnceVerdict> admit(wire::Submit submit);
    /// The service answered.
    void finished(const OncePermit& permit, const wire::Finished& answer);
    /// There is no answer.
    /// @param outcome NOT_RUN if the call was not sent
    void failed(const OncePermit& permit, wire::Outcome outcome);

    /// Takes in no more calls and releases each partition when its calls have ended.
    boost::asio::awaitable<void> leave();
    /// Partitions that this agent holds.
    std::size_t held() const;

private:
    boost::asio::awaitable<Result<std::uint32_t>> partitionCount();

    std::shared_ptr<OnceContext> m_context;
    std::string m_prefix;
    std::map<std::uint32_t, std::shared_ptr<OncePartition>> m_partitions;
    std::optional<std::uint32_t> m_count;
    std::uint64_t m_lastCall = 0;
    bool m_leaving = false;
};

} // namespace wisteriayard
