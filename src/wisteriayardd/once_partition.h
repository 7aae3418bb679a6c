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

/// What all partitions of an agent share.
struct OnceContext {
    boost::asio::io_context& io;
    EtcdStoreClient store;
    std::shared_ptr<EventLog> log;
    OnceSettings settings;
    /// The agent's own endpoint and start.
    EndpointId endpoint;
    std::uint64_t incarnation = 0;
};

/// What to do if another agent owns a partition.
enum class OnceClaimMode {
    Redirect,
    TakeOver,
    AwaitRelease,
};

/// Outcome of a claim.
struct OnceClaim {
    enum class Kind {
        Owned,
        OtherOwner,
        StoreUnavailable,
    };
    Kind kind = Kind::StoreUnavailable;
    /// The other owner.
    EndpointId owner;
};

/// One partition of the at-most-once log at this agent: claims it, writes it in batches, releases it.
class OncePartition : public std::enable_shared_from_this<OncePartition> {
public:
    /// @param key the partition's key in the store
    OncePartition(std::shared_ptr<OnceContext> context, std::string key);

    /// Makes this agent the owner if that is allowed.
    boost::asio::awaitable<OnceClaim> claim(OnceClaimMode mode);
    /// Takes in a call and waits for its decision.
    boost::asio::awaitable<OnceDecision> submit(OnceCall call);
    /// The service answered.
    void finished(OnceCallId call, OnceAnswer answer);
    /// The call was sent without an answer.
    void lost(OnceCallId call);
    /// The call was not sent.
    void cancelled(OnceCallId call);
    /// Gives the partition up if it has no open calls and nothing to write.
    boost::asio::awaitable<void> release();

    /// This agent owns it or tries to.
    bool held() const { return m_log || m_claiming; }
    /// A write is due or under way.
    bool writing() const { return m_writing; }

private:
    struct Waiter {
        boost::asio::steady_timer wake;
        std::optional<OnceDecision> decision;
    };

    boost::asio::awaitable<OnceClaim> claimNow(OnceClaimMode mode);
    boost::asio::awaitable<void> sleepFor(Duration time);
    boost::asio::awaitable<void> writeAll();
    boost::asio::awaitable<void> write(std::string value);
    /// @return false as long as the write is in doubt
    bool settled(const Result<TransactionResult>& result, const std::string& value, bool inDoubt);
    Transaction transaction(std::string value) const;
    void startWriting();
    void decide(const OnceLog::Decisions& decisions);
    void note(Event event, const std::string& field, const std::string& value);

    std::shared_ptr<OnceContext> m_context;
    std::string m_key;
    std::optional<OnceLog> m_log;
    /// Revision of the last write; the next one compares with it.
    Revision m_revision;
    std::map<OnceCallId, std::shared_ptr<Waiter>> m_waiters;
    boost::asio::steady_timer m_claimEnded;
    OnceClaim m_lastClaim;
    TimePoint m_lastWrite {};
    bool m_claiming = false;
    bool m_writing = false;
};

} // namespace wisteriayard
