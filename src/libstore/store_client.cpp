#include "store_client.h"

#include "store_json.h"

namespace wisteriayard {

using boost::asio::awaitable;
namespace http = boost::beast::http;

namespace {

    /// Values have up to 1 MB, but a range of many keys may be larger.
    constexpr Bytes maxResponse { 64 * 1024 * 1024 };
    constexpr std::size_t maxWatchLineBytes = 16 * 1024 * 1024;
    constexpr std::size_t maxIdleConnections = 4;

} // namespace

EtcdStoreClient::EtcdStoreClient(
    boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint server, Duration timeout)
    : m_executor(std::move(executor))
    , m_server(std::move(server))
    , m_timeout(timeout)
    , m_client(m_executor, m_server, maxResponse, maxIdleConnections)
{
}

awaitable<Result<std::string>> EtcdStoreClient::call(std::string path, std::string body)
{
    auto response = co_await m_client.exchange(makeHttpRequest(http::verb::post, path, std::move(body)), m_timeout);
    if (!response)
        co_return response.error();
    auto status = response.value().result();
    if (status == http::status::service_unavailable)
        co_return fail(Errc::Unavailable, "store: " + response.value().body().substr(0, 200));
    if (status != http::status::ok)
        co_return fail(
            Errc::Protocol, "store: " + path + " returned status " + std::to_string(response.value().result_int()));
    co_return std::move(response.value().body());
}

awaitable<Result<StoreItem>> EtcdStoreClient::read(std::string key)
{
    auto text = co_await call("/v3/kv/range", rangeRequestJson(key, ""));
    if (!text)
        co_return text.error();
    auto range = parseRange(text.value());
    if (!range)
        co_return range.error();
    if (range.value().items.empty())
        co_return fail(Errc::NotFound, "store: key not found: " + key);
    co_return std::move(range.value().items.front());
}

awaitable<Result<StoreRange>> EtcdStoreClient::range(
    std::string first, std::string rangeEnd, ReadConsistency consistency)
{
    auto text = co_await call("/v3/kv/range", rangeRequestJson(first, rangeEnd, consistency));
    if (!text)
        co_return text.error();
    co_return parseRange(text.value());
}

awaitable<Result<TransactionResult>> EtcdStoreClient::transact(Transaction transaction)
{
    auto text = co_await call("/v3/kv/txn", transactionJson(transaction));
    if (!text)
        co_return text.error();
    co_return parseTransaction(text.value());
}

awaitable<Result<LeaseId>> EtcdStoreClient::grantLease(Duration timeToLive)
{
    auto text = co_await call("/v3/lease/grant", leaseGrantJson(timeToLive));
    if (!text)
        co_return text.error();
    co_return parseLeaseGrant(text.value());
}

awaitable<Result<Duration>> EtcdStoreClient::keepAlive(LeaseId lease)
{
    auto text = co_await call("/v3/lease/keepalive", leaseJson(lease));
    if (!text)
        co_return text.error();
    co_return parseKeepAlive(text.value());
}

awaitable<Status> EtcdStoreClient::revokeLease(LeaseId lease)
{
    auto text = co_await call("/v3/lease/revoke", leaseJson(lease));
    if (!text)
        co_return text.error();
    co_return boost::outcome_v2::success();
}

awaitable<Error> EtcdStoreClient::watch(std::string first, std::string rangeEnd, Revision start, Duration idleTimeout,
    std::function<void(const WatchBatch&)> handler, std::function<bool()> keepWatching)
{
    HttpConnection connection(m_executor, m_server, maxResponse);
    auto request = makeHttpRequest(http::verb::post, "/v3/watch", watchRequestJson(first, rangeEnd, start));
    auto head = co_await connection.startExchange(std::move(request), m_timeout);
    if (!head)
        co_return head.error();
    if (head.value().result() != http::status::ok)
        co_return Error { Errc::Unavailable,
            "store: watch returned status " + std::to_string(head.value().result_int()) };
    std::string pending;
    while (true) {
        auto part = co_await connection.readSome(idleTimeout);
        if (!part)
            co_return part.error();
        if (part.value().empty())
            co_return Error { Errc::Unavailable, "store: watch ended" };
        pending += part.value();
        std::size_t begin = 0;
        for (std::size_t end; (end = pending.find('\n', begin)) != std::string::npos; begin = end + 1) {
            auto batch = parseWatch(std::string_view(pending).substr(begin, end - begin));
            if (!batch)
                co_return batch.error();
            handler(batch.value());
        }
        pending.erase(0, begin);
        if (!keepWatching())
            co_return Error { Errc::Unavailable, "store: the caller has ended the watch" };
        if (pending.size() > maxWatchLineBytes)
            co_return Error { Errc::Protocol, "store: watch line is too long" };
    }
}

} // namespace wisteriayard
