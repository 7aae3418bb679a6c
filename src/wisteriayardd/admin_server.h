#pragma once

#include "http_server.h"

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
};

/// Serves `/healthz`, `/readyz`, `/metrics` and `/status` on the admin port.
std::shared_ptr<HttpServer> makeAdminServer(boost::asio::io_context& io, AdminSources sources);

} // namespace wisteriayard
