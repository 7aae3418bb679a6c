#pragma once

#include "http_server.h"
#include "wisteriayard/error.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace wisteriayard {

/// Contents of the admin pages. Each function is called on the server's event loop.
struct AdminSources {
    std::function<bool()> ready;
    std::function<std::string()> metrics;
    /// State of the process as JSON for `wisteriayardctl status`.
    std::function<std::string()> status;
    /// Answers a query for `wisteriayardctl where`, a JSON object; null if the process has no such page.
    std::function<Result<std::string>(const std::string&)> where = nullptr;
};

/// Serves `/healthz`, `/readyz`, `/metrics`, `/status` and, by POST, `/where` on the admin port.
std::shared_ptr<HttpServer> makeAdminServer(boost::asio::io_context& io, AdminSources sources);

} // namespace wisteriayard
