#include "admin_server.h"

namespace wisteriayard {

namespace http = boost::beast::http;

namespace {

    HttpResponse answerWhere(const AdminSources& sources, const std::string& query)
    {
        Result<std::string> report = sources.where(query);
        if (report)
            return makeHttpResponse(http::status::ok, report.value());
        auto status = http::status::bad_request;
        if (report.error().code == Errc::NotFound)
            status = http::status::not_found;
        else if (report.error().code == Errc::Unavailable)
            status = http::status::service_unavailable;
        return makeHttpResponse(status, report.error().message, "text/plain");
    }

    HttpResponse answer(const AdminSources& sources, const HttpRequest& request)
    {
        if (sources.where && request.method() == http::verb::post && request.target() == "/where")
            return answerWhere(sources, request.body());
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
