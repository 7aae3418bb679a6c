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

/// Client of a key-value store with revisions, leases and watches. Belongs to one loop's thread.
///
/// After Timeout or Protocol a write may or may not have taken effect; the caller must read back.
/// After Unavailable it did not.
class StoreClient {
public:
    StoreClient() = default;
    StoreClient(StoreClient&&) = default;
    virtual ~StoreClient() = default;

    /// Reads one key. @return the item, or NotFound
    virtual boost::asio::awaitable<Result<StoreItem>> read(std::string key) = 0;
    /// Reads all keys from first to before rangeEnd.
    virtual boost::asio::awaitable<Result<StoreRange>> range(
        std::string first, std::string rangeEnd, ReadConsistency consistency = ReadConsistency::Linearizable)
        = 0;
    virtual boost::asio::awaitable<Result<TransactionResult>> transact(Transaction transaction) = 0;
    virtual boost::asio::awaitable<Result<LeaseId>> grantLease(Duration timeToLive) = 0;
    /// @return the remaining time, 0 if the lease is gone
    virtual boost::asio::awaitable<Result<Duration>> keepAlive(LeaseId lease) = 0;
    virtual boost::asio::awaitable<Status> revokeLease(LeaseId lease) = 0;

    /// Watches a range from a revision on and hands over each batch until an error ends it.
    /// @param silence longest time without a batch; the store sends progress more often
    /// @param wanted asked after each batch; the watch ends when it says no
    /// @return why it ended; Conflict if the store no longer has the history from start on
    virtual boost::asio::awaitable<Error> watch(
        std::string first, std::string rangeEnd, Revision start, Duration silence,
        std::function<void(const WatchBatch&)> handler, std::function<bool()> wanted = [] { return true; })
        = 0;
};

/// A store that speaks the etcd v3 JSON gateway.
class EtcdStoreClient : public StoreClient {
public:
    /// @param timeout longest time of one call
    EtcdStoreClient(boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint server, Duration timeout);

    boost::asio::awaitable<Result<StoreItem>> read(std::string key) override;
    boost::asio::awaitable<Result<StoreRange>> range(
        std::string first, std::string rangeEnd, ReadConsistency consistency = ReadConsistency::Linearizable) override;
    boost::asio::awaitable<Result<TransactionResult>> transact(Transaction transaction) override;
    boost::asio::awaitable<Result<LeaseId>> grantLease(Duration timeToLive) override;
    boost::asio::awaitable<Result<Duration>> keepAlive(LeaseId lease) override;
    boost::asio::awaitable<Status> revokeLease(LeaseId lease) override;
    boost::asio::awaitable<Error> watch(std::string first, std::string rangeEnd, Revision start, Duration silence,
        std::function<void(const WatchBatch&)> handler, std::function<bool()> wanted) override;

private:
    boost::asio::awaitable<Result<std::string>> call(std::string path, std::string body);

    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::endpoint m_server;
    Duration m_timeout;
    HttpClient m_client;
};

} // namespace wisteriayard
