#pragma once

#include "event_log.h"
#include "http_server.h"
#include "settings.h"
#include "store_client.h"

#include <memory>
#include <optional>

namespace wisteriayard {

/// HTTP port that receives the orders for the agent's endpoint and forwards them. The endpoint gets orders only through
/// it (protocol P1).
///
/// The port is bound without address sharing, so no second agent can forward orders while this process exists, even if
/// it is paused. Orders are forwarded one at a time, and an order with a lower epoch than an earlier one is refused.
class OrderPort : public std::enable_shared_from_this<OrderPort> {
public:
    OrderPort(boost::asio::io_context& io, const AgentSettings& settings, std::shared_ptr<EventLog> log);

    /// Binds the port.
    /// @return Unavailable if another agent has bound it
    Status start();

private:
    boost::asio::awaitable<HandlerResult> handle(HttpRequest request);
    boost::asio::awaitable<HandlerResult> forwardOrder(Epoch epoch, std::string body);
    /// Reads the latest epoch of the zone's planner lease from the store. Needed once after the start of the process.
    boost::asio::awaitable<Status> readMinimumEpoch();
    HandlerResult refuse(Epoch epoch, boost::beast::http::status status, const std::string& reason);

    boost::asio::io_context& m_io;
    AgentSettings m_settings;
    std::shared_ptr<EventLog> m_log;
    EtcdStoreClient m_store;
    std::shared_ptr<HttpServer> m_server;
    std::optional<Epoch> m_minimumEpoch;
    bool m_busy = false;
};

} // namespace wisteriayard
