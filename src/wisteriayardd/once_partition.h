#pragma once

#include "event_log.h"
#include "settings.h"
#include "store_client.h"
#include "wisteriayard/once.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace wisteriayard {

/// Context shared by all partitions of an agent.
struct OnceContext {
    boost::asio::io_context& io;
    EtcdStoreClient store;
    std::shared_ptr<EventLog> log;
    OnceSettings settings;
    /// Endpoint and incarnation of the agent; together they identify it as an owner.
    EndpointId endpoint;
    std::uint64_t incarnation = 0;
};

/// How a claim treats a partition that another agent owns.
enum class OnceClaimMode {
    Redirect,
    TakeOver,
    AwaitRelease,
};

/// Result of a claim.
struct OnceClaim {
    enum class Kind {
        Owned,
        OtherOwner,
        StoreUnavailable,
    };
    Kind kind = Kind::StoreUnavailable;
    /// Current owner if the kind is OtherOwner.
    EndpointId owner;
};

/// One partition of the at-most-once log at this agent. Claims the partition, writes its record in batches and releases
/// it. Not thread-safe: used only on the agent's event loop.
class OncePartition : public std::enable_shared_from_this<OncePartition> {
public:
    /// @param key the partition's key in the store
    OncePartition(std::shared_ptr<OnceContext> context, std::string key);

    /// Makes this agent the owner if the mode allows it.
    boost::asio::awaitable<OnceClaim> claim(OnceClaimMode mode);
    /// Submits a call to the log and waits for the decision, if necessary until its intent is stored.
    boost::asio::awaitable<OnceDecision> submit(OnceCall call);
    /// Records the service's answer to a call.
    void recordAnswer(OnceCallId call, OnceAnswer answer);
    /// Marks a call that was sent and got no answer as unresolved.
    void markUnresolved(OnceCallId call);
    /// Cancels a call that was not sent.
    void cancel(OnceCallId call);
    /// Releases the partition if it has no open calls and no pending write.
    boost::asio::awaitable<void> release();

    /// Whether this agent owns the partition or is claiming it.
    bool held() const { return m_log || m_claiming; }
    /// Whether a write is pending or running.
    bool writing() const { return m_writing; }

private:
    struct Waiter {
        boost::asio::steady_timer wake;
        std::optional<OnceDecision> decision;
    };

    boost::asio::awaitable<OnceClaim> tryClaim(OnceClaimMode mode);
    boost::asio::awaitable<void> sleepFor(Duration time);
    boost::asio::awaitable<void> writeAll();
    boost::asio::awaitable<void> write(std::string value);
    /// Applies the store's response to a write.
    /// @param indeterminate whether an earlier request of the same write has an unknown outcome
    /// @return false if the outcome of the write is still unknown
    bool resolveWrite(const Result<TransactionResult>& result, const std::string& value, bool indeterminate);
    Transaction transaction(std::string value) const;
    void startWriting();
    void deliverDecisions(const OnceLog::Decisions& decisions);
    void logEvent(Event event, const std::string& field, const std::string& value);

    std::shared_ptr<OnceContext> m_context;
    std::string m_key;
    std::optional<OnceLog> m_log;
    /// Revision of the last write. The next write succeeds only if the record still has it.
    Revision m_revision;
    std::map<OnceCallId, std::shared_ptr<Waiter>> m_waiters;
    boost::asio::steady_timer m_claimEnded;
    OnceClaim m_lastClaim;
    TimePoint m_lastWrite {};
    bool m_claiming = false;
    bool m_writing = false;
};

} // namespace wisteriayard
