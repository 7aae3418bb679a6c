#pragma once

#include "http_client.h"
#include "store_types.h"
#include "wisteriayard/error.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace wisteriayard {

/// Client of a key-value store with revisions, leases and watches. Must be used from a single thread.
///
/// A write that fails with Timeout or Protocol is indeterminate: it may or may not have taken effect, and the caller
/// must find out by another call. A write that fails with Unavailable has not taken effect.
class StoreClient {
public:
    StoreClient() = default;
    StoreClient(StoreClient&&) = default;
    virtual ~StoreClient() = default;

    /// Reads one key. @return the item, or NotFound
    virtual boost::asio::awaitable<Result<StoreItem>> read(std::string key) = 0;
    /// Reads all keys in the half-open range [first, rangeEnd).
    virtual boost::asio::awaitable<Result<StoreRange>> range(
        std::string first, std::string rangeEnd, ReadConsistency consistency = ReadConsistency::Linearizable)
        = 0;
    virtual boost::asio::awaitable<Result<TransactionResult>> transact(Transaction transaction) = 0;
    virtual boost::asio::awaitable<Result<LeaseId>> grantLease(Duration timeToLive) = 0;
    /// Renews a lease.
    /// @return the remaining time to live; 0 if the lease no longer exists
    virtual boost::asio::awaitable<Result<Duration>> keepAlive(LeaseId lease) = 0;
    virtual boost::asio::awaitable<Status> revokeLease(LeaseId lease) = 0;

    /// Watches the range [first, rangeEnd) from a revision on until an error occurs or the caller ends the watch.
    /// @param idleTimeout longest time without a batch; the store sends progress notifications more often
    /// @param handler called for each batch
    /// @param keepWatching called after each batch; the watch ends when it returns false
    /// @return why the watch ended; Conflict if the store no longer has the history from start on
    virtual boost::asio::awaitable<Error> watch(
        std::string first, std::string rangeEnd, Revision start, Duration idleTimeout,
        std::function<void(const WatchBatch&)> handler, std::function<bool()> keepWatching = [] { return true; })
        = 0;
};

/// Client of a store that implements the etcd v3 JSON gateway.
class EtcdStoreClient : public StoreClient {
public:
    /// @param timeout time limit of each call except watch()
    EtcdStoreClient(boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint server, Duration timeout);

    boost::asio::awaitable<Result<StoreItem>> read(std::string key) override;
    boost::asio::awaitable<Result<StoreRange>> range(
        std::string first, std::string rangeEnd, ReadConsistency consistency = ReadConsistency::Linearizable) override;
    boost::asio::awaitable<Result<TransactionResult>> transact(Transaction transaction) override;
    boost::asio::awaitable<Result<LeaseId>> grantLease(Duration timeToLive) override;
    boost::asio::awaitable<Result<Duration>> keepAlive(LeaseId lease) override;
    boost::asio::awaitable<Status> revokeLease(LeaseId lease) override;
    boost::asio::awaitable<Error> watch(std::string first, std::string rangeEnd, Revision start, Duration idleTimeout,
        std::function<void(const WatchBatch&)> handler, std::function<bool()> keepWatching) override;

private:
    boost::asio::awaitable<Result<std::string>> call(std::string path, std::string body);

    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::endpoint m_server;
    Duration m_timeout;
    HttpClient m_client;
};

} // namespace wisteriayard
