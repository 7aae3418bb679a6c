#include "order_port.h"

#include "lease_keeper.h"

#include <algorithm>

namespace wisteriayard {

namespace http = boost::beast::http;
using boost::asio::awaitable;

namespace {

    constexpr Duration endpointTimeout = std::chrono::seconds(10);
    constexpr Bytes maxOrderBytes { 64 * 1024 };
    constexpr int maxConnections = 64;

    std::string errorJson(const std::string& reason) { return nlohmann::json({ { "error", reason } }).dump(); }

    /// @return the epoch of an order, or InvalidArgument
    Result<Epoch> orderEpoch(const std::string& body)
    {
        auto json = nlohmann::json::parse(body, nullptr, false);
        if (!json.is_object() || !json.contains("epoch") || !json["epoch"].is_number_integer() || json["epoch"] < 1)
            return fail(Errc::InvalidArgument, "expected a JSON object with a positive integer \"epoch\"");
        return Epoch(json["epoch"].get<std::int64_t>());
    }

    /// Marks the port as busy while an order is being forwarded.
    class BusyGuard {
    public:
        explicit BusyGuard(bool& busy)
            : m_busy(busy)
        {
            m_busy = true;
        }
        ~BusyGuard() { m_busy = false; }
        BusyGuard(const BusyGuard&) = delete;
        BusyGuard& operator=(const BusyGuard&) = delete;

    private:
        bool& m_busy;
    };

} // namespace

OrderPort::OrderPort(boost::asio::io_context& io, const AgentSettings& settings, std::shared_ptr<EventLog> log)
    : m_io(io)
    , m_settings(settings)
    , m_log(std::move(log))
    , m_store(io.get_executor(), settings.common.store, settings.common.storeTimeout)
{
}

Status OrderPort::start()
{
    HttpServerLimits limits;
    limits.maxBody = maxOrderBytes;
    limits.maxConnections = maxConnections;
    limits.sharePort = false;
    auto handler = [self = shared_from_this()](
                       HttpRequest request, HttpStreamWriter&) { return self->handle(std::move(request)); };
    m_server = std::make_shared<HttpServer>(m_io, limits, handler);
    return m_server->listen(*m_settings.orderListen);
}

HandlerResult OrderPort::refuse(Epoch epoch, http::status status, const std::string& reason)
{
    m_log->write(Event::EndpointOrderRefused,
        { { "epoch", epoch.value() }, { "floor", m_minimumEpoch.value_or(Epoch()).value() }, { "reason", reason } });
    return makeHttpResponse(status, errorJson(reason));
}

awaitable<HandlerResult> OrderPort::handle(HttpRequest request)
{
    if (request.target() != "/v1/orders" || request.method() != http::verb::post)
        co_return makeHttpResponse(http::status::not_found, errorJson("expected POST /v1/orders"));
    auto epoch = orderEpoch(request.body());
    if (!epoch)
        co_return refuse(Epoch(), http::status::bad_request, epoch.error().message);
    // Two orders at once could reach the endpoint in the wrong sequence.
    if (m_busy)
        co_return refuse(epoch.value(), http::status::service_unavailable, "another order is on its way");
    BusyGuard guard(m_busy);
    co_return co_await forwardOrder(epoch.value(), std::move(request.body()));
}

awaitable<Status> OrderPort::readMinimumEpoch()
{
    auto item = co_await m_store.read(leaseEpochKey("planner/" + m_settings.common.zone.value()));
    if (!item && item.error().code != Errc::NotFound)
        co_return item.error();
    m_minimumEpoch = item ? Epoch(item.value().modRevision.value()) : Epoch(0);
    co_return boost::outcome_v2::success();
}

awaitable<HandlerResult> OrderPort::forwardOrder(Epoch epoch, std::string body)
{
    if (!m_minimumEpoch) {
        auto read = co_await readMinimumEpoch();
        if (!read)
            co_return refuse(epoch, http::status::service_unavailable, "the store can't be read");
    }
    if (epoch < *m_minimumEpoch)
        co_return refuse(
            epoch, http::status::conflict, "epoch is older than " + std::to_string(m_minimumEpoch->value()));
    m_minimumEpoch = epoch;
    HttpConnection connection(m_io.get_executor(), m_settings.endpointAddress, maxOrderBytes);
    connection.discardUnsentOnClose();
    auto request = makeHttpRequest(http::verb::post, "/orders", std::move(body));
    auto response = co_await connection.exchange(std::move(request), endpointTimeout);
    connection.close();
    if (!response)
        co_return refuse(epoch, http::status::bad_gateway, response.error().message);
    m_log->write(
        Event::EndpointOrderPassed, { { "epoch", epoch.value() }, { "status", response.value().result_int() } });
    co_return makeHttpResponse(response.value().result(), response.value().body());
}

} // namespace wisteriayard
