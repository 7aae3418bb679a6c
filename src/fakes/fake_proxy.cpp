// TCP proxy that can discard the data of its open connections while new connections work.
#include "address.h"
#include "fakes.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <memory>
#include <set>
#include <stdexcept>

namespace wisteriayard::fakes {

namespace {

    namespace http = boost::beast::http;
    using boost::asio::awaitable;
    using boost::asio::redirect_error;
    using boost::asio::use_awaitable;
    using boost::asio::ip::tcp;

    /// A connection through the proxy.
    struct ProxiedConnection {
        ProxiedConnection(tcp::socket accepted, boost::asio::io_context& io)
            : client(std::move(accepted))
            , server(io)
        {
        }

        tcp::socket client;
        tcp::socket server;
        /// Data of both directions is read and discarded.
        bool discard = false;
    };

    class FakeProxy : public std::enable_shared_from_this<FakeProxy> {
    public:
        FakeProxy(boost::asio::io_context& io, tcp::endpoint listen, tcp::endpoint to)
            : m_io(io)
            , m_acceptor(io, listen)
            , m_target(std::move(to))
        {
        }

        void start()
        {
            boost::asio::co_spawn(
                m_io, [self = shared_from_this()] { return self->acceptForever(); }, boost::asio::detached);
        }

        awaitable<HandlerResult> handle(HttpRequest request)
        {
            std::string path(request.target());
            if (path == "/fake/stats")
                co_return jsonResponse({ { "accepted", m_accepted }, { "open", m_connections.size() } });
            Json json = Json::parse(request.body(), nullptr, false);
            if (path != "/fake/faults" || !json.is_object())
                co_return errorResponse(http::status::bad_request, "expected /fake/faults with a JSON object");
            if (json.value("swallow_open", false)) {
                for (const auto& connection : m_connections)
                    connection->discard = true;
            }
            co_return jsonResponse({ { "accepted", m_accepted }, { "open", m_connections.size() } });
        }

    private:
        awaitable<void> acceptForever()
        {
            while (true) {
                tcp::socket client = co_await m_acceptor.async_accept(use_awaitable);
                auto connection = std::make_shared<ProxiedConnection>(std::move(client), m_io);
                ++m_accepted;
                boost::asio::co_spawn(
                    m_io, [self = shared_from_this(), connection] { return self->serve(connection); },
                    boost::asio::detached);
            }
        }

        awaitable<void> serve(std::shared_ptr<ProxiedConnection> connection)
        {
            boost::system::error_code error;
            co_await connection->server.async_connect(m_target, redirect_error(use_awaitable, error));
            if (error)
                co_return;
            m_connections.insert(connection);
            boost::asio::co_spawn(
                m_io,
                [self = shared_from_this(), connection] {
                    return self->copy(connection, connection->server, connection->client);
                },
                boost::asio::detached);
            co_await copy(connection, connection->client, connection->server);
            m_connections.erase(connection);
        }

        awaitable<void> copy(std::shared_ptr<ProxiedConnection> connection, tcp::socket& from, tcp::socket& to)
        {
            std::array<char, 16 * 1024> buffer;
            boost::system::error_code error;
            while (!error) {
                std::size_t size
                    = co_await from.async_read_some(boost::asio::buffer(buffer), redirect_error(use_awaitable, error));
                if (!error && !connection->discard)
                    co_await boost::asio::async_write(
                        to, boost::asio::buffer(buffer, size), redirect_error(use_awaitable, error));
            }
            // The peer's side of a discarding connection stays open, as it would if all packets were lost.
            boost::system::error_code ignored;
            if (!connection->discard)
                to.close(ignored);
        }

        boost::asio::io_context& m_io;
        tcp::acceptor m_acceptor;
        tcp::endpoint m_target;
        std::set<std::shared_ptr<ProxiedConnection>> m_connections;
        int m_accepted = 0;
    };

} // namespace

HttpHandler makeProxyHandler(boost::asio::io_context& io, const Settings& settings)
{
    auto listen = parseAddress(settings.listen);
    auto to = parseAddress(settings.target);
    if (!listen || !to)
        throw std::invalid_argument("proxy: expected --listen and --to as IP:port");
    auto proxy = std::make_shared<FakeProxy>(io, listen.value(), to.value());
    proxy->start();
    return [proxy](HttpRequest request, HttpStreamWriter&) { return proxy->handle(std::move(request)); };
}

} // namespace wisteriayard::fakes
