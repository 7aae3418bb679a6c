#pragma once

#include "event_log.h"
#include "http_server.h"
#include "settings.h"
#include "store_client.h"

#include <memory>
#include <optional>

namespace wisteriayard {

/// The slot's order port: the only way for orders to the endpoint (protocol P1).
///
/// The port is bound without address sharing, so no second agent can pass orders on while this one exists, even if
/// it is paused. Orders pass one at a time, and an order with a lower epoch than an earlier one is refused.
class OrderPort : public std::enable_shared_from_this<OrderPort> {
public:
    OrderPort(boost::asio::io_context& io, const AgentSettings& settings, std::shared_ptr<EventLog> log);

    /// Binds the port.
    /// @return Unavailable if another agent has it
    Status start();

private:
    boost::asio::awaitable<HandlerResult> handle(HttpRequest request);
    boost::asio::awaitable<HandlerResult> take(Epoch epoch, std::string body);
    /// Highest epoch of the zone's planner that the store knows; read once after a start.
    boost::asio::awaitable<Status> readFloor();
    HandlerResult refuse(Epoch epoch, boost::beast::http::status status, const std::string& reason);

    boost::asio::io_context& m_io;
    AgentSettings m_settings;
    std::shared_ptr<EventLog> m_log;
    EtcdStoreClient m_store;
    std::shared_ptr<HttpServer> m_server;
    std::optional<Epoch> m_floor;
    bool m_busy = false;
};

} // namespace wisteriayard
