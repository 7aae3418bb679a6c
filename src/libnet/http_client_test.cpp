#define BOOST_TEST_MODULE http_client
#include "http_client.h"

#include "address.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <optional>
#include <thread>

using namespace wisteriayard;
namespace http = boost::beast::http;
namespace data = boost::unit_test::data;
using boost::asio::ip::tcp;

namespace {

constexpr Duration timeout = std::chrono::seconds(30);
constexpr Bytes maxBody { 100 };
/// More than the kernel buffers of both sides together.
constexpr std::size_t longRequestBytes = 16 * 1024 * 1024;

/// How a server ends its connection after a response.
enum class End {
    Reset,
    /// Reads the request, then closes.
    CloseAfterReading,
    /// Ends its sending side, then reads the request.
    CloseBeforeReading,
};

struct ResponseCase {
    const char* name;
    std::string text;
    End end;
    /// Absent unless the response is whole and sound.
    std::optional<std::string> body;
    /// Sent before the server has read the request, which is long then.
    bool early = false;
};
std::ostream& operator<<(std::ostream& out, const ResponseCase& each) { return out << each.name; }

const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string withLength = ok + "Content-Length: 5\r\n\r\n";
const std::string withChunks = ok + "Transfer-Encoding: chunked\r\n\r\n";
const std::string withoutLength = ok + "Connection: close\r\n\r\n";

/// A response with a further line in its head.
std::string withLine(const std::string& line) { return ok + line + "\r\nContent-Length: 5\r\n\r\nhello"; }

/// A response with a line in its trailer.
std::string withTrailer(const std::string& line) { return withChunks + "5\r\nhello\r\n0\r\n" + line + "\r\n\r\n"; }

const ResponseCase responseCases[] = {
    { "length", withLength + "hello", End::CloseAfterReading, "hello" },
    { "length_then_reset", withLength + "hello", End::Reset, "hello" },
    { "length_too_short", withLength + "hel", End::CloseAfterReading, {} },
    { "length_reset", withLength + "hel", End::Reset, {} },
    { "chunks", withTrailer("X-A: 1"), End::CloseAfterReading, "hello" },
    { "chunks_without_last", withChunks + "5\r\nhello\r\n", End::CloseAfterReading, {} },
    { "chunks_reset", withChunks + "5\r\nhello\r\n", End::Reset, {} },
    { "trailer_without_end", withChunks + "5\r\nhello\r\n0\r\nX-A: 1\r\n", End::CloseAfterReading, {} },
    { "trailer_reset", withChunks + "5\r\nhello\r\n0\r\nX-A: 1\r\n", End::Reset, {} },
    { "without_length", withoutLength + "hello", End::CloseAfterReading, "hello" },
    { "without_length_reset", withoutLength + "hel", End::Reset, {} },
    { "head_without_end", ok, End::CloseAfterReading, {} },
    { "head_reset", ok, End::Reset, {} },
    { "early_without_length", withoutLength + "hello", End::CloseAfterReading, "hello", true },
    { "early_without_length_closed_first", withoutLength + "hello", End::CloseBeforeReading, "hello", true },
    { "early_without_length_reset", withoutLength + "hel", End::Reset, {}, true },
    { "early_length_reset", withLength + "hel", End::Reset, {}, true },
    { "early_chunks_reset", withChunks + "5\r\nhello\r\n", End::Reset, {}, true },
    { "status_zero", "HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nhello", End::CloseAfterReading, {} },
    { "status_zero_without_length", "HTTP/1.1 000 OK\r\n\r\nhello", End::CloseAfterReading, {} },
    { "status_zero_in_chunks", "HTTP/1.1 000 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", End::CloseAfterReading,
        {} },
    { "status_zero_after_informational", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
        End::CloseAfterReading, {} },
    { "sound_line", withLine("X-A: 1"), End::CloseAfterReading, "hello" },
    { "blank_in_name", withLine("X A: 1"), End::CloseAfterReading, {} },
    { "tab_in_name", withLine("X\tA: 1"), End::CloseAfterReading, {} },
    { "blank_before_colon", withLine("X-A : 1"), End::CloseAfterReading, {} },
    { "tab_before_colon", withLine("X-A\t: 1"), End::CloseAfterReading, {} },
    { "blank_before_first_name", withLine(" X-A: 1"), End::CloseAfterReading, {} },
    { "fold", withLine("X-A: 1\r\n X-B: 2"), End::CloseAfterReading, {} },
    { "fold_with_tab", withLine("X-A: 1\r\n\tX-B: 2"), End::CloseAfterReading, {} },
    { "fold_of_length", ok + "X-A: 1\r\n Content-Length: 5\r\n\r\nhello", End::CloseAfterReading, {} },
    { "fold_of_blanks", withLine("X-A: 1\r\n  "), End::CloseAfterReading, {} },
    { "control_byte_in_name", withLine("X\x01-A: 1"), End::CloseAfterReading, {} },
    { "delete_in_name", withLine("X\x7f-A: 1"), End::CloseAfterReading, {} },
    { "line_feed_in_name", withLine("X\n-A: 1"), End::CloseAfterReading, {} },
    { "sound_trailer", withTrailer("X-A: 1\r\nX-B:"), End::CloseAfterReading, "hello" },
    { "blank_in_name_of_trailer", withTrailer("X A: 1"), End::CloseAfterReading, {} },
    { "blank_before_colon_of_trailer", withTrailer("X-A : 1"), End::CloseAfterReading, {} },
    { "blank_before_first_name_of_trailer", withTrailer(" X-A: 1"), End::CloseAfterReading, {} },
    { "fold_of_trailer", withTrailer("X-A: 1\r\n X-B: 2"), End::CloseAfterReading, {} },
    { "control_byte_in_name_of_trailer", withTrailer("X\x01-A: 1"), End::CloseAfterReading, {} },
};

/// Accepts one connection and responds to its request by hand. On a kept connection, a sound response to another
/// request comes first.
class RawServer {
public:
    RawServer(const ResponseCase& response, bool isKept)
        : m_acceptor(m_io, parseAddress("127.0.0.1:0").value())
        , m_thread([this, &response, isKept] { serve(response, isKept); })
    {
    }
    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;
    ~RawServer() { m_thread.join(); }

    tcp::endpoint address() const { return m_acceptor.local_endpoint(); }

private:
    void serve(const ResponseCase& response, bool isKept)
    {
        tcp::socket socket = m_acceptor.accept();
        boost::system::error_code ignored;
        if (isKept) {
            readHead(socket);
            boost::asio::write(socket, boost::asio::buffer(ok + "Content-Length: 0\r\n\r\n"), ignored);
        }
        std::size_t received = readHead(socket);
        if (!response.early)
            readRest(socket, received);
        boost::asio::write(socket, boost::asio::buffer(response.text), ignored);
        if (response.end == End::Reset)
            socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        if (response.end == End::CloseBeforeReading)
            socket.shutdown(tcp::socket::shutdown_send, ignored);
        if (response.end != End::Reset && response.early)
            readRest(socket, received);
        socket.close(ignored);
    }

    /// Reads the head of a request.
    /// @return number of bytes of the body that were received with it
    std::size_t readHead(tcp::socket& socket)
    {
        boost::system::error_code ignored;
        m_request.clear();
        std::size_t head = boost::asio::read_until(socket, boost::asio::dynamic_buffer(m_request), "\r\n\r\n", ignored);
        return m_request.size() - head;
    }

    void readRest(tcp::socket& socket, std::size_t received)
    {
        constexpr std::string_view field = "Content-Length: ";
        std::size_t found = m_request.find(field);
        std::size_t size = found == std::string::npos ? 0 : std::stoul(m_request.substr(found + field.size()));
        boost::system::error_code ignored;
        std::string rest(size - std::min(size, received), '\0');
        boost::asio::read(socket, boost::asio::buffer(rest), ignored);
    }

    boost::asio::io_context m_io;
    tcp::acceptor m_acceptor;
    std::string m_request;
    std::thread m_thread;
};

using BodyResult = Result<std::string>;

/// A way in which the processes read responses.
struct Reader {
    const char* name;
    std::function<boost::asio::awaitable<BodyResult>(HttpConnection&, HttpRequest)> read;
};
std::ostream& operator<<(std::ostream& out, const Reader& each) { return out << each.name; }

boost::asio::awaitable<BodyResult> readWhole(HttpConnection& connection, HttpRequest request)
{
    auto response = co_await connection.exchange(std::move(request), timeout);
    if (!response)
        co_return response.error();
    co_return std::move(response.value().body());
}

boost::asio::awaitable<BodyResult> readParts(HttpConnection& connection, HttpRequest request)
{
    auto head = co_await connection.startExchange(std::move(request), timeout);
    if (!head)
        co_return head.error();
    std::string body;
    while (true) {
        auto part = co_await connection.readSome(timeout);
        if (!part || part.value().empty())
            co_return part ? BodyResult(body) : part;
        body += part.value();
    }
}

const Reader readers[] = { { "whole", readWhole }, { "parts", readParts } };
const bool keptOrFresh[] = { false, true };

HttpRequest makeRequest(std::size_t bodySize)
{
    return makeHttpRequest(http::verb::post, "/", std::string(bodySize, 'x'), "text/plain");
}

} // namespace

// Guards against responses that are not whole or not sound, and are taken for answers by one of the processes; and
// against whole ones that are refused, as they begin before the request is written.
BOOST_DATA_TEST_CASE(only_whole_and_sound_responses_are_answers,
    data::make(readers) * data::make(keptOrFresh) * data::make(responseCases), reader, isKept, each)
{
    RawServer server(each, isKept);
    boost::asio::io_context io;
    HttpConnection connection(io.get_executor(), server.address(), maxBody);
    std::optional<BodyResult> result;
    auto run = [&]() -> boost::asio::awaitable<void> {
        if (isKept)
            (void)co_await connection.exchange(makeRequest(0), timeout);
        result = co_await reader.read(connection, makeRequest(each.early ? longRequestBytes : 1));
        connection.close();
    };
    boost::asio::co_spawn(io, run, boost::asio::detached);
    io.run();
    BOOST_REQUIRE(result);
    BOOST_TEST(result->has_value() == each.body.has_value());
    if (*result && each.body)
        BOOST_TEST(result->value() == *each.body);
}
