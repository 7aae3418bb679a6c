#include "admin_server.h"

namespace wisteriayard {

namespace http = boost::beast::http;

namespace {

    HttpResponse answer(const AdminSources& sources, const HttpRequest& request)
    {
        if (request.method() != http::verb::get)
            return makeHttpResponse(http::status::method_not_allowed, "only GET is allowed\n", "text/plain");
        if (request.target() == "/healthz")
            return makeHttpResponse(http::status::ok, "ok\n", "text/plain");
        if (request.target() == "/readyz") {
            bool ready = sources.ready();
            return makeHttpResponse(ready ? http::status::ok : http::status::service_unavailable,
                ready ? "ready\n" : "not ready\n", "text/plain");
        }
        if (request.target() == "/metrics")
            return makeHttpResponse(http::status::ok, sources.metrics(), "text/plain; version=0.0.4");
        if (request.target() == "/status")
            return makeHttpResponse(http::status::ok, sources.status());
        return makeHttpResponse(http::status::not_found, "no such page\n", "text/plain");
    }

} // namespace

std::shared_ptr<HttpServer> makeAdminServer(boost::asio::io_context& io, AdminSources sources)
{
    HttpServerLimits limits;
    limits.maxBody = Bytes(64 * 1024);
    limits.maxConnections = 64;
    auto handler
        = [sources = std::move(sources)](HttpRequest request,
              HttpStreamWriter&) -> boost::asio::awaitable<HandlerResult> { co_return answer(sources, request); };
    return std::make_shared<HttpServer>(io, limits, std::move(handler));
}

} // namespace wisteriayard
