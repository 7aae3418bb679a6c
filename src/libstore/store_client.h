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

/// Client of the platform's key-value store through the etcd v3 JSON gateway. Belongs to one loop's thread.
///
/// After Timeout or Protocol a write may or may not have taken effect; the caller must read back.
/// After Unavailable it did not.
class StoreClient {
public:
    /// @param timeout longest time of one call
    StoreClient(boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint server, Duration timeout);

    /// Reads one key. @return the item, or NotFound
    boost::asio::awaitable<Result<StoreItem>> read(std::string key);
    /// Reads all keys from first to before rangeEnd.
    boost::asio::awaitable<Result<StoreRange>> range(std::string first, std::string rangeEnd);
    boost::asio::awaitable<Result<TransactionResult>> transact(Transaction transaction);
    boost::asio::awaitable<Result<LeaseId>> grantLease(Duration timeToLive);
    /// @return the remaining time, 0 if the lease is gone
    boost::asio::awaitable<Result<Duration>> keepAlive(LeaseId lease);
    boost::asio::awaitable<Status> revokeLease(LeaseId lease);

    /// Watches a range from a revision on and hands over each batch until an error ends it.
    /// @param silence longest time without a batch; the store sends progress more often
    /// @param wanted asked after each batch; the watch ends when it says no
    /// @return why it ended
    boost::asio::awaitable<Error> watch(
        std::string first, std::string rangeEnd, Revision start, Duration silence,
        std::function<void(const WatchBatch&)> handler, std::function<bool()> wanted = [] { return true; });

private:
    boost::asio::awaitable<Result<std::string>> call(std::string path, std::string body);

    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::endpoint m_server;
    Duration m_timeout;
    /// Idle connections for the next calls.
    std::vector<std::unique_ptr<HttpConnection>> m_idle;
};

} // namespace wisteriayard
